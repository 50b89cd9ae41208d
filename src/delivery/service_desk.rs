//! Where requests for one service are let in, wait, and are placed at backend servers. The state is
//! one lock over pure machines; the lock is never held while anything is awaited or sent.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::order_book::{OrderBook, OrderTurn};
use super::placed_attempt::PlacedAttempt;
use crate::admission::{
    AccountKey, AdmissionState, DispatchOutcome, QueuedRequest, RetryCause, TicketKey,
};
use crate::control::{ControlSnapshot, ServiceRecord};
use crate::derives::key;
use crate::documents::RequestPriority;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::membership::HostIdentity;
use crate::metrics;
use crate::routing::{BackendPool, NoPick, PickWish, PickedBackend, entry_count};
use crate::time::{ClockTime, clock_now};

/// How long a request waits while no backend server could take it at all. One that restarts or
/// changes its version is back soon; for what takes longer the caller is told.
const NOBODY_LIMIT: Duration = Duration::from_secs(2);

/// What a request wants of its place.
#[apply(key!)]
pub(crate) struct PlaceWish {
    /// Where it may go.
    pub(crate) pick: PickWish,
    /// How urgent it is.
    pub(crate) priority: RequestPriority,
    /// Its estimated cost, in tokens.
    pub(crate) cost: u64,
    /// Whether it goes before first attempts.
    pub(crate) skips_fair_queue: bool,
    /// When waiting longer is no use.
    pub(crate) limit: ClockTime,
}

/// What decides where a waiting request may go.
#[apply(key!)]
struct WaitTarget {
    pick: PickWish,
    turn: Option<OrderTurn>,
}

/// Who waits for the place of a ticket.
struct TicketWaiter {
    ticket: TicketKey,
    cost: u64,
    sender: oneshot::Sender<PlacedAttempt>,
    /// What stood in the way last.
    obstacle: NoPick,
}

/// The state shared by all requests for one service.
pub(crate) struct ServiceDesk {
    name: ByteString,
    state: Mutex<DeskState>,
}

pub(super) struct DeskState {
    admission: AdmissionState<WaitTarget>,
    pub(super) backends: BackendPool,
    orders: OrderBook,
    /// By the ticket's place.
    waiters: Vec<Option<TicketWaiter>>,
    generation: Option<u64>,
}

impl ServiceDesk {
    /// The desk of service `name`; `seed` makes its random choices.
    pub(crate) fn new(name: ByteString, seed: u64) -> Self {
        Self {
            name,
            state: Mutex::new(DeskState {
                admission: AdmissionState::new(),
                backends: BackendPool::new(seed),
                orders: OrderBook::default(),
                waiters: Vec::new(),
                generation: None,
            }),
        }
    }

    /// Takes what the control state says now, if it is new, and places who can go by it.
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

    /// Lets one request of `account` in; `order` is the hash of its order key, if it has one.
    ///
    /// # Errors
    ///
    /// What the account's limits say.
    pub(crate) fn admit(
        self: &Arc<Self>,
        account: &ByteString,
        priority: RequestPriority,
        order: Option<u64>,
        now: ClockTime,
    ) -> SwitchResult<AdmissionPass> {
        let mut state = self.lock();
        let account = state.admission.admit(account, priority, now)?;
        let turn = order.map(|order| state.orders.enter(order));
        drop(state);
        Ok(AdmissionPass {
            desk: self.clone(),
            account,
            turn,
        })
    }

    /// Places whoever can go now.
    pub(super) fn dispatch(self: &Arc<Self>, now: ClockTime) {
        let placed = self.lock().dispatch(now);
        // Outside of the lock: a waiter that has left drops its place, which takes the lock.
        for (waiter, picked) in placed {
            let attempt = PlacedAttempt::new(self.clone(), picked, now, waiter.cost);
            let _ = waiter.sender.send(attempt);
        }
    }

