//! The part of a service's retry budget that this entry host may spend.
//!
//! All entry hosts share one budget: for any time window, a ratio of its requests plus a fixed
//! number. Each entry host takes the ratio of its own requests and an equal part of the fixed
//! number, so that a retry needs no coordination. The budget of a window may be spent at once,
//! since a backend server that crashes or changes its weights interrupts many streams at the same
//! time.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::time::ClockTime;

/// Part of the budget that may be spent. The rest allows for entry hosts that are not known yet,
/// that restart, or that align their windows differently.
const SAFETY: f64 = 0.8;
/// Number of time slices in a window.
const WINDOW_SLICES: u64 = 20;
/// Number of slices before a window whose requests count in full.
const FRESH_SLICES: u64 = 8;

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
    /// Number of entry hosts; 0 if it is not known.
    pub(crate) entries: usize,
}

impl RetryShareLimits {
    #[expect(
        clippy::cast_precision_loss,
        reason = "there are never 2^52 entry hosts"
    )]
    fn own_extra(self) -> f64 {
        match self.entries {
            0 => 0.0,
            entries => self.extra / entries as f64,
        }
    }

    /// Number of the slice that contains `now`.
    fn slice_at(self, now: ClockTime) -> u64 {
        let micros = self.window.as_micros() / u128::from(WINDOW_SLICES);
        let micros = u64::try_from(micros).unwrap_or(u64::MAX).max(1);
        now.0 / micros
    }
}

/// Counts for one slice of time.
#[apply(plain!)]
#[derive(Copy)]
struct BudgetSlice {
    number: u64,
    requests: f64,
    spent: f64,
}

/// The retry budget share for one service.
#[apply(plain!)]
pub(crate) struct RetryBudgetShare {
    /// The slice in which it was created.
    first: u64,
    /// Whether an earlier process of this entry host may have spent retries before.
    is_restarted: bool,
    /// Slices of the last two windows, sorted by number.
    slices: Vec<BudgetSlice>,
}

impl RetryBudgetShare {
    /// Creates a share of which half of the fixed number counts as spent, so that a process that
    /// restarts often does not get the full number each time.
    pub(crate) fn new(limits: RetryShareLimits, now: ClockTime) -> Self {
        Self {
            first: limits.slice_at(now),
            is_restarted: false,
            slices: Vec::new(),
        }
    }

    /// The same for an entry host of which an earlier process may have spent its part of the fixed
    /// number. It takes none of that for a window.
    pub(crate) fn after_restart(self) -> Self {
        Self {
            is_restarted: true,
            ..self
        }
    }

    /// Counts a request.
    pub(crate) fn credit(&mut self, limits: RetryShareLimits, now: ClockTime) {
        self.newest_slice(limits, now).requests += 1.0;
    }

    /// Takes one retry from the share, if one is left.
    pub(crate) fn try_spend(&mut self, limits: RetryShareLimits, now: ClockTime) -> bool {
        let newest = self.newest_slice(limits, now).number;
        let oldest = newest.saturating_sub(WINDOW_SLICES);
        let can = (oldest..=newest).all(|begin| self.allows_one_more_since(begin, limits));
        if can {
            self.newest_slice(limits, now).spent += 1.0;
        }
        can
    }

    /// Returns a retry that was taken at `claimed_at` and not used.
    pub(crate) fn refund(&mut self, limits: RetryShareLimits, claimed_at: ClockTime) {
        let claimed_in = limits.slice_at(claimed_at);
        let found = self
            .slices
            .binary_search_by_key(&claimed_in, |slice| slice.number);
        if let Ok(at) = found {
            self.slices[at].spent -= 1.0;
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

    /// Whether the window that begins in slice `begin` has a retry left. It counts the requests of
    /// the window itself, of the window half a window earlier, or of the window before it,
    /// whichever are most. The last ones count less the older they are, because clients that have
    /// moved to another entry host since would be counted by both.
    fn allows_one_more_since(&self, begin: u64, limits: RetryShareLimits) -> bool {
        let half = WINDOW_SLICES / 2;
        // Slices that only partly belong to the earlier window are left out.
        let earlier = (begin.saturating_sub(half - 1), begin + half);
        let own = (begin + 1, begin + WINDOW_SLICES + 1);
        let [earlier, own] =
            [earlier, own].map(|(from, to)| self.sum(from, to, |slice| slice.requests));
        let requests = earlier.max(own).max(self.weighted_before(begin));
        // Other entry hosts may have become known only after the share was created.
        let withheld = match (begin <= self.first, self.is_restarted) {
            (true, true) => limits.own_extra(),
            (true, false) => limits.own_extra() / 2.0,
            (false, _) => 0.0,
        };
        let spent = self.sum(begin, u64::MAX, |slice| slice.spent);
        spent + 1.0 <= (limits.ratio * requests + limits.own_extra() - withheld) * SAFETY
    }

    /// Requests in the window before slice `begin`; those older than `FRESH_SLICES` count in part.
    #[expect(clippy::cast_precision_loss, reason = "a window has few slices")]
    fn weighted_before(&self, begin: u64) -> f64 {
        let aging = (WINDOW_SLICES - FRESH_SLICES) as f64;
        let weigh = |slice: &BudgetSlice| {
            let age = begin.saturating_sub(slice.number);
            let left = WINDOW_SLICES.saturating_sub(age) as f64;
            slice.requests * (left / aging).min(1.0)
        };
        // Slices that only partly belong to that window are left out.
        self.sum(begin.saturating_sub(WINDOW_SLICES - 1), begin, weigh)
    }

    /// Sums `part` over the slices `from..to`.
    fn sum(&self, from: u64, to: u64, part: impl Fn(&BudgetSlice) -> f64) -> f64 {
        let first = self.slices.partition_point(|slice| slice.number < from);
        let slices = self.slices[first..].iter();
        slices.take_while(|slice| slice.number < to).map(part).sum()
    }

    /// The slice that contains `now`. Slices older than two windows are dropped.
    fn newest_slice(&mut self, limits: RetryShareLimits, now: ClockTime) -> &mut BudgetSlice {
        let number = limits.slice_at(now);
        if self.slices.last().is_none_or(|last| last.number < number) {
            let kept_from = number.saturating_sub(2 * WINDOW_SLICES);
            self.slices.retain(|slice| slice.number >= kept_from);
            self.slices.push(BudgetSlice {
                number,
                requests: 0.0,
                spent: 0.0,
            });
        }
        let newest = self.slices.len() - 1;
        &mut self.slices[newest]
    }
}
