//! Forwards a request to backend servers and returns the response to the client.

use std::sync::Arc;
use std::time::Duration;

use futures::stream;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;
use volo_http::body::Body;
use volo_http::response::Response;

use super::buffered_body::BufferedBody;
use super::forward_state::ForwardState;
use super::gateway_state::{GatewayState, RunProgress};
use super::pending_sends::{CompletedSend, PendingSends};
use super::reply::outcome_unknown;
use super::request_job::RequestJob;
use super::request_log::{log_end, log_response_late, log_send_failed};
use super::retry_budgets::ResendReason;
use super::send_attempt::{OpenResponse, SendFailure, send_attempt};
use super::stream_relay::{StreamRelay, return_connection};
use crate::daemon::RequestGuard;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{BackendTicket, CallOutcome, PickRefusal, PickRequirements, VersionRequirement};
use crate::time::{ClockTime, clock_now};
use crate::transport::stall_tolerant_timeout;

/// Largest response of a plain service that is buffered before it is passed on, in bytes.
const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;
/// A request waits for a slot for at most the latency target divided by this. Being refused after a
/// longer wait costs the client more than being refused at once.
const QUEUE_TIME_DIVISOR: u32 = 8;
/// Time for a refusal to reach the client, taken from that wait.
const REFUSAL_MARGIN: Duration = Duration::from_millis(8);
/// Requests that may wait at an engine in addition to the running ones, so that no slot stays empty
/// between two requests. An engine finishes about ten requests per second.
const ENGINE_QUEUE_ROOM: u32 = 2;
/// The same for a plain service, whose requests take about 15 ms.
const PLAIN_QUEUE_ROOM: u32 = 8;

/// Sends the request until a backend server responds, as far as further sends are allowed.
///
/// A late response is still awaited while the request is also sent to another backend server,
/// because that one may refuse the request or be slower.
///
/// # Errors
///
/// The refusal or failure to report to the client.
pub(super) async fn next_response(
    state: &mut ForwardState,
    last_event: Option<u64>,
) -> SwitchResult<OpenResponse> {
    let mut sends = PendingSends::default();
    let response = loop {
        let completed = match search_backend(state, &mut sends).await {
            SearchOutcome::Found(chosen) => {
                if state.renew_charge(clock_now()) {
                    let backend = chosen.ticket.facts.id.clone();
                    sends.push(backend, start_send(state, chosen, last_event));
                } else {
                    chosen.ticket.end(CallOutcome::Inconclusive, clock_now());
                    if sends.is_empty() {
                        return Err(state.final_error(None));
                    }
                }
                None
            }
            SearchOutcome::Refused(refusal) if sends.is_empty() => {
                return Err(match refusal {
                    SearchRefusal::Quarantined(error) => error,
                    SearchRefusal::NoSlot(refusal) => state.final_error(Some(refusal)),
                });
            }
            // Sends in progress may have run and may still be answered.
            SearchOutcome::Refused(_) => {
                state.refund_retry(clock_now());
                None
            }
            SearchOutcome::Completed(completed) => Some(*completed),
        };
        match completed {
            Some(CompletedSend {
                result: Ok(response),
                ..
            }) => {
                state.refund_retry(clock_now());
                break response;
            }
            // The retry that was claimed for the search is still available.
            Some(completed) => handle_failure(state, completed),
            None => {
                if let Some(response) = await_response(state, &mut sends).await? {
                    break response;
                }
            }
        }
    };
    if !sends.is_empty() {
        drop(sends);
        state.gateway.freed.notify_waiters();
    }
    Ok(response)
}

/// How the search for a backend server ended.
enum SearchOutcome {
    Found(ChosenBackend),
    Refused(SearchRefusal),
    /// A send in progress completed first.
    Completed(Box<CompletedSend>),
}

/// Why a request is sent to no further backend server.
enum SearchRefusal {
    /// The request is quarantined; with the error to report.
    Quarantined(SwitchError),
    /// No backend server has a free slot for it.
    NoSlot(PickRefusal),
}

async fn search_backend(state: &ForwardState, sends: &mut PendingSends) -> SearchOutcome {
    tokio::select! {
        biased;
        completed = sends.next(), if !sends.is_empty() => SearchOutcome::Completed(Box::new(completed)),
        chosen = choose_backend(state) => match chosen {
            Ok(chosen) => SearchOutcome::Found(chosen),
            Err(refusal) => SearchOutcome::Refused(refusal),
        },
    }
}

