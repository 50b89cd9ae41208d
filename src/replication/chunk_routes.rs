//! HTTP routes by which a host of a backend server serves chunks to other hosts.

use std::time::Duration;

use http::StatusCode;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, post};

use super::chunk_messages::{ChunkQuery, ChunkResponse, DIGESTS_PATH, GET_PATH, HAVE_PATH};
use super::chunk_store::ChunkStore;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics;
use crate::transport::{error_response, message_response, read_request_message};
use crate::weights::{ChunkAnnouncement, LinkDirection, LinkPacer};

const QUERY_BYTES_MAX: usize = 4 * 1024;
/// Longest wait for link capacity. Beyond it the requesting host is refused, so that it can try
/// another host.
const LINK_WAIT_MAX: Duration = Duration::from_millis(120);

#[derive(Clone)]
struct ChunkService {
    store: ChunkStore,
    pacer: LinkPacer,
}

#[derive(Clone, Copy)]
enum ChunkCall {
    Have,
    Get,
    Digests,
}

/// Builds the router.
pub(super) fn chunk_routes(store: ChunkStore, pacer: LinkPacer) -> Router {
    let service = ChunkService { store, pacer };
    let handler = |call: ChunkCall| {
        let service = service.clone();
        move |request: Request| answer(service.clone(), call, request)
    };
    Router::new()
        .route(HAVE_PATH, post(handler(ChunkCall::Have)))
        .route(GET_PATH, post(handler(ChunkCall::Get)))
        .route(DIGESTS_PATH, post(handler(ChunkCall::Digests)))
        .fallback(async || StatusCode::NOT_FOUND)
}

async fn answer(service: ChunkService, call: ChunkCall, request: Request) -> Response {
    let query = match read_request_message::<ChunkQuery>(request, QUERY_BYTES_MAX).await {
        Ok(query) => query,
        Err(error) => return error_response(&error),
    };
    let answered = match call {
        ChunkCall::Have => {
            announcement_of(&service, &query).map(|announcement| message_response(&announcement))
        }
        ChunkCall::Get => chunk_of(&service, &query)
            .await
            .map(|chunk| message_response(&chunk)),
        ChunkCall::Digests => match service.store.digests(&query.target) {
            Some(digests) => Ok(message_response(&*digests)),
            None => Err(not_here()),
        },
    };
    answered.unwrap_or_else(|error| error_response(&error))
}

/// What this host holds of a version, and for how long its link is busy, so that other hosts can
/// choose one with an idle link.
fn announcement_of(service: &ChunkService, query: &ChunkQuery) -> SwitchResult<ChunkAnnouncement> {
    let mut announcement = service
        .store
        .announcement(&query.target)
        .ok_or_else(not_here)?;
    let backlog = service.pacer.backlog(LinkDirection::Up);
    announcement.backlog_ms = u64::try_from(backlog.as_millis()).unwrap_or(u64::MAX);
    Ok(announcement)
}

/// Returns a chunk as soon as the link has capacity. The engine's responses leave over the same
/// link, and chunks sent faster than its rate would queue up in front of them.
async fn chunk_of(service: &ChunkService, query: &ChunkQuery) -> SwitchResult<ChunkResponse> {
    let index = query.index.ok_or_else(not_here)?;
    let bytes = service.store.read(&query.target, index).await?;
    let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    if let Err(backlog) = service.pacer.send_out(length, LINK_WAIT_MAX).await {
        let busy = SwitchError::new(ErrorKind::UploadBusy, "the link is busy with other chunks");
        return Err(busy.with_retry_after(backlog));
    }
    metrics::count_event("chunks_sent", 1);
    Ok(ChunkResponse {
        announcement: announcement_of(service, query)?,
        bytes: bytes.to_vec(),
    })
}

fn not_here() -> SwitchError {
    SwitchError::new(
        ErrorKind::ChunkMissing,
        "this host does not hold the version",
    )
}
