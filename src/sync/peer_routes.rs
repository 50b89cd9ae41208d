//! What an entry host answers other processes of the system.

use std::time::Duration;

use http::StatusCode;
use tokio::time::timeout;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, post};

use super::peer_messages::{PeerAsk, VIEW_PATH};
use super::shared_book::SharedBook;
use crate::time::clock_now;
use crate::transport::{error_response, message_response, read_message};

const ASK_BYTES_MAX: usize = 64 * 1024;
/// The longest wait of an answer; a connection that went silent meanwhile shows only at its end.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// The routes.
pub(super) fn peer_routes(book: &SharedBook) -> Router {
    let book = book.clone();
    let handler = move |request: Request| answer_view(book.clone(), request);
    Router::new()
        .route(VIEW_PATH, post(handler))
        .fallback(async || StatusCode::NOT_FOUND)
}

/// Waits until there is something that whoever asks has to know at once, as long as it allows.
async fn await_news(book: &SharedBook, ask: &PeerAsk) {
    let mut changes = book.changes();
    let news = async {
        while !book.read(|book| book.has_urgent_news(ask)) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    let wait = Duration::from_millis(ask.wait_ms).min(WAIT_MAX);
    // Without news the answer tells what is less urgent.
    let _ = timeout(wait, news).await;
}

/// Whoever asks may know a version that this process does not: entry hosts that have all started
/// again, beside hosts of backend servers that lived on.
fn take_words(book: &SharedBook, ask: &PeerAsk) {
    let now = clock_now();
    if book.read(|book| book.learns_from(&ask.wanted)) {
        book.change(|book| book.take_words(&ask.wanted, now));
    }
}

async fn answer_view(book: SharedBook, request: Request) -> Response {
    match read_message::<PeerAsk>(request.into_body(), ASK_BYTES_MAX).await {
        Ok(ask) => {
            let asked = clock_now();
            take_words(&book, &ask);
            await_news(&book, &ask).await;
            let now = clock_now();
            let view = book.read(|book| book.answer(&ask, now.since(asked), now));
            message_response(&view)
        }
        Err(error) => error_response(&error),
    }
}
