//! Frames, size limits, error responses and unresponsive connections, on loopback sockets.

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

/// Guards against a stack overflow of the process by a datagram with a thousand nested lists.
#[test]
fn a_message_nested_too_deep_is_rejected() {
    /// `MessagePack` header of a list with one element.
    const LIST: u8 = 0x91;
    for depth in [100, 1000, 100_000] {
        let nested = vec![LIST; depth];
        assert!(decode_message::<serde_json::Value>(&nested).is_err());
    }
    let message = serde_json::json!([[[[[[[[["valid depth"]]]]]]]]]);
    let bytes = encode_message(&message).expect("JSON encodes");
    assert_eq!(decode_message(&bytes).ok(), Some(message));
}

#[tokio::test]
async fn frames_arrive_in_order_until_the_end() {
    let (writer, body) = frame_channel(4);
    let write = async move {
        for number in 0_u32..20 {
            writer.write(&number).await.expect("the reader is open");
        }
    };
    let read = async move {
        let mut reader = FrameReader::new(body);
        let mut numbers = Vec::new();
        while let Some(number) = reader.next::<u32>().await.expect("frames decode") {
            numbers.push(number);
        }
        numbers
    };
    let ((), numbers) = tokio::join!(write, read);
    assert_eq!(numbers, (0..20).collect::<Vec<u32>>());
}

/// Guards against a truncated response that is taken for a complete one because the connection
/// broke within a frame.
#[tokio::test]
async fn a_body_that_ends_within_a_frame_is_reported_as_cut() {
    let message = encode_message(&"some text").expect("a text encodes");
    let mut bytes = u32::try_from(message.len())
        .expect("short")
        .to_be_bytes()
        .to_vec();
    bytes.extend_from_slice(&message[..message.len() - 3]);
    let mut reader = FrameReader::new(Body::from(Bytes::from(bytes)));
    let error = reader
        .next::<String>()
        .await
        .expect_err("the frame is truncated");
    assert_eq!(error.kind, ErrorKind::AnswerCut);
}

#[test]
fn an_undecodable_message_is_reported_as_invalid() {
    let error = decode_message::<u32>(b"\xc1").expect_err("0xc1 is unused in MessagePack");
    assert_eq!(error.kind, ErrorKind::MessageInvalid);
}

#[tokio::test]
async fn a_body_over_the_limit_is_rejected() {
    let body = Body::from(Bytes::from_static(b"0123456789"));
    let error = read_body(body, 9).await.expect_err("one byte over");
    assert_eq!(error.kind, ErrorKind::BodyTooLarge);
    let body = Body::from(Bytes::from_static(b"0123456789"));
    assert_eq!(read_body(body, 10).await.expect("fits").len(), 10);
}

#[tokio::test]
async fn an_error_response_states_the_run_outcome_and_retry_time() {
    let error = SwitchError::new(ErrorKind::RateLimited, "over 5 a second")
        .with_retry_after(Duration::from_millis(1200));
    let response = error_response(&error);
    assert_eq!(response.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(response.headers()["savory-run"], "not_run");
    assert_eq!(
        response.headers()["retry-after"],
        "2",
        "rounded up, never down"
    );
    let text = read_body(response.into_body(), 1000).await.expect("short");
    let body: serde_json::Value = serde_json::from_slice(&text).expect("JSON");
    assert_eq!(body["error"]["code"], "rate_limited");
    assert_eq!(body["error"]["retry_after_ms"], 1200);
}

/// Serves one response per connection, but none on the first `unresponsive` connections.
async fn serve_with_unresponsive(listener: TcpListener, unresponsive: usize) {
    let mut open_connections = Vec::new();
    for index in 0.. {
        let Ok((connection, _)) = listener.accept().await else {
            return;
        };
        if index < unresponsive {
            open_connections.push(connection);
        } else {
            tokio::spawn(respond_with_number(connection));
        }
    }
}

async fn respond_with_number(mut connection: TcpStream) {
    let mut request = [0; 2048];
    let _ = connection.read(&mut request).await;
    let body = encode_message(&7_u32).expect("a number encodes");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let _ = connection.write_all(head.as_bytes()).await;
    let _ = connection.write_all(&body).await;
}

async fn start_server_with_unresponsive(unresponsive: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve_with_unresponsive(listener, unresponsive));
    address
}

