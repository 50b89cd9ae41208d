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
fn picks_only_who_can_take_it() {
    run_cases(600, 4096, run_case);
}

#[test]
fn breaker_opens_after_failures_and_lets_one_probe_pass() {
    let mut breaker = CircuitBreaker::default();
    assert!(!breaker.note_failure(START, 0));
    assert!(!breaker.note_failure(START, 0));
    assert!(breaker.note_failure(START, 0));
    assert!(!breaker.allows_request(after(249)));
    assert!(breaker.allows_request(after(250)));
    breaker.note_sent(after(250));
    assert!(!breaker.allows_request(after(251)));
    assert!(breaker.note_failure(after(260), 0));
    // The second pause is twice as long.
    assert!(!breaker.allows_request(after(759)));
    assert!(breaker.allows_request(after(760)));
    breaker.note_sent(after(760));
    breaker.note_success();
    assert!(breaker.allows_request(after(761)));
}

#[test]
fn a_probe_without_an_end_does_not_shut_out_for_good() {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..3 {
        breaker.note_failure(START, 0);
    }
    breaker.note_sent(after(300));
    assert!(!breaker.allows_request(after(20_000)));
    assert!(breaker.allows_request(after(40_000)));
}

/// Symptom: all entry hosts sent to the same backend server for a second, then to the next. Events:
/// one reports that it is idle; until its next report each of them believes it. Cause: what they had
/// sent since was not counted.
#[test]
fn own_requests_since_the_report_count() {
    let report = LoadReport {
        running: 3,
        waiting: 0,
        capacity: 8,
        queue_room: 0,
    };
    let mut estimate = LoadEstimate::new(START);
    estimate.begin(START);
    estimate.begin(START);
    // Two of the three are ours.
    estimate.take_report(report, Duration::ZERO, START);
    assert_eq!(estimate.total(), 3);
    estimate.begin(after(10));
    assert_eq!(estimate.total(), 4);
    estimate.end(after(20));
    estimate.end(after(20));
    assert_eq!(estimate.total(), 2);
}

#[test]
fn a_late_report_is_held_against_what_was_ours_then() {
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
    // It was made before any of ours had been sent.
    estimate.take_report(report, Duration::from_secs(1), after(2_000));
    assert_eq!(estimate.total(), 6);
}

#[test]
fn rendezvous_moves_only_what_it_has_to() {
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
    // One in twenty, give or take.
    assert!((60..=140).contains(&moved), "{moved}");
}
