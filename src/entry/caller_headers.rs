//! Parsing and validation of the request headers that callers send.

use bytestring::ByteString;
use http::HeaderMap;
use macro_rules_attribute::apply;
use uuid::Uuid;

use crate::derives::plain;
use crate::documents::RequestPriority;
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};

const ACCOUNT: &str = "savory-account";
const AUTHORIZATION: &str = "authorization";
const PRIORITY: &str = "savory-priority";
const DEADLINE: &str = "savory-deadline-ms";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const ORDER_KEY: &str = "savory-order-key";
const ATTEMPT: &str = "savory-attempt";
/// Carries the request id, in the request as well as in the response.
pub(super) const REQUEST_ID: &str = "savory-request-id";

const BEARER_PREFIX: &str = "Bearer ";
const KEY_BYTES_MAX: usize = 128;

/// The parsed headers of one request.
#[apply(plain!)]
pub(super) struct CallerHeaders {
    pub(super) account: ByteString,
    /// The account's key; never logged.
    pub(super) secret: ByteString,
    pub(super) priority: RequestPriority,
    /// Requested deadline, in milliseconds from now; capped at what the service permits.
    pub(super) deadline_ms: Option<u64>,
    /// Calls of one account with the same order key are sent one at a time, in order of arrival.
    pub(super) order_key: Option<ByteString>,
}

impl CallerHeaders {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// `AccountUnknown` if the account or its key is missing, `BadHeader` if a header is malformed.
    pub(super) fn parse(headers: &HeaderMap) -> SwitchResult<Self> {
        let key = text_header(headers, IDEMPOTENCY_KEY)?;
        let order_key = text_header(headers, ORDER_KEY)?;
        for (name, value) in [(IDEMPOTENCY_KEY, &key), (ORDER_KEY, &order_key)] {
            check_key(name, value.as_deref())?;
        }
        number_header(headers, ATTEMPT)?;
        Ok(Self {
            account: text_header(headers, ACCOUNT)?.ok_or_else(|| missing_header(ACCOUNT))?,
            secret: bearer_secret(headers)?,
            priority: parse_priority(headers)?,
            deadline_ms: number_header(headers, DEADLINE)?,
            order_key,
        })
    }
}

/// Returns the request id for the response: the caller's own if it sent a valid one, else a new
/// one.
pub(super) fn request_id(headers: &HeaderMap) -> ByteString {
    let given = text_header(headers, REQUEST_ID).ok().flatten();
    given
        .filter(|id| is_valid_key(id))
        .unwrap_or_else(|| Uuid::new_v4().to_string().into())
}

/// Returns `error` with the run outcome that may be reported to this caller.
///
/// An earlier attempt of a call with an idempotency key may have run. Reporting `NotRun` for a
/// retry would then be wrong, although the retry itself did not run: the caller would choose a new
/// key, and the call would run twice (a guest would be woken twice). For calls with a key,
/// `NotRun` is therefore reported only if the caller marks this as its first attempt.
pub(super) fn error_for_caller(error: SwitchError, headers: &HeaderMap) -> SwitchError {
    let has_key = headers.contains_key(IDEMPOTENCY_KEY);
    let is_first = number_header(headers, ATTEMPT).ok().flatten() == Some(1);
    if has_key && !is_first && error.run_outcome() == RunOutcome::NotRun {
        return error.with_outcome(RunOutcome::NotKnown);
    }
    error
}

fn parse_priority(headers: &HeaderMap) -> SwitchResult<RequestPriority> {
    match text_header(headers, PRIORITY)?.as_deref() {
        None | Some("normal") => Ok(RequestPriority::Normal),
        Some("urgent") => Ok(RequestPriority::Urgent),
        Some("batch") => Ok(RequestPriority::Batch),
        Some(other) => Err(bad_header(PRIORITY, other, "urgent, normal or batch")),
    }
}

fn bearer_secret(headers: &HeaderMap) -> SwitchResult<ByteString> {
    let value =
        text_header(headers, AUTHORIZATION)?.ok_or_else(|| missing_header(AUTHORIZATION))?;
    match value.strip_prefix(BEARER_PREFIX) {
        Some(secret) => Ok(secret.into()),
        // The error does not quote the value, because it may contain a key.
        None => Err(SwitchError::new(
            ErrorKind::BadHeader,
            "authorization: expected \"Bearer\" followed by the account's key",
        )),
    }
}

fn text_header(headers: &HeaderMap, name: &'static str) -> SwitchResult<Option<ByteString>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.into())),
        Err(_) => Err(bad_header(name, "the value", "plain ASCII text")),
    }
}

fn number_header(headers: &HeaderMap, name: &'static str) -> SwitchResult<Option<u64>> {
    let Some(text) = text_header(headers, name)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad_header(name, &text, "a non-negative integer")),
    }
}

fn check_key(name: &'static str, key: Option<&str>) -> SwitchResult<()> {
    match key {
        Some(key) if !is_valid_key(key) => {
            let expected = "1 to 128 letters, digits, -, _, ., ~";
            Err(bad_header(name, key, expected))
        }
        _ => Ok(()),
    }
}

fn is_valid_key(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    (1..=KEY_BYTES_MAX).contains(&text.len()) && text.bytes().all(is_allowed)
}

fn missing_header(name: &str) -> SwitchError {
    let detail = format!("the header {name} is missing");
    SwitchError::new(ErrorKind::AccountUnknown, detail)
}

fn bad_header(name: &str, value: &str, expected: &str) -> SwitchError {
    let detail = format!("{name}: \"{value}\" is invalid; expected {expected}");
    SwitchError::new(ErrorKind::BadHeader, detail)
}
