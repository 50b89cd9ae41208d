//! Connections that are reset: what the caller of each kind of request is told, and what runs again.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::fake_backend::{BackendWay, FakeBackend, FakeEntry, field};
use super::sends::{assert_whole_stream, outcome};
use crate::platform::samples::{ATTEMPT, DEADLINE, SEAL};

/// Time for a reset to reach the other end.
const RESET_SPAN: Duration = Duration::from_millis(200);

/// Guards against a call that is doubled, or told not to have run, when its connection was reset behind
/// the request or within the answer.
#[tokio::test]
async fn a_call_that_may_run_once_is_not_sent_again_behind_a_reset() {
    for way in [BackendWay::ResetUnanswered, BackendWay::ResetBody] {
        let (status, answer, arrivals) = outcome([way, BackendWay::Whole], "once").await;
        assert_eq!((status, arrivals), (502, [1, 0]), "{way:?}");
        assert_eq!(field(&answer, SEAL), None, "{way:?}");
        assert_eq!(field(&answer, "retry-after"), None, "{way:?}");
    }
}

/// Guards against an idempotent call that is lost with its connection.
#[tokio::test]
async fn a_call_that_may_run_again_is_answered_behind_a_reset() {
    for way in [
        BackendWay::ResetUnread,
        BackendWay::ResetUnanswered,
        BackendWay::ResetBody,
    ] {
        let (status, answer, arrivals) = outcome([way, BackendWay::Whole], "safe").await;
        assert_eq!((status, arrivals[1]), (200, 1), "{way:?}");
        assert!(answer.ends_with("whole"), "{way:?}: {answer}");
    }
}

/// Guards against an answer that is thrown away because the connection was reset behind its last byte.
#[tokio::test]
async fn an_answer_that_came_whole_counts_behind_a_reset() {
    for kind in ["safe", "once"] {
        let ways = [BackendWay::ResetBehind, BackendWay::Whole];
        let (status, answer, arrivals) = outcome(ways, kind).await;
        assert_eq!((status, arrivals), (200, [1, 0]), "{kind}");
        assert!(answer.ends_with("whole"), "{kind}: {answer}");
    }
}

/// Guards against a promise of "not run" for a call whose bytes may have been read before the reset.
#[tokio::test]
async fn a_reset_before_the_head_promises_nothing_it_does_not_know() {
    let ways = [BackendWay::ResetUnread, BackendWay::Whole];
    let (status, _, arrivals) = outcome(ways, "once").await;
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
    let ways = [
        BackendWay::EventsReset { to: 2 },
        BackendWay::Events { to: 5 },
    ];
    let (status, answer, arrivals) = outcome(ways, "resumed").await;
    assert_eq!((status, arrivals), (200, [1, 1]));
    assert_whole_stream(&answer);
}

/// Guards against a stream that looks complete where it was reset and may not go on.
#[tokio::test]
async fn a_stream_that_was_reset_and_cannot_go_on_never_looks_complete() {
    let ways = [
        BackendWay::EventsReset { to: 2 },
        BackendWay::Events { to: 5 },
    ];
    let (_, answer, arrivals) = outcome(ways, "single").await;
    assert_eq!(arrivals, [1, 0]);
    assert!(answer.contains("data: part 2\n\n"), "{answer}");
    assert!(
        !answer.contains("99") && !answer.ends_with("0\r\n\r\n"),
        "{answer}"
    );
}

/// Guards against calls that are lost on kept connections that were reset while nobody used them.
#[tokio::test]
async fn a_kept_connection_that_was_reset_is_not_used() {
    for kind in ["safe", "once"] {
        let backend = FakeBackend::start(BackendWay::ResetBehind).await;
        let entry = FakeEntry::start(&[&backend]).await;
        for call in 1..=3 {
            let answer = entry.ask(kind).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{kind}: {answer}");
            assert_eq!(backend.arrivals(), call, "{kind}");
            sleep(RESET_SPAN).await;
        }
    }
}

/// Resets a client's connection that has sent `text`.
async fn send_and_reset(entry: &FakeEntry, text: &str) {
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
    let backend = FakeBackend::start(BackendWay::Whole).await;
    let entry = FakeEntry::start(&[&backend]).await;
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
    let backend = FakeBackend::start(BackendWay::Silent).await;
    let entry = FakeEntry::start(&[&backend]).await;
    let text = format!(
        "POST /once/x HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT}: a1\r\n{DEADLINE}: 2000\r\n\
         authorization: Bearer secret\r\ncontent-length: 4\r\n\r\nbody"
    );
    // As many as the backend server works on at once.
    for _ in 0..4 {
        send_and_reset(&entry, &text).await;
    }
    assert_eq!(backend.arrivals(), 4);
    assert_eq!(entry.gateway.drain.in_flight_count(), 0);
}
