//! The state that all requests of a host process share, and the slots at its backend server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytestring::ByteString;
use tokio::sync::oneshot;

use super::attempt_ledger::{Arrival, AttemptLedger, AttemptState};
use super::run_queue::{QueueAdmission, QueueRefusal, RunQueue, RunTicket};
use super::serving_gate::ServingGate;
use crate::daemon::DrainState;
use crate::delivery::{AttemptId, RunOrder};
use crate::documents::RequestPriority;
use crate::engines::{EngineAdapter, PlainAdapter};
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::membership::{LoadReport, StatusPublisher};
use crate::time::{ClockTime, clock_now};

/// Interval at which a queued call checks whether it was withdrawn.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The backend server on this host.
#[derive(Clone)]
pub(crate) enum LocalBackend {
    /// A model engine.
    Model(Arc<dyn EngineAdapter>),
    /// A plain service.
    Plain(Arc<dyn PlainAdapter>),
}

/// What all requests of this process share.
pub(crate) struct GuardShared {
    pub(crate) service: ByteString,
    pub(crate) incarnation: u64,
    pub(crate) backend: LocalBackend,
    pub(crate) gate: ServingGate,
    pub(crate) publisher: StatusPublisher,
    pub(crate) drain: DrainState,
    pub(crate) state: Mutex<GuardState>,
}

/// Budget of calls that are sent again on a second connection: a tenth of the calls, so that a
/// service that has become slow does not get twice the calls.
#[derive(Debug)]
pub(super) struct HedgeBudget {
    tenths: u32,
}

impl HedgeBudget {
    const TENTHS_MAX: u32 = 50;

    const fn new() -> Self {
        Self {
            tenths: Self::TENTHS_MAX,
        }
    }

    /// Counts a call, which adds a tenth of a hedged call to the budget.
    pub(super) fn record_call(&mut self) {
        self.tenths = Self::TENTHS_MAX.min(self.tenths + 1);
    }

    /// Takes one hedged call from the budget. Returns whether the budget allowed it.
    pub(super) const fn try_spend(&mut self) -> bool {
        let has_one = self.tenths >= 10;
        if has_one {
            self.tenths -= 10;
        }
        has_one
    }
}

/// The state behind all decisions. One lock protects all of it, so that an attempt cannot start
/// while it is reported as not run; it is held for short steps only.
pub(crate) struct GuardState {
    pub(crate) attempts: AttemptLedger,
    pub(crate) queue: RunQueue,
    pub(super) hedge_budget: HedgeBudget,
    /// Signals for the queued requests, sorted by ticket.
    start_signals: Vec<(RunTicket, oneshot::Sender<()>)>,
}

impl GuardState {
    pub(crate) const fn new(queue: RunQueue) -> Self {
        Self {
            attempts: AttemptLedger::new(),
            queue,
            hedge_budget: HedgeBudget::new(),
            start_signals: Vec::new(),
        }
    }

    /// Signals the requests that may start now.
    pub(crate) fn notify_started(&mut self, started: Vec<RunTicket>) {
        for ticket in started {
            let found = self
                .start_signals
                .binary_search_by_key(&ticket, |(one, _)| *one);
            if let Ok(at) = found {
                let (_, start) = self.start_signals.remove(at);
                // If the receiver is gone, its `SlotGuard` returns the slot.
                let _ = start.send(());
            }
        }
    }

    fn remove_start_signal(&mut self, ticket: RunTicket) {
        let found = self
            .start_signals
            .binary_search_by_key(&ticket, |(one, _)| *one);
        if let Ok(at) = found {
            self.start_signals.remove(at);
        }
    }
}