    /// Writes the queues' lengths to the metrics.
    pub(crate) fn record_levels(&self) {
        let state = self.lock();
        let counts = RequestPriority::ALL.map(|priority| state.admission.count(priority));
        drop(state);
        let names = ["waiting_urgent", "waiting_normal", "waiting_batch"];
        for (name, count) in names.into_iter().zip(counts) {
            metrics::set_level(name, &self.name, count as u64);
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DeskState {
    fn refresh(
        &mut self,
        snapshot: &ControlSnapshot,
        record: &ServiceRecord,
        identity: &HostIdentity,
        now: ClockTime,
    ) {
        self.generation = Some(snapshot.generation);
        let document = &record.document;
        let entries = entry_count(snapshot, identity);
        let percent = document.retry.budget_percent;
        self.admission
            .refresh(&document.accounts, percent, entries, now);
        self.backends.refresh(snapshot, document, identity, now);
    }

    fn dispatch(&mut self, now: ClockTime) -> Vec<(TicketWaiter, PickedBackend)> {
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
        admission.dispatch(now, |ticket, wish| {
            let slot = &mut waiters[ticket.place()];
            let target = &wish.target;
            if target.turn.is_some_and(|turn| !orders.may_go(turn)) {
                return DispatchOutcome::Full;
            }
            match backends.pick(&target.pick, now) {
                Ok(picked) => {
                    let waiter = slot.take().expect("each ticket has its waiter");
                    assert_eq!(waiter.ticket, ticket, "a place went to another request");
                    placed.push((waiter, picked));
                    DispatchOutcome::Dispatched
                }
                Err(obstacle) => {
                    if let Some(waiter) = slot {
                        waiter.obstacle = obstacle;
                    }
                    DispatchOutcome::Full
                }
            }
        });
        placed
    }

    fn add_waiter(&mut self, ticket: TicketKey, cost: u64, sender: oneshot::Sender<PlacedAttempt>) {
        let place = ticket.place();
        if place >= self.waiters.len() {
            self.waiters.resize_with(place + 1, || None);
        }
        self.waiters[place] = Some(TicketWaiter {
            ticket,
            cost,
            sender,
            obstacle: NoPick::Full,
        });
    }

    /// Takes a request that waits no longer out. Returns what stood in its way, unless it has just
    /// been placed.
    fn give_up(&mut self, ticket: TicketKey) -> Option<NoPick> {
        if !self.admission.dequeue(ticket) {
            return None;
        }
        let waiter = self.waiters[ticket.place()].take();
        waiter.map(|waiter| waiter.obstacle)
    }

    fn obstacle(&self, ticket: TicketKey) -> Option<NoPick> {
        let waiter = self.waiters[ticket.place()].as_ref()?;
        (waiter.ticket == ticket).then_some(waiter.obstacle)
    }
}

/// One request's leave to be here: holds its account's limits until it is dropped.
pub(crate) struct AdmissionPass {
    desk: Arc<ServiceDesk>,
    account: AccountKey,
    turn: Option<OrderTurn>,
}

impl AdmissionPass {
    /// Waits until a backend server has room.
    ///
    /// # Errors
    ///
    /// `QueueFull` and `DeadlineUnreachable` at once; later `DeadlineUnreachable` or `NoBackend`.
    pub(crate) async fn place(&self, wish: &PlaceWish) -> SwitchResult<PlacedAttempt> {
        let now = clock_now();
        let (sender, mut receiver) = oneshot::channel();
        let ticket = self.enqueue(wish, sender, now)?;
        let guard = WaitGuard { pass: self, ticket };
        self.desk.dispatch(now);
        let left = wish.limit.since(now);
        if let Ok(placed) = timeout(left.min(NOBODY_LIMIT), &mut receiver).await {
            return placed.map_err(|_| lost_waiter());
        }
        let obstacle = self.desk.lock().obstacle(ticket);
        if obstacle != Some(NoPick::Nobody)
            && let Ok(placed) = timeout(left.saturating_sub(NOBODY_LIMIT), &mut receiver).await
        {
            return placed.map_err(|_| lost_waiter());
        }
        match guard.give_up() {
            Some(obstacle) => Err(refusal(obstacle)),
            // It was placed in this very moment.
            None => receiver.await.map_err(|_| lost_waiter()),
        }
    }

    /// Takes one retry from the budgets, if both have one.
    pub(crate) fn spend_retry(&self, cause: RetryCause) -> bool {
        let mut state = self.desk.lock();
        state.admission.spend_retry(self.account, cause)
    }

    fn enqueue(
        &self,
        wish: &PlaceWish,
        sender: oneshot::Sender<PlacedAttempt>,
        now: ClockTime,
    ) -> SwitchResult<TicketKey> {
        let mut state = self.desk.lock();
        let wait = QueuedRequest {
            account: self.account,
            priority: wish.priority,
            cost: wish.cost,
            deadline: wish.limit,
            skips_fair_queue: wish.skips_fair_queue,
            target: WaitTarget {
                pick: wish.pick,
                turn: self.turn,
            },
        };
        let ticket = state.admission.enqueue(wait, now)?;
        state.add_waiter(ticket, wish.cost, sender);
        Ok(ticket)
    }
}

impl Drop for AdmissionPass {
    fn drop(&mut self) {
        let mut state = self.desk.lock();
        state.admission.release(self.account);
        let was_first = self.turn.is_some_and(|turn| state.orders.leave(turn));
        drop(state);
        if was_first {
            self.desk.dispatch(clock_now());
        }
    }
}

/// Takes a request out of its line when whoever waits for it stops waiting.
struct WaitGuard<'a> {
    pass: &'a AdmissionPass,
    ticket: TicketKey,
}

impl WaitGuard<'_> {
    fn give_up(&self) -> Option<NoPick> {
        self.pass.desk.lock().give_up(self.ticket)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.give_up();
    }
}

fn refusal(obstacle: NoPick) -> SwitchError {
    match obstacle {
        NoPick::Nobody => {
            let detail = "no backend server can take it";
            SwitchError::new(ErrorKind::NoBackend, detail)
        }
        NoPick::Full => {
            let detail = "no backend server had room in time";
            SwitchError::new(ErrorKind::DeadlineUnreachable, detail)
        }
    }
}

fn lost_waiter() -> SwitchError {
    SwitchError::new(ErrorKind::Internal, "a waiting request lost its place")
}
