//! One account at one service, as one entry host keeps it.

use bytestring::ByteString;

use super::retry_budget::RetryBudget;
use super::token_bucket::{ONE_REQUEST, TokenBucket};
use crate::documents::{AccountSpec, RequestPriority};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::ClockTime;

/// What an account may do and does here.
#[derive(Debug)]
pub(super) struct AccountState {
    pub(super) name: ByteString,
    pub(super) weight: u32,
    /// Whether the document still has it.
    pub(super) is_known: bool,
    pub(super) retries: RetryBudget,
    limits: AccountShare,
    bucket: TokenBucket,
    urgent_bucket: TokenBucket,
    in_flight: u32,
    waiting: u32,
}

/// An entry host's share of an account's limits. The limits hold for all entry hosts of a data
/// centre together; each of the `entries` takes an even part of them, which costs no message and no
/// write, and holds while the data centre is cut off.
#[derive(Clone, Copy, Debug)]
struct AccountShare {
    /// Millionths of a request a second.
    rate: u64,
    /// The same, for urgent ones.
    urgent_rate: u64,
    in_flight: u32,
    waiting: u32,
}

impl AccountShare {
    fn of(spec: &AccountSpec, entries: u32, waiting: u32) -> Self {
        let entries = entries.max(1);
        let rate = u64::from(spec.requests_per_second) * ONE_REQUEST / u64::from(entries);
        Self {
            rate,
            urgent_rate: rate * u64::from(spec.urgent_percent) / 100,
            in_flight: spec.concurrency.div_ceil(entries),
            waiting,
        }
    }
}

impl AccountState {
    pub(super) fn new(spec: &AccountSpec, entries: u32, waiting: u32, now: ClockTime) -> Self {
        let limits = AccountShare::of(spec, entries, waiting);
        Self {
            name: spec.name.clone(),
            weight: spec.weight,
            is_known: true,
            retries: RetryBudget::default(),
            limits,
            bucket: TokenBucket::full(limits.rate, now),
            urgent_bucket: TokenBucket::full(limits.urgent_rate, now),
            in_flight: 0,
            waiting: 0,
        }
    }

    /// Takes what the document says now.
    pub(super) fn refresh(&mut self, spec: &AccountSpec, entries: u32, waiting: u32) {
        self.weight = spec.weight;
        self.is_known = true;
        self.limits = AccountShare::of(spec, entries, waiting);
    }

    /// Lets one request in or says what stands against it.
    pub(super) fn admit(&mut self, priority: RequestPriority, now: ClockTime) -> SwitchResult<()> {
        if self.in_flight >= self.limits.in_flight {
            let detail = format!("{} requests are in flight here", self.in_flight);
            return Err(SwitchError::new(ErrorKind::ConcurrencyLimited, detail));
        }
        let is_urgent = priority == RequestPriority::Urgent;
        if is_urgent && !self.has_urgent(now) {
            let wait = self.urgent_bucket.wait_for_one(self.limits.urgent_rate);
            let detail = "more urgent requests than this account may send";
            let error = SwitchError::new(ErrorKind::UrgentShareSpent, detail);
            return Err(error.come_back_in(wait));
        }
        if !self.bucket.has_one(self.limits.rate, now) {
            let wait = self.bucket.wait_for_one(self.limits.rate);
            let detail = "more requests a second than this account may send";
            let error = SwitchError::new(ErrorKind::RateLimited, detail);
            return Err(error.come_back_in(wait));
        }
        self.bucket.take_one();
        if is_urgent {
            self.urgent_bucket.take_one();
        }
        self.in_flight += 1;
        Ok(())
    }

    /// One request has ended.
    pub(super) fn release(&mut self) {
        assert!(self.in_flight > 0, "a request left that never entered");
        self.in_flight -= 1;
    }

    /// One request begins to wait.
    ///
    /// # Errors
    ///
    /// `QueueFull` when the account's part of the queue is full.
    pub(super) fn enqueue(&mut self) -> SwitchResult<()> {
        if self.waiting >= self.limits.waiting {
            let detail = format!("{} requests of this account wait here", self.waiting);
            return Err(SwitchError::new(ErrorKind::QueueFull, detail));
        }
        self.waiting += 1;
        Ok(())
    }

    /// One request waits no more.
    pub(super) fn dequeue(&mut self) {
        assert!(
            self.waiting > 0,
            "a request stopped waiting that never began"
        );
        self.waiting -= 1;
    }

    /// Whether nothing of it is here.
    pub(super) const fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// An account without an urgent share has no bucket that could ever hold one.
    fn has_urgent(&mut self, now: ClockTime) -> bool {
        let rate = self.limits.urgent_rate;
        rate > 0 && self.urgent_bucket.has_one(rate, now)
    }
}
