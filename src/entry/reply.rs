//! What answers to callers have in common.

use bytestring::ByteString;
use http::{HeaderMap, HeaderValue};
use serde_json::json;
use volo_http::response::Response;

use super::caller_head::{REQUEST_ID, as_told};
use crate::errors::{RunOutcome, SwitchError, error_spec};
use crate::metrics;
use crate::transport::{RUN_OUTCOME_HEADER, error_response};

/// The error as the caller may be told it, counted.
pub(super) fn refuse(error: SwitchError, headers: &HeaderMap) -> Response {
    metrics::count_refusal(error.kind, "entry");
    error_response(&as_told(error, headers))
}

/// Names the request in its answer.
pub(super) fn note_request(reply: &mut Response, id: &ByteString) {
    if let Ok(value) = HeaderValue::from_str(id) {
        reply.headers_mut().insert(REQUEST_ID, value);
    }
}

/// Says in the answer whether the request ran.
pub(super) fn note_run(reply: &mut Response, outcome: RunOutcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    reply.headers_mut().insert(RUN_OUTCOME_HEADER, value);
}

/// The error as the last event of a stream that broke off.
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
