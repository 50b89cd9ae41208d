//! Requests to plain services: method, path, headers and body are forwarded to the service, and its
//! response is forwarded to the caller.

use std::sync::Arc;

use bytes::Bytes;
use bytestring::ByteString;
use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use tokio::sync::mpsc;
use volo_http::request::Request;
use volo_http::response::Response;

use super::caller_headers::CallerHeaders;
use super::entry_state::{EntryState, ServiceCall};
use super::reply::set_run_outcome;
use super::response_body::{BodyStep, ResponseBody};
use crate::delivery::{AnswerHead, CallerPart, RunCall};
use crate::documents::{RouteSpec, ServiceDocument, ServiceKind};
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};

/// The path under which plain services are served.
pub(super) const PLAIN_ROOT: &str = "/services/";

/// Prefix of the headers that this system uses itself; they are not forwarded.
const RESERVED_PREFIX: &str = "savory-";
/// Headers that are not forwarded: those that apply to a single connection, and the account's key,
/// which only this system may see.
const NOT_FORWARDED: [HeaderName; 12] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::EXPECT,
    header::AUTHORIZATION,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
];

/// Answers one call of a plain service.
///
/// # Errors
///
/// The errors of admission, and of the run until the response head arrives. Later errors abort the
/// response body.
pub(super) async fn answer_plain(
    state: &Arc<EntryState>,
    request: Request,
) -> SwitchResult<Response> {
    let (parts, body) = request.into_parts();
    let target = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let (name, path) = split_target(target);
    let headers = CallerHeaders::parse(&parts.headers)?;
    let service = state.service(name)?;
    if service.document.kind != ServiceKind::Plain {
        let detail = format!("\"{name}\" is a model service; its path is /v1/completions");
        return Err(SwitchError::new(ErrorKind::BadRequest, detail));
    }
    let body = state.read_body(&parts.extensions, body).await?;
    let call = ServiceCall {
        run_call: RunCall::Forward {
            method: parts.method.as_str().into(),
            path: path.into(),
            headers: forwarded_headers(&parts.headers),
            body,
        },
        repeatable: is_repeatable(&service.document, &parts.method, path),
    };
    let answer = state.start(&service, &headers, call)?;
    let mut reply = wait_for_head(answer).await?;
    set_run_outcome(&mut reply, RunOutcome::Run);
    Ok(reply)
}

/// Splits `/services/SERVICE/PATH` into the service name and the path below it, with its query.
fn split_target(target: &str) -> (&str, &str) {
    let rest = target.strip_prefix(PLAIN_ROOT).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    if path.is_empty() {
        (name, "/")
    } else {
        (name, path)
    }
}

/// Returns whether a call may run more than once: what the first matching route of the document
/// says; without a matching route, only safe methods (such as GET) are repeatable.
fn is_repeatable(document: &ServiceDocument, method: &Method, path: &str) -> bool {
    let matches = |route: &&RouteSpec| {
        let method_matches = route
            .method
            .as_ref()
            .is_none_or(|expected| **expected == *method.as_str());
        method_matches && path.starts_with(&*route.path_prefix)
    };
    match document.routes.iter().find(matches) {
        Some(route) => route.repeatable,
        None => method.is_safe(),
    }
}

/// Returns the request headers that the service gets.
fn forwarded_headers(headers: &HeaderMap) -> Vec<(ByteString, Bytes)> {
    let connection_headers = connection_headers(headers);
    let is_forwarded = |name: &HeaderName| {
        !NOT_FORWARDED.contains(name)
            && !name.as_str().starts_with(RESERVED_PREFIX)
            && !connection_headers
                .iter()
                .any(|other| other == name.as_str())
    };
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded
        .map(|(name, value)| {
            (
                name.as_str().into(),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect()
}

/// Returns the names of the headers that `connection` lists; they too apply to one connection only.
fn connection_headers(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Waits for the response head and returns the response, whose body follows as it arrives.
///
/// # Errors
///
/// The error with which the request failed before the head arrived. Nothing has been sent to the
/// caller yet, so it can be reported as an ordinary error response.
async fn wait_for_head(mut answer: mpsc::Receiver<CallerPart>) -> SwitchResult<Response> {
    loop {
        match answer.recv().await {
            Some(CallerPart::Head(head)) => return forwarded_reply(&head, answer),
            Some(CallerPart::Failed(error)) => return Err(error),
            Some(CallerPart::Started(_)) => {}
            _ => {
                let detail = "the answer's first part was not a response head";
                return Err(SwitchError::new(ErrorKind::AnswerDamaged, detail));
            }
        }
    }
}

/// Builds the caller's response from the service's head and the parts that follow it.
fn forwarded_reply(
    head: &AnswerHead,
    answer: mpsc::Receiver<CallerPart>,
) -> SwitchResult<Response> {
    let body = ResponseBody::from_parts(answer, encode_part);
    let mut reply = Response::new(body);
    *reply.status_mut() = StatusCode::from_u16(head.status).map_err(|_| invalid_head("status"))?;
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| invalid_head("header"))?;
        let value = HeaderValue::from_bytes(value).map_err(|_| invalid_head("header"))?;
        if !NOT_FORWARDED.contains(&name) && !name.as_str().starts_with(RESERVED_PREFIX) {
            reply.headers_mut().append(name, value);
        }
    }
    Ok(reply)
}

/// Encodes one part as bytes of the body. A failure aborts the connection: a plain body has no
/// other way to show that it is incomplete.
fn encode_part(part: CallerPart) -> BodyStep {
    match part {
        CallerPart::Body(bytes) => BodyStep::Bytes(bytes),
        CallerPart::Complete { .. } => BodyStep::Last(Bytes::new()),
        CallerPart::Failed(error) => BodyStep::Abort(error.to_string()),
        CallerPart::Started(_) | CallerPart::Head(_) | CallerPart::Token(_) => BodyStep::Skip,
    }
}

fn invalid_head(what: &str) -> SwitchError {
    let detail = format!("the backend server sent an invalid response {what}");
    SwitchError::new(ErrorKind::AnswerDamaged, detail)
}
