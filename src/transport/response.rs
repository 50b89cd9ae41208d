//! Builders of HTTP responses: JSON, messages between processes, and errors.

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

use super::frames::encode_message;
use crate::errors::{SwitchError, error_spec};

const JSON_TYPE: &str = "application/json";
const MESSAGE_TYPE: &str = "application/msgpack";

/// Response header that states whether the request ran.
pub(crate) const RUN_OUTCOME_HEADER: &str = "savory-run";

#[derive(Serialize)]
struct ErrorBody<'a, D> {
    error: ErrorText<'a>,
    #[serde(flatten)]
    details: D,
}

#[derive(Serialize)]
struct ErrorText<'a> {
    code: &'static str,
    message: &'a str,
    run: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// A response with `value` as JSON.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    typed_response(status, JSON_TYPE, text.into())
}

/// A response with an encoded message, for another savoryswitch process.
pub(crate) fn message_response<M: Serialize>(message: &M) -> Response {
    match encode_message(message) {
        Ok(bytes) => typed_response(StatusCode::OK, MESSAGE_TYPE, bytes),
        Err(error) => error_response(&error),
    }
}

/// The response that the error table defines for `error`.
pub(crate) fn error_response(error: &SwitchError) -> Response {
    error_response_with(error, ())
}

/// The response that the error table defines for `error`, with the fields of `details` added next
/// to the `error` object.
pub(crate) fn error_response_with<D: Serialize>(error: &SwitchError, details: D) -> Response {
    let spec = error_spec(error.kind);
    let outcome = error.run_outcome();
    let wait = error.retry_wait();
    let retry_after_ms = wait.and_then(|wait| u64::try_from(wait.as_millis()).ok());
    let text = ErrorText {
        code: spec.code,
        message: &error.detail,
        run: outcome.as_str(),
        retry_after_ms,
    };
    let status = StatusCode::from_u16(spec.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = ErrorBody {
        error: text,
        details,
    };
    let mut response = json_response(status, &body);
    response.headers_mut().insert(
        RUN_OUTCOME_HEADER,
        HeaderValue::from_static(outcome.as_str()),
    );
    if let Some(wait) = wait {
        // The header has a resolution of one second: rounding down would invite a retry too early.
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            response
                .headers_mut()
                .insert(http::header::RETRY_AFTER, value);
        }
    }
    response
}

fn typed_response(status: StatusCode, content_type: &'static str, bytes: Bytes) -> Response {
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
