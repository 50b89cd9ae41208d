//! The edge over real loopback sockets: frames, limits, errors that cross it, silent connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::StatusCode;
use nix::sys::signal::{Signal, raise};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use volo_http::body::Body;
use volo_http::server::route::{Router, any};

use super::{
    ClientLimits, FrameReader, HttpServer, PeerClient, decode_message, encode_message,
    error_response, frame_channel, message_response, read_body, stall_tolerant_timeout,
};
use crate::daemon::DrainState;
use crate::errors::{ErrorKind, RunOutcome, SwitchError};

const LONG: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_millis(200);

/// Symptom: a process ended with "has overflowed its stack". A message held a thousand lists in each
/// other, which a datagram has room for.
#[test]
fn a_message_that_is_nested_too_deep_does_not_read() {
    /// A list of one, which holds the next.
    const LIST: u8 = 0x91;
    for depth in [100, 1000, 100_000] {
        let nested = vec![LIST; depth];
        assert!(decode_message::<serde_json::Value>(&nested).is_err());
    }
    let message = serde_json::json!([[[[[[[[["ours are not as deep"]]]]]]]]]);
    let bytes = encode_message(&message).expect("it encodes");
    assert_eq!(decode_message(&bytes).ok(), Some(message));
}

#[tokio::test]
async fn frames_come_through_in_order_and_end() {
    let (writer, body) = frame_channel(4);
    let writing = async move {
        for number in 0_u32..20 {
            writer.write(&number).await.expect("the reader is there");
        }
    };
    let reading = async move {
        let mut reader = FrameReader::new(body);
        let mut numbers = Vec::new();
        while let Some(number) = reader.next::<u32>().await.expect("frames read") {
            numbers.push(number);
        }
        numbers
    };
    let ((), numbers) = tokio::join!(writing, reading);
    assert_eq!(numbers, (0..20).collect::<Vec<u32>>());
}

// Symptom: a caller takes half an answer for a whole one. Events: the connection breaks inside a
// frame. Cause: the end of the body is taken for the end of the frames.
#[tokio::test]
async fn a_body_that_ends_inside_a_frame_is_cut() {
    let whole = encode_message(&"some words").expect("a text encodes");
    let mut bytes = u32::try_from(whole.len())
        .expect("short")
        .to_be_bytes()
        .to_vec();
    bytes.extend_from_slice(&whole[..whole.len() - 3]);
    let mut reader = FrameReader::new(Body::from(Bytes::from(bytes)));
    let error = reader
        .next::<String>()
        .await
        .expect_err("the frame is short");
    assert_eq!(error.kind, ErrorKind::AnswerCut);
}

#[test]
fn a_message_that_does_not_read_says_so() {
    let error = decode_message::<u32>(b"\xc1").expect_err("no message begins so");
    assert_eq!(error.kind, ErrorKind::MessageInvalid);
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let body = Body::from(Bytes::from_static(b"0123456789"));
    let error = read_body(body, 9).await.expect_err("one byte over");
    assert_eq!(error.kind, ErrorKind::BodyTooLarge);
    let body = Body::from(Bytes::from_static(b"0123456789"));
    assert_eq!(read_body(body, 10).await.expect("fits").len(), 10);
}

#[tokio::test]
async fn an_error_answer_says_what_ran_and_when_to_come_back() {
    let error = SwitchError::new(ErrorKind::RateLimited, "over 5 a second")
        .with_retry_after(Duration::from_millis(1200));
    let reply = error_response(&error);
    assert_eq!(reply.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(reply.headers()["savory-run"], "not_run");
    assert_eq!(
        reply.headers()["retry-after"],
        "2",
        "rounded up, never down"
    );
    let text = read_body(reply.into_body(), 1000).await.expect("short");
    let body: serde_json::Value = serde_json::from_slice(&text).expect("JSON");
    assert_eq!(body["error"]["code"], "rate_limited");
    assert_eq!(body["error"]["retry_after_ms"], 1200);
}

/// A server whose connections each answer once, the `silent` first of them with nothing.
async fn serve_after_silence(listener: TcpListener, silent: usize) {
    let mut kept = Vec::new();
    for index in 0.. {
        let Ok((connection, _)) = listener.accept().await else {
            return;
        };
        if index < silent {
            kept.push(connection);
        } else {
            tokio::spawn(answer_with_number(connection));
        }
    }
}

async fn answer_with_number(mut connection: TcpStream) {
    let mut request = [0; 2048];
    let _ = connection.read(&mut request).await;
    let body = encode_message(&7_u32).expect("a number encodes");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let _ = connection.write_all(head.as_bytes()).await;
    let _ = connection.write_all(&body).await;
}

async fn server_with_silence(silent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve_after_silence(listener, silent));
    address
}

