//! What other hosts may ask of this host's weights: the manifest, what it holds, and chunks.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use tokio::sync::mpsc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParams;
use volo_http::server::route::{Router, post};

use super::link_pacer::LinkPacer;
use super::messages::{ChunkHead, HaveWord};
use super::staged_version::{StagedVersion, VersionShelf};
use super::version_routes::read_digest;
use super::word_board::WordBoard;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics;
use crate::transport::{encode_message, error_response, message_response, read_message};

/// The largest word that is read, in bytes: two maps of the most chunks, and a name.
pub(crate) const WORD_BYTES_MAX: usize = 64 * 1024;
/// Chunks that go out at a time.
const UPLOADS_MAX: usize = 8;
/// How many chunks may wait for this host's link.
const UPLOAD_QUEUE: u32 = 4;
/// How long a reader may take before its upload no longer counts. Readers that went silent would
/// otherwise hold all places for good, and every other host would be told "busy".
const UPLOAD_LONGEST: Duration = Duration::from_secs(10);
/// What a full queue without pacing asks a reader to wait.
const UNPACED_WAIT: Duration = Duration::from_millis(50);

/// Answers other hosts. Clones share its limits.
#[derive(Clone)]
pub(crate) struct PeerService {
    shelf: VersionShelf,
    board: WordBoard,
    pacer: LinkPacer,
    uploads: Arc<Semaphore>,
    heard: mpsc::Sender<HaveWord>,
}

impl PeerService {
    /// Answers from `shelf`, within what `pacer` lets through. What askers say of themselves goes
    /// to `heard`; words are dropped when it is full, since newer ones follow.
    pub(crate) fn new(
        shelf: VersionShelf,
        board: WordBoard,
        pacer: LinkPacer,
        heard: mpsc::Sender<HaveWord>,
    ) -> Self {
        Self {
            shelf,
            board,
            pacer,
            uploads: Arc::new(Semaphore::new(UPLOADS_MAX)),
            heard,
        }
    }

    /// Its routes, under `/peer/weights/`.
    pub(crate) fn routes(&self) -> Router {
        let service = self.clone();
        let manifest = move |PathParams(digest): PathParams<String>| {
            let reply = service.manifest(&digest);
            async move { reply.unwrap_or_else(|error| refuse(&error)) }
        };
        let service = self.clone();
        let have = move |PathParams(digest): PathParams<String>, request: Request| {
            let service = service.clone();
            async move {
                let reply = service.have(&digest, request).await;
                reply.unwrap_or_else(|error| refuse(&error))
            }
        };
        let service = self.clone();
        let chunk = move |PathParams((digest, index)): PathParams<(String, u32)>,
                          request: Request| {
            let service = service.clone();
            async move {
                let reply = service.chunk(&digest, index, request).await;
                reply.unwrap_or_else(|error| refuse(&error))
            }
        };
        Router::new()
            .route("/peer/weights/{digest}/manifest", post(manifest))
            .route("/peer/weights/{digest}/have", post(have))
            .route("/peer/weights/{digest}/chunk/{index}", post(chunk))
    }

    fn manifest(&self, digest: &str) -> SwitchResult<Response> {
        Ok(message_response(self.find(digest)?.manifest()))
    }

    async fn have(&self, digest: &str, request: Request) -> SwitchResult<Response> {
        let version = self.find(digest)?;
        self.hear(request).await?;
        Ok(message_response(&self.board.word(&version)))
    }

    async fn chunk(&self, digest: &str, index: u32, request: Request) -> SwitchResult<Response> {
        let version = self.find(digest)?;
        self.hear(request).await?;
        let Some(bytes) = version.chunk(index) else {
            let detail = format!("chunk {index} is not here");
            return Err(SwitchError::new(ErrorKind::ChunkMissing, detail));
        };
        let slot = self.take_slot()?;
        self.wait_for_link(&bytes).await?;
        metrics::count_event(
            "weights_uploaded_bytes",
            u64::try_from(bytes.len()).unwrap_or(0),
        );
        let head = ChunkHead {
            digest: version.digest(),
            index,
            word: self.board.word(&version),
        };
        chunk_reply(&head, bytes, slot)
    }

    fn find(&self, digest: &str) -> SwitchResult<Arc<StagedVersion>> {
        let digest = read_digest(digest)?;
        self.shelf.find(digest).ok_or_else(|| {
            SwitchError::new(
                ErrorKind::ChunkMissing,
                format!("nothing of {digest} is here"),
            )
        })
    }

    async fn hear(&self, request: Request) -> SwitchResult<()> {
        let word = read_message(request.into_body(), WORD_BYTES_MAX).await?;
        let _ = self.heard.try_send(word);
        Ok(())
    }

    fn take_slot(&self) -> SwitchResult<UploadSlot> {
        let permit = Arc::clone(&self.uploads).try_acquire_owned();
        let permit = permit.map_err(|_| busy(UNPACED_WAIT))?;
        Ok(UploadSlot::new(permit))
    }

    async fn wait_for_link(&self, bytes: &Bytes) -> SwitchResult<()> {
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        let queue = self.pacer.span_of(length) * UPLOAD_QUEUE;
        let passed = self.pacer.send_out(length, queue).await;
        passed.map_err(|backlog| busy(backlog.saturating_sub(queue)))
    }
}

fn busy(wait: Duration) -> SwitchError {
    let error = SwitchError::new(ErrorKind::UploadBusy, "enough chunks go out already");
    error.with_retry_after(wait)
}

fn refuse(error: &SwitchError) -> Response {
    metrics::count_refusal(error.kind, "weights");
    error_response(error)
}

fn chunk_reply(head: &ChunkHead, bytes: Bytes, slot: UploadSlot) -> SwitchResult<Response> {
    let head = encode_message(head)?;
    let length = u32::try_from(head.len())
        .map_err(|_| SwitchError::new(ErrorKind::Internal, "head over 4 GiB"))?;
    let parts = [Bytes::copy_from_slice(&length.to_be_bytes()), head, bytes];
    let frames = parts.map(|part| Ok(Frame::data(part)));
    let frames = futures::stream::iter(frames);
    // The slot lives as long as the stream, so that an upload counts until it was read.
    let frames = futures::StreamExt::inspect(frames, move |_| {
        let _ = &slot;
    });
    Ok(Response::new(Body::from_stream(frames)))
}

/// One of the uploads that may go on at a time; free again when dropped, or after
/// [`UPLOAD_LONGEST`].
struct UploadSlot {
    _permit: Arc<Mutex<Option<OwnedSemaphorePermit>>>,
}

impl UploadSlot {
    fn new(permit: OwnedSemaphorePermit) -> Self {
        let shared = Arc::new(Mutex::new(Some(permit)));
        let late = Arc::downgrade(&shared);
        tokio::spawn(async move {
            tokio::time::sleep(UPLOAD_LONGEST).await;
            if let Some(permit) = late.upgrade() {
                drop(permit.lock().unwrap_or_else(PoisonError::into_inner).take());
            }
        });
        Self { _permit: shared }
    }
}
