//! The header fields of requests to backend servers and of their responses.

use std::time::Duration;

use bytestring::ByteString;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHORIZATION, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use macro_rules_attribute::apply;

use super::millis::millis;
use super::request_head::{ATTEMPT_ID, DEADLINE, LAST_EVENT, number_value, text_of};
use crate::derives::{key, plain};
use crate::fleet::{ResponseLoad, WeightsVersion, is_valid_rate};

const TARGET_ID: HeaderName = HeaderName::from_static("savoryswitch-target-instance");
/// The backend server that responds, which need not be the addressed one.
const BACKEND_ID: HeaderName = HeaderName::from_static("savoryswitch-instance-id");
/// By which clients know the response of a backend server.
const SEAL: HeaderName = HeaderName::from_static("savoryswitch-response-seal");
const ACCOUNT: HeaderName = HeaderName::from_static("savoryswitch-tenant");
const PRIORITY: HeaderName = HeaderName::from_static("savoryswitch-request-priority");
const EXPECTED_VERSION: HeaderName = HeaderName::from_static("savoryswitch-expected-version");
const PATH: HeaderName = HeaderName::from_static("path");
const NOT_RUN: HeaderName = HeaderName::from_static("savoryswitch-not-executed");
const LOAD: HeaderName = HeaderName::from_static("savoryswitch-server-load");
/// The advertised limit in requests per second, for all entry hosts together.
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
const VERSIONS: HeaderName = HeaderName::from_static("savoryswitch-weight-versions");
/// How much longer the backend server stays cold, in milliseconds.
const COLD: HeaderName = HeaderName::from_static("savoryswitch-cold-ms");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// The value of `LEAVING` in the responses of a backend server that is leaving.
const IS_LEAVING: &str = "1";
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// The least urgent priority that engines accept; 0 is the most urgent.
pub(crate) const PRIORITY_MAX: u8 = 9;

/// Fields that are not forwarded: they concern a single connection, or this program sets them
/// itself.
const NOT_FORWARDED: [HeaderName; 16] = [
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

/// The fields that this program adds to those of the client's request.
#[apply(plain!)]
pub(crate) struct SendFields<'a> {
    /// The time left until the client's deadline.
    pub(crate) time_left: Duration,
    /// The id of the addressed backend server; another one at its address refuses the request.
    pub(crate) backend: &'a ByteString,
    /// The client account, if the route requires one.
    pub(crate) account: Option<&'a ByteString>,
    /// The priority in the backend server's queue; limited to [`PRIORITY_MAX`].
    pub(crate) priority: Option<u8>,
    /// The version of weights that must serve the request.
    pub(crate) version: Option<WeightsVersion>,
    /// The last event that the client received, when a stream is resumed.
    pub(crate) last_event: Option<u64>,
}

/// Builds the header fields of a request to a backend server from those of the client's request.
pub(crate) fn send_headers(client: &HeaderMap, fields: &SendFields<'_>) -> HeaderMap {
    let mut headers = forwarded_fields(client);
    let left = u64::try_from(fields.time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, number_value(left.max(1)));
    set_text(&mut headers, TARGET_ID, fields.backend);
    if let Some(account) = fields.account {
        set_text(&mut headers, ACCOUNT, account);
    }
    if let Some(priority) = fields.priority {
        headers.insert(
            PRIORITY,
            number_value(u64::from(priority.min(PRIORITY_MAX))),
        );
    }
    if let Some(version) = fields.version {
        headers.insert(EXPECTED_VERSION, number_value(version.0));
    }
    if let Some(event) = fields.last_event {
        headers.insert(LAST_EVENT, number_value(event));
    }
    headers
}

