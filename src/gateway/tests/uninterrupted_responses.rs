//! Responses in progress while the entry host is paused, applies a document, or receives more than
//! it reads.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::fake_backend::{BackendBehaviour, EntryFixture, FakeBackend, catalog, field};
use super::{NO_RETRIES, new_gateway};
use crate::catalog::{CatalogVersion, RouteRule, RouteTable, ServiceCatalog};
use crate::daemon::DrainState;
use crate::fleet::{BackendFacts, BackendPhase, EngineHoldings, FleetView};
use crate::gateway::daemon::caller_routes;
use crate::gateway::gateway_state::GatewayState;
use crate::platform::samples::{ATTEMPT, DEADLINE, SEAL};
use crate::sync::{DeploymentSnapshot, SharedSnapshot};
use crate::time::ClockTime;
use crate::transport::{HttpServer, bind_listener};

const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
const ROUTE_TIMEOUT: Duration = Duration::from_secs(20);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for the first events of a stream to be passed on.
const STREAM_START_SPAN: Duration = Duration::from_millis(400);

/// Starts a backend server on its own threads, which keep writing while the test's thread is
/// blocked.
fn start_stream_backend() -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the socket is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || write_events(stream));
        }
    });
    address
}

/// Answers each request with a stream of all events, until the connection ends.
fn write_events(mut stream: StdStream) -> Option<()> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        while !text.ends_with("\r\n\r\nbody") {
            let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
            text.push_str(&String::from_utf8_lossy(&buffer[..read]));
        }
        let attempt = field(&text, ATTEMPT).unwrap_or_default();
        text.clear();
        let head = format!(
            "HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{SEAL}: seal\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        for id in 1..=EVENTS {
            let event = format!("id: {id}\ndata: part {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).ok()?;
            thread::sleep(EVENT_PAUSE);
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
    }
}

/// Returns the catalog of the test with a longer time limit, changed by `change`.
fn changed_catalog(change: impl Fn(&mut RouteRule)) -> ServiceCatalog {
    let base = catalog();
    let rules = base.routes.rules().iter().map(|rule| {
        let mut rule = (**rule).clone();
        rule.timeout = ROUTE_TIMEOUT;
        change(&mut rule);
        rule
    });
    ServiceCatalog {
        routes: RouteTable::new(rules.collect()),
        ..base
    }
}

fn fleet_of(addresses: &[SocketAddr], phase: BackendPhase) -> Arc<FleetView> {
    let facts = addresses.iter().enumerate().map(|(at, address)| {
        Arc::new(BackendFacts {
            start_time: None,
            sequence: None,
            id: format!("i-{at}").into(),
            service: "desk".into(),
            address: *address,
            data_centre: "here".into(),
            slots: 64,
            phase,
            holdings: EngineHoldings::default(),
            cold_until: None,
        })
    });
    Arc::new(FleetView {
        backends: facts.collect(),
    })
}

/// An entry host whose deployment state the test changes.
struct MutableEntry {
    address: SocketAddr,
    snapshot: SharedSnapshot,
    gateway: Arc<GatewayState>,
}

impl MutableEntry {
    async fn start(backends: &[SocketAddr]) -> Self {
        let snapshot = SharedSnapshot::default();
        snapshot.store(DeploymentSnapshot {
            catalog: Some(Arc::new(changed_catalog(|_| {}))),
            fleet: fleet_of(backends, BackendPhase::Serving),
            ..DeploymentSnapshot::default()
        });
        let gateway = Arc::new(new_gateway(snapshot.clone(), NO_RETRIES));
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = bind_listener(local).await.expect("a free port");
        let address = listener.local_addr().expect("the socket is bound");
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        tokio::spawn(HttpServer::on(listener, caller_routes(gateway.clone())).run(drain));
        Self {
            address,
            snapshot,
            gateway,
        }
    }

