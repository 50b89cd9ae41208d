//! Tests of routing.

use std::time::Duration;

use super::circuit_breaker::CircuitBreaker;
use super::load_estimate::LoadEstimate;
use super::rendezvous::{name_hash, rendezvous_weight};
use crate::lab::soak::routing::run_case;
use crate::membership::LoadReport;
use crate::test_support::run_cases;
use crate::time::ClockTime;

const START: ClockTime = ClockTime::from_millis(10_000);

fn after(millis: u64) -> ClockTime {
    START + Duration::from_millis(millis)
}

#[test]
fn picks_only_eligible_backend_servers() {
    run_cases(600, 4096, run_case);
}

#[test]
fn breaker_opens_after_failures_and_allows_one_probe() {
    let mut breaker = CircuitBreaker::default();
    assert!(!breaker.note_failure(START, 0));
    assert!(!breaker.note_failure(START, 0));
    assert!(breaker.note_failure(START, 0));
    assert!(!breaker.allows_request(after(249)));
    assert!(breaker.allows_request(after(250)));
    breaker.note_sent(after(250));
    assert!(!breaker.allows_request(after(251)));
    assert!(breaker.note_failure(after(260), 0));
    // The second open time is twice as long.
    assert!(!breaker.allows_request(after(759)));
    assert!(breaker.allows_request(after(760)));
    breaker.note_sent(after(760));
    breaker.note_success();
    assert!(breaker.allows_request(after(761)));
}

#[test]
fn a_probe_without_an_end_expires() {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..3 {
        breaker.note_failure(START, 0);
    }
    breaker.note_sent(after(300));
    assert!(!breaker.allows_request(after(20_000)));
    assert!(breaker.allows_request(after(40_000)));
}

/// Guards against all entry hosts sending to the same backend server for a second and then to the
/// next: one reported that it was idle, and the requests sent since that report were not counted.
#[test]
fn own_requests_since_the_last_report_count() {
    let report = LoadReport {
        running: 3,
        waiting: 0,
        capacity: 8,
        queue_room: 0,
    };
    let mut estimate = LoadEstimate::new(START);
    estimate.begin(START);
    estimate.begin(START);
    // Two of the three are own requests.
    estimate.take_report(report, Duration::ZERO, START);
    assert_eq!(estimate.total(), 3);
    estimate.begin(after(10));
    assert_eq!(estimate.total(), 4);
    estimate.end(after(20));
    estimate.end(after(20));
    assert_eq!(estimate.total(), 2);
}

#[test]
fn a_late_report_is_compared_with_the_own_requests_of_its_time() {
    let report = LoadReport {
        running: 1,
        waiting: 0,
        capacity: 8,
        queue_room: 0,
    };
    let mut estimate = LoadEstimate::new(START);
    for _ in 0..5 {
        estimate.begin(after(1_500));
    }
    // The report was made before any own request was sent.
    estimate.take_report(report, Duration::from_secs(1), after(2_000));
    assert_eq!(estimate.total(), 6);
}

#[test]
fn rendezvous_changes_only_the_choices_of_a_removed_member() {
    let members: Vec<u64> = (0..20)
        .map(|number| name_hash(&format!("m-{number}")))
        .collect();
    let choose = |members: &[u64], subject: u64| {
        let best = members
            .iter()
            .max_by_key(|member| rendezvous_weight(subject, **member));
        *best.expect("there are members")
    };
    let mut moved = 0;
    for subject in 0..2_000_u64 {
        let subject = name_hash(&subject.to_string());
        let before = choose(&members, subject);
        let later = choose(&members[1..], subject);
        assert!(before == later || before == members[0]);
        moved += u32::from(before != later);
    }
    // About one in twenty.
    assert!((60..=140).contains(&moved), "{moved}");
}
