//! Backend servers that crash when they run certain requests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::entry_hosts::{start_entries, start_store};
use super::fake_backend::{field, read_request};
use crate::platform::samples::{ATTEMPT, PROMPT_PARTS, SEAL, plain_entry_sample};
use crate::platform::{FakeStore, TableName};
use crate::time::{ClockTime, clock_now};

const ENTRIES: usize = 4;
const BACKENDS: usize = 10;
/// How long a harmless request takes, and how long the crashing one runs before the crash.
const WORK_SPAN: Duration = Duration::from_millis(150);
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// How long a backend server is down after a crash.
pub(super) const DOWN_SPAN: Duration = Duration::from_millis(700);
/// Body of the requests that crash their backend server.
pub(super) const CRASHING_BODY: &str = "deadly";
/// Part of a prompt that crashes the backend server of any request with it.
pub(super) const CRASHING_PART: &str = "bad0bad0:7";

/// What the backend servers observed.
#[derive(Default)]
pub(super) struct CrashObservations {
    /// When a crashing request arrived at any backend server.
    arrivals: Vec<ClockTime>,
    /// When a backend server crashed.
    pub(super) crashes: Vec<ClockTime>,
}

impl CrashObservations {
    /// Returns how often a crashing request arrived after `moment`.
    pub(super) fn arrivals_after(&self, moment: ClockTime) -> usize {
        let late = self.arrivals.iter().filter(|at| **at > moment);
        late.count()
    }
}

pub(super) type SharedObservations = Arc<Mutex<CrashObservations>>;

/// A backend server that crashes when it runs a crashing request.
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
        if is_crashing(&request) {
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

fn is_crashing(request: &str) -> bool {
    let parts = field(request, PROMPT_PARTS).unwrap_or_default();
    request.ends_with(CRASHING_BODY) || parts.split(',').any(|part| part == CRASHING_PART)
}

pub(super) fn lock(observations: &SharedObservations) -> MutexGuard<'_, CrashObservations> {
    observations.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a store, backend servers and entry hosts; returns the addresses of the latter for
/// requests.
pub(super) async fn start_system(
    observations: &SharedObservations,
) -> (FakeStore, Vec<SocketAddr>) {
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
