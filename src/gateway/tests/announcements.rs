//! Backend servers that announce in their responses that they are leaving, or that they want no
//! requests for a while.

use std::time::Duration;

use tokio::time::sleep;

use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend, field};
use crate::time::clock_now;

/// Longer than a full backend server is avoided.
const CALL_PAUSE: Duration = Duration::from_millis(150);
/// How long a request waits for a slot.
const QUEUE_TIME: Duration = Duration::from_millis(42);

/// Guards against sending requests to a leaving backend server while the store, which is down,
/// still lists it as ready. Its responses were the only announcement.
#[tokio::test]
async fn a_backend_server_that_announces_its_leaving_gets_no_further_requests() {
    let response = (BackendBehaviour::Leaving, BackendBehaviour::Complete);
    let stream = (
        BackendBehaviour::EventsLeaving { to: 5 },
        BackendBehaviour::Events { to: 5 },
    );
    let kinds = [
        ("safe", response),
        ("once", response),
        ("resumed", stream),
        ("single", stream),
    ];
    for (kind, (leaving, other)) in kinds {
        let leaving = FakeBackend::start(leaving).await;
        let other = FakeBackend::start(other).await;
        let entry = EntryFixture::start(&[&leaving, &other]).await;
        for _ in 0..5 {
            let response = entry.call(kind).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{kind}: {response}");
        }
        assert_eq!((leaving.arrivals(), other.arrivals()), (1, 4), "{kind}");
    }
}

/// Guards against sending requests to an overloaded backend server that asked for a pause. It was
/// avoided for a tenth of a second after each refusal, whatever pause it asked for.
#[tokio::test]
async fn a_backend_server_that_requests_a_pause_gets_no_requests_during_it() {
    let paused = FakeBackend::start(BackendBehaviour::NotRunWithPause { seconds: 2 }).await;
    let other = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&paused, &other]).await;
    for _ in 0..6 {
        let response = entry.call("safe").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        sleep(CALL_PAUSE).await;
    }
    assert_eq!((paused.arrivals(), other.arrivals()), (1, 6));
}

/// Guards against keeping a request waiting that can't be served: every backend server asked for a
/// pause that ends after the time for which a request waits.
#[tokio::test]
async fn a_request_is_refused_at_once_while_all_backend_servers_are_paused() {
    let paused = FakeBackend::start(BackendBehaviour::NotRunWithPause { seconds: 3 }).await;
    let entry = EntryFixture::start(&[&paused]).await;
    entry.call("safe").await;
    let mut shortest = Duration::MAX;
    let mut response = String::new();
    // On a busy machine a single call may take longer.
    for _ in 0..5 {
        let sent_at = clock_now();
        response = entry.call("safe").await;
        shortest = shortest.min(clock_now().since(sent_at));
    }
    assert!(shortest < QUEUE_TIME / 2, "{shortest:?}");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let retry_after = field(&response, "retry-after").and_then(|text| text.parse::<f64>().ok());
    let retry_after = retry_after.expect("a refusal states when to retry");
    assert!((2.5..=4.0).contains(&retry_after), "{retry_after}");
    assert_eq!(paused.arrivals(), 1);
}

/// Guards against a path on which an announcement is not heard of. Each one here ends with the
/// response of the second backend server, which the first one makes necessary.
#[tokio::test]
async fn an_announced_leaving_is_heard_of_on_each_path_of_a_request() {
    let leaving = BackendBehaviour::Leaving;
    let leaving_stream = BackendBehaviour::EventsLeaving { to: 5 };
    let paths = [
        (
            "retry after a refusal",
            "once",
            BackendBehaviour::NotRun,
            leaving,
        ),
        (
            "retry after a reset",
            "safe",
            BackendBehaviour::ResetUnread,
            leaving,
        ),
        (
            "retry after a truncated body",
            "safe",
            BackendBehaviour::TruncatedBody,
            leaving,
        ),
        (
            "retry after an error",
            "safe",
            BackendBehaviour::Fail,
            leaving,
        ),
        (
            "send beside a late response",
            "safe",
            BackendBehaviour::Unresponsive,
            leaving,
        ),
        (
            "stream resumed after its end",
            "resumed",
            BackendBehaviour::EventsTruncated { to: 2 },
            leaving_stream,
        ),
        (
            "stream resumed in a pause",
            "resumed",
            BackendBehaviour::EventsThenUnresponsive { to: 2 },
            leaving_stream,
        ),
    ];
    for (path, kind, first, second) in paths {
        let first = FakeBackend::start(first).await;
        let second = FakeBackend::start(second).await;
        let entry = EntryFixture::start(&[&first, &second]).await;
        entry.call(kind).await;
        assert_eq!(second.arrivals(), 1, "{path}");
        for _ in 0..2 {
            entry.call(kind).await;
        }
        assert_eq!(second.arrivals(), 1, "{path}");
    }
}

/// Guards against more than the allowed requests in a pause when many are sent at once: those that
/// were picked before the first refusal arrived are all that a backend server gets.
#[tokio::test]
async fn concurrent_requests_keep_a_requested_pause() {
    let paused = FakeBackend::start(BackendBehaviour::NotRunWithPause { seconds: 2 }).await;
    let other = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&paused, &other]).await;
    let calls = (0..12).map(|_| entry.call("safe"));
    futures::future::join_all(calls).await;
    sleep(Duration::from_millis(500)).await;
    let before = paused.arrivals();
    for _ in 0..3 {
        let calls = (0..4).map(|_| entry.call("safe"));
        futures::future::join_all(calls).await;
        sleep(CALL_PAUSE).await;
    }
    assert_eq!(paused.arrivals(), before);
}
