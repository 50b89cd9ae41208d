//! A request that crashes every backend server that starts it is sent repeatedly to several entry
//! hosts, together with harmless requests.

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
use crate::platform::samples::{ATTEMPT, SEAL, plain_entry_sample};
use crate::platform::{FakeStore, TableName};
use crate::time::{ClockTime, clock_now};

const ENTRIES: usize = 4;
const BACKENDS: usize = 10;
/// How long a harmless request takes, and how long the crashing one runs before the crash.
const WORK_SPAN: Duration = Duration::from_millis(150);
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// How long a backend server is down after a crash.
const DOWN_SPAN: Duration = Duration::from_millis(700);
const CRASHING_PAUSE: Duration = Duration::from_millis(60);
const HARMLESS_PAUSE: Duration = Duration::from_millis(25);
/// Time after the third crash by which every entry host knows the crashing request.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Sends of the crashing request that are allowed after that.
const SENDS_MAX: usize = 3;
/// How long the store is unavailable.
const OUTAGE_SPAN: Duration = Duration::from_millis(1500);
/// How long the test continues after that.
const WATCH_SPAN: Duration = Duration::from_secs(2);
const CRASHING_BODY: &str = "deadly";

/// What the backend servers observed.
#[derive(Default)]
struct CrashObservations {
    /// When the crashing request arrived at any backend server.
    arrivals: Vec<ClockTime>,
    /// When a backend server crashed.
    crashes: Vec<ClockTime>,
}

impl CrashObservations {
    /// Returns how often the crashing request arrived after `moment`.
    fn arrivals_after(&self, moment: ClockTime) -> usize {
        let late = self.arrivals.iter().filter(|at| **at > moment);
        late.count()
    }
}

type SharedObservations = Arc<Mutex<CrashObservations>>;

/// A backend server that crashes when it runs the crashing request.
struct CrashingBackend {
    number: usize,
    store: FakeStore,
    observations: SharedObservations,
}

impl CrashingBackend {
    /// Runs until the test ends, with a new incarnation after each crash.
    async fn run(self) {
        let mut address = SocketAddr::from(([127, 0, 0, 1], 0));
        for start_time in 1.. {
            let listener = TcpListener::bind(address)
                .await
                .expect("the address is free");
            address = listener.local_addr().expect("the socket is bound");
            let id = format!("i-{:02}", self.number);
            let text = plain_entry_sample((address, start_time));
            self.store.put(TableName::Backends, &id, &text);
            self.serve_until_crash(listener).await;
            sleep(DOWN_SPAN).await;
        }
    }

    /// Serves until the next crash, which closes the port and all connections at once.
    async fn serve_until_crash(&self, listener: TcpListener) {
        let crash = Arc::new(Notify::new());
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("the socket is listening");
                    connections.spawn(serve(stream, self.observations.clone(), crash.clone()));
                }
                () = crash.notified() => return,
            }
        }
    }
}

async fn serve(mut stream: TcpStream, observations: SharedObservations, crash: Arc<Notify>) {
    while let Some(request) = read_request(&mut stream).await {
        let attempt = field(&request, ATTEMPT).unwrap_or_default();
        if request.ends_with(CRASHING_BODY) {
            lock(&observations).arrivals.push(clock_now());
            sleep(CRASH_DELAY).await;
            lock(&observations).crashes.push(clock_now());
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

fn lock(observations: &SharedObservations) -> std::sync::MutexGuard<'_, CrashObservations> {
    observations.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends the crashing request to one entry host after another until the task is dropped.
async fn send_crashing(addresses: Vec<SocketAddr>) {
    for number in 0_usize.. {
        let address = addresses[number % addresses.len()];
        let request = request_of(&format!("d{number}"), CRASHING_BODY);
        tokio::spawn(async move { status_of(address, &request).await });
        sleep(CRASHING_PAUSE).await;
    }
}

/// Sends different harmless requests for `span` and returns their response statuses.
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

async fn start_system(observations: &SharedObservations) -> (FakeStore, Vec<SocketAddr>) {
    let store = start_store().await;
    for number in 0..BACKENDS {
        let backend = CrashingBackend {
            number,
            store: store.clone(),
            observations: observations.clone(),
        };
        tokio::spawn(backend.run());
    }
    let addresses = start_entries(ENTRIES, &store).await;
    (store, addresses)
}

/// Guards against a request that keeps crashing backend servers by way of other entry hosts, and
/// against refusing harmless requests that ran next to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crashing_request_is_soon_sent_to_no_backend_server() {
    let observations = SharedObservations::default();
    let (_, addresses) = start_system(&observations).await;
    let crashing = tokio::spawn(send_crashing(addresses.clone()));
    // During the crashes a harmless request may lose every backend server that it is sent to.
    send_harmless(&addresses, PROPAGATION_LIMIT + DOWN_SPAN).await;
    let responses = send_harmless(&addresses, WATCH_SPAN).await;
    crashing.abort();
    let observations = lock(&observations);
    let third = *observations.crashes.get(2).expect("three crashes");
    let known_at = third + PROPAGATION_LIMIT;
    let late = observations.arrivals_after(known_at);
    let crashes = observations.crashes.len();
    assert!(late <= SENDS_MAX, "{late} sends, {crashes} crashes");
    let lost = responses.iter().filter(|status| **status != Some(200));
    assert_eq!(lost.count(), 0, "of {} harmless requests", responses.len());
}

/// Guards against a request that keeps crashing backend servers after a store outage, during which
/// each entry host only has its own observations, and at an entry host that starts later.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crashing_request_is_known_after_a_store_outage() {
    let observations = SharedObservations::default();
    let (store, addresses) = start_system(&observations).await;
    store.set_down(true);
    let crashing = tokio::spawn(send_crashing(addresses));
    sleep(OUTAGE_SPAN).await;
    store.set_down(false);
    let known_at = clock_now() + PROPAGATION_LIMIT;
    sleep(PROPAGATION_LIMIT + WATCH_SPAN).await;
    crashing.abort();
    let crashes = lock(&observations).crashes.len();
    assert!(crashes >= 3, "{crashes} crashes");
    let late = lock(&observations).arrivals_after(known_at);
    assert!(late <= SENDS_MAX, "{late} sends");

    let address = start_late_entry(&store).await;
    let started_at = clock_now();
    for number in 0..5 {
        let request = request_of(&format!("l{number}"), CRASHING_BODY);
        assert_eq!(status_of(address, &request).await, Some(503));
    }
    assert_eq!(lock(&observations).arrivals_after(started_at), 0);
}
