//! The state of the host process's traffic and the places before the backend server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytestring::ByteString;
use tokio::sync::oneshot;

use super::attempt_book::{Arrival, AttemptBook, AttemptState};
use super::run_queue::{QueueAnswer, QueueRefusal, RunQueue, RunTicket};
use super::serving_gate::ServingGate;
use crate::daemon::DrainState;
use crate::delivery::{AttemptId, RunOrder};
use crate::documents::RequestPriority;
use crate::engines::{EngineEdge, PlainEdge};
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::membership::{LoadReport, StatusPublisher};
use crate::time::{ClockTime, clock_now};

/// How often a call that waits looks whether anybody still wants it.
const WANTED_EVERY: Duration = Duration::from_millis(200);

/// What stands beside this process.
#[derive(Clone)]
pub(crate) enum BackendServer {
    /// A model engine.
    Model(Arc<dyn EngineEdge>),
    /// A plain service.
    Plain(Arc<dyn PlainEdge>),
}

/// What all requests of this process share.
pub(crate) struct GuardShared {
    pub(crate) service: ByteString,
    pub(crate) incarnation: u64,
    pub(crate) backend: BackendServer,
    pub(crate) gate: ServingGate,
    pub(crate) board: StatusPublisher,
    pub(crate) drain: DrainState,
    pub(crate) state: Mutex<GuardState>,
}

/// Second tries on a fresh connection: a tenth of the calls, so that a service that has become slow
/// as a whole does not get twice the calls.
#[derive(Debug)]
pub(super) struct TryBudget {
    tenths: u32,
}

impl TryBudget {
    const TENTHS_MAX: u32 = 50;

    const fn new() -> Self {
        Self {
            tenths: Self::TENTHS_MAX,
        }
    }

    /// A call has come.
    pub(super) fn earn(&mut self) {
        self.tenths = Self::TENTHS_MAX.min(self.tenths + 1);
    }

    /// Asks for a second try.
    pub(super) const fn take(&mut self) -> bool {
        let has_one = self.tenths >= 10;
        if has_one {
            self.tenths -= 10;
        }
        has_one
    }
}

/// What the decisions work on. Held under one lock, for short steps only: a settled attempt must
/// not start in the same moment.
pub(crate) struct GuardState {
    pub(crate) attempts: AttemptBook,
    pub(crate) queue: RunQueue,
    pub(super) second_tries: TryBudget,
    /// Who waits to be told to start, sorted by ticket.
    starts: Vec<(RunTicket, oneshot::Sender<()>)>,
}

impl GuardState {
    pub(crate) const fn new(queue: RunQueue) -> Self {
        Self {
            attempts: AttemptBook::new(),
            queue,
            second_tries: TryBudget::new(),
            starts: Vec::new(),
        }
    }

    /// Tells those that may start now.
    pub(crate) fn tell_started(&mut self, started: Vec<RunTicket>) {
        for ticket in started {
            let found = self.starts.binary_search_by_key(&ticket, |(one, _)| *one);
            if let Ok(at) = found {
                let (_, start) = self.starts.remove(at);
                // One that has left meanwhile gives its place back itself.
                let _ = start.send(());
            }
        }
    }

    fn forget_start(&mut self, ticket: RunTicket) {
        let found = self.starts.binary_search_by_key(&ticket, |(one, _)| *one);
        if let Ok(at) = found {
            self.starts.remove(at);
        }
    }
}

