//! Which reports reveal another incarnation of the engine.

use crate::fleet::{EngineHoldings, HeldLayers, WeightsVersion};
use crate::platform::EngineReport;
use crate::replication::engine_incarnation::{IncarnationTracker, ReportOrigin};
use crate::time::WallTime;

const FIRST: Option<WallTime> = Some(WallTime(1_000));
const LATER: Option<WallTime> = Some(WallTime(21_000));

fn report(start_time: Option<WallTime>, orders_accepted: u64, holds_any: bool) -> EngineReport {
    let layers = HeldLayers {
        from: 0,
        to: 4,
        version: WeightsVersion(1),
    };
    EngineReport {
        holdings: EngineHoldings {
            models: Vec::new(),
            layers: if holds_any { vec![layers] } else { Vec::new() },
        },
        start_time,
        is_busy: false,
        orders_accepted,
        queued: 0,
        active: 0,
        pace: 1.0,
    }
}

fn tracker_of(first: &EngineReport) -> IncarnationTracker {
    let mut tracker = IncarnationTracker::default();
    assert_eq!(tracker.take(first, true), ReportOrigin::Known);
    tracker
}

/// The start time decides: the counts of a new incarnation may have caught up with those of the
/// former one, and one incarnation may be empty or unresponsive for a while.
#[test]
fn a_later_start_time_is_a_new_incarnation_and_the_same_one_is_not() {
    let mut tracker = tracker_of(&report(FIRST, 1, true));
    let before = tracker.incarnation();
    assert_eq!(
        tracker.take(&report(FIRST, 1, false), true),
        ReportOrigin::Known
    );
    assert_eq!(tracker.incarnation(), before);
    assert_eq!(
        tracker.take(&report(LATER, 1, true), false),
        ReportOrigin::Restarted
    );
    assert!(tracker.incarnation() > before);
}

/// Delayed reports of the former incarnation are ignored, but an engine whose clock was set back
/// before its restart must not be mistaken for its former incarnation forever.
#[test]
fn an_earlier_start_time_counts_after_repeated_reports() {
    let mut tracker = tracker_of(&report(LATER, 0, false));
    let earlier = report(FIRST, 1, true);
    for _ in 0..2 {
        assert_eq!(tracker.take(&earlier, false), ReportOrigin::Older);
        assert_eq!(tracker.take(&earlier, false), ReportOrigin::Older);
        let current = tracker.take(&report(LATER, 0, false), false);
        assert_eq!(current, ReportOrigin::Known);
    }
    assert_eq!(tracker.take(&earlier, false), ReportOrigin::Older);
    assert_eq!(tracker.take(&earlier, false), ReportOrigin::Older);
    assert_eq!(tracker.take(&earlier, false), ReportOrigin::Restarted);
    assert_eq!(tracker.take(&earlier, false), ReportOrigin::Known);
}

/// Without a start time, only lost state reveals a restart.
#[test]
fn without_a_start_time_lost_counts_and_holdings_reveal_a_restart() {
    let origin_of = |next: EngineReport, was_unresponsive| {
        tracker_of(&report(None, 2, true)).take(&next, was_unresponsive)
    };
    let busy = EngineReport {
        is_busy: true,
        ..report(None, 2, false)
    };
    let cases = [
        (report(None, 2, true), false, ReportOrigin::Known),
        (report(None, 2, true), true, ReportOrigin::Known),
        (report(None, 3, false), false, ReportOrigin::Known),
        (busy, true, ReportOrigin::Known),
        (report(None, 1, true), false, ReportOrigin::Restarted),
        (report(None, 2, false), false, ReportOrigin::Restarted),
        (report(None, 3, false), true, ReportOrigin::Restarted),
    ];
    for (next, was_unresponsive, expected) in cases {
        let origin = origin_of(next.clone(), was_unresponsive);
        assert_eq!(
            origin, expected,
            "{next:?}, unresponsive before: {was_unresponsive}"
        );
    }
}
