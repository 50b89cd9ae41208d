//! One send of a request to one backend server, up to the head of the answer, and what is known
//! after it.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use hyper::body::Incoming;

use super::backend_connection::{BackendConnection, SendFault};
use super::gateway_state::GatewayState;
use super::request_job::RequestJob;
use super::request_log::log_taken_back;
use crate::catalog::RepeatRule;
use crate::errors::ErrorKind;
use crate::fleet::{BackendTicket, CallEnd, VersionNeed};
use crate::platform::{
    ResponseHead, ResponseOutcome, SendFields, read_response_head, send_headers,
};
use crate::time::{ClockTime, clock_now};
use crate::transport::stall_tolerant_timeout;

/// How long a connection to a backend server may take to open. Data centres are 1 to 3 ms apart; a
/// lost first packet is sent again after a second, which is later than another backend server.
const CONNECT_WITHIN: Duration = Duration::from_millis(150);

/// How often it is looked whether a request that waits is to be taken back earlier than was known. Most
/// heads come within it.
const LOOK_PAUSE: Duration = Duration::from_millis(150);

/// An answer whose head has arrived.
pub(super) struct OpenAnswer {
    pub(super) ticket: BackendTicket,
    pub(super) connection: BackendConnection,
    pub(super) facts: ResponseHead,
    pub(super) body: Incoming,
}

/// How long a send waits for the head of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeadWait {
    pub(super) until: ClockTime,
    /// What it says of the backend server when none comes.
    pub(super) silence: CallEnd,
}

impl HeadWait {
    /// The same, but for a request that is taken back at `taken_back` at the latest.
    pub(super) fn taken_back_by(self, taken_back: Option<ClockTime>) -> Self {
        match taken_back {
            Some(until) if until < self.until => Self {
                until,
                silence: CallEnd::Nothing,
            },
            _ => self,
        }
    }

    /// Whether nothing is sent any more at `now`. A request that would be taken back from older weights sooner
    /// than the way to them may take would only be overtaken by their bound.
    fn is_over(self, now: ClockTime) -> bool {
        let way = if self.silence == CallEnd::Nothing {
            CONNECT_WITHIN
        } else {
            Duration::ZERO
        };
        self.until <= now + way
    }
}

/// What is known after a send that brought no answer.
#[derive(Debug)]
pub(super) struct SendFailure {
    /// Whether the request may have run.
    pub(super) may_have_run: bool,
    /// Whether the backend server got to see it.
    pub(super) has_arrived: bool,
    pub(super) kind: ErrorKind,
    pub(super) detail: String,
}

