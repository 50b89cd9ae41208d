//! Which incarnation of the engine a report tells of. An engine may start again under its name; it
//! then holds and knows nothing of before, and counts its orders anew.

use macro_rules_attribute::apply;

use crate::derives::{key, plain};
use crate::fleet::EngineHoldings;
use crate::platform::EngineReport;
use crate::time::WallTime;

/// Reports in a row that tell of an earlier start, after which it is taken for a start with a clock
/// that was set back. One or two can be late answers of the former incarnation; each question has one
/// answer, so that late ones do not come in a longer row.
const OLDER_REPORTS_MAX: u32 = 3;

/// One start of the engine, as this process counts them.
#[apply(key!)]
#[derive(Default)]
pub(super) struct EngineIncarnation(u64);

/// What a report is, beside those before it.
#[apply(key!)]
pub(super) enum ReportOrigin {
    /// The incarnation that is known.
    Known,
    /// A later one: nothing of before holds.
    Restarted,
    /// An earlier one, come late.
    Older,
}

/// What is remembered of the last report.
#[apply(plain!)]
struct LastReport {
    born: Option<WallTime>,
    orders_taken: u64,
    holds_any: bool,
}

/// Follows the engine from one incarnation to the next.
#[derive(Debug, Default)]
pub(super) struct IncarnationTracker {
    incarnation: EngineIncarnation,
    last: Option<LastReport>,
    older_reports: u32,
}

impl IncarnationTracker {
    /// The incarnation that is known.
    pub(super) const fn incarnation(&self) -> EngineIncarnation {
        self.incarnation
    }

    /// Takes in the next report; `was_unresponsive` tells that the engine did not answer before it.
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
            self.incarnation = EngineIncarnation(self.incarnation.0 + 1);
        }
        self.last = Some(LastReport {
            born: report.born,
            orders_taken: report.orders_taken,
            holds_any: !holds_nothing(report),
        });
        origin
    }

    /// An engine whose clock was set back says that it started earlier than the one before. Taken for
    /// a late answer each time, it would never be brought its weights; the host would tell of no load.
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
        match (self.born, report.born) {
            (Some(last), Some(born)) if born > last => ReportOrigin::Restarted,
            (Some(last), Some(born)) if born < last => ReportOrigin::Older,
            (Some(_), Some(_)) => ReportOrigin::Known,
            _ if self.has_lost_state(report, was_unresponsive) => ReportOrigin::Restarted,
            _ => ReportOrigin::Known,
        }
    }

    /// Whether an engine that does not say when it started has forgotten what it knew: it took fewer
    /// orders than before, or holds nothing although no order made it drop what it held.
    fn has_lost_state(&self, report: &EngineReport, was_unresponsive: bool) -> bool {
        let is_idle_and_empty = holds_nothing(report) && !report.is_busy;
        let has_dropped = self.holds_any && report.orders_taken == self.orders_taken;
        report.orders_taken < self.orders_taken
            || (is_idle_and_empty && (was_unresponsive || has_dropped))
    }
}

fn holds_nothing(report: &EngineReport) -> bool {
    report.holdings == EngineHoldings::default()
}
