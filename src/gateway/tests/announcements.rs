//! Backend servers that announce in their responses that they are leaving, or that they want no
//! requests for a while.

use std::time::Duration;

use tokio::time::sleep;

use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend};

/// Longer than a full backend server is avoided.
const CALL_PAUSE: Duration = Duration::from_millis(150);

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
