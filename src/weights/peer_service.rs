//! Service for the weights requests of other hosts: the manifest, the chunks that this host holds,
//! and chunk contents.

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

use super::chunk_announcer::ChunkAnnouncer;
use super::link_pacer::LinkPacer;
use super::messages::{ChunkAnnouncement, ChunkHead};
use super::staged_version::{StagedVersion, VersionCache};
use super::version_routes::read_digest;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics;
use crate::transport::{encode_message, error_response, message_response, read_request_message};

/// Maximum size of an announcement in bytes: two maps of the maximum number of chunks, and a name.
pub(crate) const ANNOUNCEMENT_BYTES_MAX: usize = 64 * 1024;
/// Maximum concurrent uploads.
const UPLOADS_MAX: usize = 8;
/// Maximum number of chunks that may wait for this host's link.
const UPLOAD_QUEUE_CHUNKS: u32 = 4;
/// Time after which an upload no longer counts. Otherwise readers that became unresponsive would
/// occupy all upload slots for good, and every other host would get `UploadBusy` errors.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry delay for a reader when all upload slots are in use.
const UNPACED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles requests of other hosts. Clones share its limits.
#[derive(Clone)]
pub(crate) struct PeerService {
    versions: VersionCache,
    announcer: ChunkAnnouncer,
    pacer: LinkPacer,
    uploads: Arc<Semaphore>,
    announcements: mpsc::Sender<ChunkAnnouncement>,
}

impl PeerService {
    /// Serves from `versions` within the limits of `pacer`. Announcements in the requests are sent
    /// to `announcements`; they are dropped if the channel is full, because newer ones follow.
    pub(crate) fn new(
        versions: VersionCache,
        announcer: ChunkAnnouncer,
        pacer: LinkPacer,
        announcements: mpsc::Sender<ChunkAnnouncement>,
    ) -> Self {
        Self {
            versions,
            announcer,
            pacer,
            uploads: Arc::new(Semaphore::new(UPLOADS_MAX)),
            announcements,
        }
    }

    /// The routes under `/peer/weights/`.
    pub(crate) fn routes(&self) -> Router {
        let service = self.clone();
        let manifest = move |PathParams(digest): PathParams<String>| {
            let reply = service.manifest(&digest);
            async move { reply.unwrap_or_else(|error| refuse(&error)) }
        };
        let service = self.clone();
        let holdings = move |PathParams(digest): PathParams<String>, request: Request| {
            let service = service.clone();
            async move {
                let reply = service.holdings(&digest, request).await;
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
            .route("/peer/weights/{digest}/have", post(holdings))
            .route("/peer/weights/{digest}/chunk/{index}", post(chunk))
    }

    fn manifest(&self, digest: &str) -> SwitchResult<Response> {
        Ok(message_response(self.find(digest)?.manifest()))
    }

    async fn holdings(&self, digest: &str, request: Request) -> SwitchResult<Response> {
        let version = self.find(digest)?;
        self.receive_announcement(request).await?;
        Ok(message_response(&self.announcer.announcement(&version)))
    }

    async fn chunk(&self, digest: &str, index: u32, request: Request) -> SwitchResult<Response> {
        let version = self.find(digest)?;
        self.receive_announcement(request).await?;
        let Some(bytes) = version.chunk(index) else {
            let detail = format!("this host does not hold chunk {index}");
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
            announcement: self.announcer.announcement(&version),
        };
        chunk_reply(&head, bytes, slot)
    }

    fn find(&self, digest: &str) -> SwitchResult<Arc<StagedVersion>> {
        let digest = read_digest(digest)?;
        self.versions.find(digest).ok_or_else(|| {
            SwitchError::new(
                ErrorKind::ChunkMissing,
                format!("this host holds nothing of version {digest}"),
            )
        })
    }

    async fn receive_announcement(&self, request: Request) -> SwitchResult<()> {
        let announcement = read_request_message(request, ANNOUNCEMENT_BYTES_MAX).await?;
        let _ = self.announcements.try_send(announcement);
        Ok(())
    }

    fn take_slot(&self) -> SwitchResult<UploadSlot> {
        let permit = Arc::clone(&self.uploads).try_acquire_owned();
        let permit = permit.map_err(|_| busy(UNPACED_RETRY_DELAY))?;
        Ok(UploadSlot::new(permit))
    }

    async fn wait_for_link(&self, bytes: &Bytes) -> SwitchResult<()> {
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        let queue = self.pacer.transfer_time(length) * UPLOAD_QUEUE_CHUNKS;
        let passed = self.pacer.send_out(length, queue).await;
        passed.map_err(|backlog| busy(backlog.saturating_sub(queue)))
    }
}

fn busy(wait: Duration) -> SwitchError {
    let error = SwitchError::new(ErrorKind::UploadBusy, "too many uploads in progress");
    error.with_retry_after(wait)
}

fn refuse(error: &SwitchError) -> Response {
    metrics::count_refusal(error.kind, "weights");
    error_response(error)
}

fn chunk_reply(head: &ChunkHead, bytes: Bytes, slot: UploadSlot) -> SwitchResult<Response> {
    let head = encode_message(head)?;
    let length = u32::try_from(head.len())
        .map_err(|_| SwitchError::new(ErrorKind::Internal, "chunk head larger than 4 GiB"))?;
    let parts = [Bytes::copy_from_slice(&length.to_be_bytes()), head, bytes];
    let frames = parts.map(|part| Ok(Frame::data(part)));
    let frames = futures::stream::iter(frames);
    // The stream holds the slot, so that the upload counts until it has been read.
    let frames = futures::StreamExt::inspect(frames, move |_| {
        let _ = &slot;
    });
    Ok(Response::new(Body::from_stream(frames)))
}

/// One of the concurrent uploads. The slot is free again when this is dropped, or after
/// [`UPLOAD_TIMEOUT`].
struct UploadSlot {
    _permit: Arc<Mutex<Option<OwnedSemaphorePermit>>>,
}

impl UploadSlot {
    fn new(permit: OwnedSemaphorePermit) -> Self {
        let shared = Arc::new(Mutex::new(Some(permit)));
        let weak_permit = Arc::downgrade(&shared);
        tokio::spawn(async move {
            tokio::time::sleep(UPLOAD_TIMEOUT).await;
            if let Some(permit) = weak_permit.upgrade() {
                drop(permit.lock().unwrap_or_else(PoisonError::into_inner).take());
            }
        });
        Self { _permit: shared }
    }
}