    /// Sends `text` on one connection and returns everything received until `count` responses are
    /// complete or the connection closes.
    async fn responses(&self, text: String, count: usize) -> String {
        let mut stream = TcpStream::connect(self.address)
            .await
            .expect("the socket is listening");
        stream
            .write_all(text.as_bytes())
            .await
            .expect("the other end reads");
        let mut response = String::new();
        let mut buffer = [0; 4096];
        let reading = async {
            while response.matches("\r\n0\r\n\r\n").count() + response.matches("-length:").count()
                < count
            {
                match stream.read(&mut buffer).await {
                    Ok(read) if read > 0 => {
                        response.push_str(&String::from_utf8_lossy(&buffer[..read]));
                    }
                    _ => break,
                }
            }
        };
        // The caller checks the response and finds missing parts.
        let _ = timeout(RESPONSE_TIMEOUT, reading).await;
        response
    }
}

fn request(kind: &str) -> String {
    format!(
        "POST /{kind}/x HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT}: a1\r\n{DEADLINE}: 20000\r\n\
         authorization: Bearer secret\r\ncontent-length: 4\r\n\r\nbody"
    )
}

fn assert_all_events(response: &str, times: usize) {
    for id in 1..=EVENTS {
        let count = response.matches(&format!("data: part {id}\n\n")).count();
        assert_eq!(count, times, "event {id} in {response}");
    }
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

/// Guards against cutting all streams when the process gets no processor time, although their
/// events wait in its sockets.
#[tokio::test]
async fn events_received_while_the_process_was_paused_are_passed_on() {
    let backends = [start_stream_backend(), start_stream_backend()];
    let entry = MutableEntry::start(&backends).await;
    let kinds = ["resumed", "single"].into_iter().cycle().take(24);
    let streams = futures::future::join_all(kinds.map(|kind| entry.responses(request(kind), 1)));
    let stall = async {
        sleep(STREAM_START_SPAN).await;
        // Longer than a backend server may be unresponsive.
        thread::sleep(Duration::from_millis(1300));
    };
    let (responses, ()) = tokio::join!(streams, stall);
    for response in responses {
        assert_all_events(&response, 1);
    }
}

/// Guards against cutting streams in progress when a new document or list of backend servers
/// removes what they use.
#[tokio::test]
async fn a_stream_continues_after_any_change_of_the_document() {
    let backend = [start_stream_backend()];
    let next = |catalog: ServiceCatalog, fleet: Arc<FleetView>| DeploymentSnapshot {
        catalog: Some(Arc::new(ServiceCatalog {
            version: CatalogVersion(2),
            ..catalog
        })),
        fleet,
        ..DeploymentSnapshot::default()
    };
    let serving = || fleet_of(&backend, BackendPhase::Serving);
    let without_routes = ServiceCatalog {
        routes: RouteTable::default(),
        accounts: Vec::new(),
        keys: Vec::new(),
        services: Vec::new(),
        ..catalog()
    };
    let shorter = changed_catalog(|rule| {
        rule.timeout = Duration::from_millis(500);
        rule.latency_target = Duration::from_millis(10);
        rule.gap_target = Duration::from_millis(10);
        rule.attempts_max = 1;
    });
    let elsewhere = changed_catalog(|rule| rule.shares[0].service = "other".into());
    let same = || changed_catalog(|_| {});
    let changes = [
        next(without_routes, serving()),
        next(shorter, serving()),
        next(elsewhere, serving()),
        next(same(), fleet_of(&backend, BackendPhase::Leaving)),
        next(same(), fleet_of(&[], BackendPhase::Serving)),
    ];
    let runs = changes.into_iter().map(|change| async {
        let entry = MutableEntry::start(&backend).await;
        let changing = async {
            sleep(STREAM_START_SPAN).await;
            entry.snapshot.store(change);
            entry.gateway.snapshot(ClockTime::default());
        };
        let streams = ["resumed", "single"].map(|kind| entry.responses(request(kind), 1));
        let (responses, ()) = tokio::join!(futures::future::join_all(streams), changing);
        responses
    });
    for response in futures::future::join_all(runs).await.concat() {
        assert_all_events(&response, 1);
    }
}

/// Guards against ending a stream early, or losing a response, when a client sends its next request
/// before the end of the stream.
#[tokio::test]
async fn a_pipelined_request_does_not_end_the_stream_before_it() {
    let entry = MutableEntry::start(&[start_stream_backend()]).await;
    let text = format!("{}{}", request("resumed"), request("safe"));
    let response = entry.responses(text, 2).await;
    assert_eq!(response.matches("HTTP/1.1 200").count(), 2, "{response}");
    assert_eq!(
        response.matches("data: part 1\n\n").count(),
        2,
        "{response}"
    );
    let last = format!("data: part {EVENTS}\n\n");
    assert_eq!(response.matches(&last).count(), 2, "{response}");
}

/// Guards against losing a refusal together with its connection because the request body is still
/// in transit.
#[tokio::test]
async fn a_refusal_reaches_a_client_that_still_sends_its_body() {
    let backend = FakeBackend::start(BackendBehaviour::Complete).await;
    let entry = EntryFixture::start(&[&backend]).await;
    let body = "x".repeat(512 * 1024);
    let head = format!("POST /nowhere/x HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT}: a1\r\n");
    let texts = [
        format!("{head}content-length: {}\r\n\r\n{body}", body.len()),
        format!(
            "{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n4\r\nmore\r\n0\r\n\r\n",
            body.len()
        ),
    ];
    for text in texts {
        let mut stream = TcpStream::connect(entry.address)
            .await
            .expect("the socket is listening");
        let (mut reader, mut writer) = stream.split();
        let mut response = Vec::new();
        let writing = async {
            // The entry host may close the connection before it has read everything.
            let _ = writer.write_all(text.as_bytes()).await;
        };
        let reading = async {
            let mut buffer = [0; 4096];
            while let Ok(Ok(read)) = timeout(Duration::from_secs(1), reader.read(&mut buffer)).await
            {
                if read == 0 {
                    break;
                }
                response.extend_from_slice(&buffer[..read]);
            }
        };
        tokio::join!(writing, reading);
        let response = String::from_utf8_lossy(&response);
        assert!(response.starts_with("HTTP/1.1 404"), "{response}");
    }
}

/// Guards against ending a planned stop while a response is in transit to a client that reads
/// slowly.
#[tokio::test]
async fn a_response_is_in_progress_until_its_last_byte_is_sent() {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the socket is bound");
    let length = 8 * 1024 * 1024;
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the entry host connects");
        let mut buffer = [0; 4096];
        let read = stream.read(&mut buffer).expect("a request arrives");
        let attempt =
            field(&String::from_utf8_lossy(&buffer[..read]), ATTEMPT).expect("an attempt id");
        let head = format!(
            "HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{SEAL}: seal\r\n\
             content-length: {length}\r\n\r\n"
        );
        stream
            .write_all(head.as_bytes())
            .expect("the other end reads");
        stream
            .write_all(&vec![b'x'; length])
            .expect("the other end reads");
        // Keeps the connection open until the entry host closes it.
        let _ = stream.read(&mut buffer);
    });
    let entry = MutableEntry::start(&[address]).await;
    let mut stream = TcpStream::connect(entry.address)
        .await
        .expect("the socket is listening");
    let text = request("once");
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the other end reads");
    let mut buffer = vec![0; 4096];
    let mut read = stream.read(&mut buffer).await.expect("the response begins");
    sleep(Duration::from_millis(300)).await;
    assert_eq!(
        entry.gateway.drain.in_flight_count(),
        1,
        "most bytes are not sent yet"
    );
    while read < length {
        read += stream
            .read(&mut buffer)
            .await
            .expect("the response continues");
    }
    sleep(Duration::from_millis(100)).await;
    assert_eq!(entry.gateway.drain.in_flight_count(), 0);
}
