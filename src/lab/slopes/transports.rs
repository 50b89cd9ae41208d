//! What one word between two daemons costs on the wire: as a request with its answer, and as a
//! frame of a stream that stays open.

use std::net::SocketAddr;
use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::time::sleep;

use super::run::as_float;
use super::sample::{ConnectionCount, read_connections};
use crate::control::{PULL_PATH, PeerFrame, PullRequest, PullResponse, WATCH_PATH, WatchRequest};
use crate::derives::message;
use crate::errors::SwitchResult;
use crate::transport::{ClientLimits, PeerClient};

const EXCHANGES: u64 = 100;
const FRAMES: u64 = 40;
const FRAME_PACE: Duration = Duration::from_millis(200);
const WITHIN: Duration = Duration::from_secs(2);

/// What one word costs.
#[apply(message!)]
pub(super) struct TransportCost {
    /// Bytes on the wire, with headers, of a request and its answer on an open connection.
    pub(super) exchange_bytes: f64,
    /// The same of one frame of an open stream.
    pub(super) frame_bytes: f64,
}

/// Measures both against the daemon whose peer address is `peer`.
pub(super) async fn weigh_transports(peer: SocketAddr) -> SwitchResult<TransportCost> {
    Ok(TransportCost {
        exchange_bytes: weigh_exchange(peer).await?,
        frame_bytes: weigh_frame(peer).await?,
    })
}

async fn weigh_exchange(peer: SocketAddr) -> SwitchResult<f64> {
    let client = PeerClient::new(ClientLimits::default());
    let order = PullRequest { have: Vec::new() };
    // The first opens the connection and fetches what there is.
    let reply: PullResponse = client.call(peer, PULL_PATH, &order, WITHIN).await?;
    drop(reply);
    let order = PullRequest {
        have: vec![crate::documents::DocumentVersion {
            service: "none".into(),
            version: 1,
        }],
    };
    let first: PullResponse = client.call(peer, PULL_PATH, &order, WITHIN).await?;
    let body: usize = first.rows.iter().map(bytes::Bytes::len).sum();
    let before = own_bytes(peer).await?;
    for _ in 0..EXCHANGES {
        let _: PullResponse = client.call(peer, PULL_PATH, &order, WITHIN).await?;
    }
    let after = own_bytes(peer).await?;
    let whole = as_float(after - before) / as_float(EXCHANGES);
    // The documents' rows are no part of a word that says that nothing changed.
    Ok(whole - as_float(u64::try_from(body).unwrap_or(0)))
}

async fn weigh_frame(peer: SocketAddr) -> SwitchResult<f64> {
    let client = PeerClient::new(ClientLimits::default());
    let order = WatchRequest {
        watcher: None,
        pace_ms: u64::try_from(FRAME_PACE.as_millis()).unwrap_or(u64::MAX),
    };
    let mut stream = client.open_stream(peer, WATCH_PATH, &order, WITHIN).await?;
    while !matches!(stream.next().await?, Some(PeerFrame::Paced(..)) | None) {}
    sleep(FRAME_PACE / 2).await;
    let before = own_bytes(peer).await?;
    for _ in 0..FRAMES {
        let _: Option<PeerFrame> = stream.next().await?;
    }
    sleep(FRAME_PACE / 2).await;
    let after = own_bytes(peer).await?;
    Ok(as_float(after - before) / as_float(FRAMES))
}

/// Bytes on the wire so far between this process and `peer`.
async fn own_bytes(peer: SocketAddr) -> SwitchResult<u64> {
    let own = std::process::id();
    let connections = read_connections().await?;
    let to_peer = connections
        .iter()
        .filter(|count| count.process == own && count.touches(peer));
    Ok(to_peer.map(ConnectionCount::wire_bytes).sum())
}
