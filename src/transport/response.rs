//! Answers over HTTP.

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

use super::frames::encode_message;
use crate::errors::{SwitchError, error_spec};

const JSON_TYPE: &str = "application/json";
const MESSAGE_TYPE: &str = "application/msgpack";

/// The header that tells whether the request ran.
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

/// A reply with `value` as JSON.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    typed_reply(status, JSON_TYPE, text.into())
}

/// A reply to one of our own processes.
pub(crate) fn message_response<M: Serialize>(message: &M) -> Response {
    match encode_message(message) {
        Ok(bytes) => typed_reply(StatusCode::OK, MESSAGE_TYPE, bytes),
        Err(error) => error_response(&error),
    }
}

/// The answer that the table gives to `error`.
pub(crate) fn error_response(error: &SwitchError) -> Response {
    error_response_with(error, ())
}

/// The answer that the table gives to `error`, with the fields of `details` beside the error.
pub(crate) fn error_response_with<D: Serialize>(error: &SwitchError, details: D) -> Response {
    let row = error_spec(error.kind);
    let outcome = error.run_outcome();
    let wait = error.retry_wait();
    let retry_after_ms = wait.and_then(|wait| u64::try_from(wait.as_millis()).ok());
    let text = ErrorText {
        code: row.code,
        message: &error.detail,
        run: outcome.as_str(),
        retry_after_ms,
    };
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = ErrorBody {
        error: text,
        details,
    };
    let mut reply = json_response(status, &body);
    reply.headers_mut().insert(
        RUN_OUTCOME_HEADER,
        HeaderValue::from_static(outcome.as_str()),
    );
    if let Some(wait) = wait {
        // The header counts whole seconds: rounding down would call the caller back too early.
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            reply.headers_mut().insert(http::header::RETRY_AFTER, value);
        }
    }
    reply
}

fn typed_reply(status: StatusCode, content_type: &'static str, bytes: Bytes) -> Response {
    let mut reply = Response::new(Body::from(bytes));
    *reply.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    reply
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    reply
}
