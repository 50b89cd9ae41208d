//! What a host of a backend server answers other hosts.

use std::time::Duration;

use http::StatusCode;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, post};

use super::chunk_messages::{ChunkAsk, ChunkReply, DIGESTS_PATH, GET_PATH, HAVE_PATH};
use super::chunk_store::ChunkStore;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics;
use crate::transport::{error_response, message_response, read_message};
use crate::weights::{HaveWord, LinkDirection, LinkPacer};

const ASK_BYTES_MAX: usize = 4 * 1024;
/// How long a host that asks for a chunk is kept waiting for the link, rather than being turned away
/// to ask elsewhere.
const TURN_WITHIN: Duration = Duration::from_millis(120);

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

/// The routes.
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
    let ask = match read_message::<ChunkAsk>(request.into_body(), ASK_BYTES_MAX).await {
        Ok(ask) => ask,
        Err(error) => return error_response(&error),
    };
    let answered = match call {
        ChunkCall::Have => word_of(&service, &ask).map(|word| message_response(&word)),
        ChunkCall::Get => chunk_of(&service, &ask)
            .await
            .map(|chunk| message_response(&chunk)),
        ChunkCall::Digests => match service.store.digests(&ask.target) {
            Some(digests) => Ok(message_response(&*digests)),
            None => Err(not_here()),
        },
    };
    answered.unwrap_or_else(|error| error_response(&error))
}

/// What this host says of a version, with how long its link is busy: others then ask a host whose
/// link is idle.
fn word_of(service: &ChunkService, ask: &ChunkAsk) -> SwitchResult<HaveWord> {
    let mut word = service.store.word(&ask.target).ok_or_else(not_here)?;
    let backlog = service.pacer.backlog(LinkDirection::Up);
    word.backlog_ms = u64::try_from(backlog.as_millis()).unwrap_or(u64::MAX);
    Ok(word)
}

/// A chunk, when the link is free for it. The engine's live answers leave over the same link: what is
/// sent without regard to its rate stands before them in the link's queue.
async fn chunk_of(service: &ChunkService, ask: &ChunkAsk) -> SwitchResult<ChunkReply> {
    let index = ask.index.ok_or_else(not_here)?;
    let bytes = service.store.read(&ask.target, index).await?;
    let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    if let Err(backlog) = service.pacer.send_out(length, TURN_WITHIN).await {
        let busy = SwitchError::new(ErrorKind::UploadBusy, "enough chunks are on their way");
        return Err(busy.with_retry_after(backlog));
    }
    metrics::count_event("chunks_sent", 1);
    Ok(ChunkReply {
        word: word_of(service, ask)?,
        bytes: bytes.to_vec(),
    })
}

fn not_here() -> SwitchError {
    SwitchError::new(
        ErrorKind::ChunkMissing,
        "this host does not stage that version",
    )
}
