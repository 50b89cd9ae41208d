//! Measures the bytes on the wire of one message between two daemons: as a request with its
//! response, and as a frame of an open stream.

use std::net::SocketAddr;
use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::time::sleep;

use super::kernel_counters::{ConnectionCounters, read_connections};
use super::measurement::as_float;
use crate::control::{PULL_PATH, PeerFrame, PullRequest, PullResponse, WATCH_PATH, WatchRequest};
use crate::derives::message;
use crate::errors::SwitchResult;
use crate::transport::{ClientLimits, PeerClient};

const EXCHANGES: u64 = 100;
const FRAMES: u64 = 40;
const FRAME_INTERVAL: Duration = Duration::from_millis(200);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes on the wire of one message, for each means of transport.
#[apply(message!)]
pub(super) struct TransportCost {
    /// Bytes, including headers, of a request and its response on an open connection.
    pub(super) exchange_bytes: f64,
    /// Bytes, including headers, of one frame of an open stream.
    pub(super) frame_bytes: f64,
}

/// Measures both means of transport against the daemon whose peer address is `peer`.
///
/// # Errors
///
/// When the daemon does not respond in time, or `ss` cannot be started.
pub(super) async fn measure_transport(peer: SocketAddr) -> SwitchResult<TransportCost> {
    Ok(TransportCost {
        exchange_bytes: measure_exchange(peer).await?,
        frame_bytes: measure_frame(peer).await?,
    })
}

async fn measure_exchange(peer: SocketAddr) -> SwitchResult<f64> {
    let client = PeerClient::new(ClientLimits::default());
    let request = PullRequest { have: Vec::new() };
    // Opens the connection and fetches the existing documents.
    let response: PullResponse = client
        .call(peer, PULL_PATH, &request, RESPONSE_TIMEOUT)
        .await?;
    drop(response);
    let request = PullRequest {
        have: vec![crate::documents::DocumentVersion {
            service: "none".into(),
            version: 1,
        }],
    };
    let response: PullResponse = client
        .call(peer, PULL_PATH, &request, RESPONSE_TIMEOUT)
        .await?;
    let rows_bytes: usize = response.rows.iter().map(bytes::Bytes::len).sum();
    let before = bytes_exchanged_with(peer).await?;
    for _ in 0..EXCHANGES {
        let _: PullResponse = client
            .call(peer, PULL_PATH, &request, RESPONSE_TIMEOUT)
            .await?;
    }
    let after = bytes_exchanged_with(peer).await?;
    let exchange_bytes = as_float(after - before) / as_float(EXCHANGES);
    // The rows of the documents are subtracted: a response that reports no change has none.
    Ok(exchange_bytes - as_float(u64::try_from(rows_bytes).unwrap_or(0)))
}

async fn measure_frame(peer: SocketAddr) -> SwitchResult<f64> {
    let client = PeerClient::new(ClientLimits::default());
    let request = WatchRequest {
        watcher: None,
        pace_ms: u64::try_from(FRAME_INTERVAL.as_millis()).unwrap_or(u64::MAX),
    };
    let mut stream = client
        .open_stream(peer, WATCH_PATH, &request, RESPONSE_TIMEOUT)
        .await?;
    while !matches!(stream.next().await?, Some(PeerFrame::Paced(..)) | None) {}
    sleep(FRAME_INTERVAL / 2).await;
    let before = bytes_exchanged_with(peer).await?;
    for _ in 0..FRAMES {
        let _: Option<PeerFrame> = stream.next().await?;
    }
    sleep(FRAME_INTERVAL / 2).await;
    let after = bytes_exchanged_with(peer).await?;
    Ok(as_float(after - before) / as_float(FRAMES))
}

/// Bytes on the wire between this process and `peer` since their open connections were established.
async fn bytes_exchanged_with(peer: SocketAddr) -> SwitchResult<u64> {
    let own_id = std::process::id();
    let connections = read_connections().await?;
    let to_peer = connections
        .iter()
        .filter(|counters| counters.process_id == own_id && counters.involves(peer));
    Ok(to_peer.map(ConnectionCounters::wire_bytes).sum())
}
