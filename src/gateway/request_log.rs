//! Log lines and metrics of a request.

use std::time::Duration;

use http::StatusCode;

use super::events;
use super::request_job::RequestJob;
use super::stream_relay::StreamTiming;
use crate::errors::{ErrorKind, SwitchError, error_spec};
use crate::events::log_event;
use crate::fleet::WeightsVersion;
use crate::metrics;
use crate::time::ClockTime;

/// Logs a request that a backend server answered.
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

/// Logs a stream that was passed on to its end.
pub(super) fn log_stream_end(
    job: &RequestJob,
    backend: &str,
    (status, version): (StatusCode, Option<WeightsVersion>),
    timing: StreamTiming,
    now: ClockTime,
) {
    let first = timing.first_at.unwrap_or(now).since(job.arrived);
    let weights = version.map_or(0, |version| version.0);
    metrics::record_seconds("first_event", first.as_secs_f64());
    metrics::record_seconds("longest_pause", timing.longest_pause.as_secs_f64());
    log_event!(
        events::REQUEST_ENDED,
        "id={} route={} backend={backend} status={} weights={weights} first_ms={} pause_ms={} ms={}",
        attempt_of(job),
        job.routed.rule.name,
        status.as_u16(),
        first.as_millis(),
        timing.longest_pause.as_millis(),
        now.since(job.arrived).as_millis()
    );
}

/// Logs a request that was refused or failed. `reserved_part` is the part of each engine's slots that
/// requests of its priority leave to more urgent ones.
pub(super) fn log_refusal(
    job: &RequestJob,
    reserved_part: f64,
    error: &SwitchError,
    status: StatusCode,
    now: ClockTime,
) {
    metrics::count_refusal(error.kind, "gateway");
    log_event!(
        events::REQUEST_REFUSED,
        "id={} route={} rank={:?} reserved={reserved_part:.2} status={} reason={} ms={} detail=\"{}\"",
        attempt_of(job),
        job.routed.rule.name,
        job.routed.rank,
        status.as_u16(),
        error_spec(error.kind).code,
        now.since(job.arrived).as_millis(),
        error.detail
    );
}

/// Logs a send without a valid response.
pub(super) fn log_send_failed(job: &RequestJob, backend: &str, kind: ErrorKind, detail: &str) {
    metrics::count_retry(kind);
    let (attempt, code) = (attempt_of(job), error_spec(kind).code);
    if kind == ErrorKind::AnswerCut {
        log_event!(
            events::SEND_FAILED,
            "id={attempt} request={} parts={} backend={backend} reason={code} detail=\"{detail}\"",
            job.digest(),
            job.parts_text()
        );
    } else {
        log_event!(
            events::SEND_FAILED,
            "id={attempt} backend={backend} reason={code} detail=\"{detail}\""
        );
    }
}

/// Logs that a response is late and that the request is also sent to another backend server.
pub(super) fn log_response_late(job: &RequestJob, sends: usize, now: ClockTime) {
    metrics::count_retry(ErrorKind::PeerSilent);
    let waited = now.since(job.arrived);
    log_event!(
        events::RESPONSE_LATE,
        "id={} route={} sends={sends} ms={}",
        attempt_of(job),
        job.routed.rule.name,
        waited.as_millis()
    );
}

/// Logs a request that is cancelled at a backend server with a previous version, before the
/// deadline of the target version.
pub(super) fn log_cancelled(job: &RequestJob, backend: &str) {
    metrics::count_event("taken_back", 1);
    log_event!(
        events::REQUEST_CANCELLED,
        "id={} backend={backend}",
        attempt_of(job)
    );
}

/// Logs a stream that was resumed at another backend server.
pub(super) fn log_stream_resumed(
    job: &RequestJob,
    backend: &str,
    event: Option<u64>,
    after: Duration,
) {
    log_event!(
        events::STREAM_RESUMED,
        "id={} backend={backend} after_event={event:?} gap_ms={}",
        attempt_of(job),
        after.as_millis()
    );
}

/// Logs a backend server that stopped in the middle of a stream. `last_event` is the last event that
/// the client received, `events` the number of those that this backend server sent.
pub(super) fn log_stream_cut(
    job: &RequestJob,
    backend: &str,
    (last_event, events): (Option<u64>, u32),
    reason: &str,
) {
    metrics::count_event("stream_cut", 1);
    log_event!(
        events::STREAM_CUT,
        "id={} request={} parts={} backend={backend} last_event={last_event:?} events={events} reason=\"{reason}\"",
        attempt_of(job),
        job.digest(),
        job.parts_text()
    );
}

/// Logs a stream that was aborted before its end.
pub(super) fn log_stream_broken(
    job: &RequestJob,
    event: Option<u64>,
    reason: &str,
    now: ClockTime,
) {
    metrics::count_event("stream_broken", 1);
    log_event!(
        events::STREAM_BROKEN,
        "id={} route={} last_event={event:?} ms={} limit_ms={} reason=\"{reason}\"",
        attempt_of(job),
        job.routed.rule.name,
        now.since(job.arrived).as_millis(),
        job.deadline.since(job.arrived).as_millis()
    );
}

/// Logs a client that closed its connection before the end of its request.
pub(super) fn log_client_left(job: &RequestJob, sends: usize, now: ClockTime) {
    metrics::count_event("client_gone", 1);
    log_event!(
        events::CLIENT_LEFT,
        "id={} route={} sends={sends} ms={}",
        attempt_of(job),
        job.routed.rule.name,
        now.since(job.arrived).as_millis()
    );
}

/// Returns the id of the client's attempt, or `-`.
pub(super) fn attempt_of(job: &RequestJob) -> &str {
    job.head.attempt.as_deref().unwrap_or("-")
}
