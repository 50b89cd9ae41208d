//! A request that crashes each backend server that begins to run it, sent again and again to several entry
//! hosts, beside requests that do no harm.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::entry_hosts::{request_of, start_entries, start_late_entry, start_store, status_of};
use super::fake_backend::{field, read_request};
use crate::platform::samples::{ATTEMPT, SEAL, plain_sample};
use crate::platform::{FakeStore, TableName};
use crate::time::{ClockTime, clock_now};

const ENTRIES: usize = 4;
const BACKENDS: usize = 10;
/// How long a harmless request takes, and how long the other one runs before it crashes its backend server.
const WORK_SPAN: Duration = Duration::from_millis(150);
const CRASH_SPAN: Duration = Duration::from_millis(40);
/// How long a backend server stays away behind a crash.
const DOWN_SPAN: Duration = Duration::from_millis(700);
const CRASHING_PAUSE: Duration = Duration::from_millis(60);
const HARMLESS_PAUSE: Duration = Duration::from_millis(25);
/// By then, behind the third crash, every entry host knows the request.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Sends that are allowed from then on.
const SENDS_MAX: usize = 3;
/// How long the store is away.
const OUTAGE_SPAN: Duration = Duration::from_millis(1500);
/// For how long the test looks on from then on.
const WATCH_SPAN: Duration = Duration::from_secs(2);
const CRASHING_BODY: &str = "deadly";

/// What the backend servers saw.
#[derive(Default)]
struct RunRecord {
    /// When the deadly request arrived at any of them.
    arrivals: Vec<ClockTime>,
    /// When one of them crashed under it.
    crashes: Vec<ClockTime>,
}

impl RunRecord {
    /// How often the deadly request arrived behind `moment`.
    fn arrivals_after(&self, moment: ClockTime) -> usize {
        let late = self.arrivals.iter().filter(|at| **at > moment);
        late.count()
    }
}

type SharedRecord = Arc<Mutex<RunRecord>>;

/// A backend server that crashes.
struct CrashingBackend {
    number: usize,
    store: FakeStore,
    record: SharedRecord,
}

impl CrashingBackend {
    /// It runs for as long as the test does.
    async fn run(self) {
        let mut address = SocketAddr::from(([127, 0, 0, 1], 0));
        for born in 1.. {
            let listener = TcpListener::bind(address)
                .await
                .expect("its address is free");
            address = listener.local_addr().expect("it is bound");
            let id = format!("i-{:02}", self.number);
            let text = plain_sample((address, born));
            self.store.put(TableName::Backends, &id, &text);
            self.serve_until_crash(listener).await;
            sleep(DOWN_SPAN).await;
        }
    }

    /// Serves up to the next crash, which closes its port and all its connections at once.
    async fn serve_until_crash(&self, listener: TcpListener) {
        let crash = Arc::new(Notify::new());
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("it listens");
                    connections.spawn(serve(stream, self.record.clone(), crash.clone()));
                }
                () = crash.notified() => return,
            }
        }
    }
}

async fn serve(mut stream: TcpStream, record: SharedRecord, crash: Arc<Notify>) {
    while let Some(request) = read_request(&mut stream).await {
        let attempt = field(&request, ATTEMPT).unwrap_or_default();
        if request.ends_with(CRASHING_BODY) {
            lock(&record).arrivals.push(clock_now());
            sleep(CRASH_SPAN).await;
            lock(&record).crashes.push(clock_now());
            crash.notify_one();
            return std::future::pending().await;
        }
        sleep(WORK_SPAN).await;
        let response = format!(
            "HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{SEAL}: seal\r\ncontent-length: 2\r\n\r\nok"
        );
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn lock(record: &SharedRecord) -> std::sync::MutexGuard<'_, RunRecord> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends one request after another, each to another entry host, until the task is dropped.
async fn send_crashing(addresses: Vec<SocketAddr>) {
    for number in 0_usize.. {
        let address = addresses[number % addresses.len()];
        let request = request_of(&format!("d{number}"), CRASHING_BODY);
        tokio::spawn(async move { status_of(address, &request).await });
        sleep(CRASHING_PAUSE).await;
    }
}

/// Sends different requests for `span`; returns the status of each.
async fn send_harmless(addresses: &[SocketAddr], span: Duration) -> Vec<Option<u16>> {
    let until = clock_now() + span;
    let mut calls = Vec::new();
    for number in 0_usize.. {
        if clock_now() >= until {
            break;
        }
        let address = addresses[number % addresses.len()];
        let body = format!("harmless {number} of {}", until.0);
        let request = request_of(&format!("h{number}"), &body);
        calls.push(tokio::spawn(
            async move { status_of(address, &request).await },
        ));
        sleep(HARMLESS_PAUSE).await;
    }
    let responses = futures::future::join_all(calls).await;
    let responses = responses.into_iter();
    responses
        .map(|response| response.expect("no panic"))
        .collect()
}

async fn start_system(record: &SharedRecord) -> (FakeStore, Vec<SocketAddr>) {
    let store = start_store().await;
    for number in 0..BACKENDS {
        let backend = CrashingBackend {
            number,
            store: store.clone(),
            record: record.clone(),
        };
        tokio::spawn(backend.run());
    }
    let addresses = start_entries(ENTRIES, &store).await;
    (store, addresses)
}

/// Guards against a request that goes on to crash backend servers, whichever entry host it comes to, and
/// against harmless ones that are refused because they ran beside it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_crashes_backend_servers_is_soon_sent_to_none() {
    let record = SharedRecord::default();
    let (_, addresses) = start_system(&record).await;
    let crashing = tokio::spawn(send_crashing(addresses.clone()));
    // Those of the time of the crashes may have lost every backend server that they were sent to.
    send_harmless(&addresses, KNOWN_WITHIN + DOWN_SPAN).await;
    let responses = send_harmless(&addresses, WATCH_SPAN).await;
    crashing.abort();
    let record = lock(&record);
    let third = *record.crashes.get(2).expect("three crashes");
    let known_at = third + KNOWN_WITHIN;
    let late = record.arrivals_after(known_at);
    let crashes = record.crashes.len();
    assert!(late <= SENDS_MAX, "{late} sends, {crashes} crashes");
    let lost = responses.iter().filter(|status| **status != Some(200));
    assert_eq!(lost.count(), 0, "of {} harmless ones", responses.len());
}

/// Guards against a request that goes on to crash backend servers behind an outage of the store, in which each
/// entry host learns by itself, and at an entry host that starts later.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_crashes_backend_servers_is_known_behind_an_outage() {
    let record = SharedRecord::default();
    let (store, addresses) = start_system(&record).await;
    store.set_down(true);
    let crashing = tokio::spawn(send_crashing(addresses));
    sleep(OUTAGE_SPAN).await;
    store.set_down(false);
    let known_at = clock_now() + KNOWN_WITHIN;
    sleep(KNOWN_WITHIN + WATCH_SPAN).await;
    crashing.abort();
    let crashes = lock(&record).crashes.len();
    assert!(crashes >= 3, "{crashes} crashes");
    let late = lock(&record).arrivals_after(known_at);
    assert!(late <= SENDS_MAX, "{late} sends");

    let address = start_late_entry(&store).await;
    let started_at = clock_now();
    for number in 0..5 {
        let request = request_of(&format!("l{number}"), CRASHING_BODY);
        assert_eq!(status_of(address, &request).await, Some(503));
    }
    assert_eq!(lock(&record).arrivals_after(started_at), 0);
}
