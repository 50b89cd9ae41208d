//! Start-time fair queuing among accounts: the account that received the least service relative to
//! its weight is dispatched next.

use std::collections::VecDeque;

use macro_rules_attribute::apply;

use crate::derives::key;

/// The virtual time of one unit of cost at weight 1.
const VIRTUAL_TIME_PER_COST: u64 = 1 << 10;

/// The index of an account in the arena of its service.
#[apply(key!)]
pub(crate) struct AccountKey(pub(super) u32);

/// Identifies a waiting request by its slot in the arena of its service. The generation
/// distinguishes successive requests in the same slot.
#[apply(key!)]
pub(crate) struct TicketKey {
    pub(super) slot: u32,
    pub(super) generation: u32,
}

impl TicketKey {
    /// The index of its slot, for lists that are parallel to the arena.
    pub(crate) const fn place(self) -> usize {
        self.slot as usize
    }
}

/// A request in the queue of its account.
#[apply(key!)]
struct QueueEntry {
    /// The start tag, in virtual time.
    start: u64,
    cost: u64,
    ticket: TicketKey,
}

/// The waiting requests of one account, in order of arrival.
#[derive(Debug, Default)]
struct AccountQueue {
    entries: VecDeque<QueueEntry>,
    /// The finish tag of the last request, in virtual time.
    finish: u64,
    /// The total cost of the waiting requests.
    backlog: u64,
}

/// The waiting requests of one class. The start tag of a request is the later of the queue's
/// virtual time and the finish tag of its account's previous request. The request with the smallest
/// start tag is dispatched next, so that an account that sends ten times as much delays itself, not
/// the others.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    /// Indexed by account.
    queues: Vec<AccountQueue>,
    /// The start tag of the first request of each account with waiting requests, sorted.
    heads: Vec<(u64, AccountKey)>,
    virtual_now: u64,
    backlog: u64,
}

impl FairQueue {
    /// Whether no request waits.
    pub(super) const fn is_empty(&self) -> bool {
        self.heads.is_empty()
    }

    /// The total cost of the waiting requests.
    pub(super) const fn backlog(&self) -> u64 {
        self.backlog
    }

    /// The number of waiting requests.
    pub(super) fn count(&self) -> usize {
        let queues = self.heads.iter().map(|(_, account)| self.queue(*account));
        queues.map(|queue| queue.entries.len()).sum()
    }

    /// Appends a request of `account` after its waiting ones.
    pub(super) fn push(&mut self, account: AccountKey, weight: u32, ticket: TicketKey, cost: u64) {
        let virtual_now = self.virtual_now;
        let queue = self.queue_mut(account);
        let start = queue.finish.max(virtual_now);
        queue.finish = start + cost * VIRTUAL_TIME_PER_COST / u64::from(weight.max(1));
        queue.backlog += cost;
        let was_empty = queue.entries.is_empty();
        queue.entries.push_back(QueueEntry {
            start,
            cost,
            ticket,
        });
        self.backlog += cost;
        if was_empty {
            self.set_head(account, start);
        }
    }

    /// The request that is dispatched next.
    pub(super) fn head(&self) -> Option<TicketKey> {
        let (_, account) = self.heads.first()?;
        let entry = self.queue(*account).entries.front()?;
        Some(entry.ticket)
    }

    /// Removes and returns the request that is dispatched next.
    pub(super) fn pop(&mut self) -> Option<TicketKey> {
        let (start, account) = *self.heads.first()?;
        debug_assert!(start >= self.virtual_now, "the virtual time decreased");
        self.virtual_now = start;
        let ticket = self.head()?;
        self.remove(account, ticket);
        Some(ticket)
    }

    /// Removes a request from any position; does nothing if it does not wait.
    pub(super) fn remove(&mut self, account: AccountKey, ticket: TicketKey) {
        let queue = self.queue_mut(account);
        let found = queue
            .entries
            .iter()
            .position(|entry| entry.ticket == ticket);
        let entry = found.and_then(|index| queue.entries.remove(index));
        let Some(entry) = entry else {
            return;
        };
        queue.backlog -= entry.cost;
        let next = queue.entries.front().map(|entry| entry.start);
        self.backlog -= entry.cost;
        if found == Some(0) {
            self.clear_head(account, entry.start);
            if let Some(start) = next {
                self.set_head(account, start);
            }
        }
        debug_assert!(
            !self.heads.is_empty() || self.backlog == 0,
            "an empty queue has a backlog"
        );
    }

    /// The total cost that is dispatched before a new request of `account` and `cost`: all of the
    /// account's own backlog, and of the backlog of each other account the part that corresponds to
    /// its weight.
    pub(super) fn cost_ahead(
        &self,
        account: AccountKey,
        cost: u64,
        weight_of: impl Fn(AccountKey) -> u32,
    ) -> u64 {
        let own_backlog = self
            .queues
            .get(account.0 as usize)
            .map_or(0, |queue| queue.backlog);
        let own_weight = u64::from(weight_of(account).max(1));
        let own = own_backlog + cost;
        let others = self.heads.iter().filter(|(_, other)| *other != account);
        let ahead = others.map(|(_, other)| {
            let weight = u64::from(weight_of(*other).max(1));
            self.queue(*other).backlog.min(own * weight / own_weight)
        });
        own_backlog + ahead.sum::<u64>()
    }

    fn queue(&self, account: AccountKey) -> &AccountQueue {
        &self.queues[account.0 as usize]
    }

    fn queue_mut(&mut self, account: AccountKey) -> &mut AccountQueue {
        let index = account.0 as usize;
        if index >= self.queues.len() {
            self.queues.resize_with(index + 1, AccountQueue::default);
        }
        &mut self.queues[index]
    }

    /// Records the start tag of the first request of `account`.
    fn set_head(&mut self, account: AccountKey, start: u64) {
        let head = (start, account);
        if let Err(index) = self.heads.binary_search(&head) {
            self.heads.insert(index, head);
        }
    }

    fn clear_head(&mut self, account: AccountKey, start: u64) {
        if let Ok(index) = self.heads.binary_search(&(start, account)) {
            self.heads.remove(index);
        }
    }
}
