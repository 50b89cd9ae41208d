//! The part of a service's retry budget that this entry host may spend.
//!
//! All entry hosts share one budget: for any time window, a ratio of the requests of that window or
//! of the window before it, whichever are more, plus a fixed number. They do not tell each other
//! what they spend. Each entry host takes the ratio of a weighted mean of its own requests in the
//! two windows. The sum over all entry hosts is the same mean of all requests, which is never more
//! than the larger of the two, wherever clients move. Of the fixed number it takes an equal part,
//! once the others count it.
//! The budget of a window may be spent at once, since a backend server that crashes or changes its
//! weights interrupts many streams at the same time.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::time::ClockTime;

/// Part of the budget that may be spent. The rest allows for entry hosts that are not known yet and
/// for traffic that ends while sends are in transit.
const SAFETY: f64 = 0.965;
/// Weight of the requests in a window itself. An entry host to which clients have just moved has no
/// earlier ones.
const WINDOW_WEIGHT: f64 = 0.494;
/// Weight of the requests in the window before it, which allow many retries at the same time. The
/// weights add up to one: with more, the sum over all entry hosts could exceed the budget.
const EARLIER_WEIGHT: f64 = 1.0 - WINDOW_WEIGHT;
/// Number of time slices in a window.
const WINDOW_SLICES: u64 = 50;
/// Number of slices within which sends arrive after they were charged.
const ARRIVAL_SLICES: u64 = 2;
/// How long after it was charged a send may begin. A connection opens within 150 ms; what is left of
/// the arrival slices is for the way to the backend server.
pub(crate) const SEND_BEGIN_SPAN: Duration = Duration::from_millis(250);

/// The retry budget of all entry hosts together.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct RetryShareLimits {
    /// Retries per request.
    pub(crate) ratio: f64,
    /// Additional retries per window.
    pub(crate) extra: f64,
    /// Length of a window.
    pub(crate) window: Duration,
    /// Number of entry hosts by which the additional retries are divided; 0 if it is not known.
    pub(crate) entries: usize,
    /// Since when the other entry hosts count this one; `None` if they may not.
    pub(crate) counted_since: Option<ClockTime>,
}

impl RetryShareLimits {
    /// The part of the additional retries for the window that begins in slice `begin`. In a window in
    /// which others did not count this entry host, or an earlier process of it may have spent
    /// retries, it has none.
    #[expect(
        clippy::cast_precision_loss,
        reason = "there are never 2^52 entry hosts"
    )]
    fn own_extra(self, begin: u64) -> f64 {
        let is_counted = self
            .counted_since
            .is_some_and(|since| begin > self.slice_at(since));
        match self.entries {
            entries if is_counted && entries > 0 => self.extra / entries as f64,
            _ => 0.0,
        }
    }

    /// Number of the slice that contains `time`.
    fn slice_at(self, time: ClockTime) -> u64 {
        let micros = self.window.as_micros() / u128::from(WINDOW_SLICES);
        let micros = u64::try_from(micros).unwrap_or(u64::MAX).max(1);
        time.0 / micros
    }
}

/// Totals up to the end of one slice of time.
#[apply(plain!)]
#[derive(Copy)]
struct BudgetSlice {
    number: u64,
    requests: u64,
    spent: u64,
}

/// The retry budget share for one service.
#[apply(plain!)]
#[derive(Default)]
pub(crate) struct RetryBudgetShare {
    /// Slices with requests or retries, sorted by number: those of the last two windows and the one
    /// before them.
    slices: Vec<BudgetSlice>,
}

impl RetryBudgetShare {
    /// Counts a request that was sent at `sent_at` at the earliest. Counted later, it could be in a
    /// window that did not have it.
    pub(crate) fn credit(&mut self, limits: RetryShareLimits, sent_at: ClockTime) {
        self.newest_slice(limits, sent_at);
        let number = limits.slice_at(sent_at);
        let from = self.slices.partition_point(|slice| slice.number < number);
        if self.slices[from].number > number && from > 0 {
            let before = self.slices[from - 1];
            self.slices.insert(from, BudgetSlice { number, ..before });
        }
        for slice in &mut self.slices[from..] {
            slice.requests += 1;
        }
    }

