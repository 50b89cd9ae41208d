//! The part of a service's budget for second sends that this entry host may spend.
//!
//! All entry hosts share one budget: in any window, a ratio of the requests and a fixed number beyond it. Each
//! takes the ratio of its own requests and an even part of the fixed number, so that nobody has to be asked
//! when a request fails. What a window's requests allow may be spent in one moment: a backend server that
//! crashes or changes its weights cuts many streams at once.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::time::ClockTime;

/// The part of the budget that is left unspent, against entry hosts that are not known yet, that
/// restart, or that count a window differently.
const SAFETY: f64 = 0.8;
/// Slices of a window.
const WINDOW_SLICES: u64 = 20;
/// Slices of the window before in which requests count in full.
const FRESH_SLICES: u64 = 8;

/// What the entry hosts together may spend.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct RetryShareLimits {
    /// Second sends for each request.
    pub(crate) ratio: f64,
    /// Second sends beyond that in one window.
    pub(crate) extra: f64,
    /// The length of a window.
    pub(crate) window: Duration,
    /// How many entry hosts there are.
    pub(crate) entries: usize,
}

impl RetryShareLimits {
    #[expect(
        clippy::cast_precision_loss,
        reason = "there are never 2^52 entry hosts"
    )]
    fn own_extra(self) -> f64 {
        self.extra / self.entries.max(1) as f64
    }

    /// The number of the slice that holds `now`.
    fn slice_at(self, now: ClockTime) -> u64 {
        let micros = self.window.as_micros() / u128::from(WINDOW_SLICES);
        let micros = u64::try_from(micros).unwrap_or(u64::MAX).max(1);
        now.0 / micros
    }
}

/// What happened in one slice of time.
#[apply(plain!)]
#[derive(Copy)]
struct PurseSlice {
    number: u64,
    requests: f64,
    spent: f64,
}

/// One service's purse.
#[apply(plain!)]
pub(crate) struct RetryBudgetShare {
    /// The slice in which it was made.
    first: u64,
    /// Of the last two windows, sorted by number.
    slices: Vec<PurseSlice>,
}

impl RetryBudgetShare {
    /// A new purse has spent half of its fixed part: a process that restarts often must not get it anew
    /// each time.
    pub(crate) fn new(limits: RetryShareLimits, now: ClockTime) -> Self {
        Self {
            first: limits.slice_at(now),
            slices: Vec::new(),
        }
    }

    /// A request came in.
    pub(crate) fn credit(&mut self, limits: RetryShareLimits, now: ClockTime) {
        self.newest_slice(limits, now).requests += 1.0;
    }

    /// Takes one second send, if there is one.
    pub(crate) fn try_spend(&mut self, limits: RetryShareLimits, now: ClockTime) -> bool {
        let newest = self.newest_slice(limits, now).number;
        let oldest = newest.saturating_sub(WINDOW_SLICES);
        let can = (oldest..=newest).all(|begin| self.allows_one_since(begin, limits));
        if can {
            self.newest_slice(limits, now).spent += 1.0;
        }
        can
    }

    /// A second send that was taken was not made.
    pub(crate) fn refund(&mut self) {
        let mut slices = self.slices.iter_mut().rev();
        if let Some(slice) = slices.find(|slice| slice.spent >= 1.0) {
            slice.spent -= 1.0;
        }
    }

    /// Whether a window that begins in slice `begin` leaves one more second send. Its requests are its own,
    /// those of the window half a window before it or those before it, whichever are most. The latter count
    /// for less the older they are: clients that have moved on since would count at two entry hosts.
    fn allows_one_since(&self, begin: u64, limits: RetryShareLimits) -> bool {
        let half = WINDOW_SLICES / 2;
        // Slices that the earlier one may hold in part do not count.
        let earlier = (begin.saturating_sub(half - 1), begin + half);
        let own = (begin + 1, begin + WINDOW_SLICES + 1);
        let [earlier, own] =
            [earlier, own].map(|(from, to)| self.sum(from, to, |slice| slice.requests));
        let requests = earlier.max(own).max(self.aged_before(begin));
        // The other entry hosts may have become known since the purse was made.
        let held_back = if begin <= self.first {
            limits.own_extra() / 2.0
        } else {
            0.0
        };
        let spent = self.sum(begin, u64::MAX, |slice| slice.spent);
        spent + 1.0 <= (limits.ratio * requests + limits.own_extra() - held_back) * SAFETY
    }

    /// The requests of the window before slice `begin`, those that are older than `FRESH_SLICES` in part.
    #[expect(clippy::cast_precision_loss, reason = "a window has few slices")]
    fn aged_before(&self, begin: u64) -> f64 {
        let aging = (WINDOW_SLICES - FRESH_SLICES) as f64;
        let weigh = |slice: &PurseSlice| {
            let age = begin.saturating_sub(slice.number);
            let left = WINDOW_SLICES.saturating_sub(age) as f64;
            slice.requests * (left / aging).min(1.0)
        };
        // Slices that the window may hold in part do not count.
        self.sum(begin.saturating_sub(WINDOW_SLICES - 1), begin, weigh)
    }

    /// The sum of `part` over the slices from `from` up to before `to`.
    fn sum(&self, from: u64, to: u64, part: impl Fn(&PurseSlice) -> f64) -> f64 {
        let first = self.slices.partition_point(|slice| slice.number < from);
        let slices = self.slices[first..].iter();
        slices.take_while(|slice| slice.number < to).map(part).sum()
    }

    /// The slice that holds `now`; those of before the last two windows are forgotten.
    fn newest_slice(&mut self, limits: RetryShareLimits, now: ClockTime) -> &mut PurseSlice {
        let number = limits.slice_at(now);
        if self.slices.last().is_none_or(|last| last.number < number) {
            let kept_from = number.saturating_sub(2 * WINDOW_SLICES);
            self.slices.retain(|slice| slice.number >= kept_from);
            self.slices.push(PurseSlice {
                number,
                requests: 0.0,
                spent: 0.0,
            });
        }
        let newest = self.slices.len() - 1;
        &mut self.slices[newest]
    }
}
