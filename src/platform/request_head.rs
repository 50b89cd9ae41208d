//! Reads the header fields of a client's request.

use std::time::Duration;

use bytestring::ByteString;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderName, HeaderValue};
use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::metrics;
use crate::quarantine::PromptPart;
use crate::routing::name_hash;

pub(super) const ATTEMPT_ID: HeaderName = HeaderName::from_static("savoryswitch-attempt-id");
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("savoryswitch-deadline-ms");
pub(super) const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const MODEL: HeaderName = HeaderName::from_static("savoryswitch-model");
const TOKENS: HeaderName = HeaderName::from_static("savoryswitch-token-usage");
const PROMPT_PARTS: HeaderName = HeaderName::from_static("savoryswitch-prompt-prefix");
const LENGTH_HINT: HeaderName = HeaderName::from_static("savoryswitch-length-hint");
const KEY_SCHEME: &str = "Bearer ";
/// Largest number of parts of a prompt that are read. Prompts have fewer than ten.
const PARTS_MAX: usize = 64;
/// Number of hexadecimal digits of the ids that fit into a number; longer ones are hashed.
const PART_DIGITS: usize = 16;
/// Longest id of a part, in characters.
const PART_CHARS_MAX: usize = 64;

/// The header fields of a request that this program acts upon.
#[apply(plain!)]
#[derive(Default)]
pub(crate) struct RequestHead {
    /// Identifies this attempt of the client; a retry has another value.
    pub(crate) attempt: Option<ByteString>,
    /// How long the client waits, counted from when it sent the request.
    pub(crate) deadline: Option<Duration>,
    /// The client's API key.
    pub(crate) api_key: Option<ByteString>,
    /// The requested model.
    pub(crate) model: Option<ByteString>,
    /// Number of tokens in the prompt; 0 if absent or not a number.
    pub(crate) prompt_tokens: u32,
    /// The most output tokens that the client accepts; 0 if absent or not a number.
    pub(crate) output_tokens_max: u32,
    /// The client's estimate of the output tokens; half of the responses are longer.
    pub(crate) estimated_output_tokens: Option<u32>,
    /// The parts of the prompt that other requests may share, in order and without duplicates.
    pub(crate) shared_parts: Vec<PromptPart>,
    /// The last stream event that the client has received, when it resumes a stream.
    pub(crate) last_event: Option<u64>,
}

/// Reads the header fields of a client's request.
pub(crate) fn read_request_head(headers: &HeaderMap) -> RequestHead {
    let tokens = text_of(headers, &TOKENS).unwrap_or_default();
    let (prompt, output) = tokens.split_once(',').unwrap_or((tokens, ""));
    RequestHead {
        attempt: text_of(headers, &ATTEMPT_ID).map(ByteString::from),
        deadline: number_of(headers, &DEADLINE).map(Duration::from_millis),
        api_key: text_of(headers, &AUTHORIZATION).and_then(api_key_of),
        model: text_of(headers, &MODEL).map(ByteString::from),
        prompt_tokens: prompt.trim().parse().unwrap_or(0),
        output_tokens_max: output.trim().parse().unwrap_or(0),
        estimated_output_tokens: text_of(headers, &LENGTH_HINT)
            .and_then(|text| text.trim().parse().ok()),
        shared_parts: shared_parts_of(text_of(headers, &PROMPT_PARTS).unwrap_or_default()),
        last_event: number_of(headers, &LAST_EVENT),
    }
}

/// The parts in a list of `ID:TOKENS` entries, without the last one, which belongs to the request
/// itself or to its session. Invalid entries are left out.
fn shared_parts_of(text: &str) -> Vec<PromptPart> {
    let mut entries = text.split(',').map(str::trim);
    if entries.next_back().is_none() {
        return Vec::new();
    }
    let mut parts = Vec::new();
    for entry in entries.filter(|entry| !entry.is_empty()).take(PARTS_MAX) {
        match part_of(entry) {
            Some(part) if parts.contains(&part) => {}
            Some(part) => parts.push(part),
            None => metrics::count_event("prompt_part_invalid", 1),
        }
    }
    parts
}

fn part_of(entry: &str) -> Option<PromptPart> {
    let (id, _) = entry.split_once(':')?;
    let is_hex = id.bytes().all(|digit| digit.is_ascii_hexdigit());
    if id.is_empty() || !is_hex || id.len() > PART_CHARS_MAX {
        return None;
    }
    let id = id.trim_start_matches('0').to_ascii_lowercase();
    if id.len() > PART_DIGITS {
        return Some(PromptPart(name_hash(&id)));
    }
    Some(PromptPart(u64::from_str_radix(&id, 16).unwrap_or(0)))
}

/// The key in the value of an `Authorization` field.
fn api_key_of(text: &str) -> Option<ByteString> {
    text.strip_prefix(KEY_SCHEME)
        .map(|key| ByteString::from(key.trim()))
}

/// The value of a field as text; none if it is absent or has bytes outside visible ASCII.
pub(super) fn text_of<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The value of a field as a number; none if it is absent or not a number.
pub(super) fn number_of(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text_of(headers, name).and_then(|text| text.trim().parse().ok())
}

/// A field value with `number` in decimal.
pub(super) fn number_value(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}