impl GuardShared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, GuardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers and checks an order, or returns the refusal. After a refusal the attempt never
    /// runs here.
    pub(crate) fn admit(&self, order: &RunOrder, now: ClockTime) -> SwitchResult<()> {
        if order.incarnation != self.incarnation {
            return Err(refusal(
                ErrorKind::BackendLeaving,
                "the host process that the order was meant for no longer runs",
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
        let is_model = matches!(self.backend, LocalBackend::Model(_));
        if is_model && self.gate.serving().is_none() {
            return Err(refusal(ErrorKind::WeightsNotReady, "no version is served"));
        }
        Ok(())
    }

    /// Waits for a slot at the backend server until `deadline`, as long as `is_waiting` returns
    /// true.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        priority: RequestPriority,
        deadline: ClockTime,
        is_waiting: impl Fn(&GuardState) -> bool,
    ) -> SwitchResult<SlotGuard> {
        let (slot, start) = self.request_slot(priority, deadline)?;
        let Some(mut start) = start else {
            return Ok(slot);
        };
        loop {
            let left = deadline.since(clock_now());
            tokio::select! {
                biased;
                _ = &mut start => return Ok(slot),
                () = self.drain.wait_begun() => {
                    return Err(refusal(ErrorKind::BackendLeaving, "this host is leaving"));
                }
                () = tokio::time::sleep(left.min(CANCEL_CHECK_INTERVAL)) => {}
            }
            if clock_now() >= deadline {
                let detail = "the request reached its deadline in the queue of the host";
                return Err(refusal(ErrorKind::DeadlineUnreachable, detail));
            }
            if !is_waiting(&self.lock()) {
                return Err(refusal(
                    ErrorKind::CallerGone,
                    "the attempt was withdrawn while it was queued",
                ));
            }
        }
    }

    fn request_slot(
        self: &Arc<Self>,
        priority: RequestPriority,
        deadline: ClockTime,
    ) -> SwitchResult<(SlotGuard, Option<oneshot::Receiver<()>>)> {
        let mut state = self.lock();
        let answer = state.queue.offer(priority, deadline, clock_now());
        let (ticket, start) = match answer.map_err(queue_error)? {
            QueueAdmission::Started(ticket) => (ticket, None),
            QueueAdmission::Waiting(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.start_signals.push((ticket, sender));
                (ticket, Some(receiver))
            }
        };
        let shared = Arc::clone(self);
        Ok((SlotGuard { shared, ticket }, start))
    }

    /// Returns the load of this host by its own queue.
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

    /// Records how the run of `attempt` ended.
    pub(crate) fn end_attempt(&self, attempt: AttemptId, state: AttemptState) {
        self.lock().attempts.end(attempt, state);
    }
}

/// A place in the queue or a slot at the backend server, returned when dropped.
pub(crate) struct SlotGuard {
    shared: Arc<GuardShared>,
    ticket: RunTicket,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.remove_start_signal(self.ticket);
        if !state.queue.withdraw(self.ticket) {
            let started = state.queue.end(self.ticket, clock_now());
            state.notify_started(started);
        }
    }
}

/// Returns the error for a refused request, which did not run.
pub(crate) fn refusal(kind: ErrorKind, detail: &str) -> SwitchError {
    SwitchError::new(kind, detail).with_outcome(RunOutcome::NotRun)
}

fn arrival_error(arrival: Arrival) -> SwitchResult<()> {
    let error = match arrival {
        Arrival::Fresh => return Ok(()),
        Arrival::Cancelled => refusal(
            ErrorKind::CallerGone,
            "the attempt was reported as not run or withdrawn before this order arrived",
        ),
        Arrival::Duplicate => SwitchError::new(
            ErrorKind::AttemptDoubled,
            "this attempt was received before",
        )
        .with_outcome(RunOutcome::NotKnown),
        Arrival::TooOld => SwitchError::new(
            ErrorKind::OutcomeUnknown,
            "the record of this attempt may have expired",
        ),
        Arrival::Full => refusal(ErrorKind::BackendBusy, "too many attempts are recorded"),
    };
    Err(error)
}

fn queue_error(refused: QueueRefusal) -> SwitchError {
    match refused {
        QueueRefusal::Full => refusal(ErrorKind::BackendBusy, "the queue is full"),
        QueueRefusal::TooLate { wait } => refusal(
            ErrorKind::DeadlineUnreachable,
            "the expected wait in the queue exceeds the deadline",
        )
        .with_retry_after(wait),
    }
}
