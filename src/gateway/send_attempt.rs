//! One send of a request to a backend server, up to the response head, and what is known
//! afterwards.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use hyper::body::Incoming;

use super::backend_connection::{BackendConnection, SendFault};
use super::gateway_state::{GatewayState, RunProgress};
use super::request_job::RequestJob;
use super::request_log::log_cancelled;
use crate::catalog::RetryPolicy;
use crate::errors::ErrorKind;
use crate::fleet::{BackendTicket, CallOutcome, VersionRequirement};
use crate::platform::{
    ResponseHead, ResponseOutcome, SendFields, read_response_head, send_headers,
};
use crate::time::{ClockTime, clock_now};
use crate::transport::stall_tolerant_timeout;

/// How long a connection to a backend server may take to open. Data centres are 1 to 3 ms apart. A
/// lost first packet is retransmitted only after a second; another backend server is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How often to check whether a waiting request has to be cancelled earlier than known before. Most
/// response heads arrive sooner.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// A response whose head has arrived.
pub(super) struct OpenResponse {
    pub(super) ticket: BackendTicket,
    pub(super) connection: BackendConnection,
    pub(super) head: ResponseHead,
    pub(super) body: Incoming,
}

/// How long a send waits for the response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeadWait {
    pub(super) until: ClockTime,
    /// When a send that uses the retry budget has to begin at the latest.
    pub(super) begin_by: Option<ClockTime>,
    /// How the call ends for the backend server if there is no response head in time.
    pub(super) timeout_end: CallOutcome,
}

impl HeadWait {
    /// Returns the same wait, or a shorter one if the request is cancelled at `cancel_at`.
    pub(super) fn cancelled_by(self, cancel_at: Option<ClockTime>) -> Self {
        match cancel_at {
            Some(until) if until < self.until => Self {
                until,
                timeout_end: CallOutcome::Inconclusive,
                ..self
            },
            _ => self,
        }
    }

    /// Returns whether it is too late to send the request at `now`. A request that would be
    /// cancelled at a previous version before it can get there would only arrive after the deadline
    /// of the target version. One that was charged before this process stood still would arrive in a
    /// window of the retry budget that does not count it.
    fn is_too_late(self, now: ClockTime) -> bool {
        let connect_time = if self.timeout_end == CallOutcome::Inconclusive {
            CONNECT_TIMEOUT
        } else {
            Duration::ZERO
        };
        self.until <= now + connect_time || self.begin_by.is_some_and(|by| by < now)
    }
}

/// What is known after a send without a response.
#[derive(Debug)]
pub(super) struct SendFailure {
    /// Whether the request may have run.
    pub(super) may_have_run: bool,
    /// Whether the backend server received the request.
    pub(super) has_arrived: bool,
    pub(super) kind: ErrorKind,
    pub(super) detail: String,
}

impl SendFailure {
    fn not_sent(detail: String) -> Self {
        Self::withdrawn(ErrorKind::ConnectFailed, detail)
    }

    fn withdrawn(kind: ErrorKind, detail: String) -> Self {
        Self {
            may_have_run: false,
            has_arrived: false,
            kind,
            detail,
        }
    }

    fn unknown(kind: ErrorKind, detail: String) -> Self {
        Self {
            may_have_run: true,
            has_arrived: true,
            kind,
            detail,
        }
    }
}