    /// Takes one retry from the share, if one is left.
    pub(crate) fn try_spend(&mut self, limits: RetryShareLimits, now: ClockTime) -> bool {
        let newest = self.newest_slice(limits, now).number;
        let oldest = newest.saturating_sub(WINDOW_SLICES + ARRIVAL_SLICES);
        let can = (oldest..=newest).all(|begin| self.allows_one_more_since(begin, limits));
        if can {
            self.newest_slice(limits, now).spent += 1;
        }
        can
    }

    /// Returns a retry that was taken at `claimed_at` and not used.
    pub(crate) fn refund(&mut self, limits: RetryShareLimits, claimed_at: ClockTime) {
        let claimed_in = limits.slice_at(claimed_at);
        let from = self
            .slices
            .partition_point(|slice| slice.number < claimed_in);
        for slice in &mut self.slices[from..] {
            slice.spent = slice.spent.saturating_sub(1);
        }
    }

    /// Takes a retry at `now` instead of the one that was taken at `claimed_at`, because the send
    /// had to wait. Returns whether one is left; otherwise the earlier one is returned.
    pub(crate) fn try_move(
        &mut self,
        limits: RetryShareLimits,
        claimed_at: ClockTime,
        now: ClockTime,
    ) -> bool {
        if limits.slice_at(claimed_at) == limits.slice_at(now) {
            return true;
        }
        self.refund(limits, claimed_at);
        self.try_spend(limits, now)
    }

    /// Returns the part of the fixed number that this entry host may spend in the window that ends
    /// at `now`.
    pub(crate) fn fixed_part(limits: RetryShareLimits, now: ClockTime) -> f64 {
        let newest = limits.slice_at(now);
        limits.own_extra(newest.saturating_sub(WINDOW_SLICES + ARRIVAL_SLICES))
    }

    /// Whether the window that begins in slice `begin` has a retry left.
    #[expect(clippy::cast_precision_loss, reason = "a window has few requests")]
    fn allows_one_more_since(&self, begin: u64, limits: RetryShareLimits) -> bool {
        // The window begins within the slice. The first slice of the window before it belongs to that
        // in part only and is left out. A request in the slice `begin` itself is in one of the two,
        // and gets the lower weight.
        let earlier = self.sum(begin.saturating_sub(WINDOW_SLICES - 1), begin, |slice| {
            slice.requests
        });
        let own = self.sum(begin, u64::MAX, |slice| slice.requests);
        let requests = EARLIER_WEIGHT * earlier as f64 + WINDOW_WEIGHT * own as f64;
        let extra = limits.own_extra(begin);
        let spent = self.sum(begin, u64::MAX, |slice| slice.spent);
        spent as f64 + 1.0 <= (limits.ratio * requests + extra) * SAFETY
    }

    /// Sums what `total` adds up over the slices `from..to`.
    fn sum(&self, from: u64, to: u64, total: impl Fn(&BudgetSlice) -> u64) -> u64 {
        let total_before = |number| {
            let end = self.slices.partition_point(|slice| slice.number < number);
            self.slices[..end].last().map_or(0, &total)
        };
        total_before(to).saturating_sub(total_before(from))
    }

    /// The slice that contains `now`. Slices that no window needs any more are dropped.
    fn newest_slice(&mut self, limits: RetryShareLimits, now: ClockTime) -> &mut BudgetSlice {
        let number = limits.slice_at(now);
        let last = self.slices.last().copied();
        if last.is_none_or(|last| last.number < number) {
            let needed_from = number.saturating_sub(2 * WINDOW_SLICES + ARRIVAL_SLICES);
            let outdated = self
                .slices
                .partition_point(|slice| slice.number < needed_from);
            // The last of them has the totals before the others.
            self.slices.drain(..outdated.saturating_sub(1));
            self.slices.push(BudgetSlice {
                number,
                requests: last.map_or(0, |last| last.requests),
                spent: last.map_or(0, |last| last.spent),
            });
        }
        let newest = self.slices.len() - 1;
        &mut self.slices[newest]
    }
}