/// What became of a request, by the head of the response.
#[apply(key!)]
pub(crate) enum ResponseOutcome {
    /// The backend server ran the request, and this is its response.
    Run,
    /// The backend server did not run the request.
    NotRun,
    /// Not run, because another version than the expected one is loaded.
    Misdirected,
    /// Not run, because another backend server now has this address.
    Replaced,
    /// The response belongs to another attempt.
    AttemptMismatch,
    /// Not the whole response of a backend server, for this reason. The request may have run.
    Damaged(&'static str),
}

/// The head of a backend server's response.
#[apply(plain!)]
pub(crate) struct ResponseHead {
    /// The status code.
    pub(crate) status: StatusCode,
    /// What became of the request.
    pub(crate) outcome: ResponseOutcome,
    /// The reported load of the backend server; none if absent or invalid.
    pub(crate) load: Option<ResponseLoad>,
    /// The advertised limit in requests per second for all entry hosts together; none if the
    /// backend server advertises none.
    pub(crate) rate_limit: Option<f64>,
    /// Whether the backend server announces that it is leaving. Never set if another one responded.
    pub(crate) is_leaving: bool,
    /// How long the backend server, which refused the request, asks this entry host to send it
    /// none; none if absent or invalid, or if another one responded.
    pub(crate) requested_pause: Option<Duration>,
    /// How much longer the backend server states that it stays cold; none if absent or invalid, or
    /// if another one responded.
    pub(crate) cold_left: Option<Duration>,
    /// The version of weights that served the request.
    pub(crate) version: Option<WeightsVersion>,
    /// How long the backend server keeps the connection open without a request.
    pub(crate) keep_alive_timeout: Option<Duration>,
    /// Whether the backend server closes the connection after this response.
    pub(crate) closes: bool,
    /// Whether the body has a length or is chunked, so that its end can be distinguished from a
    /// broken connection.
    pub(crate) is_framed: bool,
    /// The fields that are forwarded to the client.
    pub(crate) headers: HeaderMap,
}

/// Reads the head of a response to `attempt`, which was sent to `backend`.
pub(crate) fn read_response_head(
    status: StatusCode,
    headers: &HeaderMap,
    (attempt, backend): (Option<&ByteString>, &ByteString),
) -> ResponseHead {
    let closes = text_of(headers, &CONNECTION)
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    let outcome = response_outcome(status, headers, (attempt, backend));
    let is_own = is_response_of(backend, outcome, headers);
    ResponseHead {
        status,
        outcome,
        load: text_of(headers, &LOAD).and_then(read_load),
        rate_limit: text_of(headers, &RATE_LIMIT).and_then(read_rate),
        is_leaving: is_own
            && text_of(headers, &LEAVING).is_some_and(|text| text.trim() == IS_LEAVING),
        requested_pause: (is_own && status == StatusCode::SERVICE_UNAVAILABLE)
            .then(|| text_of(headers, &RETRY_AFTER).and_then(read_pause))
            .flatten(),
        cold_left: is_own
            .then(|| text_of(headers, &COLD).and_then(read_millis))
            .flatten(),
        version: text_of(headers, &VERSIONS)
            .and_then(|text| text.trim().parse().ok())
            .map(WeightsVersion),
        keep_alive_timeout: text_of(headers, &KEEP_ALIVE).and_then(read_keep_alive),
        closes,
        is_framed: headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING),
        headers: forwarded_fields(headers),
    }
}

fn response_outcome(
    status: StatusCode,
    headers: &HeaderMap,
    (attempt, backend): (Option<&ByteString>, &ByteString),
) -> ResponseOutcome {
    if text_of(headers, &ATTEMPT_ID) != attempt.map(|attempt| &**attempt) {
        ResponseOutcome::AttemptMismatch
    } else if status == StatusCode::MISDIRECTED_REQUEST {
        match text_of(headers, &BACKEND_ID) {
            Some(id) if *id != **backend => ResponseOutcome::Replaced,
            _ => ResponseOutcome::Misdirected,
        }
    } else if headers.contains_key(NOT_RUN) {
        ResponseOutcome::NotRun
    } else if status.is_informational() {
        // The HTTP library skips all others. No request asks for another protocol.
        ResponseOutcome::Damaged("it changes the protocol")
    } else if status.is_success() && headers.get(SEAL).is_none_or(HeaderValue::is_empty) {
        // Clients do not accept such a success, and another send may give them a sealed one.
        ResponseOutcome::Damaged("it has no seal")
    } else if !has_known_coding(headers) {
        ResponseOutcome::Damaged("its body has an unknown transfer coding")
    } else {
        ResponseOutcome::Run
    }
}

/// Whether the body is transferred as it is or in chunks. The end of a body in another coding is
/// unknown, and its bytes would be passed on without being decoded.
fn has_known_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    codings.next().is_none_or(is_chunked) && codings.next().is_none()
}

/// Whether the response is one of `backend` itself to the request that was sent to it. An address
/// may be in use by another backend server by now.
fn is_response_of(backend: &ByteString, outcome: ResponseOutcome, headers: &HeaderMap) -> bool {
    let is_other_id = || text_of(headers, &BACKEND_ID).is_some_and(|id| *id != **backend);
    outcome != ResponseOutcome::AttemptMismatch && !is_other_id()
}

/// The fields that are forwarded: without those of one connection and those that this program sets.
fn forwarded_fields(headers: &HeaderMap) -> HeaderMap {
    let listed = text_of(headers, &CONNECTION).unwrap_or_default();
    let is_listed = |name: &HeaderName| {
        let mut names = listed.split(',').map(str::trim);
        names.any(|other| other.eq_ignore_ascii_case(name.as_str()))
    };
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if !NOT_FORWARDED.contains(name) && !is_listed(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Sets a field unless `text` is no valid header value.
fn set_text(headers: &mut HeaderMap, name: HeaderName, text: &ByteString) {
    if let Ok(value) = HeaderValue::from_maybe_shared(text.as_bytes().clone()) {
        headers.insert(name, value);
    }
}

/// Reads `RUNNING,WAITING`.
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

/// Reads a number of seconds, which may have a fraction.
fn read_pause(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn read_millis(text: &str) -> Option<Duration> {
    let value: f64 = text.trim().parse().ok()?;
    Some(millis(value))
}

/// The value of the parameter `timeout`.
fn read_keep_alive(text: &str) -> Option<Duration> {
    let timeout = text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then(|| value.trim().parse().ok())?
    });
    timeout.map(Duration::from_secs)
}
