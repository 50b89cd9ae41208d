//! The sends of one request, and how it is answered.

use std::sync::Arc;
use std::time::Duration;

use futures::stream;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;
use volo_http::body::Body;
use volo_http::response::Response;

use super::forwarder::Forwarder;
use super::gateway_state::GatewayState;
use super::open_sends::{EndedSend, OpenSends};
use super::reply::unknown_end;
use super::request_job::RequestJob;
use super::request_log::{log_end, log_head_late, log_send_failed};
use super::send_attempt::{OpenAnswer, SendFailure, send_attempt};
use super::stream_relay::{StreamRelay, put_away};
use super::whole_body::WholeBody;
use crate::daemon::RequestGuard;
use crate::errors::{ErrorKind, SwitchResult};
use crate::fleet::{BackendTicket, CallEnd, PickNeed, PickRefusal, VersionNeed};
use crate::time::{ClockTime, clock_now};
use crate::transport::stall_tolerant_timeout;

/// The largest answer of a plain service that is kept whole before it is passed on.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;
/// The part of the latency target for which a request may wait for a place. Waiting longer and
/// being refused then costs the client more than being refused at once.
const HOLD_PART: u32 = 8;
/// The time that a refusal takes on its way, out of that part.
const HOLD_MARGIN: Duration = Duration::from_millis(8);
/// How many requests may wait at an engine beyond its places, so that no place stays empty between
/// two. An engine ends about ten requests a second.
const ENGINE_QUEUE_ROOM: u32 = 2;
/// The same for a plain service, whose requests take some 15 ms.
const PLAIN_QUEUE_ROOM: u32 = 8;

/// Sends the request until a backend server answers it, as far as that is allowed.
///
/// An answer whose head is late is waited for also while another backend server is asked: nobody knows
/// whether that one takes the request, or is sooner.
///
/// # Errors
///
/// The refusal or failure that the client is told.
pub(super) async fn next_answer(
    forwarder: &mut Forwarder,
    last_event: Option<u64>,
) -> SwitchResult<OpenAnswer> {
    let mut sends = OpenSends::default();
    let answer = loop {
        let step = match forwarder.refuse_quarantined(clock_now()) {
            Some(refusal) if sends.is_empty() => return Err(refusal),
            // What is under way may have run, and may still be answered.
            Some(_) => SeekEnd::Barred,
            None => seek_backend(forwarder, &mut sends).await,
        };
        let ended = match step {
            SeekEnd::Found(chosen) => {
                let backend = chosen.ticket.facts.id.clone();
                sends.push(backend, start_send(forwarder, chosen, last_event));
                None
            }
            SeekEnd::Refused(refusal) if sends.is_empty() => {
                return Err(forwarder.give_up(Some(refusal)));
            }
            SeekEnd::Refused(_) | SeekEnd::Barred => {
                forwarder.refund_retry(clock_now());
                None
            }
            SeekEnd::Ended(ended) => Some(ended),
        };
        match ended {
            Some(EndedSend {
                result: Ok(answer), ..
            }) => {
                forwarder.refund_retry(clock_now());
                break answer;
            }
            // The retry that the search has paid for is still to be used.
            Some(ended) => note_failed(forwarder, ended),
            None => {
                if let Some(answer) = await_answer(forwarder, &mut sends).await? {
                    break answer;
                }
            }
        }
    };
    if !sends.is_empty() {
        drop(sends);
        forwarder.gateway.freed.notify_waiters();
    }
    Ok(answer)
}

/// How a search for a backend server ended.
enum SeekEnd {
    Found(ChosenBackend),
    Refused(PickRefusal),
    /// The request is sent to no further backend server.
    Barred,
    /// A send that was under way ended first.
    Ended(EndedSend),
}

