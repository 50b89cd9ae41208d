//! What a host of a backend server answers other hosts.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, get, post};

use super::chunk_messages::{ChunkAsk, ChunkReply, DIGESTS_PATH, GET_PATH, HAVE_PATH};
use super::chunk_store::ChunkStore;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics;
use crate::transport::{error_reply, message_reply, read_message};

const ASK_BYTES_MAX: usize = 4 * 1024;
/// Chunks that are sent at the same time. The engine's live answers leave over the same link, which
/// carries a chunk in 27 ms: each chunk that is on its way holds every event up for so long.
const UPLOADS_MAX: usize = 2;
/// How long a host that asks for a chunk is kept waiting for its turn, rather than being turned away
/// to ask again.
const TURN_WITHIN: Duration = Duration::from_millis(120);
/// When a host that was turned away should come back: about when a chunk has left.
const BUSY_WAIT: Duration = Duration::from_millis(30);

#[derive(Clone)]
struct ChunkService {
    store: ChunkStore,
    uploads: Arc<Semaphore>,
}

#[derive(Clone, Copy)]
enum ChunkCall {
    Have,
    Get,
    Digests,
}

/// The routes.
pub(super) fn chunk_routes(store: ChunkStore) -> Router {
    let service = ChunkService {
        store,
        uploads: Arc::new(Semaphore::new(UPLOADS_MAX)),
    };
    let handler = |call: ChunkCall| {
        let service = service.clone();
        move |request: Request| answer(service.clone(), call, request)
    };
    Router::new()
        .route(HAVE_PATH, post(handler(ChunkCall::Have)))
        .route(GET_PATH, post(handler(ChunkCall::Get)))
        .route(DIGESTS_PATH, post(handler(ChunkCall::Digests)))
        .route("/metrics", get(async || metrics::render_text()))
        .fallback(async || StatusCode::NOT_FOUND)
}

async fn answer(service: ChunkService, call: ChunkCall, request: Request) -> Response {
    let ask = match read_message::<ChunkAsk>(request.into_body(), ASK_BYTES_MAX).await {
        Ok(ask) => ask,
        Err(error) => return error_reply(&error),
    };
    let answered = match call {
        ChunkCall::Have => word_of(&service, &ask).map(|word| message_reply(&word)),
        ChunkCall::Get => chunk_of(&service, &ask)
            .await
            .map(|chunk| message_reply(&chunk)),
        ChunkCall::Digests => match service.store.digests(&ask.target) {
            Some(digests) => Ok(message_reply(&*digests)),
            None => Err(not_here()),
        },
    };
    answered.unwrap_or_else(|error| error_reply(&error))
}

fn word_of(service: &ChunkService, ask: &ChunkAsk) -> SwitchResult<crate::weights::HaveWord> {
    service.store.word(&ask.target).ok_or_else(not_here)
}

async fn chunk_of(service: &ChunkService, ask: &ChunkAsk) -> SwitchResult<ChunkReply> {
    let Ok(Ok(_upload)) = timeout(TURN_WITHIN, service.uploads.acquire()).await else {
        let busy = SwitchError::new(ErrorKind::UploadBusy, "enough chunks are on their way");
        return Err(busy.come_back_in(BUSY_WAIT));
    };
    let index = ask.index.ok_or_else(not_here)?;
    let bytes = service.store.read(&ask.target, index).await?;
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
