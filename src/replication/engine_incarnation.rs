//! Determines which incarnation of the engine a report describes. A restarted engine keeps its
//! name, but has no weights and counts its orders from zero.

use macro_rules_attribute::apply;

use crate::derives::{key, plain};
use crate::fleet::EngineHoldings;
use crate::platform::EngineReport;
use crate::time::WallTime;

/// Reports in a row with an earlier start time after which the engine counts as restarted with its
/// clock set back. One or two can be delayed responses of the former incarnation, but not more:
/// each query has one response.
const OLDER_REPORTS_MAX: u32 = 3;

/// Number of an engine start, as counted by this process.
#[apply(key!)]
#[derive(Default)]
pub(super) struct EngineIncarnation(u64);

impl EngineIncarnation {
    /// The incarnation after this one.
    pub(super) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The incarnation that a report describes, compared with the known one.
#[apply(key!)]
pub(super) enum ReportOrigin {
    /// The known incarnation.
    Known,
    /// A newer incarnation; all former state is obsolete.
    Restarted,
    /// An older incarnation, in a delayed report.
    Older,
}

/// What is remembered of the last report.
#[apply(plain!)]
struct LastReport {
    start_time: Option<WallTime>,
    orders_accepted: u64,
    holds_any: bool,
}

/// Tracks the engine across restarts.
#[derive(Debug, Default)]
pub(super) struct IncarnationTracker {
    incarnation: EngineIncarnation,
    last: Option<LastReport>,
    older_reports: u32,
}

impl IncarnationTracker {
    /// The current incarnation.
    pub(super) const fn incarnation(&self) -> EngineIncarnation {
        self.incarnation
    }

    /// Classifies the next report; `was_unresponsive` is true if the engine did not answer
    /// before it.
    pub(super) fn take(&mut self, report: &EngineReport, was_unresponsive: bool) -> ReportOrigin {
        let origin = match &self.last {
            None => ReportOrigin::Known,
            Some(last) => last.origin_of(report, was_unresponsive),
        };
        let origin = self.confirm_older(origin);
        if origin == ReportOrigin::Older {
            return origin;
        }
        if origin == ReportOrigin::Restarted {
            self.incarnation = self.incarnation.next();
        }
        self.last = Some(LastReport {
            start_time: report.start_time,
            orders_accepted: report.orders_accepted,
            holds_any: !holds_nothing(report),
        });
        origin
    }

    /// Accepts an older start time once it was reported often enough. An engine whose clock was set
    /// back reports an earlier start than before its restart. If its reports were ignored as
    /// delayed, it would get no weights and its load would not be reported.
    const fn confirm_older(&mut self, origin: ReportOrigin) -> ReportOrigin {
        if !matches!(origin, ReportOrigin::Older) {
            self.older_reports = 0;
            return origin;
        }
        self.older_reports += 1;
        if self.older_reports < OLDER_REPORTS_MAX {
            return origin;
        }
        self.older_reports = 0;
        ReportOrigin::Restarted
    }
}

impl LastReport {
    fn origin_of(&self, report: &EngineReport, was_unresponsive: bool) -> ReportOrigin {
        match (self.start_time, report.start_time) {
            (Some(last), Some(start_time)) if start_time > last => ReportOrigin::Restarted,
            (Some(last), Some(start_time)) if start_time < last => ReportOrigin::Older,
            (Some(_), Some(_)) => ReportOrigin::Known,
            _ if self.has_lost_state(report, was_unresponsive) => ReportOrigin::Restarted,
            _ => ReportOrigin::Known,
        }
    }

    /// Whether an engine that does not report its start time has lost its state: it counts fewer
    /// orders than before, or holds nothing although no order made it release its weights.
    fn has_lost_state(&self, report: &EngineReport, was_unresponsive: bool) -> bool {
        let is_idle_and_empty = holds_nothing(report) && !report.is_busy;
        let has_dropped = self.holds_any && report.orders_accepted == self.orders_accepted;
        report.orders_accepted < self.orders_accepted
            || (is_idle_and_empty && (was_unresponsive || has_dropped))
    }
}

fn holds_nothing(report: &EngineReport) -> bool {
    report.holdings == EngineHoldings::default()
}
