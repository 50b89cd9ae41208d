//! What follows a send, by what is known after it and what the route allows.

use super::NO_RETRIES;
use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend, field};
use crate::platform::samples::{ACCOUNT, ATTEMPT, DEADLINE, SEAL, TARGET_ID};

/// The status of an answer, what it ends with, and how many requests each of two fakes saw.
pub(super) async fn outcome(
    behaviours: [BackendBehaviour; 2],
    kind: &str,
) -> (u16, String, [usize; 2]) {
    let first = FakeBackend::start(behaviours[0]).await;
    let second = FakeBackend::start(behaviours[1]).await;
    let entry = EntryFixture::start(&[&first, &second]).await;
    let response = entry.call(kind).await;
    let status = response
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    (status, response, [first.arrivals(), second.arrivals()])
}

/// A backend server that refuses connections. The socket holds its port, so that no other test gets it.
fn unreachable_backend() -> (socket2::Socket, FakeBackend) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("a socket can be had");
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("a free port");
    let address = socket.local_addr().expect("it is bound").as_socket();
    let backend = FakeBackend {
        address: address.expect("it is an IP address"),
        requests: std::sync::Arc::default(),
    };
    (socket, backend)
}

/// Five events, each once, and nothing of the one that was cut.
pub(super) fn assert_complete_stream(response: &str) {
    for id in 1..=5 {
        let count = response.matches(&format!("data: part {id}\n\n")).count();
        assert_eq!(count, 1, "event {id} in {response}");
    }
    assert!(!response.contains("99"), "{response}");
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

const KINDS: [&str; 2] = ["safe", "once"];

#[tokio::test]
async fn an_answer_is_passed_on_as_it_is() {
    let (status, response, arrivals) = outcome(
        [BackendBehaviour::Complete, BackendBehaviour::Complete],
        "once",
    )
    .await;
    assert_eq!((status, arrivals), (200, [1, 0]));
    assert_eq!(field(&response, SEAL).as_deref(), Some("seal-of-it"));
    assert!(response.ends_with("whole"), "{response}");
}

/// Symptom: a stock check was lost although two backend servers of three were well. Events: the first failed
/// it with a status that says it ran, its client asked again and met the next failure. Cause: a failure
/// was passed on also where the request may run again. One that may not is answered as it is, and so is
/// the last failure when all fail.
#[tokio::test]
async fn a_backend_servers_own_failure_is_the_answer_when_nothing_better_may_come() {
    let (status, response, arrivals) =
        outcome([BackendBehaviour::Fail, BackendBehaviour::Complete], "once").await;
    assert_eq!((status, arrivals), (500, [1, 0]));
    assert!(response.ends_with("failed"), "{response}");
    let (status, response, arrivals) =
        outcome([BackendBehaviour::Fail, BackendBehaviour::Complete], "safe").await;
    assert_eq!((status, arrivals), (200, [1, 1]));
    assert!(response.ends_with("whole"), "{response}");
    for second in [
        BackendBehaviour::Fail,
        BackendBehaviour::NotRun,
        BackendBehaviour::TruncatedBody,
        BackendBehaviour::CloseUnanswered,
    ] {
        let (status, response, arrivals) = outcome([BackendBehaviour::Fail, second], "safe").await;
        assert_eq!((status, arrivals), (500, [1, 1]), "{second:?}");
        assert_eq!(field(&response, SEAL).as_deref(), Some("seal-of-it"));
        assert!(response.ends_with("failed"), "{response}");
    }
}

/// A failure that all backend servers share must not double the load: a second send is paid for.
#[tokio::test]
async fn a_failure_is_not_tried_again_without_a_retry_to_spend() {
    let first = FakeBackend::start(BackendBehaviour::Fail).await;
    let second = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start_with(&[&first, &second], NO_RETRIES).await;
    let response = entry.call("safe").await;
    assert!(response.starts_with("HTTP/1.1 500"), "{response}");
    assert_eq!((first.arrivals(), second.arrivals()), (1, 0));
}

/// Symptom: a mail reply was doubled. The connection broke after the request had been sent; the entry
/// host sent it to a second backend server, and the first had run it. Only what the backend server
/// itself says it did not run may be sent again.
#[tokio::test]
async fn what_may_have_run_is_sent_again_only_if_it_may_be_repeated() {
    for behaviour in [
        BackendBehaviour::CloseUnanswered,
        BackendBehaviour::TruncatedBody,
        BackendBehaviour::Foreign,
    ] {
        let (status, _, arrivals) = outcome([behaviour, BackendBehaviour::Complete], "safe").await;
        assert_eq!((status, arrivals), (200, [1, 1]), "{behaviour:?}");
        let (status, response, arrivals) =
            outcome([behaviour, BackendBehaviour::Complete], "once").await;
        assert_eq!((status, arrivals), (502, [1, 0]), "{behaviour:?}");
        assert_eq!(field(&response, SEAL), None, "{behaviour:?}");
    }
}

#[tokio::test]
async fn what_did_not_run_is_sent_elsewhere_whatever_its_kind() {
    for behaviour in [BackendBehaviour::NotRun, BackendBehaviour::Misdirected] {
        for kind in KINDS {
            let (status, _, arrivals) =
                outcome([behaviour, BackendBehaviour::Complete], kind).await;
            assert_eq!((status, arrivals), (200, [1, 1]), "{behaviour:?} {kind}");
        }
    }
}

#[tokio::test]
async fn when_nobody_runs_it_the_client_is_told_so_and_when_to_come_back() {
    for kind in KINDS {
        let (status, response, arrivals) =
            outcome([BackendBehaviour::NotRun, BackendBehaviour::NotRun], kind).await;
        assert_eq!((status, arrivals), (503, [1, 1]), "{kind}");
        assert!(field(&response, "retry-after").is_some(), "{response}");
    }
}

#[tokio::test]
async fn a_backend_server_that_is_not_there_costs_no_attempt() {
    let (_held, first) = unreachable_backend();
    let second = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&first, &second]).await;
    let response = entry.call("once").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(second.arrivals(), 1);
}

