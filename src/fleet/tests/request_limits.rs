//! Backend servers that advertise a request rate.

use std::time::Duration;

use super::*;
use crate::time::{StoreTime, WallTime};

/// Requests per second.
const RATE: f64 = 1.0;

/// The registry of one of two entry hosts, with the backend servers `a`, which is preferred, and
/// `b`.
fn shared_registry() -> SharedRegistry {
    let mut other = facts("b", "there", 1);
    other.address = ([10, 0, 0, 2], 80).into();
    let registry = registry_of(vec![facts("a", "here", 1), other]);
    let entries = [entry_host_id("e1", "here"), entry_host_id("e2", "here")];
    registry.lock().assign_shares(&entries);
    registry
}

fn pick_at(registry: &SharedRegistry, now: ClockTime) -> BackendTicket {
    registry
        .pick(&requirements(None), now)
        .expect("one is free")
}

/// Sends a request every 100 ms for ten seconds from `now` and returns how many went to `a`.
fn sent_to_a(registry: &SharedRegistry, now: ClockTime) -> usize {
    let moments = (0..100).map(|step| now + Duration::from_millis(100) * step);
    let tickets = moments.map(|now| {
        let ticket = pick_at(registry, now);
        let is_a = ticket.facts.id == "a";
        ticket.end(CallOutcome::Answered, now);
        is_a
    });
    tickets.filter(|is_a| *is_a).count()
}

/// Lets `a` advertise `rate` in the response to a request sent at `now`.
fn advertise(registry: &SharedRegistry, rate: Option<f64>, now: ClockTime) {
    let requirements = PickRequirements {
        tried: &[],
        ..requirements(None)
    };
    let ticket = registry.pick(&requirements, now).expect("one is free");
    assert_eq!(ticket.facts.id, "a");
    let answered = now + Duration::from_millis(20);
    ticket.note_limit(rate, answered);
    ticket.end(CallOutcome::Answered, answered);
}

fn announcement(rate: Option<f64>, at: ClockTime) -> LimitAnnouncement {
    LimitAnnouncement {
        address: ([10, 0, 0, 1], 80).into(),
        start_time: None,
        rate,
        at: StoreTime(at.0),
    }
}

/// Guards against an entry host that uses the rate of all entry hosts alone.
#[test]
fn an_entry_host_uses_its_part_of_the_rate() {
    let registry = shared_registry();
    assert_eq!(sent_to_a(&registry, NOW), 100);
    let now = NOW + Duration::from_secs(20);
    advertise(&registry, Some(RATE), now);
    let sent = sent_to_a(&registry, now + Duration::from_secs(1));
    assert!((1..10).contains(&sent), "{sent}");
}

/// Guards against requests that wait for a backend server that accepts none.
#[test]
fn a_request_without_a_send_interval_is_refused_at_once() {
    let registry = registry_of(vec![facts("a", "here", 1)]);
    advertise(&registry, Some(0.0), NOW);
    let later = NOW + Duration::from_secs(1);
    let refusal = registry
        .pick(&requirements(None), later)
        .expect_err("it takes none");
    assert_eq!(refusal, PickRefusal::AllFull);
}

/// Guards against a limit that ends by a response written before it was advertised.
#[test]
fn a_limit_ends_only_by_a_response_to_a_later_request() {
    let registry = shared_registry();
    let earlier = pick_at(&registry, NOW);
    advertise(&registry, Some(0.0), NOW);
    let now = NOW + Duration::from_secs(1);
    earlier.note_limit(None, now);
    assert_eq!(sent_to_a(&registry, now), 0);
    earlier.end(CallOutcome::Answered, now);
    let mut ended = announcement(None, now + Duration::from_secs(10));
    registry.lock().apply_limit(&ended);
    assert_eq!(sent_to_a(&registry, now + Duration::from_secs(11)), 100);
    // An older announcement that arrives late is ignored.
    ended.rate = Some(0.0);
    ended.at = StoreTime(now.0);
    registry.lock().apply_limit(&ended);
    assert_eq!(sent_to_a(&registry, now + Duration::from_secs(22)), 100);
}

/// Guards against limits of a former incarnation, and limits that are no longer confirmed.
#[test]
fn a_limit_ends_with_its_incarnation_or_expires() {
    let registry = shared_registry();
    registry.lock().apply_limit(&announcement(Some(0.0), NOW));
    assert_eq!(sent_to_a(&registry, NOW), 0);
    assert_eq!(sent_to_a(&registry, NOW + Duration::from_secs(30)), 100);

    let registry = shared_registry();
    registry.lock().apply_limit(&announcement(Some(0.0), NOW));
    let mut restarted = facts("a", "here", 1);
    restarted.start_time = Some(WallTime(2));
    let mut started = restarted.clone();
    started.start_time = Some(WallTime(3));
    for facts in [restarted, started] {
        let backends = vec![facts.into()];
        registry.lock().set_fleet(&FleetView { backends }, NOW);
    }
    assert_eq!(sent_to_a(&registry, NOW), 100);
    registry.lock().apply_limit(&LimitAnnouncement {
        start_time: Some(WallTime(2)),
        ..announcement(Some(0.0), NOW)
    });
    assert_eq!(sent_to_a(&registry, NOW), 100);
}

/// Guards against entry hosts that never receive a limit because they send nothing there, and
/// against announcements that are forwarded endlessly.
#[test]
fn a_limit_is_announced_once_and_its_end_repeatedly_for_a_while() {
    let registry = shared_registry();
    assert!(registry.lock().take_pending_limits(NOW).is_empty());
    advertise(&registry, Some(RATE), NOW);
    let now = NOW + Duration::from_millis(500);
    let announced = registry.lock().take_pending_limits(now);
    assert_eq!(announced.len(), 1);
    assert!(registry.lock().take_pending_limits(now).is_empty());
    let other = shared_registry();
    other.lock().apply_limit(&announced[0]);
    assert!(sent_to_a(&other, now) < 10);
    assert!(other.lock().take_pending_limits(now).is_empty());

    let free_at = now + Duration::from_mins(1);
    advertise(&registry, None, free_at);
    for seconds in 0..2 {
        let now = free_at + Duration::from_millis(500 + seconds * 1000);
        let announced = registry.lock().take_pending_limits(now);
        assert_eq!(announced[0].rate, None);
        other.lock().apply_limit(&announced[0]);
    }
    let now = free_at + Duration::from_secs(3);
    assert!(registry.lock().take_pending_limits(now).is_empty());
    assert_eq!(sent_to_a(&other, now), 100);
}