async fn seek_backend(forwarder: &Forwarder, sends: &mut OpenSends) -> SeekEnd {
    tokio::select! {
        biased;
        ended = sends.next(), if !sends.is_empty() => SeekEnd::Ended(ended),
        chosen = choose_backend(forwarder) => match chosen {
            Ok(chosen) => SeekEnd::Found(chosen),
            Err(refusal) => SeekEnd::Refused(refusal),
        },
    }
}

/// Sends the request to the backend server that was chosen.
fn start_send(
    forwarder: &mut Forwarder,
    chosen: ChosenBackend,
    last_event: Option<u64>,
) -> impl Future<Output = Result<OpenAnswer, SendFailure>> + Send + Sync + 'static {
    let ChosenBackend {
        ticket,
        need,
        taken_back,
    } = chosen;
    let gateway = forwarder.gateway.clone();
    let job = forwarder.job.clone();
    forwarder.note_send(ticket.key);
    let wait = forwarder.head_wait(taken_back, clock_now());
    async move { send_attempt(&gateway, &job, ticket, (&need, last_event), wait).await }
}

/// Waits for an answer until another backend server may be asked; none then.
async fn await_answer(
    forwarder: &mut Forwarder,
    sends: &mut OpenSends,
) -> SwitchResult<Option<OpenAnswer>> {
    let patience = forwarder.job.head_patience();
    loop {
        let ended = match patience {
            Some(patience) => stall_tolerant_timeout(patience, sends.next()).await.ok(),
            None => Some(sends.next().await),
        };
        let Some(EndedSend { backend, result }) = ended else {
            let now = clock_now();
            if forwarder.pay_repeat(now).is_ok() {
                log_head_late(&forwarder.job, forwarder.tried().len(), now);
                return Ok(None);
            }
            continue;
        };
        let failure = match result {
            Ok(answer) => return Ok(Some(answer)),
            Err(failure) => failure,
        };
        log_send_failed(&forwarder.job, &backend, failure.kind, &failure.detail);
        forwarder.gateway.freed.notify_waiters();
        if forwarder.may_follow(failure, clock_now()) {
            return Ok(None);
        }
        if sends.is_empty() {
            return Err(forwarder.give_up(None));
        }
    }
}

/// A send failed while another backend server is looked for.
fn note_failed(forwarder: &mut Forwarder, ended: EndedSend) {
    let EndedSend { backend, result } = ended;
    if let Err(failure) = result {
        log_send_failed(&forwarder.job, &backend, failure.kind, &failure.detail);
        forwarder.gateway.freed.notify_waiters();
        forwarder.note_failure(failure);
    }
}

/// Where a request goes next.
struct ChosenBackend {
    ticket: BackendTicket,
    need: VersionNeed,
    /// When it is taken back if it has not begun by then.
    taken_back: Option<ClockTime>,
}

/// Chooses a backend server, or waits a little for a place at one.
async fn choose_backend(forwarder: &Forwarder) -> Result<ChosenBackend, PickRefusal> {
    let gateway = &forwarder.gateway;
    let job = &forwarder.job;
    let hold = (job.routed.rule.target / HOLD_PART).saturating_sub(HOLD_MARGIN);
    let held_until = forwarder.held_until(hold);
    loop {
        let freed = gateway.freed.notified();
        let now = clock_now();
        let snapshot = gateway.snapshot();
        let need = job.version_need(&snapshot, gateway.older_for(), now);
        let need = PickNeed {
            service: &job.routed.service,
            queue_room: queue_room(&need),
            version: need,
            tried: forwarder.tried(),
            is_returned: job.is_returned(),
            work: job.engine_work(&snapshot),
        };
        let refusal = match gateway.desk.pick(&need, now) {
            Ok(ticket) => {
                let bound = gateway.take_back_after();
                return Ok(ChosenBackend {
                    taken_back: job.taken_back_at(&snapshot, ticket.version, bound),
                    need: need.version,
                    ticket,
                });
            }
            Err(refusal) => refusal,
        };
        let left = held_until.since(now);
        if left.is_zero() {
            return Err(refusal);
        }
        // Running into the limit is the next look, not a failure.
        let _ = timeout(left, freed).await;
    }
}

