//! Requests of the [`FetchPlan`](super::fetch_plan::FetchPlan): queries peers, pulls chunks from
//! them and reads chunks from the origin.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use bytestring::ByteString;
use http::{Method, StatusCode};
use volo_http::body::Body;
use volo_http::request::Request;

use super::chunk_announcer::ChunkAnnouncer;
use super::link_pacer::LinkPacer;
use super::messages::{ChunkAnnouncement, ChunkHead};
use super::peer_service::ANNOUNCEMENT_BYTES_MAX;
use super::staged_version::StagedVersion;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics;
use crate::stores::WeightSource;
use crate::transport::{PeerClient, decode_error_body, decode_message, encode_message, read_body};

const LENGTH_BYTES: usize = 4;
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// The plan cancels pulls much earlier; this only bounds a pull that has no receiver any more.
const PULL_TIMEOUT: Duration = Duration::from_mins(1);
const ERROR_BYTES_MAX: usize = 64 * 1024;

/// Clients and state for fetching one version. Clones share them.
#[derive(Clone)]
pub(crate) struct ChunkFetcher {
    /// The origin of weights.
    pub(crate) origin: Arc<dyn WeightSource>,
    /// The weight store, if one is configured.
    pub(crate) store: Option<Arc<dyn WeightSource>>,
    /// The name of the weights at the origin and in the store.
    pub(crate) source: ByteString,
    /// Client for other hosts.
    pub(crate) client: Arc<PeerClient>,
    /// The version that is being fetched.
    pub(crate) version: Arc<StagedVersion>,
    /// This host's announcements about the version.
    pub(crate) announcer: ChunkAnnouncer,
    /// The host's link.
    pub(crate) pacer: LinkPacer,
}

impl ChunkFetcher {
    /// Queries which chunks `peer` holds. The query carries this host's own announcement.
    pub(crate) async fn query_peer(&self, peer: SocketAddr) -> SwitchResult<ChunkAnnouncement> {
        metrics::count_event("weights_asks", 1);
        let path = format!("/peer/weights/{}/have", self.version.digest());
        let announcement = self.announcer.announcement(&self.version);
        let response = self
            .client
            .call(peer, &path, &announcement, QUERY_TIMEOUT)
            .await;
        if let Err(error) = &response
            && error.kind == ErrorKind::PeerSilent
        {
            // The kept connection may be dead while new connections to the peer work.
            self.client.drop_pool(peer);
        }
        response
    }

    /// Pulls chunk `index` from `peer`, verifies and stores it. Returns the peer's announcement.
    pub(crate) async fn pull_chunk(
        &self,
        peer: SocketAddr,
        index: u32,
    ) -> SwitchResult<ChunkAnnouncement> {
        metrics::count_event("weights_pulls", 1);
        let digest = self.version.digest();
        let body = encode_message(&self.announcer.announcement(&self.version))?;
        let request = http::Request::builder()
            .method(Method::POST)
            .uri(format!("/peer/weights/{digest}/chunk/{index}"))
            .body(Body::from(body))
            .map_err(|error| SwitchError::new(ErrorKind::Internal, error.to_string()))?;
        let mut response = self.exchange(peer, request, index).await?;
        let head = split_head(&mut response)?;
        if head.digest != digest || head.index != index {
            let detail = format!("{peer} sent chunk {} of {}", head.index, head.digest);
            return Err(SwitchError::new(ErrorKind::ChunkCorrupt, detail));
        }
        self.store("weights_peer_bytes", index, response).await?;
        Ok(head.announcement)
    }

    /// Reads chunk `index` from the origin, or from the weight store if the origin fails; verifies
    /// and stores it.
    pub(crate) async fn read_origin(&self, index: u32) -> SwitchResult<()> {
        metrics::count_event("weights_origin_reads", 1);
        let (offset, length) = self.version.manifest().chunk_range(index);
        let read = self.origin.read_range(&self.source, offset, length).await;
        let bytes = match (read, &self.store) {
            (Ok(bytes), _) => bytes,
            (Err(error), Some(store)) => {
                metrics::count_retry(error.kind);
                store.read_range(&self.source, offset, length).await?
            }
            (Err(error), None) => return Err(error),
        };
        self.store("weights_origin_bytes", index, bytes).await
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        request: Request,
        index: u32,
    ) -> SwitchResult<Bytes> {
        let response = self.client.send(peer, request, PULL_TIMEOUT).await?;
        let status = response.status();
        if status != StatusCode::OK {
            let text = read_body(response.into_body(), ERROR_BYTES_MAX).await?;
            return Err(decode_error_body(status, &text));
        }
        let (_, length) = self.version.manifest().chunk_range(index);
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let limit = length.saturating_add(LENGTH_BYTES + ANNOUNCEMENT_BYTES_MAX);
        read_body(response.into_body(), limit).await
    }

    async fn store(&self, metric: &'static str, index: u32, bytes: Bytes) -> SwitchResult<()> {
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        metrics::count_event(metric, length);
        self.pacer.take_in(length).await;
        if self.version.chunk(index).is_some() {
            metrics::count_event("weights_duplicate_bytes", length);
            return Ok(());
        }
        self.version.store_chunk(index, bytes)
    }
}

fn split_head(response: &mut Bytes) -> SwitchResult<ChunkHead> {
    let truncated = || {
        SwitchError::new(
            ErrorKind::ChunkCorrupt,
            "response truncated within the chunk head",
        )
    };
    if response.len() < LENGTH_BYTES {
        return Err(truncated());
    }
    let length = usize::try_from(response.get_u32()).unwrap_or(usize::MAX);
    if response.len() < length {
        return Err(truncated());
    }
    decode_message(&response.split_to(length))
}
