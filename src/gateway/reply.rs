//! Answers that are this entry host's own.

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

use crate::errors::{ErrorKind, RunOutcome, SwitchError, error_spec};

/// The status that tells a client whether its request ran.
///
/// Some statuses promise that the request did not run. A failure whose outcome is not known must
/// never carry one, or the client asks again and an unrepeatable request runs twice.
pub(super) fn status_of(error: &SwitchError) -> StatusCode {
    let row = error_spec(error.kind);
    let status = match (error.run_outcome(), row.status) {
        (RunOutcome::NotRun, 500..) => 503,
        (RunOutcome::NotRun, status) => status,
        (_, 504) => 504,
        (_, _) => 502,
    };
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// The answer to a request that was refused or failed.
pub(super) fn refusal_reply(error: &SwitchError) -> Response {
    let status = status_of(error);
    let text = format!("{}\n", error_spec(error.kind).text);
    let mut reply = Response::new(Body::from(text));
    *reply.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    reply.headers_mut().insert(CONTENT_TYPE, plain);
    let is_promise =
        status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
    if let (true, Some(wait)) = (is_promise, error.retry_wait()) {
        set_retry_after(&mut reply, wait);
    }
    reply
}

/// Says when to come back, to the millisecond.
fn set_retry_after(reply: &mut Response, wait: Duration) {
    let seconds = format!("{:.3}", wait.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
}

/// The failure of a request whose outcome is not known.
pub(super) fn unknown_end(detail: String) -> SwitchError {
    SwitchError::new(ErrorKind::OutcomeUnknown, detail)
}
