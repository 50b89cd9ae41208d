//! Detects stalls: spans in which this process did not run because its host was paused, it got no
//! processor time, or a task blocked its thread.

use std::convert::Infallible;
use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::time::sleep;

use super::events;
use crate::derives::plain;
use crate::events::log_event;
use crate::metrics;
use crate::time::{ClockTime, clock_now};

pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest delay of a timer that counts as a stall. Timers of a busy process are late by less.
const STALL_MIN: Duration = Duration::from_millis(300);
/// How long after a stall a process may still read what arrived meanwhile.
const READ_SPAN: Duration = Duration::from_millis(300);

/// Logs and records each stall of this process.
pub(crate) async fn watch_stalls() -> Infallible {
    loop {
        let due = clock_now() + CHECK_INTERVAL;
        sleep(CHECK_INTERVAL).await;
        if let Some(stall) = stall_span(due, clock_now()) {
            metrics::record_seconds("stall", stall.as_secs_f64());
            log_event!(events::STALLED, "ms={}", stall.as_millis());
        }
    }
}

/// Duration of the stall if a timer that was due at `due` fires at `now`; `None` without a stall.
pub(super) fn stall_span(due: ClockTime, now: ClockTime) -> Option<Duration> {
    let delay = now.since(due);
    (delay >= STALL_MIN).then_some(delay)
}

/// A stall: the process was checked at its begin and at its end, and not between them.
#[apply(plain!)]
#[derive(Copy)]
struct StallSpan {
    began_at: ClockTime,
    ended_at: ClockTime,
}

/// Tells since when what a process reads may have waited, although it stood still meanwhile.
#[apply(plain!)]
#[derive(Copy, Default)]
pub(crate) struct StallClock {
    /// When it was last checked.
    checked_at: Option<ClockTime>,
    last_stall: Option<StallSpan>,
}

impl StallClock {
    /// Records that the process runs at `now`. It is called every `CHECK_INTERVAL`.
    pub(crate) fn check(&mut self, now: ClockTime) {
        self.last_stall = self.stall_until(now).or(self.last_stall);
        self.checked_at = Some(now);
    }

    /// Returns since when something that is read at `now` may have waited.
    pub(crate) fn waiting_since(&self, now: ClockTime) -> ClockTime {
        let is_recent = |stall: &StallSpan| now.since(stall.ended_at) < READ_SPAN;
        let stall = self.stall_until(now).or(self.last_stall.filter(is_recent));
        stall.map_or(now, |stall| stall.began_at)
    }

    /// The stall that ends at `now`, if the check is overdue.
    fn stall_until(&self, now: ClockTime) -> Option<StallSpan> {
        let began_at = self.checked_at?;
        stall_span(began_at + CHECK_INTERVAL, now)?;
        Some(StallSpan {
            began_at,
            ended_at: now,
        })
    }
}
