//! Requests with a quarantined part of a prompt reach no backend server, on whichever path.

use std::time::Duration;

use tokio::time::sleep;

use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend};
use crate::fleet::{BackendTicket, CallOutcome, PickRequirements, VersionRequirement};
use crate::placement::PlacementRules;
use crate::platform::samples::PROMPT_PARTS;
use crate::quarantine::{BackendIncarnation, CrashSuspect, PromptPart};
use crate::time::{ClockTime, clock_now};

const HARMFUL_PART: PromptPart = PromptPart(0xbad0);
const KINDS: [&str; 4] = ["safe", "once", "resumed", "single"];
/// When the part is quarantined, after the request was sent.
const VERDICT_DELAY: Duration = Duration::from_millis(300);

/// Sends a request on the route `kind` whose prompt has the part and others.
async fn call_harmful(entry: &EntryFixture, kind: &str) -> String {
    let parts = format!("{PROMPT_PARTS}: 5c1e:40,{HARMFUL_PART}:7,e440:250\r\n");
    entry.call_with(kind, &parts).await
}

/// Records crashes that quarantine the part.
fn quarantine_part(entry: &EntryFixture) {
    let suspects: Vec<CrashSuspect> = CrashSuspect::of_parts(None, &[HARMFUL_PART]).collect();
    for backend in 101..=103 {
        let backend = BackendIncarnation(backend);
        entry
            .deployment_state
            .change(|state| drop(state.note_crash(backend, &suspects, clock_now())));
    }
}

async fn quarantine_later(entry: &EntryFixture) {
    sleep(VERDICT_DELAY).await;
    quarantine_part(entry);
}

/// Takes all slots and places in the queues of the backend servers.
fn fill_backends(entry: &EntryFixture) -> Vec<BackendTicket> {
    entry.gateway.snapshot(ClockTime::default());
    let requirements = PickRequirements {
        service: "desk",
        version: VersionRequirement::None,
        tried: &[],
        queue_room: 8,
        is_returned: false,
        work: None,
        reserved_part: 0.0,
        placement: PlacementRules::default(),
        cold_limit: None,
    };
    let tickets = (0..64).map(|_| entry.gateway.registry.pick(&requirements, clock_now()));
    tickets.map_while(Result::ok).collect()
}

/// Guards against a kind of route that does not check parts, and against refusing requests with the
/// other parts of a harmful prompt.
#[tokio::test]
async fn requests_with_a_quarantined_part_are_refused_on_each_route() {
    let backend = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&backend]).await;
    quarantine_part(&entry);
    for kind in KINDS {
        let response = call_harmful(&entry, kind).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{kind}: {response}");
        assert!(response.contains("retry-after"), "{kind}: {response}");
    }
    assert_eq!(backend.arrivals(), 0);
    let others = format!("{PROMPT_PARTS}: 5c1e:40,bad1:7,e440:250\r\n");
    let response = entry.call_with("safe", &others).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Guards against a second send beside a late one after the part was quarantined.
#[tokio::test]
async fn a_late_request_is_not_sent_again_after_the_verdict() {
    let late = BackendBehaviour::EventsLate {
        pause: Duration::from_millis(1300),
        to: 5,
    };
    for kind in ["safe", "resumed"] {
        let first = FakeBackend::start(late).await;
        let second = FakeBackend::start(BackendBehaviour::Events { to: 5 }).await;
        let entry = EntryFixture::start(&[&first, &second]).await;
        tokio::join!(call_harmful(&entry, kind), quarantine_later(&entry));
        assert_eq!((first.arrivals(), second.arrivals()), (1, 0), "{kind}");
    }
}

/// Guards against resuming a stream elsewhere after the part was quarantined.
#[tokio::test]
async fn a_stream_is_not_resumed_after_the_verdict() {
    let cut = BackendBehaviour::EventsThenDelayedClose {
        to: 1,
        pause: VERDICT_DELAY * 2,
    };
    let first = FakeBackend::start(cut).await;
    let second = FakeBackend::start(BackendBehaviour::Events { to: 5 }).await;
    let entry = EntryFixture::start(&[&first, &second]).await;
    let (response, ()) = tokio::join!(call_harmful(&entry, "resumed"), quarantine_later(&entry));
    assert_eq!((first.arrivals(), second.arrivals()), (1, 0), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
}

/// Guards against sending a stream that waited for a slot when its part was quarantined.
#[tokio::test]
async fn a_stream_that_waits_for_a_slot_is_not_sent_after_the_verdict() {
    let cut = BackendBehaviour::EventsTruncated { to: 1 };
    let first = FakeBackend::start(cut).await;
    let second = FakeBackend::start(BackendBehaviour::Events { to: 5 }).await;
    let entry = EntryFixture::start(&[&first, &second]).await;
    let mut tickets = fill_backends(&entry);
    let at = tickets.iter().position(|ticket| &*ticket.facts.id == "i-0");
    let free = tickets.swap_remove(at.expect("the first backend server is picked"));
    free.end(CallOutcome::Inconclusive, clock_now());
    let release = async {
        quarantine_later(&entry).await;
        sleep(VERDICT_DELAY).await;
        for ticket in tickets {
            ticket.end(CallOutcome::Inconclusive, clock_now());
        }
        entry.gateway.freed.notify_waiters();
    };
    let (response, ()) = tokio::join!(call_harmful(&entry, "resumed"), release);
    assert_eq!((first.arrivals(), second.arrivals()), (1, 0), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
}