impl GuardShared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, GuardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets an order in, or says why not. After a refusal the attempt never runs here.
    pub(crate) fn admit(&self, order: &RunOrder, now: ClockTime) -> SwitchResult<()> {
        if order.incarnation != self.incarnation {
            return Err(refusal(
                ErrorKind::BackendLeaving,
                "the process that was meant is no more",
            ));
        }
        let arrival = self.lock().attempts.arrive(order.attempt, now);
        arrival_error(arrival)?;
        let refused = self.check_order(order);
        if refused.is_err() {
            self.lock().attempts.withdraw(order.attempt);
        }
        refused
    }

    fn check_order(&self, order: &RunOrder) -> SwitchResult<()> {
        if order.service != self.service {
            let detail = format!("this host serves {}", self.service);
            return Err(refusal(ErrorKind::ServiceUnknown, &detail));
        }
        if self.drain.is_draining() {
            return Err(refusal(ErrorKind::BackendLeaving, "this host is leaving"));
        }
        let is_model = matches!(self.backend, BackendServer::Model(_));
        if is_model && self.gate.serving().is_none() {
            return Err(refusal(ErrorKind::WeightsNotReady, "no version is served"));
        }
        Ok(())
    }

    /// Waits for a place at the backend server until `deadline`, and as long as `is_wanted`.
    pub(crate) async fn take_place(
        self: &Arc<Self>,
        priority: RequestPriority,
        deadline: ClockTime,
        is_wanted: impl Fn(&GuardState) -> bool,
    ) -> SwitchResult<PlaceGuard> {
        let (place, start) = self.ask_place(priority, deadline)?;
        let Some(mut start) = start else {
            return Ok(place);
        };
        loop {
            let left = deadline.since(clock_now());
            tokio::select! {
                biased;
                _ = &mut start => return Ok(place),
                () = self.drain.begun() => {
                    return Err(refusal(ErrorKind::BackendLeaving, "this host is leaving"));
                }
                () = tokio::time::sleep(left.min(WANTED_EVERY)) => {}
            }
            if clock_now() >= deadline {
                let detail = "it waited here until its deadline";
                return Err(refusal(ErrorKind::DeadlineUnreachable, detail));
            }
            if !is_wanted(&self.lock()) {
                return Err(refusal(
                    ErrorKind::CallerGone,
                    "the caller left in the queue",
                ));
            }
        }
    }

    fn ask_place(
        self: &Arc<Self>,
        priority: RequestPriority,
        deadline: ClockTime,
    ) -> SwitchResult<(PlaceGuard, Option<oneshot::Receiver<()>>)> {
        let mut state = self.lock();
        let answer = state.queue.offer(priority, deadline, clock_now());
        let (ticket, start) = match answer.map_err(queue_error)? {
            QueueAnswer::Started(ticket) => (ticket, None),
            QueueAnswer::Waits(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.starts.push((ticket, sender));
                (ticket, Some(receiver))
            }
        };
        let shared = Arc::clone(self);
        Ok((PlaceGuard { shared, ticket }, start))
    }

    /// How busy this host is, as far as it knows itself.
    pub(crate) fn load(&self) -> LoadReport {
        let state = self.lock();
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        LoadReport {
            running: count(state.queue.running_count()),
            waiting: count(state.queue.waiting_count()),
            capacity: state.queue.running_max(),
            queue_room: count(state.queue.room()),
        }
    }

    /// Notes how the run of `attempt` ended.
    pub(crate) fn end_attempt(&self, attempt: AttemptId, state: AttemptState) {
        self.lock().attempts.end(attempt, state);
    }
}

/// A place in the queue or at the backend server, given back when dropped.
pub(crate) struct PlaceGuard {
    shared: Arc<GuardShared>,
    ticket: RunTicket,
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.forget_start(self.ticket);
        if !state.queue.withdraw(self.ticket) {
            let started = state.queue.end(self.ticket, clock_now());
            state.tell_started(started);
        }
    }
}

/// A refusal of something that did not run.
pub(crate) fn refusal(kind: ErrorKind, detail: &str) -> SwitchError {
    SwitchError::new(kind, detail).with_outcome(RunOutcome::NotRun)
}

fn arrival_error(arrival: Arrival) -> SwitchResult<()> {
    let error = match arrival {
        Arrival::Fresh => return Ok(()),
        Arrival::Buried => refusal(ErrorKind::CallerGone, "it was given up before it came"),
        Arrival::Doubled => SwitchError::new(ErrorKind::AttemptDoubled, "this attempt came before")
            .with_outcome(RunOutcome::NotKnown),
        Arrival::TooOld => SwitchError::new(
            ErrorKind::OutcomeUnknown,
            "what was known of this attempt is forgotten",
        ),
        Arrival::Full => refusal(ErrorKind::BackendBusy, "too many attempts to remember"),
    };
    Err(error)
}

fn queue_error(refused: QueueRefusal) -> SwitchError {
    match refused {
        QueueRefusal::Full => refusal(ErrorKind::BackendBusy, "the queue is full"),
        QueueRefusal::TooLate { wait } => refusal(
            ErrorKind::DeadlineUnreachable,
            "the queue is longer than its deadline",
        )
        .come_back_in(wait),
    }
}
