//! Start-time fair queuing between accounts: whoever has had least for its weight goes first.

use std::collections::VecDeque;

use macro_rules_attribute::apply;

use crate::derives::key;

/// Virtual time per unit of cost at weight 1.
const SCALE: u64 = 1 << 10;

/// An account in the arena of its service.
#[apply(key!)]
pub(crate) struct AccountKey(pub(super) u32);

/// A waiting request in its arena; the turn tells apart those that used the same place.
#[apply(key!)]
pub(crate) struct TicketKey {
    pub(super) place: u32,
    pub(super) turn: u32,
}

impl TicketKey {
    /// Its place, for a list beside the arena.
    pub(crate) const fn place(self) -> usize {
        self.place as usize
    }
}

/// One request in a lane.
#[apply(key!)]
struct LaneEntry {
    start: u64,
    cost: u64,
    ticket: TicketKey,
}

/// What one account has waiting, in order of arrival.
#[derive(Debug, Default)]
struct AccountLane {
    entries: VecDeque<LaneEntry>,
    finish: u64,
    backlog: u64,
}

/// The requests of one class that wait. Each gets a start tag: the later of the queue's virtual
/// time and the end of its account's previous one. The smallest start tag goes first, so that an
/// account that sends ten times as much waits for itself and not before the others.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    lanes: Vec<AccountLane>,
    /// The first request's start tag of each account that has something waiting, sorted.
    order: Vec<(u64, AccountKey)>,
    virtual_now: u64,
    backlog: u64,
}

impl FairQueue {
    /// Whether nothing waits.
    pub(super) const fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The cost of all that waits.
    pub(super) const fn backlog(&self) -> u64 {
        self.backlog
    }

    /// How many wait.
    pub(super) fn count(&self) -> usize {
        let lanes = self.order.iter().map(|(_, account)| self.lane(*account));
        lanes.map(|lane| lane.entries.len()).sum()
    }

    /// Puts a request of `account` behind its others.
    pub(super) fn push(&mut self, account: AccountKey, weight: u32, ticket: TicketKey, cost: u64) {
        let virtual_now = self.virtual_now;
        let lane = self.lane_mut(account);
        let start = lane.finish.max(virtual_now);
        lane.finish = start + cost * SCALE / u64::from(weight.max(1));
        lane.backlog += cost;
        let was_empty = lane.entries.is_empty();
        lane.entries.push_back(LaneEntry {
            start,
            cost,
            ticket,
        });
        self.backlog += cost;
        if was_empty {
            self.set_head(account, start);
        }
    }

    /// The request that goes next.
    pub(super) fn head(&self) -> Option<TicketKey> {
        let (_, account) = self.order.first()?;
        let entry = self.lane(*account).entries.front()?;
        Some(entry.ticket)
    }

    /// Takes the request that goes next.
    pub(super) fn pop(&mut self) -> Option<TicketKey> {
        let (start, account) = *self.order.first()?;
        debug_assert!(start >= self.virtual_now, "virtual time went back");
        self.virtual_now = start;
        let ticket = self.head()?;
        self.remove(account, ticket);
        Some(ticket)
    }

    /// Takes a request out, wherever it waits.
    pub(super) fn remove(&mut self, account: AccountKey, ticket: TicketKey) {
        let lane = self.lane_mut(account);
        let found = lane.entries.iter().position(|entry| entry.ticket == ticket);
        let entry = found.and_then(|place| lane.entries.remove(place));
        let Some(entry) = entry else {
            return;
        };
        lane.backlog -= entry.cost;
        let next = lane.entries.front().map(|entry| entry.start);
        self.backlog -= entry.cost;
        if found == Some(0) {
            self.clear_head(account, entry.start);
            if let Some(start) = next {
                self.set_head(account, start);
            }
        }
        debug_assert!(
            !self.order.is_empty() || self.backlog == 0,
            "an empty queue has a backlog"
        );
    }

    /// The cost of what goes before a new request of `account`: all of its own, and of each other
    /// account's what its weight brings forward meanwhile.
    pub(super) fn cost_ahead(
        &self,
        account: AccountKey,
        cost: u64,
        weight_of: impl Fn(AccountKey) -> u32,
    ) -> u64 {
        let own_backlog = self
            .lanes
            .get(account.0 as usize)
            .map_or(0, |lane| lane.backlog);
        let own_weight = u64::from(weight_of(account).max(1));
        let own = own_backlog + cost;
        let others = self.order.iter().filter(|(_, other)| *other != account);
        let before = others.map(|(_, other)| {
            let weight = u64::from(weight_of(*other).max(1));
            self.lane(*other).backlog.min(own * weight / own_weight)
        });
        own_backlog + before.sum::<u64>()
    }

    fn lane(&self, account: AccountKey) -> &AccountLane {
        &self.lanes[account.0 as usize]
    }

    fn lane_mut(&mut self, account: AccountKey) -> &mut AccountLane {
        let place = account.0 as usize;
        if place >= self.lanes.len() {
            self.lanes.resize_with(place + 1, AccountLane::default);
        }
        &mut self.lanes[place]
    }

    fn set_head(&mut self, account: AccountKey, start: u64) {
        let head = (start, account);
        if let Err(place) = self.order.binary_search(&head) {
            self.order.insert(place, head);
        }
    }

    fn clear_head(&mut self, account: AccountKey, start: u64) {
        if let Ok(place) = self.order.binary_search(&(start, account)) {
            self.order.remove(place);
        }
    }
}
