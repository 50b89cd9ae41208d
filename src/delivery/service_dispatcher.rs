//! Admits the requests for one service, queues them and assigns them to backend servers. One lock
//! protects the state, which does no input or output; the lock is never held across an await or a
//! send.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::backend_slot::BackendSlot;
use super::order_tracker::{OrderTicket, OrderTracker};
use crate::admission::{
    AccountKey, AdmissionState, DispatchOutcome, QueuedRequest, RetryCause, TicketKey,
};
use crate::control::{ControlSnapshot, ServiceRecord};
use crate::derives::key;
use crate::documents::RequestPriority;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::membership::HostIdentity;
use crate::metrics;
use crate::routing::{BackendPool, PickCriteria, PickFailure, PickedBackend, entry_count};
use crate::time::{ClockTime, clock_now};

/// Maximum wait while no backend server is eligible. This covers a restart or a change of version;
/// for longer outages the caller gets an error.
const NONE_ELIGIBLE_WAIT: Duration = Duration::from_secs(2);

/// A request for a slot at a backend server.
#[apply(key!)]
pub(crate) struct SlotRequest {
    /// Criteria for the pick of the backend server.
    pub(crate) pick: PickCriteria,
    /// The priority of the request.
    pub(crate) priority: RequestPriority,
    /// Estimated cost of the request, in tokens.
    pub(crate) cost: u64,
    /// Whether the request is placed before first attempts. Set for retries and resumed answers.
    pub(crate) skips_fair_queue: bool,
    /// Latest time for the placement.
    pub(crate) time_limit: ClockTime,
}

/// Decides whether and where a waiting request may be dispatched.
#[apply(key!)]
struct DispatchTarget {
    pick: PickCriteria,
    order_ticket: Option<OrderTicket>,
}

/// A request that waits for a slot.
struct SlotWaiter {
    ticket: TicketKey,
    cost: u64,
    sender: oneshot::Sender<BackendSlot>,
    /// Why the last pick for this request failed.
    last_failure: PickFailure,
}

/// Admits and dispatches all requests for one service on this entry host.
pub(crate) struct ServiceDispatcher {
    name: ByteString,
    state: Mutex<DispatcherState>,
}

pub(super) struct DispatcherState {
    admission: AdmissionState<DispatchTarget>,
    pub(super) backends: BackendPool,
    orders: OrderTracker,
    /// Indexed by the place of the ticket in the admission state.
    waiters: Vec<Option<SlotWaiter>>,
    generation: Option<u64>,
}

impl ServiceDispatcher {
    /// Creates the dispatcher of service `name`. `seed` seeds its random choices.
    pub(crate) fn new(name: ByteString, seed: u64) -> Self {
        Self {
            name,
            state: Mutex::new(DispatcherState {
                admission: AdmissionState::new(),
                backends: BackendPool::new(seed),
                orders: OrderTracker::default(),
                waiters: Vec::new(),
                generation: None,
            }),
        }
    }

    /// Applies the control snapshot if its generation differs from that of the last one, then
    /// dispatches the waiting requests.
    pub(crate) fn refresh(
        self: &Arc<Self>,
        snapshot: &ControlSnapshot,
        identity: &HostIdentity,
        now: ClockTime,
    ) {
        if let Some(record) = snapshot.service(&self.name) {
            let mut state = self.lock();
            if state.generation != Some(snapshot.generation) {
                state.refresh(snapshot, record, identity, now);
            }
        }
        self.dispatch(now);
    }

    /// Admits one request of `account`. `order_key` is the hash of its order key, if it has one.
    ///
    /// # Errors
    ///
    /// The refusal by the limits of the account.
    pub(crate) fn admit(
        self: &Arc<Self>,
        account: &ByteString,
        priority: RequestPriority,
        order_key: Option<u64>,
        now: ClockTime,
    ) -> SwitchResult<AdmissionPass> {
        let mut state = self.lock();
        let account = state.admission.admit(account, priority, now)?;
        let order_ticket = order_key.map(|order_key| state.orders.enter(order_key));
        drop(state);
        Ok(AdmissionPass {
            dispatcher: self.clone(),
            account,
            order_ticket,
        })
    }

