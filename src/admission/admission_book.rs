//! The admission of one service: accounts, classes, who waits and who goes next.

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

/// Requests of one service that may wait at one entry host.
const WAITING_MAX: u32 = 4096;
/// What every account may have waiting, however small its weight.
const WAITING_MIN: u32 = 16;
const CLASSES: usize = RequestPriority::ALL.len();

/// A request that wants to wait for a backend server.
#[apply(key!)]
pub(crate) struct QueuedRequest<T> {
    /// The account.
    pub(crate) account: AccountKey,
    /// How urgent it is.
    pub(crate) priority: RequestPriority,
    /// Its estimated cost, in tokens.
    pub(crate) cost: u64,
    /// When waiting longer is no use.
    pub(crate) deadline: ClockTime,
    /// Whether it goes before all first attempts of its class: it has waited its turn before, or
    /// only one backend server can take it.
    pub(crate) skips_fair_queue: bool,
    /// What decides where it may go.
    pub(crate) target: T,
}

/// What came of an attempt to place a waiting request.
#[apply(key!)]
pub(crate) enum DispatchOutcome {
    /// It goes.
    Placed,
    /// There is no room for it now.
    Full,
}

/// A request that waits.
#[derive(Debug)]
struct WaitingRequest<T> {
    turn: u32,
    wish: Option<QueuedRequest<T>>,
}

/// The admission of one service.
#[derive(Debug)]
pub(crate) struct AdmissionState<T> {
    accounts: Vec<AccountState>,
    /// The accounts, sorted by name.
    by_name: Vec<AccountKey>,
    waiting: Vec<WaitingRequest<T>>,
    free: Vec<u32>,
    queues: [FairQueue; CLASSES],
    /// By class, those that go before the fair queue, in order of arrival.
    first: [Vec<TicketKey>; CLASSES],
    rate: ServiceRate,
    retries: RetryBudget,
    budget_percent: u32,
}

impl<T: Copy> AdmissionState<T> {
    /// A book without accounts.
    pub(crate) fn new() -> Self {
        Self {
            accounts: Vec::new(),
            by_name: Vec::new(),
            waiting: Vec::new(),
            free: Vec::new(),
            queues: Default::default(),
            first: Default::default(),
            rate: ServiceRate::default(),
            retries: RetryBudget::default(),
            budget_percent: 0,
        }
    }

