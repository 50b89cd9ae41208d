//! Answers under way while the entry host stands still, takes in a document, or is sent more than it reads.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::fake_backend::{BackendWay, FakeBackend, FakeEntry, catalog, field};
use super::{NO_RETRIES, gateway_on};
use crate::catalog::{CatalogVersion, RouteRule, RouteTable, ServiceCatalog};
use crate::daemon::DrainState;
use crate::fleet::{BackendFacts, BackendPhase, EngineHoldings, FleetView};
use crate::gateway::daemon::caller_routes;
use crate::gateway::gateway_state::GatewayState;
use crate::platform::samples::{ATTEMPT, DEADLINE, SEAL};
use crate::sync::{ControlSnapshot, SharedSnapshot};
use crate::transport::{HttpServer, bind_listener};

const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
const ROUTE_TIMEOUT: Duration = Duration::from_secs(20);
const ANSWER_WITHIN: Duration = Duration::from_secs(15);
/// Time for a stream's first events to have been passed on.
const BEGUN_SPAN: Duration = Duration::from_millis(400);

/// A backend server on threads of its own, which write on while the test's thread stands still.
fn start_stream_backend() -> SocketAddr {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
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

/// The test's document with a longer time limit, changed by `change`.
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
            born: None,
            told: None,
            id: format!("i-{at}").into(),
            service: "desk".into(),
            address: *address,
            data_centre: "here".into(),
            slots: 64,
            phase,
            holdings: EngineHoldings::default(),
        })
    });
    Arc::new(FleetView {
        backends: facts.collect(),
    })
}

/// An entry host whose control state the test changes.
struct ChangingEntry {
    address: SocketAddr,
    snapshot: SharedSnapshot,
    gateway: Arc<GatewayState>,
}

impl ChangingEntry {
    async fn start(backends: &[SocketAddr]) -> Self {
        let snapshot = SharedSnapshot::default();
        snapshot.store(ControlSnapshot {
            catalog: Some(Arc::new(changed_catalog(|_| {}))),
            fleet: fleet_of(backends, BackendPhase::Serving),
            ..ControlSnapshot::default()
        });
        let gateway = Arc::new(gateway_on(snapshot.clone(), NO_RETRIES));
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = bind_listener(local).await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        tokio::spawn(HttpServer::on(listener, caller_routes(gateway.clone())).run(drain));
        Self {
            address,
            snapshot,
            gateway,
        }
    }

    /// All that comes back for `text` on one connection, until nothing is missing or it closes.
    async fn answers(&self, text: String, count: usize) -> String {
        let mut stream = TcpStream::connect(self.address).await.expect("it listens");
        stream.write_all(text.as_bytes()).await.expect("it reads");
        let mut answer = String::new();
        let mut buffer = [0; 4096];
        let reading = async {
            while answer.matches("\r\n0\r\n\r\n").count() + answer.matches("-length:").count()
                < count
            {
                match stream.read(&mut buffer).await {
                    Ok(read) if read > 0 => {
                        answer.push_str(&String::from_utf8_lossy(&buffer[..read]));
                    }
                    _ => break,
                }
            }
        };
        // What is missing shows in the answer.
        let _ = timeout(ANSWER_WITHIN, reading).await;
        answer
    }
}

fn request(kind: &str) -> String {
    format!(
        "POST /{kind}/x HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT}: a1\r\n{DEADLINE}: 20000\r\n\
         authorization: Bearer secret\r\ncontent-length: 4\r\n\r\nbody"
    )
}

