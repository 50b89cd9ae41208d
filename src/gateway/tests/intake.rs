//! Requests that are refused before they reach a backend server.

use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend};
use crate::platform::samples::ATTEMPT;
use crate::time::{ClockTime, clock_now};

async fn refused(request: &str) -> (u16, usize) {
    let backend = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&backend]).await;
    let response = entry.send(request).await;
    let status = response
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok());
    (status.unwrap_or(0), backend.arrivals())
}

fn request(path: &str, fields: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT}: a1\r\n\
         connection: close\r\n{fields}\r\n{body}"
    )
}

const KEY: &str = "authorization: Bearer secret\r\n";

#[tokio::test]
async fn requests_not_allowed_by_the_document_are_refused() {
    let unknown_route = request("/nowhere/x", KEY, "");
    assert_eq!(refused(&unknown_route).await, (404, 0));
    let no_key = request("/safe/x", "", "");
    assert_eq!(refused(&no_key).await, (401, 0));
    let wrong_key = request("/safe/x", "authorization: Bearer other\r\n", "");
    assert_eq!(refused(&wrong_key).await, (401, 0));
}

#[tokio::test]
async fn requests_over_the_limits_are_refused() {
    let long_field = format!("{KEY}x-long: {}\r\n", "x".repeat(3000));
    assert_eq!(
        refused(&request("/safe/x", &long_field, "")).await,
        (431, 0)
    );
    let fields = format!("{KEY}content-length: 2000\r\n");
    let long_body = request("/safe/x", &fields, &"x".repeat(2000));
    assert_eq!(refused(&long_body).await, (413, 0));
}

/// Guards against request smuggling: with two lengths, or a length and a chunked body, the bytes of
/// one request could be read as another request that no client sent.
#[tokio::test]
async fn a_smuggled_request_reaches_no_backend_server() {
    let inner = "GET /safe/inner HTTP/1.1\r\nhost: desk.example\r\n\r\n";
    let two_lengths = format!(
        "{KEY}content-length: 0\r\ncontent-length: {}\r\n",
        inner.len()
    );
    let (status, arrivals) = refused(&request("/safe/x", &two_lengths, inner)).await;
    assert_eq!((status, arrivals), (400, 0));
    let bad_length = format!("{KEY}content-length: 5, 6\r\n");
    let (status, arrivals) = refused(&request("/safe/x", &bad_length, "12345")).await;
    assert_eq!((status, arrivals), (400, 0));
    let two_hosts = format!("{KEY}host: other.example\r\n");
    let (status, arrivals) = refused(&request("/safe/x", &two_hosts, "")).await;
    assert_eq!((status, arrivals), (400, 0));
}

#[tokio::test]
async fn a_truncated_body_reaches_no_backend_server() {
    use tokio::io::AsyncWriteExt;
    let backend = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&backend]).await;
    let mut client = tokio::net::TcpStream::connect(entry.address)
        .await
        .expect("the socket is listening");
    let fields = format!("{KEY}content-length: 100\r\n");
    let short = request("/safe/x", &fields, "only this");
    client
        .write_all(short.as_bytes())
        .await
        .expect("the other end reads");
    drop(client);
    // When the next request has been answered, the entry host has handled the short one.
    entry.call("safe").await;
    assert_eq!(backend.arrivals(), 1);
}

#[tokio::test]
async fn a_stopping_entry_host_refuses_requests() {
    let backend = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&backend]).await;
    let stop_start = ClockTime(0);
    entry.gateway.begin_stop(stop_start);
    let late = stop_start + std::time::Duration::from_secs(3);
    tokio::time::sleep(late.since(clock_now())).await;
    let response = entry.call("once").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(backend.arrivals(), 0);
}
