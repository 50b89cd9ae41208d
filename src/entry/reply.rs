//! Error responses to callers, and the headers that every response carries.

use bytestring::ByteString;
use http::{HeaderMap, HeaderValue};
use serde_json::json;
use volo_http::response::Response;

use super::caller_headers::{REQUEST_ID, error_for_caller};
use crate::errors::{RunOutcome, SwitchError, error_spec};
use crate::metrics;
use crate::transport::{RUN_OUTCOME_HEADER, error_response};

/// Returns the error response for a request with these headers, and counts the refusal.
pub(super) fn refuse(error: SwitchError, headers: &HeaderMap) -> Response {
    metrics::count_refusal(error.kind, "entry");
    error_response(&error_for_caller(error, headers))
}

/// Sets the header that carries the request id.
pub(super) fn set_request_id(reply: &mut Response, id: &ByteString) {
    if let Ok(value) = HeaderValue::from_str(id) {
        reply.headers_mut().insert(REQUEST_ID, value);
    }
}

/// Sets the header that reports whether the request ran.
pub(super) fn set_run_outcome(reply: &mut Response, outcome: RunOutcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    reply.headers_mut().insert(RUN_OUTCOME_HEADER, value);
}

/// Returns the JSON of the error event that ends an interrupted stream, and counts the refusal.
pub(super) fn error_value(error: &SwitchError) -> serde_json::Value {
    metrics::count_refusal(error.kind, "stream");
    let retry_after_ms = error.retry_wait().map(|wait| wait.as_millis());
    json!({"error": {
        "code": error_spec(error.kind).code,
        "message": error.detail,
        "run": error.run_outcome().as_str(),
        "retry_after_ms": retry_after_ms.and_then(|millis| u64::try_from(millis).ok()),
    }})
}