/// Starts the send to the chosen backend server.
fn start_send(
    state: &mut ForwardState,
    chosen: ChosenBackend,
    last_event: Option<u64>,
) -> impl Future<Output = Result<OpenResponse, SendFailure>> + Send + Sync + 'static {
    let ChosenBackend {
        ticket,
        version,
        cancel_at,
    } = chosen;
    let gateway = state.gateway.clone();
    let job = state.job.clone();
    let wait = state.head_wait(cancel_at, clock_now());
    state.note_send(ticket.key);
    async move { send_attempt(&gateway, &job, ticket, (&version, last_event), wait).await }
}

/// Waits for a response. Returns `None` when the request may be sent to another backend server.
async fn await_response(
    state: &mut ForwardState,
    sends: &mut PendingSends,
) -> SwitchResult<Option<OpenResponse>> {
    let head_timeout = state.job.head_timeout();
    loop {
        let completed = match head_timeout {
            Some(head_timeout) => stall_tolerant_timeout(head_timeout, sends.next())
                .await
                .ok(),
            None => Some(sends.next().await),
        };
        let Some(CompletedSend { backend, result }) = completed else {
            let now = clock_now();
            let claimed = state.claim_resend(ResendReason::ResponseLate, now);
            if claimed.is_ok() {
                log_response_late(&state.job, state.tried().len(), now);
                return Ok(None);
            }
            continue;
        };
        let failure = match result {
            Ok(response) => return Ok(Some(response)),
            Err(failure) => failure,
        };
        log_send_failed(&state.job, &backend, failure.kind, &failure.detail);
        state.gateway.freed.notify_waiters();
        if state.may_resend_after(failure, clock_now()) {
            return Ok(None);
        }
        if sends.is_empty() {
            return Err(state.final_error(None));
        }
    }
}

/// Records a send that failed during the search for another backend server.
fn handle_failure(state: &mut ForwardState, completed: CompletedSend) {
    let CompletedSend { backend, result } = completed;
    if let Err(failure) = result {
        log_send_failed(&state.job, &backend, failure.kind, &failure.detail);
        state.gateway.freed.notify_waiters();
        state.record_failure(failure, clock_now());
    }
}

/// The backend server that a request is sent to next.
struct ChosenBackend {
    ticket: BackendTicket,
    version: VersionRequirement,
    /// When the send is cancelled if the request has not started by then.
    cancel_at: Option<ClockTime>,
}

/// Chooses a backend server. Waits a short time for a slot if none is free.
async fn choose_backend(state: &ForwardState) -> Result<ChosenBackend, SearchRefusal> {
    let gateway = &state.gateway;
    let job = &state.job;
    let queue_time =
        (job.routed.rule.latency_target / QUEUE_TIME_DIVISOR).saturating_sub(REFUSAL_MARGIN);
    let queue_until = state.queue_until(queue_time);
    loop {
        let freed = gateway.freed.notified();
        let now = clock_now();
        // The request may be quarantined while it waits.
        if let Some(error) = state.quarantine_error(now) {
            return Err(SearchRefusal::Quarantined(error));
        }
        let snapshot = gateway.snapshot(now);
        let version = job.version_requirement(&snapshot, gateway.previous_version_span(), now);
        let requirements = PickRequirements {
            service: &job.routed.service,
            queue_room: queue_room(&version),
            version,
            tried: state.tried(),
            is_returned: job.is_retry(),
            work: job.engine_work(&snapshot),
            reserved_part: state.reserved_part(),
            placement: gateway.placement(job, &snapshot),
            cold_limit: gateway.cold_limit(job, &snapshot),
        };
        let refusal = match gateway.registry.pick(&requirements, now) {
            Ok(ticket) => {
                let cancel_after = gateway.cancel_after();
                return Ok(ChosenBackend {
                    cancel_at: job.cancel_at(&snapshot, ticket.version, cancel_after),
                    version: requirements.version,
                    ticket,
                });
            }
            Err(refusal) => refusal,
        };
        let left = queue_until.since(now);
        let wait = match refusal {
            // No slot that becomes free before the end of the pause can be used.
            PickRefusal::AllPaused { until } if until > queue_until => Duration::ZERO,
            PickRefusal::AllPaused { until } => until.since(now).min(left),
            PickRefusal::NoBackend | PickRefusal::AllFull => left,
            PickRefusal::HomesDisjoint | PickRefusal::NotInHomes | PickRefusal::AllEvacuated => {
                Duration::ZERO
            }
        };
        if wait.is_zero() {
            return Err(SearchRefusal::NoSlot(refusal));
        }
        // After a timeout the loop tries once more.
        let _ = timeout(wait, freed).await;
    }
}