fn assert_all_events(answer: &str, times: usize) {
    for id in 1..=EVENTS {
        let count = answer.matches(&format!("data: part {id}\n\n")).count();
        assert_eq!(count, times, "event {id} in {answer}");
    }
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// Guards against streams that are all cut at once when the process gets no processor time, though their
/// events wait in its sockets.
#[tokio::test]
async fn events_that_came_while_the_process_stood_still_are_passed_on() {
    let backends = [start_stream_backend(), start_stream_backend()];
    let entry = ChangingEntry::start(&backends).await;
    let kinds = ["resumed", "single"].into_iter().cycle().take(24);
    let streams = futures::future::join_all(kinds.map(|kind| entry.answers(request(kind), 1)));
    let stall = async {
        sleep(BEGUN_SPAN).await;
        // Longer than a backend server may be silent.
        thread::sleep(Duration::from_millis(1300));
    };
    let (answers, ()) = tokio::join!(streams, stall);
    for answer in answers {
        assert_all_events(&answer, 1);
    }
}

/// Guards against streams that are cut by what a document or the list of backend servers takes away while
/// they run.
#[tokio::test]
async fn a_stream_goes_on_whatever_the_next_document_says() {
    let backend = [start_stream_backend()];
    let next = |catalog: ServiceCatalog, fleet: Arc<FleetView>| ControlSnapshot {
        catalog: Some(Arc::new(ServiceCatalog {
            version: CatalogVersion(2),
            ..catalog
        })),
        fleet,
        ..ControlSnapshot::default()
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
        rule.target = Duration::from_millis(10);
        rule.pause = Duration::from_millis(10);
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
        let entry = ChangingEntry::start(&backend).await;
        let changing = async {
            sleep(BEGUN_SPAN).await;
            entry.snapshot.store(change);
            entry.gateway.snapshot();
        };
        let streams = ["resumed", "single"].map(|kind| entry.answers(request(kind), 1));
        let (answers, ()) = tokio::join!(futures::future::join_all(streams), changing);
        answers
    });
    for answer in futures::future::join_all(runs).await.concat() {
        assert_all_events(&answer, 1);
    }
}

/// Guards against a stream that ends, or an answer that is lost, where a client sends its next request
/// before the stream's end.
#[tokio::test]
async fn a_request_that_comes_early_does_not_end_the_stream_before_it() {
    let entry = ChangingEntry::start(&[start_stream_backend()]).await;
    let text = format!("{}{}", request("resumed"), request("safe"));
    let answer = entry.answers(text, 2).await;
    assert_eq!(answer.matches("HTTP/1.1 200").count(), 2, "{answer}");
    assert_eq!(answer.matches("data: part 1\n\n").count(), 2, "{answer}");
    let last = format!("data: part {EVENTS}\n\n");
    assert_eq!(answer.matches(&last).count(), 2, "{answer}");
}

/// Guards against a refusal that is lost with its connection because the body of the request was still on
/// its way.
#[tokio::test]
async fn a_refusal_reaches_a_client_that_still_sends_its_body() {
    let backend = FakeBackend::start(BackendWay::Whole).await;
    let entry = FakeEntry::start(&[&backend]).await;
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
        let mut stream = TcpStream::connect(entry.address).await.expect("it listens");
        let (mut reader, mut writer) = stream.split();
        let mut answer = Vec::new();
        let writing = async {
            // The entry host may close before it has read all.
            let _ = writer.write_all(text.as_bytes()).await;
        };
        let reading = async {
            let mut buffer = [0; 4096];
            while let Ok(Ok(read)) = timeout(Duration::from_secs(1), reader.read(&mut buffer)).await
            {
                if read == 0 {
                    break;
                }
                answer.extend_from_slice(&buffer[..read]);
            }
        };
        tokio::join!(writing, reading);
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    }
}

/// Guards against a planned stop that ends while an answer is still on its way to a client that reads
/// slowly.
#[tokio::test]
async fn an_answer_is_under_way_until_its_last_byte_has_left() {
    let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let length = 8 * 1024 * 1024;
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the entry host connects");
        let mut buffer = [0; 4096];
        let read = stream.read(&mut buffer).expect("it is sent a request");
        let attempt = field(&String::from_utf8_lossy(&buffer[..read]), ATTEMPT).expect("a name");
        let head = format!(
            "HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{SEAL}: seal\r\n\
             content-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("it reads");
        stream.write_all(&vec![b'x'; length]).expect("it reads");
        // The connection stays open until the entry host has given it up.
        let _ = stream.read(&mut buffer);
    });
    let entry = ChangingEntry::start(&[address]).await;
    let mut stream = TcpStream::connect(entry.address).await.expect("it listens");
    let text = request("once");
    stream.write_all(text.as_bytes()).await.expect("it reads");
    let mut buffer = vec![0; 4096];
    let mut read = stream.read(&mut buffer).await.expect("the answer begins");
    sleep(Duration::from_millis(300)).await;
    assert_eq!(
        entry.gateway.drain.in_flight_count(),
        1,
        "most has not left"
    );
    while read < length {
        read += stream.read(&mut buffer).await.expect("the answer goes on");
    }
    sleep(Duration::from_millis(100)).await;
    assert_eq!(entry.gateway.drain.in_flight_count(), 0);
}