/// Guards against a host that counts as failed although new connections to it work: a connection
/// became unresponsive, and the next request uses another one of the same pool.
#[tokio::test]
async fn a_dropped_pool_gives_a_new_connection() {
    let peer = start_server_with_unresponsive(1).await;
    let client = PeerClient::new(ClientLimits::default());
    let first = client.call::<_, u32>(peer, "/", &1_u32, SHORT).await;
    let error = first.expect_err("the first connection is unresponsive");
    assert_eq!(error.kind, ErrorKind::PeerSilent);
    assert_eq!(error.run_outcome(), RunOutcome::NotKnown);
    client.drop_pool(peer);
    let second = client.call::<_, u32>(peer, "/", &1_u32, LONG).await;
    assert_eq!(second.expect("the new connection works"), 7);
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = listener.local_addr().expect("an address");
    drop(listener);
    let client = PeerClient::new(ClientLimits::default());
    let error = client.call::<_, u32>(peer, "/", &1_u32, LONG).await;
    let error = error.expect_err("the port has no listener");
    assert_eq!(error.kind, ErrorKind::ConnectFailed);
    assert_eq!(error.run_outcome(), RunOutcome::NotRun);
}

#[tokio::test]
async fn writes_fail_after_the_body_is_dropped() {
    let (writer, body) = frame_channel(1);
    drop(body);
    let error = writer.write(&1_u32).await.expect_err("the body is dropped");
    assert_eq!(error.kind, ErrorKind::CallerGone);
    writer.closed().await;
}

#[tokio::test]
async fn raw_bytes_are_written_unchanged() {
    let (writer, body) = frame_channel(2);
    writer
        .write_bytes(Bytes::from_static(b"ab"))
        .await
        .expect("the buffer has room");
    drop(writer);
    let parts: Vec<_> = http_body_util::BodyExt::into_data_stream(body)
        .collect()
        .await;
    assert_eq!(parts.len(), 1);
}

/// Guards against processes that exit one after another, and refuse requests meanwhile, when the
/// platform changes their settings files and sends SIGHUP: the server library treats SIGHUP as an
/// order to stop, like SIGTERM.
#[tokio::test]
async fn sighup_does_not_stop_the_server() {
    let mut hangups = signal(SignalKind::hangup()).expect("a handler");
    let drain = DrainState::new(Duration::ZERO, LONG);
    let routes = Router::new().route("/", any(async || message_response(&7_u32)));
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind(address, routes).await.expect("a port");
    let peer = server.local_address().expect("an address");
    let server_task = tokio::spawn(server.run(drain.clone()));
    let client = PeerClient::new(ClientLimits::default());
    for round in 0..3 {
        raise(Signal::SIGHUP).expect("a signal to this process");
        hangups.recv().await;
        let answered = client.call::<_, u32>(peer, "/", &round, LONG).await;
        assert_eq!(answered.expect("the server still serves"), 7);
        assert!(!drain.is_draining(), "SIGHUP began the stop");
    }
    assert!(!server_task.is_finished());
}

/// Guards against a peer that counts as unresponsive because this process was stalled when the
/// response arrived.
#[tokio::test]
async fn a_stall_of_this_process_does_not_time_out_a_peer() {
    let (sender, response) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(60)).await;
        sender.send("response")
    });
    tokio::task::yield_now().await;
    let stall = async { std::thread::sleep(SHORT) };
    let (received, ()) = tokio::join!(
        stall_tolerant_timeout(Duration::from_millis(30), response),
        stall
    );
    assert_eq!(
        received.expect("the response arrived during the stall"),
        Ok("response")
    );
}

/// Guards against a wait without an end.
#[tokio::test]
async fn an_unresponsive_peer_times_out() {
    let started = std::time::Instant::now();
    let waited = stall_tolerant_timeout(SHORT, std::future::pending::<()>()).await;
    assert!(waited.is_err() && started.elapsed() < SHORT * 5);
}