// Symptom: one host is taken for dead although new connections to it work. Events: an open
// connection went silent, the next request is put on a connection of the same pool. Cause: nothing
// drops the pool of a peer that went silent.
#[tokio::test]
async fn a_silent_connection_is_followed_by_a_fresh_one() {
    let peer = server_with_silence(1).await;
    let client = PeerClient::new(ClientLimits::default());
    let first = client.call::<_, u32>(peer, "/", &1_u32, SHORT).await;
    let error = first.expect_err("nothing comes on the first connection");
    assert_eq!(error.kind, ErrorKind::PeerSilent);
    assert_eq!(error.run_outcome(), RunOutcome::NotKnown);
    client.drop_pool(peer);
    let second = client.call::<_, u32>(peer, "/", &1_u32, LONG).await;
    assert_eq!(second.expect("a fresh connection works"), 7);
}

#[tokio::test]
async fn nobody_listening_means_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = listener.local_addr().expect("an address");
    drop(listener);
    let client = PeerClient::new(ClientLimits::default());
    let error = client.call::<_, u32>(peer, "/", &1_u32, LONG).await;
    let error = error.expect_err("nobody listens");
    assert_eq!(error.kind, ErrorKind::ConnectFailed);
    assert_eq!(error.run_outcome(), RunOutcome::NotRun);
}

#[tokio::test]
async fn the_writer_learns_that_the_reader_left() {
    let (writer, body) = frame_channel(1);
    drop(body);
    let error = writer.write(&1_u32).await.expect_err("nobody reads");
    assert_eq!(error.kind, ErrorKind::CallerGone);
    writer.closed().await;
}

#[tokio::test]
async fn plain_bytes_come_through_as_they_are() {
    let (writer, body) = frame_channel(2);
    writer
        .write_bytes(Bytes::from_static(b"ab"))
        .await
        .expect("room");
    drop(writer);
    let parts: Vec<_> = http_body_util::BodyExt::into_data_stream(body)
        .collect()
        .await;
    assert_eq!(parts.len(), 1);
}

// Symptom: processes end one after the other when the platform changes their settings files, and
// requests are refused meanwhile. Events: SIGHUP, the signal that says so. Cause: the server library
// takes SIGHUP for an order to stop, as it does SIGTERM.
#[tokio::test]
async fn a_hangup_does_not_stop_the_server() {
    let mut hangups = signal(SignalKind::hangup()).expect("a handler");
    let drain = DrainState::new(Duration::ZERO, LONG);
    let routes = Router::new().route("/", any(async || message_response(&7_u32)));
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind(address, routes).await.expect("a port");
    let peer = server.local_address().expect("an address");
    let serving = tokio::spawn(server.run(drain.clone()));
    let client = PeerClient::new(ClientLimits::default());
    for round in 0..3 {
        raise(Signal::SIGHUP).expect("a signal to this process");
        hangups.recv().await;
        let answered = client.call::<_, u32>(peer, "/", &round, LONG).await;
        assert_eq!(answered.expect("it goes on serving"), 7);
        assert!(!drain.is_draining(), "a hangup began the stop");
    }
    assert!(!serving.is_finished());
}

/// Guards against peers that count as silent because this process did not run while they answered.
#[tokio::test]
async fn a_stall_of_this_process_is_not_a_peers_silence() {
    let (answering, answer) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(60)).await;
        answering.send("answer")
    });
    tokio::task::yield_now().await;
    let stall = async { std::thread::sleep(SHORT) };
    let (got, ()) = tokio::join!(
        stall_tolerant_timeout(Duration::from_millis(30), answer),
        stall
    );
    assert_eq!(got.expect("it came during the stall"), Ok("answer"));
}

/// Guards against a wait that never ends.
#[tokio::test]
async fn a_silent_peer_is_given_up_in_time() {
    let begun = std::time::Instant::now();
    let waited = stall_tolerant_timeout(SHORT, std::future::pending::<()>()).await;
    assert!(waited.is_err() && begun.elapsed() < SHORT * 5);
}
