//! Backend servers that name how many requests a second they take.

use std::time::Duration;

use super::*;
use crate::time::{StoreTime, WallTime};

/// Requests a second.
const RATE: f64 = 1.0;

/// A desk of one of two entry hosts, with the backend servers `a`, which is chosen first, and `b`.
fn shared_desk() -> SharedRegistry {
    let mut other = facts("b", "there", 1);
    other.address = ([10, 0, 0, 2], 80).into();
    let desk = desk_of(vec![facts("a", "here", 1), other]);
    let entries = [entry_place("e1", "here"), entry_place("e2", "here")];
    desk.lock().assign_shares(&entries);
    desk
}

fn pick_at(desk: &SharedRegistry, now: ClockTime) -> BackendTicket {
    desk.pick(&need(None), now).expect("one is free")
}

/// How many of requests that come each 100 ms for ten seconds from `now` on go to `a`.
fn sent_to_a(desk: &SharedRegistry, now: ClockTime) -> usize {
    let moments = (0..100).map(|step| now + Duration::from_millis(100) * step);
    let tickets = moments.map(|now| {
        let ticket = pick_at(desk, now);
        let is_a = ticket.facts.id == "a";
        ticket.end(CallOutcome::Answered, now);
        is_a
    });
    tickets.filter(|is_a| *is_a).count()
}

/// `a` names `rate` in the answer to a request that is sent at `now`.
fn hear(desk: &SharedRegistry, rate: Option<f64>, now: ClockTime) {
    let need = PickRequirements {
        tried: &[],
        ..need(None)
    };
    let ticket = desk.pick(&need, now).expect("one is free");
    assert_eq!(ticket.facts.id, "a");
    let answered = now + Duration::from_millis(20);
    ticket.note_limit(rate, answered);
    ticket.end(CallOutcome::Answered, answered);
}

fn word(rate: Option<f64>, at: ClockTime) -> LimitAnnouncement {
    LimitAnnouncement {
        address: ([10, 0, 0, 1], 80).into(),
        born: None,
        rate,
        at: StoreTime(at.0),
    }
}

/// Guards against a rate for all entry hosts that one of them takes for its own.
#[test]
fn an_entry_host_takes_its_part_of_the_rate() {
    let desk = shared_desk();
    assert_eq!(sent_to_a(&desk, NOW), 100);
    let now = NOW + Duration::from_secs(20);
    hear(&desk, Some(RATE), now);
    let sent = sent_to_a(&desk, now + Duration::from_secs(1));
    assert!((1..10).contains(&sent), "{sent}");
}

/// Guards against a request that waits for a backend server that does not take it.
#[test]
fn a_request_without_a_turn_is_refused_at_once() {
    let desk = desk_of(vec![facts("a", "here", 1)]);
    hear(&desk, Some(0.0), NOW);
    let later = NOW + Duration::from_secs(1);
    let refusal = desk.pick(&need(None), later).expect_err("it takes none");
    assert_eq!(refusal, PickRefusal::AllFull);
}

/// Guards against a limit that ends by an answer that was written before it was named.
#[test]
fn a_limit_ends_by_an_answer_to_a_later_request_only() {
    let desk = shared_desk();
    let earlier = pick_at(&desk, NOW);
    hear(&desk, Some(0.0), NOW);
    let now = NOW + Duration::from_secs(1);
    earlier.note_limit(None, now);
    assert_eq!(sent_to_a(&desk, now), 0);
    earlier.end(CallOutcome::Answered, now);
    let mut word = word(None, now + Duration::from_secs(10));
    desk.lock().apply_limit(&word);
    assert_eq!(sent_to_a(&desk, now + Duration::from_secs(11)), 100);
    // An older word, which comes late, changes nothing.
    word.rate = Some(0.0);
    word.at = StoreTime(now.0);
    desk.lock().apply_limit(&word);
    assert_eq!(sent_to_a(&desk, now + Duration::from_secs(22)), 100);
}

/// Guards against a limit of a former incarnation, and one that no entry host hears of any more.
#[test]
fn a_limit_goes_with_its_incarnation_or_with_time() {
    let desk = shared_desk();
    desk.lock().apply_limit(&word(Some(0.0), NOW));
    assert_eq!(sent_to_a(&desk, NOW), 0);
    assert_eq!(sent_to_a(&desk, NOW + Duration::from_secs(30)), 100);

    let desk = shared_desk();
    desk.lock().apply_limit(&word(Some(0.0), NOW));
    let mut restarted = facts("a", "here", 1);
    restarted.born = Some(WallTime(2));
    let mut started = restarted.clone();
    started.born = Some(WallTime(3));
    for facts in [restarted, started] {
        let backends = vec![facts.into()];
        desk.lock().set_fleet(&FleetView { backends });
    }
    assert_eq!(sent_to_a(&desk, NOW), 100);
    desk.lock().apply_limit(&LimitAnnouncement {
        born: Some(WallTime(2)),
        ..word(Some(0.0), NOW)
    });
    assert_eq!(sent_to_a(&desk, NOW), 100);
}

/// Guards against entry hosts that hear of nothing, since they send nothing there, and against words that are told
/// on without end.
#[test]
fn what_an_answer_said_is_told_to_others_once_and_its_end_for_a_while() {
    let desk = shared_desk();
    assert!(desk.lock().take_pending_limits(NOW).is_empty());
    hear(&desk, Some(RATE), NOW);
    let now = NOW + Duration::from_millis(500);
    let told = desk.lock().take_pending_limits(now);
    assert_eq!(told.len(), 1);
    assert!(desk.lock().take_pending_limits(now).is_empty());
    let other = shared_desk();
    other.lock().apply_limit(&told[0]);
    assert!(sent_to_a(&other, now) < 10);
    assert!(other.lock().take_pending_limits(now).is_empty());

    let free_at = now + Duration::from_mins(1);
    hear(&desk, None, free_at);
    for seconds in 0..2 {
        let now = free_at + Duration::from_millis(500 + seconds * 1000);
        let told = desk.lock().take_pending_limits(now);
        assert_eq!(told[0].rate, None);
        other.lock().apply_limit(&told[0]);
    }
    let now = free_at + Duration::from_secs(3);
    assert!(desk.lock().take_pending_limits(now).is_empty());
    assert_eq!(sent_to_a(&other, now), 100);
}