    /// Takes what the document says now; its limits are shared by `entries` entry hosts.
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
            let part = u64::from(WAITING_MAX) * u64::from(spec.weight) / weights.max(1);
            let waiting = u32::try_from(part).unwrap_or(WAITING_MAX).max(WAITING_MIN);
            match self.find(&spec.name) {
                Ok(place) => {
                    let key = self.by_name[place];
                    self.account_mut(key).refresh(spec, entries, waiting);
                }
                Err(place) => {
                    let account = AccountState::new(spec, entries, waiting, now);
                    let key = self.insert(account);
                    self.by_name.insert(place, key);
                }
            }
        }
        let accounts = &self.accounts;
        self.by_name.retain(|key| accounts[key.0 as usize].is_known);
    }

    /// Lets one request of account `name` in.
    ///
    /// # Errors
    ///
    /// `AccountUnknown`, `RateLimited`, `ConcurrencyLimited`, `UrgentShareSpent`.
    pub(crate) fn admit(
        &mut self,
        name: &ByteString,
        priority: RequestPriority,
        now: ClockTime,
    ) -> SwitchResult<AccountKey> {
        let unknown = |_| SwitchError::new(ErrorKind::AccountUnknown, "the account is gone");
        let place = self.find(name).map_err(unknown)?;
        let key = self.by_name[place];
        let percent = self.budget_percent;
        let account = self.account_mut(key);
        account.admit(priority, now)?;
        account.retries.earn(percent);
        self.retries.earn(percent);
        Ok(key)
    }

    /// One request that was let in has ended.
    pub(crate) fn release(&mut self, account: AccountKey) {
        self.account_mut(account).release();
    }

    /// Takes one retry from the service's and the account's budget, if both have one.
    pub(crate) fn spend_retry(&mut self, account: AccountKey, cause: RetryCause) -> bool {
        let account = &mut self.accounts[account.0 as usize];
        spend_both(&mut self.retries, &mut account.retries, cause)
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// `QueueFull`, or `DeadlineUnreachable` with when to come back: what cannot make it is told at
    /// once instead of at its deadline.
    pub(crate) fn enqueue(
        &mut self,
        wish: QueuedRequest<T>,
        now: ClockTime,
    ) -> SwitchResult<TicketKey> {
        if !wish.skips_fair_queue {
            self.check_deadline(&wish, now)?;
        }
        let account = self.account_mut(wish.account);
        account.enqueue()?;
        let weight = account.weight;
        let class = class_of(wish.priority);
        let ticket = self.issue(wish);
        if wish.skips_fair_queue {
            self.first[class].push(ticket);
        } else {
            self.queues[class].push(wish.account, weight, ticket, wish.cost);
        }
        self.rate.begin(now);
        Ok(ticket)
    }

    /// A request waits no more, placed or not. Returns whether it still waited.
    pub(crate) fn dequeue(&mut self, ticket: TicketKey) -> bool {
        let Some(wish) = self.wish(ticket) else {
            return false;
        };
        let class = class_of(wish.priority);
        if wish.skips_fair_queue {
            self.first[class].retain(|other| *other != ticket);
        } else {
            self.queues[class].remove(wish.account, ticket);
        }
        self.take_back(ticket, wish.account);
        true
    }

    /// Offers the waiting requests to `place`, the most urgent class first and within it in the
    /// order in which they go, until there is no room for the next.
    pub(crate) fn dispatch(
        &mut self,
        now: ClockTime,
        mut place: impl FnMut(TicketKey, &QueuedRequest<T>) -> DispatchOutcome,
    ) {
        let mut has_room = true;
        for class in 0..CLASSES {
            self.dispatch_first(class, &mut place);
            while has_room {
                let Some((ticket, wish)) = self.head_of(class) else {
                    break;
                };
                match place(ticket, &wish) {
                    DispatchOutcome::Placed => self.go(ticket, &wish, now),
                    // Nobody behind it may pass, or a stream of small ones would hold it up.
                    DispatchOutcome::Full => has_room = false,
                }
            }
        }
    }

    /// Whether nobody waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.queues.iter().all(FairQueue::is_empty) && self.first.iter().all(Vec::is_empty)
    }

    /// How many of a class wait.
    pub(crate) fn count(&self, priority: RequestPriority) -> usize {
        let class = class_of(priority);
        self.queues[class].count() + self.first[class].len()
    }

    fn dispatch_first(
        &mut self,
        class: usize,
        place: &mut impl FnMut(TicketKey, &QueuedRequest<T>) -> DispatchOutcome,
    ) {
        let mut next = 0;
        while let Some(ticket) = self.first[class].get(next).copied() {
            let wish = self.wish(ticket).expect("a ticket in line has its request");
            match place(ticket, &wish) {
                DispatchOutcome::Placed => {
                    self.dequeue(ticket);
                }
                // Each has its own place to go to, so that one which is full holds up no other.
                DispatchOutcome::Full => next += 1,
            }
        }
    }

    fn head_of(&self, class: usize) -> Option<(TicketKey, QueuedRequest<T>)> {
        let ticket = self.queues[class].head()?;
        let wish = self.wish(ticket).expect("a ticket in line has its request");
        Some((ticket, wish))
    }

    fn go(&mut self, ticket: TicketKey, wish: &QueuedRequest<T>, now: ClockTime) {
        let popped = self.queues[class_of(wish.priority)].pop();
        assert_eq!(popped, Some(ticket), "another went than was placed");
        self.rate.note(wish.cost, now);
        self.take_back(ticket, wish.account);
    }

    /// Frees what a request that is in no line any more held here.
    fn take_back(&mut self, ticket: TicketKey, account: AccountKey) {
        let slot = &mut self.waiting[ticket.place as usize];
        slot.wish = None;
        slot.turn = slot.turn.wrapping_add(1);
        self.free.push(ticket.place);
        self.account_mut(account).dequeue();
        if self.is_empty() {
            self.rate.end();
        }
    }

    fn check_deadline(&self, wish: &QueuedRequest<T>, now: ClockTime) -> SwitchResult<()> {
        let class = class_of(wish.priority);
        let left = wish.deadline.since(now);
        // Mostly the whole line fits into the deadline, which is quick to see.
        let whole = self.backlog_to(class + 1);
        if self.rate.time_for(whole).is_none_or(|wait| wait <= left) {
            return Ok(());
        }
        let ahead = self.backlog_to(class) + self.cost_ahead(class, wish);
        let wait = self.rate.time_for(ahead).unwrap_or_default();
        if wait <= left {
            return Ok(());
        }
        let detail = format!("it would wait {} ms", wait.as_millis());
        let error = SwitchError::new(ErrorKind::DeadlineUnreachable, detail);
        Err(error.come_back_in(wait.saturating_sub(left)))
    }

    /// The cost of all that waits in the classes before class `end`.
    fn backlog_to(&self, end: usize) -> u64 {
        self.queues[..end].iter().map(FairQueue::backlog).sum()
    }

    /// The cost of what goes before `wish` in its class. Its own does not count, so that a request
    /// for which nobody waits may always try: otherwise a rate that was measured in an outage would
    /// refuse everything after it, and no better one would ever be measured.
    fn cost_ahead(&self, class: usize, wish: &QueuedRequest<T>) -> u64 {
        let weight_of = |account: AccountKey| self.accounts[account.0 as usize].weight;
        self.queues[class].cost_ahead(wish.account, wish.cost, weight_of)
    }

    fn find(&self, name: &ByteString) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|key| self.accounts[key.0 as usize].name.cmp(name))
    }

    fn account_mut(&mut self, key: AccountKey) -> &mut AccountState {
        &mut self.accounts[key.0 as usize]
    }

    /// Puts an account into the place of one that is gone and has nothing here, or into a new one.
    fn insert(&mut self, account: AccountState) -> AccountKey {
        let in_use = &self.by_name;
        let free = (0..self.accounts.len()).find(|place| {
            let gone = !self.accounts[*place].is_known && self.accounts[*place].is_idle();
            gone && !in_use.iter().any(|key| key.0 as usize == *place)
        });
        let place = free.unwrap_or(self.accounts.len());
        if place == self.accounts.len() {
            self.accounts.push(account);
        } else {
            self.accounts[place] = account;
        }
        AccountKey(u32::try_from(place).expect("fewer than 4 billion accounts"))
    }

    fn issue(&mut self, wish: QueuedRequest<T>) -> TicketKey {
        let place = self.free.pop().unwrap_or_else(|| {
            self.waiting.push(WaitingRequest {
                turn: 0,
                wish: None,
            });
            u32::try_from(self.waiting.len() - 1).expect("fewer than 4 billion wait")
        });
        let slot = &mut self.waiting[place as usize];
        debug_assert!(slot.wish.is_none(), "a place was given out twice");
        slot.wish = Some(wish);
        TicketKey {
            place,
            turn: slot.turn,
        }
    }

    fn wish(&self, ticket: TicketKey) -> Option<QueuedRequest<T>> {
        let slot = self.waiting.get(ticket.place as usize)?;
        slot.wish.filter(|_| slot.turn == ticket.turn)
    }
}

const fn class_of(priority: RequestPriority) -> usize {
    priority as usize
}
