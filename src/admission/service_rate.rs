//! The measured rate at which a service dispatches waiting requests.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::time::ClockTime;

/// The shortest time over which the rate is measured.
const WINDOW: Duration = Duration::from_millis(500);
/// The divisor of the newest window in the moving average; its weight is 1/4.
const AVERAGE_DIVISOR: u64 = 4;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A moving average of the cost that leaves the queue per second. Only time in which requests wait
/// is measured, because an idle service would otherwise appear slow.
#[apply(plain!)]
#[derive(Copy, Default)]
pub(super) struct ServiceRate {
    /// Cost per second; 0 until a window was measured.
    per_second: u64,
    window: Option<RateWindow>,
}

/// The window that is being measured.
#[apply(plain!)]
#[derive(Copy)]
struct RateWindow {
    start: ClockTime,
    cost: u64,
}

impl ServiceRate {
    /// Starts measuring, unless a window is open. Call when a request starts to wait.
    pub(super) fn start(&mut self, now: ClockTime) {
        self.window.get_or_insert(RateWindow {
            start: now,
            cost: 0,
        });
    }

    /// Stops measuring. Call when the queue becomes empty.
    pub(super) const fn stop(&mut self) {
        self.window = None;
    }

    /// Counts a waiting request of `cost` that was dispatched.
    pub(super) fn record(&mut self, cost: u64, now: ClockTime) {
        let Some(window) = &mut self.window else {
            return;
        };
        window.cost += cost;
        let elapsed = now.since(window.start);
        if elapsed < WINDOW {
            return;
        }
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let newest = window.cost.saturating_mul(MICROS_PER_SECOND) / micros;
        self.per_second = match self.per_second {
            0 => newest,
            average => average - average / AVERAGE_DIVISOR + newest / AVERAGE_DIVISOR,
        };
        self.window = Some(RateWindow {
            start: now,
            cost: 0,
        });
    }

    /// The time in which requests of `cost` in total are dispatched; `None` until a rate was
    /// measured.
    pub(super) fn time_for(&self, cost: u64) -> Option<Duration> {
        let micros = cost
            .saturating_mul(MICROS_PER_SECOND)
            .checked_div(self.per_second)?;
        Some(Duration::from_micros(micros))
    }
}
