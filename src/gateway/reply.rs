//! Responses that this entry host creates itself.

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use volo_http::body::Body;
use volo_http::response::Response;

use crate::errors::{ErrorKind, RunOutcome, SwitchError, error_spec};

/// Returns the status that tells a client whether its request ran.
///
/// Some statuses promise that the request did not run. A failure with an unknown outcome must never
/// carry one of them: the client would retry, and an unrepeatable request would run twice.
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

/// Creates the response to a request that was refused or failed.
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

/// Sets `Retry-After` with millisecond precision.
fn set_retry_after(reply: &mut Response, wait: Duration) {
    let seconds = format!("{:.3}", wait.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
}

/// Creates the error for a request with an unknown outcome.
pub(super) fn outcome_unknown(detail: String) -> SwitchError {
    SwitchError::new(ErrorKind::OutcomeUnknown, detail)
}
