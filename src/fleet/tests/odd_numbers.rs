//! Entries, load reports, responses and documents with numbers at the ends of their ranges.

use super::*;
use crate::catalog::ColdStart;
use crate::overload::EngineSpeed;
use crate::time::StoreTime;

const NUMBERS: [u32; 4] = [0, 1, u32::MAX - 1, u32::MAX];
const RATES: [f64; 8] = [
    0.0,
    f64::MIN_POSITIVE,
    1e-9,
    1.0,
    1e6,
    1e18,
    1e300,
    f64::MAX,
];

fn work() -> EngineWork {
    EngineWork {
        speed: EngineSpeed {
            step_s: 0.01,
            request_step_s: 0.001,
            read_per_s: 1000.0,
            typical_prompt_tokens: 100.0,
            typical_answer_tokens: 100.0,
        },
        prompt_tokens: u32::MAX,
    }
}

fn report(active: u32, queued: u32, pace: f64) -> LoadReport {
    let backend = facts("a", "here", 1);
    LoadReport {
        address: backend.address,
        start_time: None,
        active,
        queued,
        is_loading: false,
        pace,
        holdings: backend.holdings,
    }
}

/// Guards against a load that wraps around. A backend server stated more requests than its field
/// holds, and with one that this entry host had sent meanwhile it counted as idle.
#[test]
fn the_largest_load_counts_as_full() {
    let registry = registry_of(vec![facts("a", "here", 1)]);
    let ticket = registry.pick(&requirements(None), NOW);
    let ticket = ticket.expect("it is free");
    let report = report(u32::MAX, u32::MAX, 1.0);
    registry.lock().note_report(report, NOW);
    let refused = registry.pick(&requirements(None), NOW).err();
    assert_eq!(refused, Some(PickRefusal::AllFull));
    drop(ticket);
}

/// Guards against arithmetic on such numbers that ends the thread.
#[test]
fn numbers_at_the_ends_of_their_ranges_stop_no_pick() {
    let paces = [
        0.0,
        -1.0,
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        f64::MAX,
    ];
    for slots in NUMBERS {
        for active in NUMBERS {
            for pace in paces {
                let mut backend = facts("a", "here", 1);
                backend.slots = slots;
                backend.cold_until = Some(StoreTime(u64::MAX));
                backend.start_time = Some(crate::time::WallTime(u64::MAX));
                let registry = registry_of(vec![backend, facts("b", "there", 1)]);
                let entries = [entry_host_id("e1", "here"), entry_host_id("e2", "here")];
                registry.lock().assign_shares(&entries);
                registry
                    .lock()
                    .note_report(report(active, active, pace), NOW);
                for later in [0, 1, 3] {
                    let now = NOW + Duration::from_secs(later);
                    for is_returned in [true, false] {
                        let wanted = PickRequirements {
                            work: Some(work()),
                            queue_room: u32::MAX,
                            is_returned,
                            reserved_part: 1.0 / 3.0,
                            ..requirements(None)
                        };
                        let first = registry.pick(&wanted, now);
                        let second = registry.pick(&wanted, now);
                        drop((first, second));
                    }
                }
            }
        }
    }
}

fn picks_at_limit(registry: &SharedRegistry, wanted: &PickRequirements<'_>) -> usize {
    let steps = (1..=100).map(|step| NOW + Duration::from_millis(10) * step);
    let picked = steps.filter(|now| {
        let picked = registry.pick(wanted, *now);
        picked
            .map(|ticket| ticket.end(CallOutcome::Answered, *now))
            .is_ok()
    });
    picked.count()
}

/// Guards against a rate so large that the numbers of its send intervals exceed the range of integers,
/// which ends the thread.
#[test]
fn an_absurdly_large_rate_limits_nothing_and_a_small_one_everything() {
    for rate in RATES {
        let registry = registry_of(vec![facts("a", "here", 1)]);
        let ticket = registry.pick(&requirements(None), NOW).expect("it is free");
        ticket.note_limit(Some(rate), NOW);
        ticket.end(CallOutcome::Answered, NOW);
        let count = picks_at_limit(&registry, &requirements(None));
        let expected = if rate >= 1e6 { 100..=100 } else { 0..=2 };
        assert!(expected.contains(&count), "{rate}: {count}");

        let cold_start = ColdStart {
            span: Duration::from_secs(3),
            rate,
        };
        for overshoot in [0.0, 1.0, 1.5, f64::MAX, f64::INFINITY] {
            let registry = registry_of(vec![facts("a", "here", 1)]);
            let wanted = PickRequirements {
                cold_limit: Some(ColdLimit::new(cold_start, overshoot)),
                ..requirements(None)
            };
            let count = picks_at_limit(&registry, &wanted);
            assert!(expected.contains(&count), "cold, {rate}: {count}");
        }
    }
}
