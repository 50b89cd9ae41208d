//! How many requests an entry host had in flight at a backend server a short time ago.
//!
//! A load report is a few hundred milliseconds old when it arrives. To learn from it how many
//! requests of others were running, the own ones of that time have to be subtracted, not those of
//! now.

use std::collections::VecDeque;
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::time::ClockTime;

/// How far back the history goes. Load reports are rarely older.
const HISTORY_SPAN: Duration = Duration::from_millis(600);

/// The number of requests in flight from a time on.
#[apply(plain!)]
#[derive(Copy)]
struct InFlightCount {
    from: ClockTime,
    count: u32,
}

/// The numbers of requests in flight during the last [`HISTORY_SPAN`], oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlightHistory {
    counts: VecDeque<InFlightCount>,
}

impl InFlightHistory {
    /// Records that `count` requests are in flight from `now` on.
    pub(super) fn push(&mut self, count: u32, now: ClockTime) {
        self.counts.push_back(InFlightCount { from: now, count });
        // The newest count from before the span is still needed: it holds at its beginning.
        while self
            .counts
            .get(1)
            .is_some_and(|next| now.since(next.from) > HISTORY_SPAN)
        {
            self.counts.pop_front();
        }
    }

    /// The number of requests in flight `age` before `now`, as far back as the history goes.
    pub(super) fn count_before(&self, age: Duration, now: ClockTime) -> u32 {
        let at = self
            .counts
            .partition_point(|count| now.since(count.from) >= age);
        let held = at.checked_sub(1).and_then(|at| self.counts.get(at));
        held.map_or(0, |held| held.count)
    }
}
