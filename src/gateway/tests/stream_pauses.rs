//! Backend servers that pause or stop in the middle of a stream, and which one completes the
//! stream.

use std::time::Duration;

use super::NO_RETRIES;
use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend};
use super::sends::{assert_complete_stream, outcome};
use crate::fleet::{BackendKey, BackendTicket, PickRequirements, VersionRequirement};
use crate::placement::PlacementRules;
use crate::quarantine::{BackendIncarnation, CrashSuspect, RequestParts, SuspectDigest};
use crate::time::{ClockTime, clock_now};

/// Two events, a pause as of a busy engine, and the other events.
const PAUSED: BackendBehaviour = BackendBehaviour::EventsPaused {
    after: 2,
    pause: Duration::from_millis(1300),
    to: 5,
};
const COMPLETE: BackendBehaviour = BackendBehaviour::Events { to: 5 };

/// Guards against ending an unrepeatable stream because its backend server pauses.
#[tokio::test]
async fn an_unrepeatable_stream_survives_a_pause() {
    let (status, response, arrivals) = outcome([PAUSED, COMPLETE], "single").await;
    assert_eq!((status, arrivals), (200, [1, 0]));
    assert_complete_stream(&response);
}

/// Guards against ending a stream because its backend server pauses while the retry budget is
/// empty.
#[tokio::test]
async fn a_stream_survives_a_pause_without_retry_budget() {
    let first = FakeBackend::start(PAUSED).await;
    let second = FakeBackend::start(COMPLETE).await;
    let entry = EntryFixture::start_with(&[&first, &second], NO_RETRIES).await;
    let response = entry.call("resumed").await;
    assert_eq!((first.arrivals(), second.arrivals()), (1, 0));
    assert_complete_stream(&response);
}

/// Guards against ending a stream during a pause because no other backend server resumes it.
#[tokio::test]
async fn a_stream_survives_a_pause_when_no_other_backend_server_resumes_it() {
    for other in [
        BackendBehaviour::NotRun,
        BackendBehaviour::Fail,
        BackendBehaviour::CloseUnanswered,
        BackendBehaviour::Unresponsive,
        BackendBehaviour::EventsThenUnresponsive { to: 2 },
        // Its response ends without an event.
        BackendBehaviour::Events { to: 2 },
    ] {
        let (status, response, arrivals) = outcome([PAUSED, other], "resumed").await;
        assert_eq!((status, arrivals), (200, [1, 1]), "{other:?}");
        assert_complete_stream(&response);
    }
    let only = FakeBackend::start(PAUSED).await;
    let entry = EntryFixture::start(&[&only]).await;
    assert_complete_stream(&entry.call("resumed").await);
    assert_eq!(only.arrivals(), 1);
}

/// Guards against waiting for an unresponsive backend server while another one could resume the
/// stream.
#[tokio::test]
async fn a_stream_is_resumed_elsewhere_when_its_backend_server_is_unresponsive() {
    let behaviours = [BackendBehaviour::EventsThenUnresponsive { to: 2 }, COMPLETE];
    let (status, response, arrivals) = outcome(behaviours, "resumed").await;
    assert_eq!((status, arrivals), (200, [1, 1]));
    assert_complete_stream(&response);
}

/// Guards against duplicate events when another backend server begins earlier than requested.
#[tokio::test]
async fn events_that_the_client_has_are_skipped_when_a_stream_is_resumed() {
    for first in [
        BackendBehaviour::EventsThenUnresponsive { to: 2 },
        BackendBehaviour::EventsTruncated { to: 2 },
    ] {
        let again = BackendBehaviour::EventsFromStart { to: 5 };
        let (_, response, arrivals) = outcome([first, again], "resumed").await;
        assert_eq!(arrivals, [1, 1], "{first:?}");
        assert_complete_stream(&response);
    }
}

/// Takes a slot at any backend server except `tried`, if one is free.
fn take_slot(entry: &EntryFixture, tried: &[BackendKey]) -> Option<BackendTicket> {
    let requirements = PickRequirements {
        service: "desk",
        version: VersionRequirement::None,
        tried,
        queue_room: 100,
        is_returned: false,
        work: None,
        reserved_part: 0.0,
        placement: PlacementRules::default(),
        cold_limit: None,
    };
    entry.gateway.registry.pick(&requirements, clock_now()).ok()
}

