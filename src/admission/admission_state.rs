//! The admission control of one service: its accounts, and the queues of waiting requests by class.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::account_state::AccountState;
use super::fair_queue::{AccountKey, FairQueue, TicketKey};
use super::retry_budget::{RetryBudget, RetryCause, spend_both};
use super::service_rate::ServiceRate;
use crate::derives::key;
use crate::documents::{AccountSpec, RequestPriority};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::ClockTime;

/// The most requests of one service that may wait at one entry host, shared among accounts by
/// weight.
const WAITING_MAX: u32 = 4096;
/// The least share of [`WAITING_MAX`] that an account gets, however small its weight.
const WAITING_MIN: u32 = 16;
const CLASSES: usize = RequestPriority::ALL.len();

/// A request to be queued until a backend server is available.
#[apply(key!)]
pub(crate) struct QueuedRequest<T> {
    /// The account that sent it.
    pub(crate) account: AccountKey,
    /// The class of the request.
    pub(crate) priority: RequestPriority,
    /// The estimated cost, in tokens.
    pub(crate) cost: u64,
    /// The time after which the request must not wait any longer.
    pub(crate) deadline: ClockTime,
    /// Whether it is dispatched before the fair queue of its class. Set for retries, which have
    /// waited before, and for requests that only one backend server can serve.
    pub(crate) skips_fair_queue: bool,
    /// What restricts the choice of its backend server.
    pub(crate) target: T,
}

/// The result of offering a waiting request in [`AdmissionState::dispatch`].
#[apply(key!)]
pub(crate) enum DispatchOutcome {
    /// It was sent to a backend server.
    Dispatched,
    /// No backend server has a free slot for it.
    Full,
}

/// A slot for a waiting request.
#[derive(Debug)]
struct QueueSlot<T> {
    /// Increases with each request that leaves the slot.
    generation: u32,
    request: Option<QueuedRequest<T>>,
}

/// The admission control of one service at one entry host.
#[derive(Debug)]
pub(crate) struct AdmissionState<T> {
    accounts: Vec<AccountState>,
    /// The accounts, sorted by name.
    by_name: Vec<AccountKey>,
    slots: Vec<QueueSlot<T>>,
    /// The free slots.
    free: Vec<u32>,
    /// The fair queues, by class.
    queues: [FairQueue; CLASSES],
    /// The requests that skip the fair queue, by class and in order of arrival.
    bypass_queues: [Vec<TicketKey>; CLASSES],
    rate: ServiceRate,
    retries: RetryBudget,
    /// The retries allowed per 100 requests.
    budget_percent: u32,
}

impl<T: Copy> AdmissionState<T> {
    /// Creates a state without accounts.
    pub(crate) fn new() -> Self {
        Self {
            accounts: Vec::new(),
            by_name: Vec::new(),
            slots: Vec::new(),
            free: Vec::new(),
            queues: Default::default(),
            bypass_queues: Default::default(),
            rate: ServiceRate::default(),
            retries: RetryBudget::default(),
            budget_percent: 0,
        }
    }

    /// Applies the current document. `entries` is the number of entry hosts that share its limits.
    pub(crate) fn refresh(
        &mut self,
        specs: &[AccountSpec],
        budget_percent: u32,
        entries: u32,
        now: ClockTime,
    ) {
        self.budget_percent = budget_percent;
        for account in &mut self.accounts {
            account.is_known = false;
        }
        let weights: u64 = specs.iter().map(|spec| u64::from(spec.weight)).sum();
        for spec in specs {
            let share = u64::from(WAITING_MAX) * u64::from(spec.weight) / weights.max(1);
            let waiting = u32::try_from(share).unwrap_or(WAITING_MAX).max(WAITING_MIN);
            match self.find(&spec.name) {
                Ok(index) => {
                    let key = self.by_name[index];
                    self.account_mut(key).refresh(spec, entries, waiting);
                }
                Err(index) => {
                    let account = AccountState::new(spec, entries, waiting, now);
                    let key = self.insert(account);
                    self.by_name.insert(index, key);
                }
            }
        }
        let accounts = &self.accounts;
        self.by_name.retain(|key| accounts[key.0 as usize].is_known);
    }

