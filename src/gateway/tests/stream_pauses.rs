//! Backend servers that pause or stop in the middle of a stream: who gets the rest to the client.

use std::time::Duration;

use super::NO_RETRIES;
use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend};
use super::sends::{assert_complete_stream, outcome};
use crate::fleet::{BackendKey, BackendTicket, PickNeed, VersionNeed};
use crate::quarantine::{BackendIncarnation, RequestDigest, RequestParts};
use crate::time::clock_now;

/// Two events, a pause as of a busy engine, and the rest.
const PAUSED: BackendBehaviour = BackendBehaviour::EventsPaused {
    after: 2,
    pause: Duration::from_millis(1300),
    to: 5,
};
const WHOLE: BackendBehaviour = BackendBehaviour::Events { to: 5 };

/// Guards against a stream that may not run again and is ended because its backend server pauses.
#[tokio::test]
async fn a_stream_that_may_run_once_outlasts_a_pause() {
    let (status, response, arrivals) = outcome([PAUSED, WHOLE], "single").await;
    assert_eq!((status, arrivals), (200, [1, 0]));
    assert_complete_stream(&response);
}

/// Guards against a stream that is ended because its backend server pauses while no retry is left.
#[tokio::test]
async fn a_stream_outlasts_a_pause_without_a_retry_to_spend() {
    let first = FakeBackend::start(PAUSED).await;
    let second = FakeBackend::start(WHOLE).await;
    let entry = EntryFixture::start_with(&[&first, &second], NO_RETRIES).await;
    let response = entry.call("resumed").await;
    assert_eq!((first.arrivals(), second.arrivals()), (1, 0));
    assert_complete_stream(&response);
}

/// Guards against a stream that is ended in a pause because no other backend server goes on with it.
#[tokio::test]
async fn a_stream_outlasts_a_pause_when_no_other_backend_server_takes_it() {
    for other in [
        BackendBehaviour::NotRun,
        BackendBehaviour::Fail,
        BackendBehaviour::CloseUnanswered,
        BackendBehaviour::Silent,
        BackendBehaviour::EventsSilent { to: 2 },
        // Its answer ends without an event.
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

/// Guards against a stream that waits for a silent backend server while another one would go on.
#[tokio::test]
async fn a_stream_goes_on_elsewhere_when_its_backend_server_is_silent() {
    let behaviours = [BackendBehaviour::EventsSilent { to: 2 }, WHOLE];
    let (status, response, arrivals) = outcome(behaviours, "resumed").await;
    assert_eq!((status, arrivals), (200, [1, 1]));
    assert_complete_stream(&response);
}

/// Guards against events that come twice where another backend server begins earlier than it was asked to.
#[tokio::test]
async fn events_that_the_client_has_are_left_out_when_another_backend_server_goes_on() {
    for first in [
        BackendBehaviour::EventsSilent { to: 2 },
        BackendBehaviour::EventsTruncated { to: 2 },
    ] {
        let again = BackendBehaviour::EventsFromStart { to: 5 };
        let (_, response, arrivals) = outcome([first, again], "resumed").await;
        assert_eq!(arrivals, [1, 1], "{first:?}");
        assert_complete_stream(&response);
    }
}

/// Takes a place at any backend server but `tried`, if one is free.
fn take_slot(entry: &EntryFixture, tried: &[BackendKey]) -> Option<BackendTicket> {
    let need = PickNeed {
        service: "desk",
        version: VersionNeed::None,
        tried,
        queue_room: 100,
        is_returned: false,
        work: None,
    };
    entry.gateway.desk.pick(&need, clock_now()).ok()
}

/// Guards against a stream that is broken off because no place is free in the moment in which it is cut.
#[tokio::test]
async fn a_stream_that_was_cut_waits_for_a_place() {
    let first = FakeBackend::start(BackendBehaviour::EventsTruncated { to: 2 }).await;
    let second = FakeBackend::start(WHOLE).await;
    let entry = EntryFixture::start(&[&first, &second]).await;
    entry.gateway.snapshot();
    let near = take_slot(&entry, &[]).expect("all are free").key;
    let taken: Vec<_> = std::iter::from_fn(|| take_slot(&entry, &[near])).collect();
    assert!(!taken.is_empty());
    let freeing = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        drop(taken);
        entry.gateway.freed.notify_waiters();
    };
    let (response, ()) = tokio::join!(entry.call("resumed"), freeing);
    assert_eq!((first.arrivals(), second.arrivals()), (1, 1));
    assert_complete_stream(&response);
}

/// Guards against a stream that is ended because its silent backend server dies while another one is about to
/// go on with it.
#[tokio::test]
async fn a_stream_goes_on_elsewhere_when_its_backend_server_dies_in_a_pause() {
    let silent = BackendBehaviour::EventsSilentClose {
        to: 2,
        pause: Duration::from_millis(1100),
    };
    let late = BackendBehaviour::EventsLate {
        pause: Duration::from_millis(400),
        to: 5,
    };
    let (status, response, arrivals) = outcome([silent, late], "resumed").await;
    assert_eq!((status, arrivals), (200, [1, 1]));
    assert_complete_stream(&response);
}

/// Guards against a request that is given up because its answer begins late, while no other backend server
/// may be asked.
#[tokio::test]
async fn a_late_answer_is_waited_for_without_a_retry_to_spend() {
    for kind in ["resumed", "safe"] {
        let late = BackendBehaviour::EventsLate {
            pause: Duration::from_millis(1300),
            to: 5,
        };
        let first = FakeBackend::start(late).await;
        let second = FakeBackend::start(WHOLE).await;
        let entry = EntryFixture::start_with(&[&first, &second], NO_RETRIES).await;
        let response = entry.call(kind).await;
        assert_eq!((first.arrivals(), second.arrivals()), (1, 0));
        assert!(response.starts_with("HTTP/1.1 200"), "{kind}: {response}");
    }
}

/// Guards against a request that is given up because its answer begins late, while no other backend server
/// takes it.
#[tokio::test]
async fn a_late_answer_is_waited_for_when_no_other_backend_server_takes_the_request() {
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

/// Guards against a request that is refused as not run while a backend server works on it.
#[tokio::test]
async fn a_request_that_is_quarantined_while_it_is_sent_is_not_refused_as_not_run() {
    let late = BackendBehaviour::EventsLate {
        pause: Duration::from_millis(1300),
        to: 5,
    };
    let first = FakeBackend::start(late).await;
    let second = FakeBackend::start(WHOLE).await;
    let entry = EntryFixture::start(&[&first, &second]).await;
    let request = RequestDigest::of(RequestParts {
        host: "desk.example",
        path: "/safe/x",
        account: Some("lodge"),
        body: b"body",
    });
    let crashes = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for id in ["i-7", "i-8", "i-9"] {
            let start = BackendIncarnation::of(&id.into(), None);
            entry
                .control_state
                .change(|state| state.note_crash(start, &[request], clock_now()));
        }
    };
    let (response, ()) = tokio::join!(entry.call("safe"), crashes);
    assert_eq!((first.arrivals(), second.arrivals()), (1, 0));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let later = entry.call("safe").await;
    assert!(
        later.starts_with("HTTP/1.1 200"),
        "it was answered: {later}"
    );
}