impl SendFailure {
    fn not_sent(detail: String) -> Self {
        Self {
            may_have_run: false,
            has_arrived: false,
            kind: ErrorKind::ConnectFailed,
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

/// Sends `job` to the backend server of `ticket` and waits for the answer's head as long as `wait`
/// says.
pub(super) async fn send_attempt(
    gateway: &Arc<GatewayState>,
    job: &RequestJob,
    ticket: BackendTicket,
    (need, last_event): (&VersionNeed, Option<u64>),
    wait: HeadWait,
) -> Result<OpenAnswer, SendFailure> {
    let mut connection = match connect(gateway, job, &ticket).await {
        Ok(connection) => connection,
        Err(failure) => {
            ticket.end(CallEnd::Failed, clock_now());
            return Err(failure);
        }
    };
    let request = match build_request(job, &ticket, need, last_event) {
        Ok(request) => request,
        Err(fault) => {
            ticket.end(CallEnd::Nothing, clock_now());
            return Err(SendFailure::not_sent(fault.to_string()));
        }
    };
    if wait.is_over(clock_now()) {
        // The connection took as long to open. Counted from there, a request was taken back up to that much
        // too late, and began on older weights behind their bound.
        ticket.end(CallEnd::Nothing, clock_now());
        return Err(SendFailure::not_sent("its time was over".to_owned()));
    }
    let sent = await_head(gateway, job, &ticket, wait, connection.send(request)).await;
    let (parts, body) = match sent {
        Ok(Ok(answer)) => answer.into_parts(),
        Ok(Err(SendFault::NotSent(detail))) => {
            // A kept connection that the other end has closed says nothing about the backend server.
            ticket.end(CallEnd::Nothing, clock_now());
            return Err(SendFailure::not_sent(detail));
        }
        Ok(Err(SendFault::Unknown(detail))) => {
            gateway.note_cut(job, &ticket);
            ticket.end(CallEnd::Failed, clock_now());
            return Err(SendFailure::unknown(ErrorKind::AnswerCut, detail));
        }
        Err(HeadEnd { wait, is_told }) => {
            if wait.silence == CallEnd::Nothing {
                log_taken_back(job, &ticket.facts.id);
            }
            gateway.shelf.drop_all(ticket.key);
            let end = if is_told {
                CallEnd::Nothing
            } else {
                wait.silence
            };
            ticket.end(end, clock_now());
            let detail = format!("no head {:?} after it came", wait.until.since(job.arrived));
            return Err(SendFailure::unknown(ErrorKind::PeerSilent, detail));
        }
    };
    let asked = (job.head.attempt.as_ref(), &ticket.facts.id);
    let facts = read_response_head(parts.status, &parts.headers, asked);
    judge(
        gateway,
        OpenAnswer {
            ticket,
            connection,
            facts,
            body,
        },
    )
}

/// How a wait for a head ended that brought none.
struct HeadEnd {
    /// The wait that is over.
    wait: HeadWait,
    /// Whether the backend server was reported as silent.
    is_told: bool,
}

/// Waits for the head of an answer.
///
/// A newer version, or a better word of when it was named, may be heard of while a request waits at an
/// engine of older weights: by what was known when it was sent it would begin behind their bound.
async fn await_head<T>(
    gateway: &GatewayState,
    job: &RequestJob,
    ticket: &BackendTicket,
    wait: HeadWait,
    sending: impl Future<Output = T>,
) -> Result<T, HeadEnd> {
    let mut sending = pin!(sending);
    let bound = gateway.take_back_after();
    let begun = clock_now();
    let mut silent_at = job.head_patience().map(|patience| begun + patience);
    let mut is_told = false;
    loop {
        let taken_back = job.taken_back_at(&gateway.newest(), ticket.version, bound);
        let wait = wait.taken_back_by(taken_back);
        let now = clock_now();
        ticket.with_record(|record| record.note_head_wait(now.since(begun), now));
        if silent_at.take_if(|at| *at <= now).is_some() {
            // Others are preferred for a while.
            ticket.note_silent(now);
            gateway.shelf.drop_all(ticket.key);
            is_told = true;
        }
        let left = wait.until.since(now);
        let look = silent_at.map_or(LOOK_PAUSE, |at| at.since(now).min(LOOK_PAUSE));
        match stall_tolerant_timeout(left.min(look), &mut sending).await {
            Ok(sent) => return Ok(sent),
            Err(_) if left <= look => return Err(HeadEnd { wait, is_told }),
            Err(_) => {}
        }
    }
}

/// A connection that was kept, or a new one. An unrepeatable request gets a new one: on a kept one
/// it may cross the backend server's close, and nobody would know whether it ran.
async fn connect(
    gateway: &Arc<GatewayState>,
    job: &RequestJob,
    ticket: &BackendTicket,
) -> Result<BackendConnection, SendFailure> {
    let now = clock_now();
    let mut is_fresh = job.repeat() == RepeatRule::AtMostOnce;
    ticket.with_record(|record| is_fresh |= record.wants_fresh(now));
    if !is_fresh && let Some(connection) = gateway.shelf.take(ticket.key, now) {
        return Ok(connection);
    }
    let within = CONNECT_WITHIN.min(job.time_left(now));
    let opened = BackendConnection::open(ticket.facts.address, within).await;
    opened.map_err(|error| SendFailure::not_sent(error.detail))
}

fn build_request(
    job: &RequestJob,
    ticket: &BackendTicket,
    need: &VersionNeed,
    last_event: Option<u64>,
) -> http::Result<Request<Full<Bytes>>> {
    let (priority, version) = match need {
        VersionNeed::None => (None, None),
        // While any version may answer, one that changes on the way is no reason to be refused.
        VersionNeed::Model { least, .. } => (
            Some(job.engine_priority(last_event.is_some())),
            least.and(ticket.version),
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

/// What the answer says of the requests that its backend server takes.
fn note_limit(answer: &OpenAnswer, now: ClockTime) {
    let rate = answer.facts.rate_limit;
    let says_so = match answer.facts.outcome {
        ResponseOutcome::Run => true,
        // A refusal need not name the limit.
        ResponseOutcome::NotRun | ResponseOutcome::Misdirected => rate.is_some(),
        ResponseOutcome::Replaced | ResponseOutcome::AttemptMismatch => false,
    };
    if says_so {
        answer.ticket.note_limit(rate, now);
    }
}

/// Whether an answer counts as the request's own.
fn judge(gateway: &Arc<GatewayState>, mut answer: OpenAnswer) -> Result<OpenAnswer, SendFailure> {
    let now = clock_now();
    answer.ticket.note_begun();
    if let Some(load) = answer.facts.load {
        answer
            .ticket
            .with_record(|record| record.note_load(load, now));
    }
    note_limit(&answer, now);
    let (kind, end) = match answer.facts.outcome {
        ResponseOutcome::Run => return Ok(answer),
        ResponseOutcome::NotRun => (ErrorKind::BackendBusy, CallEnd::Refused),
        ResponseOutcome::Misdirected => (ErrorKind::VersionMismatch, CallEnd::Refused),
        ResponseOutcome::Replaced => (ErrorKind::BackendLeaving, CallEnd::Replaced),
        ResponseOutcome::AttemptMismatch => {
            answer
                .ticket
                .with_record(|record| record.note_stray_bytes(now));
            gateway.shelf.drop_all(answer.ticket.key);
            answer.ticket.end(CallEnd::Nothing, now);
            let detail = "the answer belongs to another request".to_owned();
            return Err(SendFailure::unknown(ErrorKind::AnswerForeign, detail));
        }
    };
    let status = answer.facts.status;
    answer.ticket.end(end, now);
    Err(SendFailure {
        may_have_run: false,
        has_arrived: true,
        kind,
        detail: format!("answered {status}, not run"),
    })
}