const fn queue_room(version: &VersionNeed) -> u32 {
    match version {
        VersionNeed::None => PLAIN_QUEUE_ROOM,
        VersionNeed::Model { .. } => ENGINE_QUEUE_ROOM,
    }
}

/// Gets a request answered.
///
/// # Errors
///
/// The refusal or failure that the client is told.
pub(super) async fn forward(
    gateway: &Arc<GatewayState>,
    job: RequestJob,
    live: RequestGuard,
) -> SwitchResult<Response> {
    let is_stream = job.repeat().is_stream();
    let mut forwarder = Forwarder::new(gateway.clone(), job);
    // The last failure that a backend server answered with.
    let mut failed: Option<Response> = None;
    loop {
        let answer = match next_answer(&mut forwarder, None).await {
            Ok(answer) => answer,
            Err(error) => {
                forwarder.note_end();
                return failed.ok_or(error);
            }
        };
        if is_stream && answer.facts.status.is_success() {
            return stream_reply(forwarder, answer, live).await;
        }
        match read_whole(&forwarder, answer).await {
            Ok(reply) => {
                if reply.status() != StatusCode::INTERNAL_SERVER_ERROR
                    || !forwarder.may_follow_failure(clock_now())
                {
                    forwarder.note_end();
                    return Ok(reply);
                }
                failed = Some(reply);
            }
            Err(failure) => {
                if !forwarder.may_follow_cut(failure, clock_now()) {
                    forwarder.note_end();
                    return failed.ok_or(forwarder.give_up(None));
                }
            }
        }
    }
}

/// Reads an answer to its end before any of it is passed on, so that one that breaks off can be
/// asked for again.
async fn read_whole(
    forwarder: &Forwarder,
    mut answer: OpenAnswer,
) -> Result<Response, SendFailure> {
    let left = forwarder.job.time_left(clock_now());
    let reading = Limited::new(&mut answer.body, ANSWER_BYTES_MAX).collect();
    let why = match stall_tolerant_timeout(left, reading).await {
        Ok(Ok(whole)) => {
            let bytes = whole.to_bytes();
            let job = &forwarder.job;
            log_end(
                job,
                &answer.ticket.facts.id,
                answer.facts.status,
                clock_now(),
            );
            if answer.facts.is_framed {
                forwarder.gateway.note_answered(job, clock_now());
            }
            let body = WholeBody::new(bytes, forwarder.gateway.drain.track_request());
            let reply = whole_reply(&answer, body);
            put_away(forwarder, answer);
            return Ok(reply);
        }
        Ok(Err(fault)) => {
            forwarder.gateway.note_cut(&forwarder.job, &answer.ticket);
            fault.to_string()
        }
        Err(_) => format!("not whole within {left:?}"),
    };
    let backend = answer.ticket.facts.id.clone();
    answer.ticket.end(CallEnd::Failed, clock_now());
    log_send_failed(&forwarder.job, &backend, ErrorKind::AnswerCut, &why);
    Err(SendFailure {
        may_have_run: true,
        has_arrived: true,
        kind: ErrorKind::AnswerCut,
        detail: why,
    })
}

fn whole_reply(answer: &OpenAnswer, body: WholeBody) -> Response {
    let mut reply = Response::new(Body::from_body(body));
    *reply.status_mut() = answer.facts.status;
    *reply.headers_mut() = answer.facts.headers.clone();
    reply
}

async fn stream_reply(
    forwarder: Forwarder,
    answer: OpenAnswer,
    live: RequestGuard,
) -> SwitchResult<Response> {
    let status = answer.facts.status;
    let mut headers = answer.facts.headers.clone();
    headers.remove(CONTENT_LENGTH);
    let mut relay = StreamRelay::new(forwarder, answer, live);
    let first = relay.first().await.map_err(unknown_end)?;
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
