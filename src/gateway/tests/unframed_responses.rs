//! Responses without a length or chunks, which end with their connection.

use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend};
use super::sends::{assert_complete_stream, outcome};

/// Guards against losing a response because its end is that of its connection.
#[tokio::test]
async fn a_response_that_ends_with_its_connection_is_complete() {
    for kind in ["safe", "once"] {
        let behaviours = [BackendBehaviour::Unframed, BackendBehaviour::Complete];
        let (status, response, arrivals) = outcome(behaviours, kind).await;
        assert_eq!((status, arrivals), (200, [1, 0]), "{kind}: {response}");
        assert!(response.ends_with("whole"), "{kind}: {response}");
    }
}

/// Guards against passing on a truncated response as a complete one.
#[tokio::test]
async fn a_response_that_is_reset_is_not_complete() {
    let behaviours = [BackendBehaviour::UnframedReset, BackendBehaviour::Complete];
    let (status, response, arrivals) = outcome(behaviours, "once").await;
    assert_eq!((status, arrivals), (502, [1, 0]), "{response}");
    let (status, response, arrivals) = outcome(behaviours, "safe").await;
    assert_eq!((status, arrivals), (200, [1, 1]), "{response}");
}

/// Guards against cutting or resuming a stream that has ended with its connection.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_is_complete() {
    for kind in ["resumed", "single"] {
        let behaviours = [
            BackendBehaviour::UnframedEvents { to: 5, rest: "" },
            BackendBehaviour::Events { to: 9 },
        ];
        let (status, response, arrivals) = outcome(behaviours, kind).await;
        assert_eq!((status, arrivals), (200, [1, 0]), "{kind}: {response}");
        assert_complete_stream(&response);
    }
}

/// Guards against a stream that looks complete although it ended inside an event.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_broken_off() {
    let broken = BackendBehaviour::UnframedEvents {
        to: 2,
        rest: "id: 3\ndata: par",
    };
    let behaviours = [broken, BackendBehaviour::Events { to: 5 }];
    let (status, response, arrivals) = outcome(behaviours, "resumed").await;
    assert_eq!((status, arrivals), (200, [1, 1]), "{response}");
    assert_complete_stream(&response);
    let (_, response, arrivals) = outcome(behaviours, "single").await;
    assert_eq!(arrivals, [1, 0], "{response}");
    assert!(response.contains("data: part 2\n\n"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
}

/// Guards against an empty stream that looks complete because its backend server crashed before the
/// first event.
#[tokio::test]
async fn a_stream_that_ends_before_its_first_event_is_broken_off() {
    let empty = BackendBehaviour::UnframedEvents { to: 0, rest: "" };
    let behaviours = [empty, BackendBehaviour::Events { to: 5 }];
    let (status, response, arrivals) = outcome(behaviours, "resumed").await;
    assert_eq!((status, arrivals), (200, [1, 1]), "{response}");
    assert_complete_stream(&response);
    let (status, response, arrivals) = outcome(behaviours, "single").await;
    assert_eq!((status, arrivals), (502, [1, 0]), "{response}");
}

/// Guards against a resumed stream that looks complete although the backend server that was to
/// resume it crashed before its first event.
#[tokio::test]
async fn a_resumed_stream_that_ends_before_its_first_event_is_broken_off() {
    let empty = BackendBehaviour::UnframedEvents { to: 0, rest: "" };
    let behaviours = [BackendBehaviour::EventsTruncated { to: 2 }, empty];
    let (_, response, arrivals) = outcome(behaviours, "resumed").await;
    assert_eq!(arrivals, [1, 1], "{response}");
    assert!(response.contains("data: part 2\n\n"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    for (kind, status) in [("single", "502"), ("resumed", "200")] {
        let first = FakeBackend::start(empty).await;
        let second = FakeBackend::start(BackendBehaviour::Events { to: 5 }).await;
        let entry = EntryFixture::start(&[&first, &second]).await;
        let response = entry.call_with(kind, "last-event-id: 2\r\n").await;
        let start = format!("HTTP/1.1 {status}");
        assert!(response.starts_with(&start), "{kind}: {response}");
        let is_resumed = response.contains("data: part 3\n\n");
        assert_eq!(is_resumed, kind == "resumed", "{kind}: {response}");
    }
}
