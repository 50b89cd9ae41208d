//! How much a service gets done while requests wait.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::time::ClockTime;

const WINDOW: Duration = Duration::from_millis(500);
/// Weight of the newest window in the average, as a divisor.
const AVERAGE_PART: u64 = 4;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Cost per second that leaves the queue. Only time in which something waited counts: an idle
/// service is not a slow one.
#[apply(plain!)]
#[derive(Copy, Default)]
pub(super) struct ServiceRate {
    per_second: u64,
    window: Option<RateWindow>,
}

/// The span that is being measured.
#[apply(plain!)]
#[derive(Copy)]
struct RateWindow {
    since: ClockTime,
    done: u64,
}

impl ServiceRate {
    /// Something waits from now on.
    pub(super) fn begin(&mut self, now: ClockTime) {
        self.window.get_or_insert(RateWindow {
            since: now,
            done: 0,
        });
    }

    /// Nothing waits any more.
    pub(super) const fn end(&mut self) {
        self.window = None;
    }

    /// A waiting request of `cost` goes.
    pub(super) fn note(&mut self, cost: u64, now: ClockTime) {
        let Some(window) = &mut self.window else {
            return;
        };
        window.done += cost;
        let span = now.since(window.since);
        if span < WINDOW {
            return;
        }
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let newest = window.done.saturating_mul(MICROS_PER_SECOND) / micros;
        self.per_second = match self.per_second {
            0 => newest,
            known => known - known / AVERAGE_PART + newest / AVERAGE_PART,
        };
        self.window = Some(RateWindow {
            since: now,
            done: 0,
        });
    }

    /// How long `cost` takes to go; `None` while that is not known.
    pub(super) fn time_for(&self, cost: u64) -> Option<Duration> {
        let micros = cost
            .saturating_mul(MICROS_PER_SECOND)
            .checked_div(self.per_second)?;
        Some(Duration::from_micros(micros))
    }
}
