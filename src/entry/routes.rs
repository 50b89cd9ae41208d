//! The paths that callers find.

use std::sync::Arc;

use bytestring::ByteString;
use futures::future::BoxFuture;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, any, post};

use super::caller_head::request_id;
use super::completions::{CompletionForm, answer_completion};
use super::plain_call::{PLAIN_ROOT, answer_plain};
use super::reply::{note_request, refuse};
use super::traffic::EntryTraffic;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// The kinds of request.
#[derive(Clone, Copy, Debug)]
enum RequestForm {
    Completion(CompletionForm),
    Plain,
    Unknown,
}

/// The routes of the caller listener.
pub(super) fn caller_routes(traffic: &Arc<EntryTraffic>) -> Router {
    let handler = |form: RequestForm| {
        let traffic = traffic.clone();
        move |request: Request| answer(traffic.clone(), request, form)
    };
    let text = RequestForm::Completion(CompletionForm::Text);
    let chat = RequestForm::Completion(CompletionForm::Chat);
    Router::new()
        .route("/v1/completions", post(handler(text)))
        .route("/v1/chat/completions", post(handler(chat)))
        .route("/services/{service}", any(handler(RequestForm::Plain)))
        .route("/services/{service}/", any(handler(RequestForm::Plain)))
        .route(
            "/services/{service}/{*path}",
            any(handler(RequestForm::Plain)),
        )
        .fallback(handler(RequestForm::Unknown))
}

async fn answer(traffic: Arc<EntryTraffic>, request: Request, form: RequestForm) -> Response {
    let headers = request.headers().clone();
    let id = request_id(&headers);
    let answered = answer_form(&traffic, request, form, &id).await;
    let mut reply = answered.unwrap_or_else(|error| refuse(error, &headers));
    note_request(&mut reply, &id);
    reply
}

fn answer_form<'a>(
    traffic: &'a Arc<EntryTraffic>,
    request: Request,
    form: RequestForm,
    id: &'a ByteString,
) -> BoxFuture<'a, SwitchResult<Response>> {
    match form {
        RequestForm::Completion(form) => Box::pin(answer_completion(traffic, request, form, id)),
        RequestForm::Plain => Box::pin(answer_plain(traffic, request)),
        RequestForm::Unknown => Box::pin(async move { Err(unknown_route(&request)) }),
    }
}

fn unknown_route(request: &Request) -> SwitchError {
    let detail = format!(
        "no path {}; there are /v1/completions, /v1/chat/completions and {PLAIN_ROOT}SERVICE/PATH",
        request.uri().path()
    );
    SwitchError::new(ErrorKind::RouteUnknown, detail)
}
