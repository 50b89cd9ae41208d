//! The routes of the caller listener, and the dispatch of each request to its handler.

use std::sync::Arc;

use bytestring::ByteString;
use futures::future::BoxFuture;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, any, post};

use super::caller_headers::request_id;
use super::completions::{CompletionForm, answer_completion};
use super::entry_state::EntryState;
use super::plain_call::{PLAIN_ROOT, answer_plain};
use super::reply::{refuse, set_request_id};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// The handler that a request's path selects.
#[derive(Clone, Copy, Debug)]
enum RouteKind {
    Completion(CompletionForm),
    Plain,
    Unknown,
}

/// Returns the routes of the caller listener.
pub(super) fn caller_routes(state: &Arc<EntryState>) -> Router {
    let handler = |kind: RouteKind| {
        let state = state.clone();
        move |request: Request| answer(state.clone(), request, kind)
    };
    let text = RouteKind::Completion(CompletionForm::Text);
    let chat = RouteKind::Completion(CompletionForm::Chat);
    Router::new()
        .route("/v1/completions", post(handler(text)))
        .route("/v1/chat/completions", post(handler(chat)))
        .route("/services/{service}", any(handler(RouteKind::Plain)))
        .route("/services/{service}/", any(handler(RouteKind::Plain)))
        .route(
            "/services/{service}/{*path}",
            any(handler(RouteKind::Plain)),
        )
        .fallback(handler(RouteKind::Unknown))
}

async fn answer(state: Arc<EntryState>, request: Request, kind: RouteKind) -> Response {
    let headers = request.headers().clone();
    let id = request_id(&headers);
    let result = answer_by_kind(&state, request, kind, &id).await;
    let mut reply = result.unwrap_or_else(|error| refuse(error, &headers));
    set_request_id(&mut reply, &id);
    reply
}

fn answer_by_kind<'a>(
    state: &'a Arc<EntryState>,
    request: Request,
    kind: RouteKind,
    id: &'a ByteString,
) -> BoxFuture<'a, SwitchResult<Response>> {
    match kind {
        RouteKind::Completion(form) => Box::pin(answer_completion(state, request, form, id)),
        RouteKind::Plain => Box::pin(answer_plain(state, request)),
        RouteKind::Unknown => Box::pin(async move { Err(unknown_route(&request)) }),
    }
}

fn unknown_route(request: &Request) -> SwitchError {
    let detail = format!(
        "unknown path {}; use /v1/completions, /v1/chat/completions or {PLAIN_ROOT}SERVICE/PATH",
        request.uri().path()
    );
    SwitchError::new(ErrorKind::RouteUnknown, detail)
}
