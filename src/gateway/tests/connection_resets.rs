//! Connections that are reset: what the caller of each kind of request is told, and what runs again.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend, field};
use super::sends::{assert_complete_stream, outcome};
use crate::platform::samples::{ATTEMPT, DEADLINE, SEAL};

/// Time for a reset to reach the other end.
const RESET_SPAN: Duration = Duration::from_millis(200);

/// Guards against a call that is doubled, or told not to have run, when its connection was reset behind
/// the request or within the answer.
#[tokio::test]
async fn a_call_that_may_run_once_is_not_sent_again_behind_a_reset() {
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

/// Guards against an idempotent call that is lost with its connection.
#[tokio::test]
async fn a_call_that_may_run_again_is_answered_behind_a_reset() {
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

/// Guards against an answer that is thrown away because the connection was reset behind its last byte.
#[tokio::test]
async fn an_answer_that_came_whole_counts_behind_a_reset() {
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

/// Guards against a promise of "not run" for a call whose bytes may have been read before the reset.
#[tokio::test]
async fn a_reset_before_the_head_promises_nothing_it_does_not_know() {
    let behaviours = [BackendBehaviour::ResetUnread, BackendBehaviour::Complete];
    let (status, _, arrivals) = outcome(behaviours, "once").await;
    // Either nothing had left this process, and the call went elsewhere, or nobody knows.
    match status {
        200 => assert_eq!(arrivals, [0, 1]),
        502 => assert_eq!(arrivals, [0, 0]),
        other => panic!("{other}"),
    }
}

/// Guards against a stream that ends, doubles an event or passes on half of one where its connection was
/// reset between two events.
#[tokio::test]
async fn a_stream_goes_on_elsewhere_behind_a_reset() {
    let behaviours = [
        BackendBehaviour::EventsReset { to: 2 },
        BackendBehaviour::Events { to: 5 },
    ];
    let (status, response, arrivals) = outcome(behaviours, "resumed").await;
    assert_eq!((status, arrivals), (200, [1, 1]));
    assert_complete_stream(&response);
}

/// Guards against a stream that looks complete where it was reset and may not go on.
#[tokio::test]
async fn a_stream_that_was_reset_and_cannot_go_on_never_looks_complete() {
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

/// Guards against calls that are lost on kept connections that were reset while nobody used them.
#[tokio::test]
async fn a_kept_connection_that_was_reset_is_not_used() {
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

/// Resets a client's connection that has sent `text`.
async fn send_and_reset(entry: &EntryFixture, text: &str) {
    let mut stream = TcpStream::connect(entry.address).await.expect("it listens");
    stream.write_all(text.as_bytes()).await.expect("it reads");
    sleep(RESET_SPAN).await;
    let socket = socket2::SockRef::from(&stream);
    let lingers = socket.set_linger(Some(Duration::ZERO));
    lingers.expect("the option is known");
    drop(stream);
    sleep(RESET_SPAN).await;
}

/// Guards against a call that runs though its client was reset before the whole request had come.
#[tokio::test]
async fn a_client_that_is_reset_within_its_request_runs_nothing() {
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

/// Guards against places that stay taken for clients whose connections were reset behind their requests.
#[tokio::test]
async fn a_client_that_is_reset_frees_its_place() {
    let backend = FakeBackend::start(BackendBehaviour::Silent).await;
    let entry = EntryFixture::start(&[&backend]).await;
    let text = format!(
        "POST /once/x HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT}: a1\r\n{DEADLINE}: 2000\r\n\
         authorization: Bearer secret\r\ncontent-length: 4\r\n\r\nbody"
    );
    // As many as the backend server works on at once.
    for _ in 0..4 {
        send_and_reset(&entry, &text).await;
    }
    assert_eq!(backend.arrivals(), 4);
    assert_eq!(entry.gateway.drain.live_count(), 0);
}