/// Symptom: a client got another client's answer. The backend server had sent two answers to one
/// request, and the second was taken for that of the next request on the connection.
#[tokio::test]
async fn an_answer_behind_an_answer_goes_to_nobody() {
    let backend = FakeBackend::start(BackendBehaviour::CompleteAndStray).await;
    let entry = EntryFixture::start(&[&backend]).await;
    for _ in 0..3 {
        let response = entry.call("safe").await;
        assert!(!response.contains("stray"), "{response}");
    }
}

#[tokio::test]
async fn a_stream_goes_on_elsewhere_behind_its_last_whole_event() {
    let behaviours = [
        BackendBehaviour::EventsTruncated { to: 2 },
        BackendBehaviour::Events { to: 5 },
    ];
    let (status, response, arrivals) = outcome(behaviours, "resumed").await;
    assert_eq!((status, arrivals), (200, [1, 1]));
    assert_complete_stream(&response);
}

/// Symptom: a service got more second sends than the entry hosts may make together. Engines cut off what
/// they worked on when they changed their weights, and the streams that went on elsewhere were counted
/// nowhere.
#[tokio::test]
async fn a_stream_that_goes_on_elsewhere_costs_a_retry() {
    let first = FakeBackend::start(BackendBehaviour::EventsTruncated { to: 2 }).await;
    let second = FakeBackend::start(BackendBehaviour::Events { to: 5 }).await;
    let entry = EntryFixture::start_with(&[&first, &second], NO_RETRIES).await;
    let response = entry.call("resumed").await;
    assert_eq!((first.arrivals(), second.arrivals()), (1, 0), "{response}");
    assert!(
        !response.ends_with("0\r\n\r\n"),
        "it is not whole: {response}"
    );
}

