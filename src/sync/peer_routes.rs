//! What an entry host answers other processes of the system.

use std::time::Duration;

use http::StatusCode;
use tokio::time::timeout;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, post};

use super::peer_messages::{PeerQuery, VIEW_PATH};
use super::shared_book::SharedControlState;
use crate::time::clock_now;
use crate::transport::{error_reply, message_reply, read_message};

const ASK_BYTES_MAX: usize = 64 * 1024;
/// The longest wait of an answer; a connection that went silent meanwhile shows only at its end.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// The routes.
pub(super) fn peer_routes(book: &SharedControlState) -> Router {
    let book = book.clone();
    let handler = move |request: Request| answer_view(book.clone(), request);
    Router::new()
        .route(VIEW_PATH, post(handler))
        .fallback(async || StatusCode::NOT_FOUND)
}

/// Waits until there is something that whoever asks has to know at once, as long as it allows.
async fn await_news(book: &SharedControlState, query: &PeerQuery) {
    let mut changes = book.changes();
    let news = async {
        while !book.read(|book| book.has_urgent_news(query)) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    let wait = Duration::from_millis(query.wait_ms).min(WAIT_MAX);
    // Without news the answer tells what is less urgent.
    let _ = timeout(wait, news).await;
}

/// Whoever asks may know a version that this process does not: entry hosts that have all started
/// again, beside hosts of backend servers that lived on.
fn take_words(book: &SharedControlState, query: &PeerQuery) {
    let now = clock_now();
    if book.read(|book| book.learns_from(&query.targets)) {
        book.change(|book| book.take_words(&query.targets, now));
    }
}

async fn answer_view(book: SharedControlState, request: Request) -> Response {
    match read_message::<PeerQuery>(request.into_body(), ASK_BYTES_MAX).await {
        Ok(query) => {
            let sent_at = clock_now();
            take_words(&book, &query);
            await_news(&book, &query).await;
            let now = clock_now();
            let view = book.read(|book| book.answer(&query, now.since(sent_at), now));
            message_reply(&view)
        }
        Err(error) => error_reply(&error),
    }
}
