//! The log lines of a request.

use std::time::Duration;

use http::StatusCode;

use super::events;
use super::request_job::RequestJob;
use super::stream_relay::StreamPace;
use crate::errors::{ErrorKind, SwitchError, error_spec};
use crate::events::log_event;
use crate::fleet::WeightsVersion;
use crate::metrics;
use crate::time::ClockTime;

/// The request got a backend server's answer.
pub(super) fn log_end(job: &RequestJob, backend: &str, status: StatusCode, now: ClockTime) {
    let spent = now.since(job.arrived);
    metrics::record_seconds("request", spent.as_secs_f64());
    log_event!(
        events::REQUEST_ENDED,
        "id={} route={} backend={backend} status={} ms={}",
        attempt_of(job),
        job.routed.rule.name,
        status.as_u16(),
        spent.as_millis()
    );
}

/// The request got a stream to its end.
pub(super) fn log_stream_end(
    job: &RequestJob,
    backend: &str,
    (status, version): (StatusCode, Option<WeightsVersion>),
    pace: StreamPace,
    now: ClockTime,
) {
    let first = pace.first_at.unwrap_or(now).since(job.arrived);
    let weights = version.map_or(0, |version| version.0);
    metrics::record_seconds("first_event", first.as_secs_f64());
    metrics::record_seconds("longest_pause", pace.longest_pause.as_secs_f64());
    log_event!(
        events::REQUEST_ENDED,
        "id={} route={} backend={backend} status={} weights={weights} first_ms={} pause_ms={} ms={}",
        attempt_of(job),
        job.routed.rule.name,
        status.as_u16(),
        first.as_millis(),
        pace.longest_pause.as_millis(),
        now.since(job.arrived).as_millis()
    );
}

/// The request was refused or failed.
pub(super) fn log_refusal(
    job: &RequestJob,
    error: &SwitchError,
    status: StatusCode,
    now: ClockTime,
) {
    metrics::count_refusal(error.kind, "gateway");
    log_event!(
        events::REQUEST_REFUSED,
        "id={} route={} status={} reason={} ms={} detail=\"{}\"",
        attempt_of(job),
        job.routed.rule.name,
        status.as_u16(),
        error_spec(error.kind).code,
        now.since(job.arrived).as_millis(),
        error.detail
    );
}

/// A send brought no answer that counts.
pub(super) fn log_send_failed(job: &RequestJob, backend: &str, why: ErrorKind, detail: &str) {
    metrics::count_retry(why);
    let (attempt, code) = (attempt_of(job), error_spec(why).code);
    if why == ErrorKind::AnswerCut {
        log_event!(
            events::SEND_FAILED,
            "id={attempt} request={} backend={backend} reason={code} detail=\"{detail}\"",
            job.digest()
        );
    } else {
        log_event!(
            events::SEND_FAILED,
            "id={attempt} backend={backend} reason={code} detail=\"{detail}\""
        );
    }
}

/// The heads of a request's answers are late, and another backend server is asked as well.
pub(super) fn log_head_late(job: &RequestJob, sends: usize, now: ClockTime) {
    metrics::count_retry(ErrorKind::PeerSilent);
    let waited = now.since(job.arrived);
    log_event!(
        events::HEAD_LATE,
        "id={} route={} sends={sends} ms={}",
        attempt_of(job),
        job.routed.rule.name,
        waited.as_millis()
    );
}

/// A request that waited at a backend server of older weights is taken back before their bound.
pub(super) fn log_taken_back(job: &RequestJob, backend: &str) {
    metrics::count_event("taken_back", 1);
    log_event!(
        events::TAKEN_BACK,
        "id={} backend={backend}",
        attempt_of(job)
    );
}

/// A stream goes on at another backend server.
pub(super) fn log_resumed(job: &RequestJob, backend: &str, event: Option<u64>, after: Duration) {
    log_event!(
        events::STREAM_RESUMED,
        "id={} backend={backend} after_event={event:?} gap_ms={}",
        attempt_of(job),
        after.as_millis()
    );
}

/// A backend server stopped in the middle of a stream.
pub(super) fn log_stream_cut(job: &RequestJob, backend: &str, event: Option<u64>, why: &str) {
    metrics::count_event("stream_cut", 1);
    log_event!(
        events::STREAM_CUT,
        "id={} request={} backend={backend} last_event={event:?} reason=\"{why}\"",
        attempt_of(job),
        job.digest()
    );
}

/// A stream ended before its end.
pub(super) fn log_broken(job: &RequestJob, event: Option<u64>, why: &str, now: ClockTime) {
    metrics::count_event("stream_broken", 1);
    log_event!(
        events::STREAM_BROKEN,
        "id={} route={} last_event={event:?} ms={} limit_ms={} reason=\"{why}\"",
        attempt_of(job),
        job.routed.rule.name,
        now.since(job.arrived).as_millis(),
        job.deadline.since(job.arrived).as_millis()
    );
}

/// The client closed its connection before the request's end.
pub(super) fn log_client_gone(job: &RequestJob, sends: usize, now: ClockTime) {
    metrics::count_event("client_gone", 1);
    log_event!(
        events::CLIENT_GONE,
        "id={} route={} sends={sends} ms={}",
        attempt_of(job),
        job.routed.rule.name,
        now.since(job.arrived).as_millis()
    );
}

/// The name of the client's attempt.
pub(super) fn attempt_of(job: &RequestJob) -> &str {
    job.head.attempt.as_deref().unwrap_or("-")
}
