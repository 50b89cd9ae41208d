//! Estimates the current load of a backend server from its last load report and the requests sent
//! since.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::membership::LoadReport;
use crate::time::ClockTime;

/// Length of one step of the history of own requests, in microseconds.
const STEP_MICROS: u64 = 250_000;
const STEPS: usize = 8;

/// Load estimate for one backend server.
///
/// A report counts the requests of all entry hosts at the time it was made, `lag` ago. The number
/// of own requests at that time is subtracted, which leaves the requests of other entry hosts, and
/// the current number of own requests is added. Otherwise requests sent since the report would not
/// count, and all entry hosts would send to the same idle backend server until its next report.
#[apply(plain!)]
pub(crate) struct LoadEstimate {
    report: LoadReport,
    other_load: u32,
    own_count: u32,
    /// Number of own requests at the end of each of the last steps, indexed by the step number
    /// modulo [`STEPS`].
    own_history: [u32; STEPS],
    step: u64,
}

impl LoadEstimate {
    /// Creates an estimate without any report.
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

    /// Applies a report that was made `lag` before `now`.
    pub(crate) fn take_report(&mut self, report: LoadReport, lag: Duration, now: ClockTime) {
        self.advance(now);
        let own_then = self.own_count_at(now - lag);
        let reported = report.running.saturating_add(report.waiting);
        self.other_load = reported.saturating_sub(own_then);
        self.report = report;
    }

    /// Counts an own request that is sent.
    pub(crate) fn begin(&mut self, now: ClockTime) {
        self.advance(now);
        self.own_count += 1;
    }

    /// Counts an own request that has ended.
    pub(crate) fn end(&mut self, now: ClockTime) {
        self.advance(now);
        assert!(
            self.own_count > 0,
            "a request ended that was never counted as sent"
        );
        self.own_count -= 1;
    }

    /// Number of own requests at the backend server.
    pub(crate) const fn own_count(&self) -> u32 {
        self.own_count
    }

    /// Estimated number of all requests at the backend server.
    pub(crate) const fn total(&self) -> u32 {
        self.other_load.saturating_add(self.own_count)
    }

    /// Number of requests that it runs at a time. At least one, so that a backend server that has
    /// not reported its capacity gets one request.
    pub(crate) const fn capacity(&self) -> u32 {
        if self.report.capacity == 0 {
            1
        } else {
            self.report.capacity
        }
    }

    /// Number of further requests that it accepts into its queue.
    pub(crate) const fn queue_room(&self) -> u32 {
        self.report.queue_room
    }

    /// Assumes until the next report that other entry hosts use all remaining capacity, because the
    /// host has just refused a request as full.
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