    /// Assigns waiting requests to backend servers that have capacity now.
    pub(super) fn dispatch(self: &Arc<Self>, now: ClockTime) {
        let placed = self.lock().dispatch(now);
        // Must run outside the lock: if the receiver is gone, the slot is dropped, which takes the
        // lock.
        for (waiter, picked) in placed {
            let slot = BackendSlot::new(self.clone(), picked, now, waiter.cost);
            let _ = waiter.sender.send(slot);
        }
    }

    /// Writes the number of waiting requests of each priority to the metrics.
    pub(crate) fn record_levels(&self) {
        let state = self.lock();
        let counts = RequestPriority::ALL.map(|priority| state.admission.count(priority));
        drop(state);
        let names = ["waiting_urgent", "waiting_normal", "waiting_batch"];
        for (name, count) in names.into_iter().zip(counts) {
            metrics::set_gauge(name, &self.name, count as u64);
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, DispatcherState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DispatcherState {
    fn refresh(
        &mut self,
        snapshot: &ControlSnapshot,
        record: &ServiceRecord,
        identity: &HostIdentity,
        now: ClockTime,
    ) {
        self.generation = Some(snapshot.generation);
        let document = &record.document;
        let entry_hosts = entry_count(snapshot, identity);
        let percent = document.retry.budget_percent;
        self.admission
            .refresh(&document.accounts, percent, entry_hosts, now);
        self.backends.refresh(snapshot, document, identity, now);
    }

    fn dispatch(&mut self, now: ClockTime) -> Vec<(SlotWaiter, PickedBackend)> {
        let mut placed = Vec::new();
        if self.admission.is_empty() {
            return placed;
        }
        let Self {
            admission,
            backends,
            orders,
            waiters,
            ..
        } = self;
        admission.dispatch(now, |ticket, request| {
            let entry = &mut waiters[ticket.place()];
            let target = &request.target;
            if target
                .order_ticket
                .is_some_and(|order_ticket| !orders.is_next(order_ticket))
            {
                return DispatchOutcome::Full;
            }
            match backends.pick(&target.pick, now) {
                Ok(picked) => {
                    let waiter = entry.take().expect("each ticket has its waiter");
                    assert_eq!(
                        waiter.ticket, ticket,
                        "a slot was assigned to another request"
                    );
                    placed.push((waiter, picked));
                    DispatchOutcome::Dispatched
                }
                Err(last_failure) => {
                    if let Some(waiter) = entry {
                        waiter.last_failure = last_failure;
                    }
                    DispatchOutcome::Full
                }
            }
        });
        placed
    }

    fn add_waiter(&mut self, ticket: TicketKey, cost: u64, sender: oneshot::Sender<BackendSlot>) {
        let place = ticket.place();
        if place >= self.waiters.len() {
            self.waiters.resize_with(place + 1, || None);
        }
        self.waiters[place] = Some(SlotWaiter {
            ticket,
            cost,
            sender,
            last_failure: PickFailure::Full,
        });
    }

    /// Removes a request that has stopped waiting. Returns why its last pick failed, or `None` if
    /// it has just been placed.
    fn remove_waiter(&mut self, ticket: TicketKey) -> Option<PickFailure> {
        if !self.admission.dequeue(ticket) {
            return None;
        }
        let waiter = self.waiters[ticket.place()].take();
        waiter.map(|waiter| waiter.last_failure)
    }

    fn last_failure(&self, ticket: TicketKey) -> Option<PickFailure> {
        let waiter = self.waiters[ticket.place()].as_ref()?;
        (waiter.ticket == ticket).then_some(waiter.last_failure)
    }
}

/// Admission of one request. It counts towards the limits of its account until it is dropped.
pub(crate) struct AdmissionPass {
    dispatcher: Arc<ServiceDispatcher>,
    account: AccountKey,
    order_ticket: Option<OrderTicket>,
}

impl AdmissionPass {
    /// Waits for a slot at a backend server.
    ///
    /// # Errors
    ///
    /// `QueueFull` or `DeadlineUnreachable` immediately, when the request cannot be queued or could
    /// not start in time. After waiting, `DeadlineUnreachable` or `NoBackend`.
    pub(crate) async fn acquire_slot(&self, request: &SlotRequest) -> SwitchResult<BackendSlot> {
        let now = clock_now();
        let (sender, mut receiver) = oneshot::channel();
        let ticket = self.enqueue(request, sender, now)?;
        let guard = WaiterGuard { pass: self, ticket };
        self.dispatcher.dispatch(now);
        let left = request.time_limit.since(now);
        if let Ok(slot) = timeout(left.min(NONE_ELIGIBLE_WAIT), &mut receiver).await {
            return slot.map_err(|_| dropped_waiter_error());
        }
        let last_failure = self.dispatcher.lock().last_failure(ticket);
        if last_failure != Some(PickFailure::NoneEligible)
            && let Ok(placed) =
                timeout(left.saturating_sub(NONE_ELIGIBLE_WAIT), &mut receiver).await
        {
            return placed.map_err(|_| dropped_waiter_error());
        }
        match guard.remove_waiter() {
            Some(last_failure) => Err(pick_error(last_failure)),
            // The request was placed between the timeout and the removal.
            None => receiver.await.map_err(|_| dropped_waiter_error()),
        }
    }

    /// Takes one retry from both budgets. Returns false if one of them is spent.
    pub(crate) fn spend_retry(&self, cause: RetryCause) -> bool {
        let mut state = self.dispatcher.lock();
        state.admission.spend_retry(self.account, cause)
    }

    fn enqueue(
        &self,
        request: &SlotRequest,
        sender: oneshot::Sender<BackendSlot>,
        now: ClockTime,
    ) -> SwitchResult<TicketKey> {
        let mut state = self.dispatcher.lock();
        let wait = QueuedRequest {
            account: self.account,
            priority: request.priority,
            cost: request.cost,
            deadline: request.time_limit,
            skips_fair_queue: request.skips_fair_queue,
            target: DispatchTarget {
                pick: request.pick,
                order_ticket: self.order_ticket,
            },
        };
        let ticket = state.admission.enqueue(wait, now)?;
        state.add_waiter(ticket, request.cost, sender);
        Ok(ticket)
    }
}

impl Drop for AdmissionPass {
    fn drop(&mut self) {
        let mut state = self.dispatcher.lock();
        state.admission.release(self.account);
        let was_tracked = self
            .order_ticket
            .is_some_and(|order_ticket| state.orders.leave(order_ticket));
        drop(state);
        if was_tracked {
            self.dispatcher.dispatch(clock_now());
        }
    }
}

/// Removes a request from the queue when its task stops waiting.
struct WaiterGuard<'a> {
    pass: &'a AdmissionPass,
    ticket: TicketKey,
}

impl WaiterGuard<'_> {
    fn remove_waiter(&self) -> Option<PickFailure> {
        self.pass.dispatcher.lock().remove_waiter(self.ticket)
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.remove_waiter();
    }
}

fn pick_error(last_failure: PickFailure) -> SwitchError {
    match last_failure {
        PickFailure::NoneEligible => {
            let detail = "no backend server is eligible for the request";
            SwitchError::new(ErrorKind::NoBackend, detail)
        }
        PickFailure::Full => {
            let detail = "no backend server had capacity before the deadline";
            SwitchError::new(ErrorKind::DeadlineUnreachable, detail)
        }
    }
}

fn dropped_waiter_error() -> SwitchError {
    SwitchError::new(
        ErrorKind::Internal,
        "a waiting request was dropped without an answer",
    )
}