/// Guards against aborting a stream because no slot is free at the moment of the interruption.
#[tokio::test]
async fn an_interrupted_stream_waits_for_a_slot() {
    let first = FakeBackend::start(BackendBehaviour::EventsTruncated { to: 2 }).await;
    let second = FakeBackend::start(COMPLETE).await;
    let entry = EntryFixture::start(&[&first, &second]).await;
    entry.gateway.snapshot(ClockTime::default());
    let near = take_slot(&entry, &[]).expect("all slots are free").key;
    let tickets: Vec<_> = std::iter::from_fn(|| take_slot(&entry, &[near])).collect();
    assert!(!tickets.is_empty());
    let freeing = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        drop(tickets);
        entry.gateway.freed.notify_waiters();
    };
    let (response, ()) = tokio::join!(entry.call("resumed"), freeing);
    assert_eq!((first.arrivals(), second.arrivals()), (1, 1));
    assert_complete_stream(&response);
}

/// Guards against ending a stream because its unresponsive backend server fails while another one
/// is about to resume the stream.
#[tokio::test]
async fn a_stream_is_resumed_elsewhere_when_its_backend_server_fails_during_a_pause() {
    let unresponsive = BackendBehaviour::EventsThenDelayedClose {
        to: 2,
        pause: Duration::from_millis(1100),
    };
    let late = BackendBehaviour::EventsLate {
        pause: Duration::from_millis(400),
        to: 5,
    };
    let (status, response, arrivals) = outcome([unresponsive, late], "resumed").await;
    assert_eq!((status, arrivals), (200, [1, 1]));
    assert_complete_stream(&response);
}

/// Guards against abandoning a request whose response begins late while no other backend server may
/// be tried.
#[tokio::test]
async fn a_late_response_is_awaited_without_retry_budget() {
    for kind in ["resumed", "safe"] {
        let late = BackendBehaviour::EventsLate {
            pause: Duration::from_millis(1300),
            to: 5,
        };
        let first = FakeBackend::start(late).await;
        let second = FakeBackend::start(COMPLETE).await;
        let entry = EntryFixture::start_with(&[&first, &second], NO_RETRIES).await;
        let response = entry.call(kind).await;
        assert_eq!((first.arrivals(), second.arrivals()), (1, 0));
        assert!(response.starts_with("HTTP/1.1 200"), "{kind}: {response}");
    }
}

/// Guards against abandoning a request whose response begins late while no other backend server
/// accepts it.
#[tokio::test]
async fn a_late_response_is_awaited_when_no_other_backend_server_accepts_the_request() {
    for kind in ["resumed", "safe"] {
        for other in [BackendBehaviour::NotRun, BackendBehaviour::CloseUnanswered] {
            let late = BackendBehaviour::EventsLate {
                pause: Duration::from_millis(1300),
                to: 5,
            };
            let (status, response, arrivals) = outcome([late, other], kind).await;
            assert_eq!((status, arrivals), (200, [1, 1]), "{kind}: {response}");
        }
    }
}

/// Guards against refusing a request as not run while a backend server works on it.
#[tokio::test]
async fn a_request_quarantined_in_progress_is_not_refused_as_not_run() {
    let late = BackendBehaviour::EventsLate {
        pause: Duration::from_millis(1300),
        to: 5,
    };
    let first = FakeBackend::start(late).await;
    let second = FakeBackend::start(COMPLETE).await;
    let entry = EntryFixture::start(&[&first, &second]).await;
    let request = SuspectDigest::of_request(RequestParts {
        host: "desk.example",
        path: "/safe/x",
        account: Some("lodge"),
        body: b"body",
    });
    let suspect = CrashSuspect::of_request(request);
    let crashes = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for id in ["i-7", "i-8", "i-9"] {
            let start = BackendIncarnation::of(&id.into(), None);
            entry
                .deployment_state
                .change(|state| drop(state.note_crash(start, &[suspect], clock_now())));
        }
    };
    let (response, ()) = tokio::join!(entry.call("safe"), crashes);
    assert_eq!((first.arrivals(), second.arrivals()), (1, 0));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let later = entry.call("safe").await;
    assert!(
        later.starts_with("HTTP/1.1 200"),
        "the request was answered: {later}"
    );
}
