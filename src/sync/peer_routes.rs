//! What an entry host answers other processes of the system.

use http::StatusCode;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, get, post};

use super::peer_messages::{PeerAsk, VIEW_PATH};
use super::view_book::SharedBook;
use crate::metrics;
use crate::time::clock_now;
use crate::transport::{error_reply, message_reply, read_message};

const ASK_BYTES_MAX: usize = 64 * 1024;

/// The routes.
pub(super) fn peer_routes(book: &SharedBook) -> Router {
    let book = book.clone();
    let handler = move |request: Request| answer_view(book.clone(), request);
    Router::new()
        .route(VIEW_PATH, post(handler))
        .route("/metrics", get(async || metrics::render_text()))
        .fallback(async || StatusCode::NOT_FOUND)
}

async fn answer_view(book: SharedBook, request: Request) -> Response {
    match read_message::<PeerAsk>(request.into_body(), ASK_BYTES_MAX).await {
        Ok(ask) => {
            let view = book.read(|book| book.answer(&ask, clock_now()));
            message_reply(&view)
        }
        Err(error) => error_reply(&error),
    }
}
