//! What a caller's headers say.

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
/// Names the request in its answer.
pub(super) const REQUEST_ID: &str = "savory-request-id";

const BEARER: &str = "Bearer ";
const KEY_LENGTH_MAX: usize = 128;

/// What a caller's headers say.
#[apply(plain!)]
pub(super) struct CallerHead {
    pub(super) account: ByteString,
    /// The account's key; never logged.
    pub(super) secret: ByteString,
    pub(super) priority: RequestPriority,
    pub(super) deadline_ms: Option<u64>,
    /// Calls with the same order key go one after the other.
    pub(super) order_key: Option<ByteString>,
}

impl CallerHead {
    /// Reads them.
    ///
    /// # Errors
    ///
    /// `AccountUnknown` without account or key, `BadHeader` when one of ours does not read.
    pub(super) fn read(headers: &HeaderMap) -> SwitchResult<Self> {
        let key = text_of(headers, IDEMPOTENCY_KEY)?;
        let order_key = text_of(headers, ORDER_KEY)?;
        for (name, value) in [(IDEMPOTENCY_KEY, &key), (ORDER_KEY, &order_key)] {
            check_key(name, value.as_deref())?;
        }
        number_of(headers, ATTEMPT)?;
        Ok(Self {
            account: text_of(headers, ACCOUNT)?.ok_or_else(|| missing(ACCOUNT))?,
            secret: secret_of(headers)?,
            priority: priority_of(headers)?,
            deadline_ms: number_of(headers, DEADLINE)?,
            order_key,
        })
    }
}

/// The request's name in its answer: the caller's own, if it gave one that fits in a header.
pub(super) fn request_id(headers: &HeaderMap) -> ByteString {
    let given = text_of(headers, REQUEST_ID).ok().flatten();
    given
        .filter(|id| is_key(id))
        .unwrap_or_else(|| Uuid::new_v4().to_string().into())
}

/// The error as this caller may be told it.
///
/// A caller that sends a keyed call again may have had it run the first time. "Not run" would then
/// be false, although this time nothing ran; the caller would make a new key, and a guest would be
/// woken twice. It is said only with the word that this is the first time.
pub(super) fn as_told(error: SwitchError, headers: &HeaderMap) -> SwitchError {
    let is_keyed = headers.contains_key(IDEMPOTENCY_KEY);
    let is_first = number_of(headers, ATTEMPT).ok().flatten() == Some(1);
    if is_keyed && !is_first && error.run_outcome() == RunOutcome::NotRun {
        return error.with_outcome(RunOutcome::NotKnown);
    }
    error
}

fn priority_of(headers: &HeaderMap) -> SwitchResult<RequestPriority> {
    match text_of(headers, PRIORITY)?.as_deref() {
        None | Some("normal") => Ok(RequestPriority::Normal),
        Some("urgent") => Ok(RequestPriority::Urgent),
        Some("batch") => Ok(RequestPriority::Batch),
        Some(other) => Err(bad_header(PRIORITY, other, "urgent, normal or batch")),
    }
}

fn secret_of(headers: &HeaderMap) -> SwitchResult<ByteString> {
    let given = text_of(headers, AUTHORIZATION)?.ok_or_else(|| missing(AUTHORIZATION))?;
    match given.strip_prefix(BEARER) {
        Some(secret) => Ok(secret.into()),
        // What was given is not repeated: it may hold a key.
        None => Err(SwitchError::new(
            ErrorKind::BadHeader,
            "authorization: give Bearer and the account's key",
        )),
    }
}

fn text_of(headers: &HeaderMap, name: &'static str) -> SwitchResult<Option<ByteString>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.into())),
        Err(_) => Err(bad_header(name, "what was given", "plain ASCII text")),
    }
}

fn number_of(headers: &HeaderMap, name: &'static str) -> SwitchResult<Option<u64>> {
    let Some(text) = text_of(headers, name)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad_header(name, &text, "a whole number")),
    }
}

fn check_key(name: &'static str, key: Option<&str>) -> SwitchResult<()> {
    match key {
        Some(key) if !is_key(key) => {
            let would_do = "1 to 128 letters, digits, -, _, ., ~";
            Err(bad_header(name, key, would_do))
        }
        _ => Ok(()),
    }
}

fn is_key(text: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    (1..=KEY_LENGTH_MAX).contains(&text.len()) && text.bytes().all(fits)
}

fn missing(name: &str) -> SwitchError {
    let detail = format!("the header {name} is missing");
    SwitchError::new(ErrorKind::AccountUnknown, detail)
}

fn bad_header(name: &str, given: &str, would_do: &str) -> SwitchError {
    let detail = format!("{name}: \"{given}\" does not do; give {would_do}");
    SwitchError::new(ErrorKind::BadHeader, detail)
}
