//! Requests that are refused before any backend server sees them.

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
async fn what_the_document_does_not_allow_is_refused() {
    let unknown_route = request("/nowhere/x", KEY, "");
    assert_eq!(refused(&unknown_route).await, (404, 0));
    let no_key = request("/safe/x", "", "");
    assert_eq!(refused(&no_key).await, (401, 0));
    let wrong_key = request("/safe/x", "authorization: Bearer other\r\n", "");
    assert_eq!(refused(&wrong_key).await, (401, 0));
}

#[tokio::test]
async fn what_is_over_the_limits_is_refused() {
    let long_field = format!("{KEY}x-long: {}\r\n", "x".repeat(3000));
    assert_eq!(
        refused(&request("/safe/x", &long_field, "")).await,
        (431, 0)
    );
    let fields = format!("{KEY}content-length: 2000\r\n");
    let long_body = request("/safe/x", &fields, &"x".repeat(2000));
    assert_eq!(refused(&long_body).await, (413, 0));
}

/// Symptom: a backend server ran a request that no client had sent. Two lengths, or a length beside
/// chunks, let the bytes of one request be read as a request of its own.
#[tokio::test]
async fn a_request_inside_a_request_reaches_nobody() {
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
async fn a_body_that_is_cut_short_reaches_nobody() {
    use tokio::io::AsyncWriteExt;
    let backend = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&backend]).await;
    let mut client = tokio::net::TcpStream::connect(entry.address)
        .await
        .expect("it listens");
    let fields = format!("{KEY}content-length: 100\r\n");
    let short = request("/safe/x", &fields, "only this");
    client.write_all(short.as_bytes()).await.expect("it reads");
    drop(client);
    // A request behind it shows that the entry host has dealt with the short one.
    entry.call("safe").await;
    assert_eq!(backend.arrivals(), 1);
}

#[tokio::test]
async fn an_entry_host_that_is_about_to_stop_says_so() {
    let backend = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&backend]).await;
    let begun = ClockTime(0);
    entry.gateway.begin_stop(begun);
    let late = begun + std::time::Duration::from_secs(3);
    tokio::time::sleep(late.since(clock_now())).await;
    let response = entry.call("once").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(backend.arrivals(), 0);
}
