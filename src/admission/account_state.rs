//! The state of one account at one service, as one entry host keeps it.

use bytestring::ByteString;

use super::retry_budget::RetryBudget;
use super::token_bucket::{ONE_REQUEST, TokenBucket};
use crate::documents::{AccountSpec, RequestPriority};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::ClockTime;

/// The limits of an account at this entry host and their current use.
#[derive(Debug)]
pub(super) struct AccountState {
    pub(super) name: ByteString,
    pub(super) weight: u32,
    /// Whether the current document has the account.
    pub(super) is_known: bool,
    pub(super) retries: RetryBudget,
    limits: AccountShare,
    bucket: TokenBucket,
    urgent_bucket: TokenBucket,
    in_flight: u32,
    waiting: u32,
}

/// This entry host's share of an account's limits. The limits apply to all entry hosts of a data
/// centre together, and each takes an equal share. This needs no messages or writes, and works
/// while the data centre is partitioned from the others.
#[derive(Clone, Copy, Debug)]
struct AccountShare {
    /// Millionths of a request per second.
    rate: u64,
    /// Millionths of an urgent request per second.
    urgent_rate: u64,
    in_flight: u32,
    waiting: u32,
}

impl AccountShare {
    /// Divides the limits of `spec` by the number of entry hosts; `waiting` is a share already.
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
    /// Creates an account without requests; its buckets are full.
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

    /// Applies the current document.
    pub(super) fn refresh(&mut self, spec: &AccountSpec, entries: u32, waiting: u32) {
        self.weight = spec.weight;
        self.is_known = true;
        self.limits = AccountShare::of(spec, entries, waiting);
    }

    /// Admits one request.
    ///
    /// # Errors
    ///
    /// `ConcurrencyLimited`, `UrgentShareSpent` or `RateLimited`, the last two with the time after
    /// which to retry.
    pub(super) fn admit(&mut self, priority: RequestPriority, now: ClockTime) -> SwitchResult<()> {
        if self.in_flight >= self.limits.in_flight {
            let detail = format!(
                "{} requests of this account are in flight here",
                self.in_flight
            );
            return Err(SwitchError::new(ErrorKind::ConcurrencyLimited, detail));
        }
        let is_urgent = priority == RequestPriority::Urgent;
        if is_urgent && !self.has_urgent(now) {
            let wait = self.urgent_bucket.wait_for_one(self.limits.urgent_rate);
            let detail = "more urgent requests than this account may send";
            let error = SwitchError::new(ErrorKind::UrgentShareSpent, detail);
            return Err(error.with_retry_after(wait));
        }
        if !self.bucket.has_one(self.limits.rate, now) {
            let wait = self.bucket.wait_for_one(self.limits.rate);
            let detail = "more requests a second than this account may send";
            let error = SwitchError::new(ErrorKind::RateLimited, detail);
            return Err(error.with_retry_after(wait));
        }
        self.bucket.take_one();
        if is_urgent {
            self.urgent_bucket.take_one();
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Counts an admitted request that has ended.
    pub(super) fn release(&mut self) {
        assert!(self.in_flight > 0, "a request ended that was not admitted");
        self.in_flight -= 1;
    }

    /// Counts a request that starts to wait.
    ///
    /// # Errors
    ///
    /// `QueueFull` if the account's share of the queue is full.
    pub(super) fn start_waiting(&mut self) -> SwitchResult<()> {
        if self.waiting >= self.limits.waiting {
            let detail = format!("{} requests of this account wait here", self.waiting);
            return Err(SwitchError::new(ErrorKind::QueueFull, detail));
        }
        self.waiting += 1;
        Ok(())
    }

    /// Counts a request that no longer waits.
    pub(super) fn stop_waiting(&mut self) {
        assert!(
            self.waiting > 0,
            "a request stopped waiting that did not wait"
        );
        self.waiting -= 1;
    }

    /// Whether no admitted request of the account is in flight.
    pub(super) const fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// Whether an urgent request may pass. The bucket of an account without an urgent share must
    /// not be used, since it starts with one request.
    fn has_urgent(&mut self, now: ClockTime) -> bool {
        let rate = self.limits.urgent_rate;
        rate > 0 && self.urgent_bucket.has_one(rate, now)
    }
}
