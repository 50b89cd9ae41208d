//! Detects stalls: spans in which this process did not run because its host was paused, it got no
//! processor time, or a task blocked its thread.

use std::convert::Infallible;
use std::time::Duration;

use tokio::time::sleep;

use super::events;
use crate::events::log_event;
use crate::metrics;
use crate::time::{ClockTime, clock_now};

const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest delay of a timer that counts as a stall. Timers of a busy process are late by less.
const STALL_MIN: Duration = Duration::from_millis(300);

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
