//! The header fields of a request to a backend server and of its answer.

use std::time::Duration;

use bytestring::ByteString;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use macro_rules_attribute::apply;

use super::request_head::{ATTEMPT_ID, DEADLINE, LAST_EVENT, number_value, text_of};
use crate::derives::{key, plain};
use crate::fleet::{ResponseLoad, WeightsVersion, is_valid_rate};

const TARGET_ID: HeaderName = HeaderName::from_static("savoryswitch-target-instance");
/// The backend server that answers, whichever was meant.
const BACKEND_ID: HeaderName = HeaderName::from_static("savoryswitch-instance-id");
const ACCOUNT: HeaderName = HeaderName::from_static("savoryswitch-tenant");
const PRIORITY: HeaderName = HeaderName::from_static("savoryswitch-request-priority");
const EXPECTED_VERSION: HeaderName = HeaderName::from_static("savoryswitch-expected-version");
const PATH: HeaderName = HeaderName::from_static("path");
const NOT_RUN: HeaderName = HeaderName::from_static("savoryswitch-not-executed");
const LOAD: HeaderName = HeaderName::from_static("savoryswitch-server-load");
/// Requests a second that the backend server takes from all entry hosts together, not from this one.
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
const VERSIONS: HeaderName = HeaderName::from_static("savoryswitch-weight-versions");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// The least urgent priority that an engine knows; 0 is the most urgent.
pub(crate) const PRIORITY_MAX: u8 = 9;

/// Fields that concern one connection only, and those that this program sets itself.
const NOT_PASSED: [HeaderName; 16] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHORIZATION,
    TRANSFER_ENCODING,
    CONTENT_LENGTH,
    TE,
    TRAILER,
    UPGRADE,
    EXPECT,
    AUTHORIZATION,
    TARGET_ID,
    ACCOUNT,
    PRIORITY,
    EXPECTED_VERSION,
    PATH,
];

/// What this program tells a backend server beside the client's own fields.
#[apply(plain!)]
pub(crate) struct SendFacts<'a> {
    /// How much of the client's time is left.
    pub(crate) time_left: Duration,
    /// The backend server that is meant; another one at its address refuses.
    pub(crate) backend: &'a ByteString,
    /// The client account, where requests need one.
    pub(crate) account: Option<&'a ByteString>,
    /// How urgent it is to the backend server's queue, up to [`PRIORITY_MAX`].
    pub(crate) priority: Option<u8>,
    /// The only version of weights that may answer.
    pub(crate) version: Option<WeightsVersion>,
    /// The last event that the client has, when a stream is resumed.
    pub(crate) last_event: Option<u64>,
}

/// The header fields for a backend server.
pub(crate) fn send_headers(client: &HeaderMap, facts: &SendFacts<'_>) -> HeaderMap {
    let mut headers = passed_on(client);
    let left = u64::try_from(facts.time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, number_value(left.max(1)));
    set_text(&mut headers, TARGET_ID, facts.backend);
    if let Some(account) = facts.account {
        set_text(&mut headers, ACCOUNT, account);
    }
    if let Some(priority) = facts.priority {
        headers.insert(
            PRIORITY,
            number_value(u64::from(priority.min(PRIORITY_MAX))),
        );
    }
    if let Some(version) = facts.version {
        headers.insert(EXPECTED_VERSION, number_value(version.0));
    }
    if let Some(event) = facts.last_event {
        headers.insert(LAST_EVENT, number_value(event));
    }
    headers
}

/// What an answer says of the request that it was asked for.
#[apply(key!)]
pub(crate) enum AnswerWord {
    /// The request was run, and this is its answer.
    Run,
    /// The backend server did not run it.
    NotRun,
    /// Another version than the expected one is loaded; the request was not run.
    Misdirected,
    /// Another backend server is at this address; the request was not run.
    Replaced,
    /// The answer belongs to another request.
    Foreign,
}

/// What the header of a backend server's answer says.
#[apply(plain!)]
pub(crate) struct AnswerFacts {
    /// Its status.
    pub(crate) status: StatusCode,
    /// What it says of the request.
    pub(crate) word: AnswerWord,
    /// The backend server's load.
    pub(crate) load: Option<ResponseLoad>,
    /// How many requests a second it takes from all entry hosts together; none while it names no limit.
    pub(crate) rate_limit: Option<f64>,
    /// The version of weights that answers.
    pub(crate) version: Option<WeightsVersion>,
    /// How long the connection may be kept without a request.
    pub(crate) idle_within: Option<Duration>,
    /// Whether the backend server closes the connection.
    pub(crate) closes: bool,
    /// Whether the answer's end can be told from a connection that broke.
    pub(crate) is_framed: bool,
    /// The fields that the client gets.
    pub(crate) headers: HeaderMap,
}

/// Reads the header of an answer to `attempt`, for which `backend` was meant.
pub(crate) fn answer_facts(
    status: StatusCode,
    headers: &HeaderMap,
    (attempt, backend): (Option<&ByteString>, &ByteString),
) -> AnswerFacts {
    let closes = text_of(headers, &CONNECTION)
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    AnswerFacts {
        status,
        word: answer_word(status, headers, (attempt, backend)),
        load: text_of(headers, &LOAD).and_then(read_load),
        rate_limit: text_of(headers, &RATE_LIMIT).and_then(read_rate),
        version: text_of(headers, &VERSIONS)
            .and_then(|text| text.trim().parse().ok())
            .map(WeightsVersion),
        idle_within: text_of(headers, &KEEP_ALIVE).and_then(read_keep_alive),
        closes,
        is_framed: headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING),
        headers: passed_on(headers),
    }
}

fn answer_word(
    status: StatusCode,
    headers: &HeaderMap,
    (attempt, backend): (Option<&ByteString>, &ByteString),
) -> AnswerWord {
    if text_of(headers, &ATTEMPT_ID) != attempt.map(|attempt| &**attempt) {
        AnswerWord::Foreign
    } else if status == StatusCode::MISDIRECTED_REQUEST {
        match text_of(headers, &BACKEND_ID) {
            Some(id) if *id != **backend => AnswerWord::Replaced,
            _ => AnswerWord::Misdirected,
        }
    } else if headers.contains_key(NOT_RUN) {
        AnswerWord::NotRun
    } else {
        AnswerWord::Run
    }
}

fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let listed = text_of(headers, &CONNECTION).unwrap_or_default();
    let is_named = |name: &HeaderName| {
        let mut names = listed.split(',').map(str::trim);
        names.any(|other| other.eq_ignore_ascii_case(name.as_str()))
    };
    let mut passed = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if !NOT_PASSED.contains(name) && !is_named(name) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

fn set_text(headers: &mut HeaderMap, name: HeaderName, text: &ByteString) {
    if let Ok(value) = HeaderValue::from_maybe_shared(text.as_bytes().clone()) {
        headers.insert(name, value);
    }
}

fn read_load(text: &str) -> Option<ResponseLoad> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    Some(ResponseLoad {
        running: numbers.next()??,
        waiting: numbers.next()??,
    })
}

fn read_rate(text: &str) -> Option<f64> {
    let rate = text.trim().parse().ok();
    rate.filter(|rate| is_valid_rate(*rate))
}

fn read_keep_alive(text: &str) -> Option<Duration> {
    let timeout = text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then(|| value.trim().parse().ok())?
    });
    timeout.map(Duration::from_secs)
}
