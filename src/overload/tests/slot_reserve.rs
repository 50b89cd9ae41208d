use std::time::Duration;

use crate::overload::{DemandMeter, PriorityRank};
use crate::time::ClockTime;

const NOW: ClockTime = ClockTime::from_millis(50_000);
/// Not exempt from the reserve.
const LOT: f64 = 0.99;

fn rank(priority: u8) -> PriorityRank {
    PriorityRank::new(Some(1), priority)
}

/// Records `counts` of arrivals of each priority in the second before `NOW`.
fn meter_of(counts: &[(u8, u32)]) -> DemandMeter {
    let mut meter = DemandMeter::default();
    for step in 0..100 {
        let now = NOW - Duration::from_millis(1000 - 10 * step);
        for (priority, count) in counts {
            for _ in 0..*count {
                meter.note_arrival(rank(*priority), now);
            }
        }
    }
    meter
}

/// Guards against an effect where all requests are equally urgent.
#[test]
fn nothing_is_reserved_without_more_urgent_requests() {
    let meter = meter_of(&[(1, 5)]);
    assert!(meter.reserved_part(rank(1), LOT) < f64::EPSILON);
    assert!(meter.reserved_part(rank(0), LOT) < f64::EPSILON);
    assert!(DemandMeter::default().reserved_part(rank(9), LOT) < f64::EPSILON);
}

/// Guards against urgent requests without a free slot in a burst of those that can wait.
#[test]
fn less_urgent_requests_leave_more_slots() {
    let meter = meter_of(&[(0, 4), (1, 2), (2, 4)]);
    let parts = [0, 1, 2].map(|priority| meter.reserved_part(rank(priority), LOT));
    assert!(parts[0] < parts[1] && parts[1] < parts[2], "{parts:?}");
    assert!(parts[2] <= 1.0 / 3.0, "{parts:?}");
}

/// Guards against slots that stay free although the urgent requests have ended.
#[test]
fn the_reserve_ends_with_the_urgent_requests() {
    let mut meter = meter_of(&[(0, 5)]);
    for step in 0..600 {
        meter.note_arrival(rank(2), NOW + Duration::from_millis(10 * step));
    }
    let part = meter.reserved_part(rank(2), LOT);
    assert!(part < 0.05, "{part}");
}

/// Guards against a priority that gets no slots at all.
#[test]
fn a_quarter_of_the_less_urgent_requests_is_exempt() {
    let meter = meter_of(&[(0, 50), (2, 1)]);
    let lots = (0..100).map(|lot| f64::from(lot) / 100.0);
    let exempt = lots.filter(|lot| meter.reserved_part(rank(2), *lot) < f64::EPSILON);
    assert_eq!(exempt.count(), 25);
}

/// Guards against routes that are all equally urgent because every client account has a priority.
#[test]
fn the_route_decides_between_equally_urgent_accounts() {
    let urgent = PriorityRank::new(Some(1), 0);
    let normal = PriorityRank::new(Some(1), 2);
    let other_account = PriorityRank::new(Some(0), 2);
    assert!(other_account < urgent && urgent < normal);
    let levels = [other_account, urgent, normal].map(PriorityRank::engine_level);
    assert!(levels[0] < levels[1] && levels[1] < levels[2], "{levels:?}");
    assert_eq!(PriorityRank::new(None, 2), PriorityRank::new(Some(2), 2));
    assert!(PriorityRank::new(Some(255), 255).engine_level() <= 8);
}