    /// Admits one request of account `name`.
    ///
    /// # Errors
    ///
    /// `AccountUnknown` if the document has no such account, or `RateLimited`, `ConcurrencyLimited`
    /// or `UrgentShareSpent` if a limit of the account is reached.
    pub(crate) fn admit(
        &mut self,
        name: &ByteString,
        priority: RequestPriority,
        now: ClockTime,
    ) -> SwitchResult<AccountKey> {
        let unknown = |_| SwitchError::new(ErrorKind::AccountUnknown, "the account was removed");
        let index = self.find(name).map_err(unknown)?;
        let key = self.by_name[index];
        let percent = self.budget_percent;
        let account = self.account_mut(key);
        account.admit(priority, now)?;
        account.retries.credit(percent);
        self.retries.credit(percent);
        Ok(key)
    }

    /// Counts an admitted request that has ended.
    pub(crate) fn release(&mut self, account: AccountKey) {
        self.account_mut(account).release();
    }

    /// Takes one retry from the budgets of the service and the account, if both have one. Returns
    /// whether it did.
    pub(crate) fn spend_retry(&mut self, account: AccountKey, cause: RetryCause) -> bool {
        let account = &mut self.accounts[account.0 as usize];
        spend_both(&mut self.retries, &mut account.retries, cause)
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// `QueueFull` if the account's share of the queue is full. `DeadlineUnreachable` with the time
    /// after which to retry if the request would wait past its deadline; it is refused now rather
    /// than at the deadline.
    pub(crate) fn enqueue(
        &mut self,
        request: QueuedRequest<T>,
        now: ClockTime,
    ) -> SwitchResult<TicketKey> {
        if !request.skips_fair_queue {
            self.check_deadline(&request, now)?;
        }
        let account = self.account_mut(request.account);
        account.start_waiting()?;
        let weight = account.weight;
        let class = class_of(request.priority);
        let ticket = self.issue(request);
        if request.skips_fair_queue {
            self.bypass_queues[class].push(ticket);
        } else {
            self.queues[class].push(request.account, weight, ticket, request.cost);
        }
        self.rate.start(now);
        Ok(ticket)
    }

    /// Removes a request from its queue, dispatched or not. Returns whether it still waited.
    pub(crate) fn dequeue(&mut self, ticket: TicketKey) -> bool {
        let Some(request) = self.request(ticket) else {
            return false;
        };
        let class = class_of(request.priority);
        if request.skips_fair_queue {
            self.bypass_queues[class].retain(|other| *other != ticket);
        } else {
            self.queues[class].remove(request.account, ticket);
        }
        self.free_slot(ticket, request.account);
        true
    }

    /// Offers the waiting requests to `try_dispatch`, by class from the most urgent one and within
    /// a class in the order of dispatch. After the first request of a fair queue that is `Full`,
    /// only requests that skip the fair queue are offered.
    pub(crate) fn dispatch(
        &mut self,
        now: ClockTime,
        mut try_dispatch: impl FnMut(TicketKey, &QueuedRequest<T>) -> DispatchOutcome,
    ) {
        let mut has_capacity = true;
        for class in 0..CLASSES {
            self.dispatch_bypassing(class, &mut try_dispatch);
            while has_capacity {
                let Some((ticket, request)) = self.head_of(class) else {
                    break;
                };
                match try_dispatch(ticket, &request) {
                    DispatchOutcome::Dispatched => self.remove_dispatched(ticket, &request, now),
                    // No later request may overtake it, or a stream of small ones would starve it.
                    DispatchOutcome::Full => has_capacity = false,
                }
            }
        }
    }

    /// Whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.queues.iter().all(FairQueue::is_empty) && self.bypass_queues.iter().all(Vec::is_empty)
    }

    /// The number of waiting requests of a class.
    pub(crate) fn count(&self, priority: RequestPriority) -> usize {
        let class = class_of(priority);
        self.queues[class].count() + self.bypass_queues[class].len()
    }

    fn dispatch_bypassing(
        &mut self,
        class: usize,
        try_dispatch: &mut impl FnMut(TicketKey, &QueuedRequest<T>) -> DispatchOutcome,
    ) {
        let mut next = 0;
        while let Some(ticket) = self.bypass_queues[class].get(next).copied() {
            let request = self
                .request(ticket)
                .expect("a queued ticket has its request");
            match try_dispatch(ticket, &request) {
                DispatchOutcome::Dispatched => {
                    self.dequeue(ticket);
                }
                // Each may need another backend server, so that a full one must not block the
                // others.
                DispatchOutcome::Full => next += 1,
            }
        }
    }

    fn head_of(&self, class: usize) -> Option<(TicketKey, QueuedRequest<T>)> {
        let ticket = self.queues[class].head()?;
        let request = self
            .request(ticket)
            .expect("a queued ticket has its request");
        Some((ticket, request))
    }