/// Symptom: a client took half a stream for a whole one. The backend server broke off, the route does
/// not allow another run, and the entry host ended the answer in the regular way.
#[tokio::test]
async fn a_stream_that_cannot_go_on_never_looks_complete() {
    let behaviours = [
        BackendBehaviour::EventsTruncated { to: 2 },
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

#[tokio::test]
async fn the_request_arrives_unchanged_without_the_key_and_with_the_account() {
    let backend = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&backend]).await;
    entry.call("safe").await;
    let requests = backend.requests.lock().expect("no test thread panicked");
    let request = &requests[0];
    assert!(
        request.starts_with("POST /safe/x?y=1 HTTP/1.1\r\n"),
        "{request}"
    );
    assert!(request.ends_with("\r\n\r\nbody"), "{request}");
    assert_eq!(field(request, "host").as_deref(), Some("Desk.example:80"));
    assert_eq!(field(request, "authorization"), None);
    assert_eq!(field(request, ACCOUNT).as_deref(), Some("lodge"));
    assert_eq!(field(request, TARGET_ID).as_deref(), Some("i-0"));
    let left: u64 = field(request, DEADLINE)
        .and_then(|text| text.parse().ok())
        .expect("it is always told");
    assert!((1..=2000).contains(&left), "{left}");
}

/// Symptom: a backend server went on working for clients that had left. The connection to it stayed
/// open until its answer had come.
#[tokio::test]
async fn a_client_that_leaves_frees_its_place_at_once() {
    use tokio::io::AsyncWriteExt;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let silent = FakeBackend {
        address: listener.local_addr().expect("it is bound"),
        requests: std::sync::Arc::default(),
    };
    let entry = EntryFixture::start(&[&silent]).await;
    let mut client = tokio::net::TcpStream::connect(entry.address)
        .await
        .expect("it listens");
    let request = format!(
        "GET /safe/x HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT}: a1\r\n\
         authorization: Bearer secret\r\n\r\n"
    );
    client
        .write_all(request.as_bytes())
        .await
        .expect("it reads");
    let (mut backend, _) = listener.accept().await.expect("the entry host connects");
    let mut buffer = [0; 4096];
    let read = tokio::io::AsyncReadExt::read(&mut backend, &mut buffer).await;
    assert!(read.is_ok_and(|read| read > 0));
    drop(client);
    // The entry host closes: nothing more can be read from it.
    let read = tokio::io::AsyncReadExt::read(&mut backend, &mut buffer).await;
    assert!(matches!(read, Ok(0) | Err(_)));
}

/// Symptom: after a restart of all engines, hundreds of requests were turned away twice and refused.
/// The entries of the earlier starts were still in the store, and each was tried again and again at an
/// address where another backend server answered.
#[tokio::test]
async fn a_backend_server_that_was_replaced_is_not_tried_again() {
    let replaced = FakeBackend::start(BackendBehaviour::Replaced).await;
    let other = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&replaced, &other]).await;
    for _ in 0..4 {
        let response = entry.call("once").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        // Longer than a backend server rests that is only full.
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    }
    assert_eq!((replaced.arrivals(), other.arrivals()), (1, 4));
}

/// Symptom: a wake-up call was refused though a backend server was free. The first one had said that it
/// did not run it, the second could not be reached, and the third was not asked.
#[tokio::test]
async fn a_send_that_never_left_is_followed_by_another_as_long_as_nothing_ran() {
    let refusing = FakeBackend::start(BackendBehaviour::NotRun).await;
    let (_held, unreachable) = unreachable_backend();
    let free = FakeBackend::start(BackendBehaviour::Complete).await;
    // The order of the second and the third is left to chance.
    for _ in 0..8 {
        let entry = EntryFixture::start(&[&refusing, &unreachable, &free]).await;
        let response = entry.call("once").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}
