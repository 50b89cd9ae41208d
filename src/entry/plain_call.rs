//! Plain services: method, path, headers and body are passed through.

use std::sync::Arc;

use bytes::Bytes;
use bytestring::ByteString;
use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use tokio::sync::mpsc;
use volo_http::request::Request;
use volo_http::response::Response;

use super::caller_body::{BodyStep, CallerBody};
use super::caller_head::CallerHead;
use super::reply::note_run;
use super::traffic::{CallShape, EntryTraffic};
use crate::delivery::{AnswerHead, CallerPart, RunCall};
use crate::documents::{RouteSpec, ServiceDocument, ServiceKind};
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};

/// The path that plain services are found under.
pub(super) const PLAIN_ROOT: &str = "/services/";

const OURS: &str = "savory-";
/// Headers between two neighbours, which mean nothing beyond; and the account's key, which is for
/// this system alone.
const NOT_PASSED: [HeaderName; 12] = [
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
pub(super) async fn answer_plain(
    traffic: &Arc<EntryTraffic>,
    request: Request,
) -> SwitchResult<Response> {
    let (parts, body) = request.into_parts();
    let target = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let (name, path) = split_target(target);
    let head = CallerHead::read(&parts.headers)?;
    let service = traffic.service(name)?;
    if service.document.kind != ServiceKind::Plain {
        let detail = format!("\"{name}\" is a model service; its path is /v1/completions");
        return Err(SwitchError::new(ErrorKind::BadRequest, detail));
    }
    let body = traffic.read_body(body).await?;
    let shape = CallShape {
        call: RunCall::Forward {
            method: parts.method.as_str().into(),
            path: path.into(),
            headers: passed_headers(&parts.headers),
            body,
        },
        repeatable: is_repeatable(&service.document, &parts.method, path),
    };
    let answer = traffic.start(&service, &head, shape)?;
    let mut reply = reply_of(answer).await?;
    note_run(&mut reply, RunOutcome::Run);
    Ok(reply)
}

/// Service and path below it of `/services/SERVICE/PATH`.
fn split_target(target: &str) -> (&str, &str) {
    let below = target.strip_prefix(PLAIN_ROOT).unwrap_or_default();
    let end = below.find(['/', '?']).unwrap_or(below.len());
    let (name, path) = below.split_at(end);
    if path.is_empty() {
        (name, "/")
    } else {
        (name, path)
    }
}

/// The first route of the document that fits; without one, only methods that change nothing may be
/// repeated.
fn is_repeatable(document: &ServiceDocument, method: &Method, path: &str) -> bool {
    let fits = |route: &&RouteSpec| {
        let method_fits = route
            .method
            .as_ref()
            .is_none_or(|wanted| **wanted == *method.as_str());
        method_fits && path.starts_with(&*route.path_prefix)
    };
    match document.routes.iter().find(fits) {
        Some(route) => route.repeatable,
        None => method.is_safe(),
    }
}

fn passed_headers(headers: &HeaderMap) -> Vec<(ByteString, Bytes)> {
    let named = named_by_connection(headers);
    let is_passed = |name: &HeaderName| {
        !NOT_PASSED.contains(name)
            && !name.as_str().starts_with(OURS)
            && !named.iter().any(|other| other == name.as_str())
    };
    let passed = headers.iter().filter(|(name, _)| is_passed(name));
    passed
        .map(|(name, value)| {
            (
                name.as_str().into(),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect()
}

/// Headers that `connection` names are between neighbours too.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Waits for the head of the answer; until then, a failure is a plain refusal.
async fn reply_of(mut answer: mpsc::Receiver<CallerPart>) -> SwitchResult<Response> {
    loop {
        match answer.recv().await {
            Some(CallerPart::Head(head)) => return passed_reply(&head, answer),
            Some(CallerPart::Failed(error)) => return Err(error),
            Some(CallerPart::Started(_)) => {}
            _ => {
                let detail = "the answer came without its head";
                return Err(SwitchError::new(ErrorKind::AnswerDamaged, detail));
            }
        }
    }
}

fn passed_reply(head: &AnswerHead, answer: mpsc::Receiver<CallerPart>) -> SwitchResult<Response> {
    let body = CallerBody::of(answer, plain_step);
    let mut reply = Response::new(body);
    *reply.status_mut() = StatusCode::from_u16(head.status).map_err(|_| unreadable("status"))?;
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| unreadable("header"))?;
        let value = HeaderValue::from_bytes(value).map_err(|_| unreadable("header"))?;
        if !NOT_PASSED.contains(&name) && !name.as_str().starts_with(OURS) {
            reply.headers_mut().append(name, value);
        }
    }
    Ok(reply)
}

/// One part as bytes of the body. A failure breaks the connection off: a plain body has no other
/// way to say that it is not whole.
fn plain_step(part: CallerPart) -> BodyStep {
    match part {
        CallerPart::Body(bytes) => BodyStep::Bytes(bytes),
        CallerPart::Complete { .. } => BodyStep::Last(Bytes::new()),
        CallerPart::Failed(error) => BodyStep::Break(error.to_string()),
        CallerPart::Started(_) | CallerPart::Head(_) | CallerPart::Token(_) => BodyStep::Skip,
    }
}

fn unreadable(what: &str) -> SwitchError {
    let detail = format!("the backend server's {what} does not read");
    SwitchError::new(ErrorKind::AnswerDamaged, detail)
}