/// Sends `job` to the backend server of `ticket` and waits for the response head as long as `wait`
/// allows.
pub(super) async fn send_attempt(
    gateway: &Arc<GatewayState>,
    job: &RequestJob,
    ticket: BackendTicket,
    (version, last_event): (&VersionRequirement, Option<u64>),
    wait: HeadWait,
) -> Result<OpenResponse, SendFailure> {
    let mut connection = match connect(gateway, job, &ticket).await {
        Ok(connection) => connection,
        Err(failure) => {
            ticket.end(CallOutcome::Failed, clock_now());
            return Err(failure);
        }
    };
    let request = match build_request(job, &ticket, version, last_event) {
        Ok(request) => request,
        Err(fault) => {
            ticket.end(CallOutcome::Inconclusive, clock_now());
            return Err(SendFailure::not_sent(fault.to_string()));
        }
    };
    if wait.is_too_late(clock_now()) {
        // Opening the connection takes up to `CONNECT_TIMEOUT`. If the wait were counted from here,
        // a request would be cancelled that much too late and start on a previous version after its
        // deadline.
        ticket.end(CallOutcome::Inconclusive, clock_now());
        return Err(SendFailure::not_sent(
            "not sent: the request would arrive too late".to_owned(),
        ));
    }
    // Opening the connection takes time, in which the backend server may have become ineligible.
    if let Some(denial) = gateway.send_denial(job, &ticket, clock_now()) {
        ticket.end(CallOutcome::Inconclusive, clock_now());
        let detail = "not sent: the backend server may not get the request any more";
        return Err(SendFailure::withdrawn(denial, detail.to_owned()));
    }
    let sent = await_head(gateway, job, &ticket, wait, connection.send(request)).await;
    let (parts, body) = match sent {
        Ok(Ok(response)) => response.into_parts(),
        Ok(Err(SendFault::NotSent(detail))) => {
            // A pooled connection that the other end has closed indicates nothing about the backend
            // server.
            ticket.end(CallOutcome::Inconclusive, clock_now());
            return Err(SendFailure::not_sent(detail));
        }
        Ok(Err(SendFault::Unknown(detail))) => {
            gateway.note_interrupted(job, &ticket, RunProgress::NotBegun);
            ticket.end(CallOutcome::Failed, clock_now());
            return Err(SendFailure::unknown(ErrorKind::AnswerCut, detail));
        }
        Err(HeadTimeout { wait, is_reported }) => {
            if wait.timeout_end == CallOutcome::Inconclusive {
                log_cancelled(job, &ticket.facts.id);
            }
            gateway.pool.remove_all(ticket.key);
            let end = if is_reported {
                CallOutcome::Inconclusive
            } else {
                wait.timeout_end
            };
            ticket.end(end, clock_now());
            let detail = format!(
                "no response head {:?} after the request arrived",
                wait.until.since(job.arrived)
            );
            return Err(SendFailure::unknown(ErrorKind::PeerSilent, detail));
        }
    };
    let expected = (job.head.attempt.as_ref(), &ticket.facts.id);
    let head = read_response_head(parts.status, &parts.headers, expected);
    check_response(
        gateway,
        OpenResponse {
            ticket,
            connection,
            head,
            body,
        },
    )
}

/// A wait for a response head that timed out.
struct HeadTimeout {
    /// The wait that ended.
    wait: HeadWait,
    /// Whether the backend server has been recorded as unresponsive.
    is_reported: bool,
}

/// Waits for a response head.
///
/// While a request waits at an engine with a previous version, this entry host may be notified of a
/// newer target version, or of an earlier time of the target update. With the knowledge at the time
/// of the send, the request could start after the deadline.
async fn await_head<T>(
    gateway: &GatewayState,
    job: &RequestJob,
    ticket: &BackendTicket,
    wait: HeadWait,
    sending: impl Future<Output = T>,
) -> Result<T, HeadTimeout> {
    let mut sending = pin!(sending);
    let cancel_after = gateway.cancel_after();
    let started = clock_now();
    let mut slow_at = job
        .head_timeout()
        .map(|head_timeout| started + head_timeout);
    let mut is_reported = false;
    loop {
        let cancel_at = job.cancel_at(&gateway.newest_snapshot(), ticket.version, cancel_after);
        let wait = wait.cancelled_by(cancel_at);
        let now = clock_now();
        ticket.with_record(|record| record.note_head_wait(now.since(started), now));
        if slow_at.take_if(|at| *at <= now).is_some() {
            // Other backend servers are preferred for a while.
            ticket.note_unresponsive(now);
            gateway.pool.remove_all(ticket.key);
            is_reported = true;
        }
        let left = wait.until.since(now);
        let check_after = slow_at.map_or(CANCEL_CHECK_INTERVAL, |at| {
            at.since(now).min(CANCEL_CHECK_INTERVAL)
        });
        match stall_tolerant_timeout(left.min(check_after), &mut sending).await {
            Ok(sent) => return Ok(sent),
            Err(_) if left <= check_after => return Err(HeadTimeout { wait, is_reported }),
            Err(_) => {}
        }
    }
}

