//! Reset connections: the response to each kind of request, and whether the request runs again.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend, field};
use super::sends::{assert_complete_stream, outcome};
use crate::platform::samples::{ATTEMPT, DEADLINE, SEAL};

/// Time for a reset to reach the other end.
const RESET_SPAN: Duration = Duration::from_millis(200);

/// Guards against running a call twice, or reporting it as not run, when its connection is reset
/// after the request or during the response.
#[tokio::test]
async fn an_unrepeatable_call_is_not_resent_after_a_reset() {
    for behaviour in [
        BackendBehaviour::ResetUnanswered,
        BackendBehaviour::ResetBody,
    ] {
        let (status, response, arrivals) =
            outcome([behaviour, BackendBehaviour::Complete], "once").await;
        assert_eq!((status, arrivals), (502, [1, 0]), "{behaviour:?}");
        assert_eq!(field(&response, SEAL), None, "{behaviour:?}");
        assert_eq!(field(&response, "retry-after"), None, "{behaviour:?}");
    }
}

/// Guards against losing an idempotent call together with its connection.
#[tokio::test]
async fn a_repeatable_call_is_answered_after_a_reset() {
    for behaviour in [
        BackendBehaviour::ResetUnread,
        BackendBehaviour::ResetUnanswered,
        BackendBehaviour::ResetBody,
    ] {
        let (status, response, arrivals) =
            outcome([behaviour, BackendBehaviour::Complete], "safe").await;
        assert_eq!((status, arrivals[1]), (200, 1), "{behaviour:?}");
        assert!(response.ends_with("whole"), "{behaviour:?}: {response}");
    }
}

/// Guards against discarding a complete response because the connection is reset after its last
/// byte.
#[tokio::test]
async fn a_complete_response_is_valid_after_a_reset() {
    for kind in ["safe", "once"] {
        let behaviours = [
            BackendBehaviour::ResetAfterResponse,
            BackendBehaviour::Complete,
        ];
        let (status, response, arrivals) = outcome(behaviours, kind).await;
        assert_eq!((status, arrivals), (200, [1, 0]), "{kind}");
        assert!(response.ends_with("whole"), "{kind}: {response}");
    }
}

/// Guards against reporting "not run" for a call whose bytes may have been read before the reset.
#[tokio::test]
async fn a_reset_before_the_head_does_not_promise_not_run() {
    let behaviours = [BackendBehaviour::ResetUnread, BackendBehaviour::Complete];
    let (status, _, arrivals) = outcome(behaviours, "once").await;
    // Either nothing left this process and the call went elsewhere, or its outcome is unknown.
    match status {
        200 => assert_eq!(arrivals, [0, 1]),
        502 => assert_eq!(arrivals, [0, 0]),
        other => panic!("{other}"),
    }
}

/// Guards against ending a stream, duplicating an event or passing on half an event when the
/// connection is reset between two events.
#[tokio::test]
async fn a_stream_is_resumed_elsewhere_after_a_reset() {
    let behaviours = [
        BackendBehaviour::EventsReset { to: 2 },
        BackendBehaviour::Events { to: 5 },
    ];
    let (status, response, arrivals) = outcome(behaviours, "resumed").await;
    assert_eq!((status, arrivals), (200, [1, 1]));
    assert_complete_stream(&response);
}

/// Guards against a reset stream that looks complete although it could not be resumed.
#[tokio::test]
async fn a_reset_stream_that_cannot_be_resumed_never_looks_complete() {
    let behaviours = [
        BackendBehaviour::EventsReset { to: 2 },
        BackendBehaviour::Events { to: 5 },
    ];
    let (_, response, arrivals) = outcome(behaviours, "single").await;
    assert_eq!(arrivals, [1, 0]);
    assert!(response.contains("data: part 2\n\n"), "{response}");
    assert!(
        !response.contains("99") && !response.ends_with("0\r\n\r\n"),
        "{response}"
    );
}

/// Guards against losing calls on pooled connections that were reset while idle.
#[tokio::test]
async fn a_pooled_connection_that_was_reset_is_not_used() {
    for kind in ["safe", "once"] {
        let backend = FakeBackend::start(BackendBehaviour::ResetAfterResponse).await;
        let entry = EntryFixture::start(&[&backend]).await;
        for call in 1..=3 {
            let response = entry.call(kind).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{kind}: {response}");
            assert_eq!(backend.arrivals(), call, "{kind}");
            sleep(RESET_SPAN).await;
        }
    }
}

/// Sends `text` on a client connection and resets it.
async fn send_and_reset(entry: &EntryFixture, text: &str) {
    let mut stream = TcpStream::connect(entry.address)
        .await
        .expect("the socket is listening");
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the other end reads");
    sleep(RESET_SPAN).await;
    let socket = socket2::SockRef::from(&stream);
    let lingers = socket.set_linger(Some(Duration::ZERO));
    lingers.expect("the socket option is supported");
    drop(stream);
    sleep(RESET_SPAN).await;
}

/// Guards against running a call whose client connection is reset before the complete request has
/// arrived.
#[tokio::test]
async fn a_call_does_not_run_if_its_client_is_reset_during_the_request() {
    let backend = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&backend]).await;
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT}: a1\r\n{DEADLINE}: 2000\r\n\
         authorization: Bearer secret\r\n"
    );
    for text in [
        head.clone(),
        format!("{head}content-length: 40\r\n\r\nbody"),
    ] {
        send_and_reset(&entry, &text).await;
        assert_eq!(backend.arrivals(), 0, "{text}");
    }
}

/// Guards against slots that remain taken for clients whose connections are reset after their
/// requests.
#[tokio::test]
async fn a_reset_client_connection_frees_its_slot() {
    let backend = FakeBackend::start(BackendBehaviour::Unresponsive).await;
    let entry = EntryFixture::start(&[&backend]).await;
    let text = format!(
        "POST /once/x HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT}: a1\r\n{DEADLINE}: 2000\r\n\
         authorization: Bearer secret\r\ncontent-length: 4\r\n\r\nbody"
    );
    // As many as the backend server has slots.
    for _ in 0..4 {
        send_and_reset(&entry, &text).await;
    }
    assert_eq!(backend.arrivals(), 4);
    assert_eq!(entry.gateway.drain.in_flight_count(), 0);
}
