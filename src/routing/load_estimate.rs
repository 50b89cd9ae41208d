//! How busy a backend server is now, from a report about a moment ago and the requests sent since.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::membership::LoadReport;
use crate::time::ClockTime;

/// Own requests are remembered in steps of this many microseconds.
const STEP_MICROS: u64 = 250_000;
const STEPS: usize = 8;

/// The estimate for one backend server.
///
/// A report tells what was there when it was made, `lag` ago: other entry hosts' requests and some
/// of ours. What was ours then is remembered, so that the others' part can be told apart and ours
/// replaced by what it is now. Without this, every request sent since the report is invisible, and
/// all entry hosts send to the same idle backend server until the next one.
#[apply(plain!)]
pub(crate) struct LoadEstimate {
    report: LoadReport,
    other_load: u32,
    own_count: u32,
    /// Own requests at the end of each of the last steps, by step number modulo [`STEPS`].
    own_history: [u32; STEPS],
    step: u64,
}

impl LoadEstimate {
    /// Nothing is known yet.
    pub(crate) const fn new(now: ClockTime) -> Self {
        Self {
            report: LoadReport {
                running: 0,
                waiting: 0,
                capacity: 0,
                queue_room: 0,
            },
            other_load: 0,
            own_count: 0,
            own_history: [0; STEPS],
            step: now.0 / STEP_MICROS,
        }
    }

    /// Takes a report that was made `lag` before `now`.
    pub(crate) fn take_report(&mut self, report: LoadReport, lag: Duration, now: ClockTime) {
        self.advance(now);
        let own_then = self.own_count_at(now - lag);
        let reported = report.running.saturating_add(report.waiting);
        self.other_load = reported.saturating_sub(own_then);
        self.report = report;
    }

    /// One of our requests is sent there.
    pub(crate) fn begin(&mut self, now: ClockTime) {
        self.advance(now);
        self.own_count += 1;
    }

    /// One of our requests there has ended.
    pub(crate) fn end(&mut self, now: ClockTime) {
        self.advance(now);
        assert!(self.own_count > 0, "a request ended that never began");
        self.own_count -= 1;
    }

    /// Our requests there.
    pub(crate) const fn own_count(&self) -> u32 {
        self.own_count
    }

    /// All requests there, as far as can be told.
    pub(crate) const fn total(&self) -> u32 {
        self.other_load.saturating_add(self.own_count)
    }

    /// Requests that it runs at a time; at least one, so that a backend server that has not said
    /// is tried with one request.
    pub(crate) const fn capacity(&self) -> u32 {
        if self.report.capacity == 0 {
            1
        } else {
            self.report.capacity
        }
    }

    /// Requests that it keeps waiting beyond those.
    pub(crate) const fn queue_room(&self) -> u32 {
        self.report.queue_room
    }

    /// Other senders' part is taken for as large as it can be until the next report: the host has
    /// just refused a request because it was full.
    pub(crate) fn note_full(&mut self) {
        let limit = self.capacity().saturating_add(self.queue_room());
        self.other_load = self.other_load.max(limit.saturating_sub(self.own_count));
    }

    fn advance(&mut self, now: ClockTime) {
        let step = now.0 / STEP_MICROS;
        let passed = usize::try_from(step.saturating_sub(self.step)).unwrap_or(STEPS);
        for ahead in 0..passed.min(STEPS) {
            self.own_history[history_index(self.step + ahead as u64)] = self.own_count;
        }
        if passed > STEPS {
            self.own_history = [self.own_count; STEPS];
        }
        self.step = self.step.max(step);
    }

    fn own_count_at(&self, then: ClockTime) -> u32 {
        let step = then.0 / STEP_MICROS;
        if step >= self.step {
            return self.own_count;
        }
        let oldest = self.step.saturating_sub(STEPS as u64);
        self.own_history[history_index(step.max(oldest))]
    }
}

#[expect(clippy::cast_possible_truncation, reason = "smaller than STEPS")]
const fn history_index(step: u64) -> usize {
    (step % STEPS as u64) as usize
}