/// Takes a connection from the pool or opens a new one. An unrepeatable request gets a new
/// connection: on a pooled one it may cross the close by the backend server, and its outcome would
/// be unknown.
async fn connect(
    gateway: &Arc<GatewayState>,
    job: &RequestJob,
    ticket: &BackendTicket,
) -> Result<BackendConnection, SendFailure> {
    let now = clock_now();
    let mut is_fresh = job.retry_policy() == RetryPolicy::AtMostOnce;
    ticket.with_record(|record| is_fresh |= record.prefers_fresh_connection(now));
    if !is_fresh && let Some(connection) = gateway.pool.take(ticket.key, now) {
        return Ok(connection);
    }
    let timeout = CONNECT_TIMEOUT.min(job.time_left(now));
    let opened = BackendConnection::open(ticket.facts.address, timeout).await;
    opened.map_err(|error| SendFailure::not_sent(error.detail))
}

fn build_request(
    job: &RequestJob,
    ticket: &BackendTicket,
    requirement: &VersionRequirement,
    last_event: Option<u64>,
) -> http::Result<Request<Full<Bytes>>> {
    let (priority, version) = match requirement {
        VersionRequirement::None => (None, None),
        // If any version may answer, a version change in transit is no reason for a refusal.
        VersionRequirement::Model { minimum, .. } => (
            Some(job.engine_priority(last_event.is_some())),
            minimum.and(ticket.version),
        ),
    };
    let facts = SendFields {
        time_left: job.time_left(clock_now()),
        backend: &ticket.facts.id,
        account: job.routed.account.as_ref(),
        priority,
        version,
        last_event,
    };
    let path = job.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(path)
        .body(Full::new(job.body.clone()))?;
    *request.headers_mut() = send_headers(&job.headers, &facts);
    if !request.headers().contains_key(header::HOST)
        && let Some(authority) = job.uri.authority()
        && let Ok(host) = authority.as_str().parse()
    {
        request.headers_mut().insert(header::HOST, host);
    }
    Ok(request)
}

/// Records the rate limit that the response advertises, or the absence of one.
fn note_limit(response: &OpenResponse, now: ClockTime) {
    let rate = response.head.rate_limit;
    let is_conclusive = match response.head.outcome {
        ResponseOutcome::Run => true,
        // A refusal need not advertise the limit.
        ResponseOutcome::NotRun | ResponseOutcome::Misdirected => rate.is_some(),
        ResponseOutcome::Replaced
        | ResponseOutcome::AttemptMismatch
        | ResponseOutcome::Damaged(_) => false,
    };
    if is_conclusive {
        response.ticket.note_limit(rate, now);
    }
}

/// Records what the response announces about its backend server.
fn note_announcements(response: &OpenResponse, now: ClockTime) {
    if response.head.is_leaving {
        response.ticket.note_leaving();
    }
    if let Some(pause) = response.head.requested_pause {
        response.ticket.note_requested_pause(pause, now);
    }
    if let Some(left) = response.head.cold_left {
        response
            .ticket
            .with_record(|record| record.note_cold(left, now));
    }
}

/// Checks whether the response is a valid one to the request.
fn check_response(
    gateway: &Arc<GatewayState>,
    mut response: OpenResponse,
) -> Result<OpenResponse, SendFailure> {
    let now = clock_now();
    response.ticket.note_response_started();
    if let Some(load) = response.head.load {
        response
            .ticket
            .with_record(|record| record.note_load(load, now));
    }
    note_limit(&response, now);
    note_announcements(&response, now);
    let (kind, end) = match response.head.outcome {
        ResponseOutcome::Run => return Ok(response),
        ResponseOutcome::NotRun => (ErrorKind::BackendBusy, CallOutcome::Refused),
        ResponseOutcome::Misdirected => (ErrorKind::VersionMismatch, CallOutcome::Refused),
        ResponseOutcome::Replaced => (ErrorKind::BackendLeaving, CallOutcome::Replaced),
        ResponseOutcome::AttemptMismatch => {
            response
                .ticket
                .with_record(|record| record.note_stray_bytes(now));
            gateway.pool.remove_all(response.ticket.key);
            response.ticket.end(CallOutcome::Inconclusive, now);
            let detail = "the response belongs to another request".to_owned();
            return Err(SendFailure::unknown(ErrorKind::AnswerForeign, detail));
        }
        ResponseOutcome::Damaged(reason) => {
            response.ticket.end(CallOutcome::Failed, now);
            let detail = format!("not a whole response: {reason}");
            return Err(SendFailure::unknown(ErrorKind::AnswerCut, detail));
        }
    };
    let status = response.head.status;
    response.ticket.end(end, now);
    Err(SendFailure {
        may_have_run: false,
        has_arrived: true,
        kind,
        detail: format!("answered {status}, not run"),
    })
}
