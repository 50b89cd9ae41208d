//! What a process knows of the store's clock.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use crate::sync::store_clock::{ClockBounds, ClockSource, QuerySpan, StoreClock};
use crate::test_support::run_cases;
use crate::time::{ClockTime, StoreTime};

const CASES: u32 = 2000;
const CASE_BYTES: u32 = 1024;
const STEPS: u32 = 40;
/// Clocks drift by up to half of the allowed value, in parts per million.
const DRIFT_MAX: u64 = 100;
const TRANSIT_MAX_MS: u64 = 2500;

/// The store's clock, and how it relates to the clocks of the processes.
#[derive(Clone, Copy)]
struct SimulatedClock {
    ahead: u64,
    drift: u64,
}

impl SimulatedClock {
    fn at(self, now: ClockTime) -> StoreTime {
        StoreTime(now.0 + self.ahead + now.0 / 1_000_000 * self.drift)
    }

    /// The bounds that the store reports at `now`, in whole milliseconds.
    fn bounds(self, now: ClockTime) -> ClockBounds {
        ClockBounds::from_store(StoreTime(self.at(now).0 / 1000 * 1000))
    }
}

fn millis(u: &mut Unstructured<'_>, most: u64) -> Result<Duration> {
    Ok(Duration::from_millis(u.int_in_range(0..=most)?))
}

/// Two processes query the store and each other with random delays. The store's clock must always
/// be within the bounds of each, and a time on it must never be mapped to a later moment than its
/// real one.
fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let simulated = SimulatedClock {
        ahead: u.int_in_range(0..=10_000_000_000)?,
        drift: u.int_in_range(0..=DRIFT_MAX)?,
    };
    let mut clocks = [StoreClock::default(), StoreClock::default()];
    let mut now = ClockTime::from_millis(u.int_in_range(0..=100_000_000)?);
    for _ in 0..STEPS {
        let requester = usize::from(u.arbitrary::<bool>()?);
        let sent_at = now;
        now = now + millis(u, TRANSIT_MAX_MS)?;
        let (bounds, source) = if u.arbitrary()? {
            (Some(simulated.bounds(now)), ClockSource::Store)
        } else {
            (clocks[1 - requester].bounds(now), ClockSource::Neighbour)
        };
        now = now + millis(u, TRANSIT_MAX_MS)?;
        let span = QuerySpan {
            sent_at,
            received_at: now,
        };
        if let Some(bounds) = bounds {
            clocks[requester].note(bounds, span, source);
        }
        now = now + millis(u, 60_000)?;
        for clock in &clocks {
            if let Some(bounds) = clock.bounds(now) {
                let shown = simulated.at(now);
                assert!(
                    bounds.least <= shown && shown <= bounds.most,
                    "{bounds:?} {shown:?}"
                );
            }
        }
        // Times that are not reported again are evaluated within about a second.
        let before = sent_at;
        let local = clocks[requester].earliest(simulated.at(before));
        assert!(local <= before, "{local:?} is after {before:?}");
    }
    Ok(())
}

#[test]
fn clock_bounds_contain_the_store_clock_for_any_delays() {
    run_cases(CASES, CASE_BYTES, run_case);
}

/// Guards against drift that is only counted in whole seconds: clocks also drift apart in the
/// tenths of a second between two answers. An entry host dated a version 60 ms too late after an
/// hour.
#[test]
fn drift_is_counted_between_frequent_answers() {
    let simulated = SimulatedClock {
        ahead: 40_000_000,
        drift: DRIFT_MAX,
    };
    let mut clock = StoreClock::default();
    let mut now = ClockTime::from_millis(1_000_000);
    for _ in 0..9_000 {
        let answered = now + Duration::from_millis(1);
        let received_at = now + Duration::from_millis(61);
        let span = QuerySpan {
            sent_at: now,
            received_at,
        };
        clock.note(simulated.bounds(answered), span, ClockSource::Store);
        now = now + Duration::from_millis(400);
        let late = clock.earliest(simulated.at(now)).since(now);
        assert!(late.is_zero(), "{late:?} late at {now:?}");
    }
}

/// A process that was paused follows the next answer of the store. A neighbour that was paused
/// without noticing it, and reports a time that is too early, is not trusted.
#[test]
fn a_paused_process_is_corrected_and_not_trusted() {
    let at = |millis| ClockTime::from_millis(millis);
    let shows = |millis| ClockBounds::from_store(StoreTime::from_millis(millis));
    let span = |sent_at, received_at| QuerySpan {
        sent_at: at(sent_at),
        received_at: at(received_at),
    };
    let mut clock = StoreClock::default();
    clock.note(shows(5_000), span(1_000, 1_010), ClockSource::Store);
    let outdated = shows(3_020);
    clock.note(outdated, span(1_015, 1_025), ClockSource::Neighbour);
    // The clocks may have drifted apart by some microseconds since.
    let is_just = |found: ClockTime, expected: ClockTime| {
        found <= expected && expected.since(found) <= Duration::from_micros(20)
    };
    let found = clock.earliest(StoreTime::from_millis(5_000));
    assert!(is_just(found, at(999)), "{found:?}");
    // The process's own clock lost three seconds.
    clock.note(shows(8_100), span(1_100, 1_102), ClockSource::Store);
    let found = clock.earliest(StoreTime::from_millis(8_100));
    assert!(is_just(found, at(1_099)), "{found:?}");
}