    /// Removes the dispatched head of its fair queue.
    fn remove_dispatched(&mut self, ticket: TicketKey, request: &QueuedRequest<T>, now: ClockTime) {
        let popped = self.queues[class_of(request.priority)].pop();
        assert_eq!(
            popped,
            Some(ticket),
            "the dispatched request is not the head of its queue"
        );
        self.rate.record(request.cost, now);
        self.free_slot(ticket, request.account);
    }

    /// Frees the slot of a request that was removed from its queue.
    fn free_slot(&mut self, ticket: TicketKey, account: AccountKey) {
        let slot = &mut self.slots[ticket.slot as usize];
        slot.request = None;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(ticket.slot);
        self.account_mut(account).stop_waiting();
        if self.is_empty() {
            self.rate.stop();
        }
    }

    /// Refuses a request that would wait past its deadline at the measured rate.
    fn check_deadline(&self, request: &QueuedRequest<T>, now: ClockTime) -> SwitchResult<()> {
        let class = class_of(request.priority);
        let left = request.deadline.since(now);
        // The complete backlog is cheap to compute and usually fits into the deadline.
        let backlog = self.backlog_to(class + 1);
        if self.rate.time_for(backlog).is_none_or(|wait| wait <= left) {
            return Ok(());
        }
        let ahead = self.backlog_to(class) + self.cost_ahead(class, request);
        let wait = self.rate.time_for(ahead).unwrap_or_default();
        if wait <= left {
            return Ok(());
        }
        let detail = format!("the request would wait {} ms", wait.as_millis());
        let error = SwitchError::new(ErrorKind::DeadlineUnreachable, detail);
        Err(error.with_retry_after(wait.saturating_sub(left)))
    }

    /// The total cost of the requests in the fair queues of the classes before class `end`.
    fn backlog_to(&self, end: usize) -> u64 {
        self.queues[..end].iter().map(FairQueue::backlog).sum()
    }

    /// The total cost that is dispatched before `request` in its class, without the cost of
    /// `request`.
    ///
    /// A request with nothing ahead is therefore always accepted. Otherwise a low rate that was
    /// measured during an outage would refuse all later requests, and the rate would never be
    /// measured again.
    fn cost_ahead(&self, class: usize, request: &QueuedRequest<T>) -> u64 {
        let weight_of = |account: AccountKey| self.accounts[account.0 as usize].weight;
        self.queues[class].cost_ahead(request.account, request.cost, weight_of)
    }

    /// The index of an account in `by_name`, or the one at which to insert it.
    fn find(&self, name: &ByteString) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|key| self.accounts[key.0 as usize].name.cmp(name))
    }

    fn account_mut(&mut self, key: AccountKey) -> &mut AccountState {
        &mut self.accounts[key.0 as usize]
    }

    /// Stores an account in the slot of a removed one without requests in flight, or in a new slot.
    fn insert(&mut self, account: AccountState) -> AccountKey {
        let in_use = &self.by_name;
        let free = (0..self.accounts.len()).find(|index| {
            let is_removed = !self.accounts[*index].is_known && self.accounts[*index].is_idle();
            is_removed && !in_use.iter().any(|key| key.0 as usize == *index)
        });
        let index = free.unwrap_or(self.accounts.len());
        if index == self.accounts.len() {
            self.accounts.push(account);
        } else {
            self.accounts[index] = account;
        }
        AccountKey(u32::try_from(index).expect("fewer than 4 billion accounts"))
    }

    /// Stores a request in a free slot.
    fn issue(&mut self, request: QueuedRequest<T>) -> TicketKey {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(QueueSlot {
                generation: 0,
                request: None,
            });
            u32::try_from(self.slots.len() - 1).expect("fewer than 4 billion requests wait")
        });
        let slot = &mut self.slots[index as usize];
        debug_assert!(slot.request.is_none(), "a free slot has a request");
        slot.request = Some(request);
        TicketKey {
            slot: index,
            generation: slot.generation,
        }
    }

    /// The request of `ticket`; none if it no longer waits.
    fn request(&self, ticket: TicketKey) -> Option<QueuedRequest<T>> {
        let slot = self.slots.get(ticket.slot as usize)?;
        slot.request
            .filter(|_| slot.generation == ticket.generation)
    }
}

/// The index of a class; 0 is the most urgent one.
const fn class_of(priority: RequestPriority) -> usize {
    priority as usize
}