const fn queue_room(version: &VersionRequirement) -> u32 {
    match version {
        VersionRequirement::None => PLAIN_QUEUE_ROOM,
        VersionRequirement::Model { .. } => ENGINE_QUEUE_ROOM,
    }
}

/// Forwards a request and returns the response.
///
/// # Errors
///
/// The refusal or failure to report to the client.
pub(super) async fn forward(
    gateway: &Arc<GatewayState>,
    job: RequestJob,
    live: RequestGuard,
) -> SwitchResult<Response> {
    let is_stream = job.retry_policy().is_stream();
    let mut state = ForwardState::new(gateway.clone(), job);
    // Last error response of a backend server.
    let mut failed: Option<Response> = None;
    loop {
        let response = match next_response(&mut state, None).await {
            Ok(response) => response,
            Err(error) => {
                state.mark_end_logged();
                return failed.ok_or(error);
            }
        };
        if is_stream && response.head.status.is_success() {
            return stream_reply(state, response, live).await;
        }
        match read_full(&state, response).await {
            Ok(reply) => {
                if reply.status() != StatusCode::INTERNAL_SERVER_ERROR
                    || !state.may_resend_after_error(clock_now())
                {
                    state.mark_end_logged();
                    return Ok(reply);
                }
                failed = Some(reply);
            }
            Err(failure) => {
                if !state.may_resend_after_truncation(failure, clock_now()) {
                    state.mark_end_logged();
                    return failed.ok_or(state.final_error(None));
                }
            }
        }
    }
}

/// Reads a response to its end before any of it is passed on, so that the request can be sent again
/// if the response is truncated.
async fn read_full(
    state: &ForwardState,
    mut response: OpenResponse,
) -> Result<Response, SendFailure> {
    let left = state.job.time_left(clock_now());
    let reading = Limited::new(&mut response.body, RESPONSE_BYTES_MAX).collect();
    let reason = match stall_tolerant_timeout(left, reading).await {
        Ok(Ok(collected)) => {
            let bytes = collected.to_bytes();
            let job = &state.job;
            log_end(
                job,
                &response.ticket.facts.id,
                response.head.status,
                clock_now(),
            );
            if response.head.is_framed {
                state.gateway.note_answered(job, clock_now());
                state.gateway.note_begun(job, clock_now());
            }
            let body = BufferedBody::new(bytes, state.gateway.drain.track_request());
            let reply = buffered_reply(&response, body);
            return_connection(state, response);
            return Ok(reply);
        }
        Ok(Err(fault)) => {
            let progress = RunProgress::NotBegun;
            let gateway = &state.gateway;
            gateway.note_interrupted(&state.job, &response.ticket, progress);
            fault.to_string()
        }
        Err(_) => format!("response incomplete after {left:?}"),
    };
    let backend = response.ticket.facts.id.clone();
    response.ticket.end(CallOutcome::Failed, clock_now());
    log_send_failed(&state.job, &backend, ErrorKind::AnswerCut, &reason);
    Err(SendFailure {
        may_have_run: true,
        has_arrived: true,
        kind: ErrorKind::AnswerCut,
        detail: reason,
    })
}

fn buffered_reply(response: &OpenResponse, body: BufferedBody) -> Response {
    let mut reply = Response::new(Body::from_body(body));
    *reply.status_mut() = response.head.status;
    *reply.headers_mut() = response.head.headers.clone();
    reply
}

async fn stream_reply(
    state: ForwardState,
    response: OpenResponse,
    live: RequestGuard,
) -> SwitchResult<Response> {
    let status = response.head.status;
    let mut headers = response.head.headers.clone();
    headers.remove(CONTENT_LENGTH);
    let mut relay = StreamRelay::new(state, response, live);
    let first = relay.first().await.map_err(outcome_unknown)?;
    let events = stream::unfold((Some(first), relay), |(first, mut relay)| async move {
        let next = match first {
            Some(bytes) => Some(Ok(bytes)),
            None => relay.next().await,
        };
        next.map(|part| (part.map(http_body::Frame::data), (None, relay)))
    });
    let events = futures::StreamExt::map(events, |part| part.map_err(Into::into));
    let mut reply = Response::new(Body::from_stream(events));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    Ok(reply)
}
