//! Carries out what the [`FetchPlan`](super::fetch_plan::FetchPlan) decides: asks, pulls, reads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use bytestring::ByteString;
use http::{Method, StatusCode};
use volo_http::body::Body;
use volo_http::request::Request;

use super::link_pacer::LinkPacer;
use super::messages::{ChunkHead, HaveWord};
use super::peer_service::WORD_BYTES_MAX;
use super::staged_version::StagedVersion;
use super::word_board::WordBoard;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics;
use crate::stores::WeightSource;
use crate::transport::{PeerClient, decode_error_body, decode_message, encode_message, read_body};

const LENGTH_BYTES: usize = 4;
const ASK_WITHIN: Duration = Duration::from_secs(1);
/// The plan gives a pull up earlier; this is only against one that nobody waits for any more.
const PULL_WITHIN: Duration = Duration::from_mins(1);
const ERROR_BYTES_MAX: usize = 64 * 1024;

/// What the fetches of one version work with. Clones share it.
#[derive(Clone)]
pub(crate) struct FetchEdge {
    /// The origin.
    pub(crate) origin: Arc<dyn WeightSource>,
    /// The weight store, where there is one.
    pub(crate) store: Option<Arc<dyn WeightSource>>,
    /// The name of the weights there.
    pub(crate) source: ByteString,
    /// The way to other hosts.
    pub(crate) client: Arc<PeerClient>,
    /// The version.
    pub(crate) version: Arc<StagedVersion>,
    /// What this host says of it.
    pub(crate) board: WordBoard,
    /// The host's link.
    pub(crate) pacer: LinkPacer,
}

impl FetchEdge {
    /// Asks `peer` what it holds.
    pub(crate) async fn ask(&self, peer: SocketAddr) -> SwitchResult<HaveWord> {
        metrics::count_event("weights_asks", 1);
        let path = format!("/peer/weights/{}/have", self.version.digest());
        let word = self.board.word(&self.version);
        let answer = self.client.call(peer, &path, &word, ASK_WITHIN).await;
        if let Err(error) = &answer
            && error.kind == ErrorKind::PeerSilent
        {
            // The connection may have gone silent for good while new ones work.
            self.client.drop_pool(peer);
        }
        answer
    }

    /// Pulls chunk `index` from `peer`, checks it and keeps it.
    pub(crate) async fn pull(&self, peer: SocketAddr, index: u32) -> SwitchResult<HaveWord> {
        metrics::count_event("weights_pulls", 1);
        let digest = self.version.digest();
        let body = encode_message(&self.board.word(&self.version))?;
        let request = http::Request::builder()
            .method(Method::POST)
            .uri(format!("/peer/weights/{digest}/chunk/{index}"))
            .body(Body::from(body))
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
        let mut answer = self.exchange(peer, request, index).await?;
        let head = take_head(&mut answer)?;
        if head.digest != digest || head.index != index {
            let detail = format!("{peer} sent chunk {} of {}", head.index, head.digest);
            return Err(SwitchError::new(ErrorKind::ChunkCorrupt, detail));
        }
        self.keep("weights_peer_bytes", index, answer).await?;
        Ok(head.word)
    }

    /// Reads chunk `index` from the origin, or from the weight store when the origin does not
    /// answer; checks it and keeps it.
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
        self.keep("weights_origin_bytes", index, bytes).await
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        request: Request,
        index: u32,
    ) -> SwitchResult<Bytes> {
        let answer = self.client.send(peer, request, PULL_WITHIN).await?;
        let status = answer.status();
        if status != StatusCode::OK {
            let text = read_body(answer.into_body(), ERROR_BYTES_MAX).await?;
            return Err(decode_error_body(status, &text));
        }
        let (_, length) = self.version.manifest().chunk_range(index);
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let limit = length.saturating_add(LENGTH_BYTES + WORD_BYTES_MAX);
        read_body(answer.into_body(), limit).await
    }

    async fn keep(&self, counted_as: &'static str, index: u32, bytes: Bytes) -> SwitchResult<()> {
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        metrics::count_event(counted_as, length);
        self.pacer.take_in(length).await;
        if self.version.chunk(index).is_some() {
            metrics::count_event("weights_duplicate_bytes", length);
            return Ok(());
        }
        self.version.keep_chunk(index, bytes)
    }
}

fn take_head(answer: &mut Bytes) -> SwitchResult<ChunkHead> {
    let short = || SwitchError::new(ErrorKind::ChunkCorrupt, "the answer ends in its head");
    if answer.len() < LENGTH_BYTES {
        return Err(short());
    }
    let length = usize::try_from(answer.get_u32()).unwrap_or(usize::MAX);
    if answer.len() < length {
        return Err(short());
    }
    decode_message(&answer.split_to(length))
}
