//! A backend server that advertises in its responses how many requests per second it accepts from
//! all entry hosts together.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::entry_hosts::{request_of, start_entries, start_entries_with, start_store, status_of};
use super::fake_backend::{field, read_request};
use crate::platform::samples::{ATTEMPT, NOT_RUN, RATE_LIMIT, SEAL, plain_entry_sample};
use crate::platform::{FakeStore, TableName};
use crate::time::{ClockTime, clock_now};

const ENTRIES: usize = 4;
/// Advertised rate in requests per second.
const LIMIT: u32 = 2;
const WORK_SPAN: Duration = Duration::from_millis(20);
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// How long the limit is advertised.
const LIMITED_SPAN: Duration = Duration::from_secs(9);
/// Time after the first advertisement by which every entry host applies the limit.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// How long the test continues after the limit has ended, and after what part of that time the
/// backend server is fully used again.
const FREE_SPAN: Duration = Duration::from_secs(5);
const RECOVERY_LIMIT: Duration = Duration::from_secs(3);

/// A backend server that advertises a limit until a given time.
#[derive(Clone)]
struct LimitedBackend {
    limited_until: ClockTime,
    /// Whether it refuses every second request during that time without advertising the limit.
    rejects_half: bool,
    arrivals: Arc<Mutex<Vec<ClockTime>>>,
}

impl LimitedBackend {
    async fn start(
        id: &str,
        store: &FakeStore,
        limited_until: ClockTime,
        rejects_half: bool,
    ) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("a free port");
        let address: SocketAddr = listener.local_addr().expect("the socket is bound");
        store.put(TableName::Backends, id, &plain_entry_sample((address, 1)));
        let backend = Self {
            limited_until,
            rejects_half,
            arrivals: Arc::default(),
        };
        let serving = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        backend
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream).await {
            let number = {
                let mut arrivals = self.lock();
                arrivals.push(clock_now());
                arrivals.len()
            };
            let attempt = field(&request, ATTEMPT).unwrap_or_default();
            sleep(WORK_SPAN).await;
            let is_limited = clock_now() < self.limited_until;
            let (status, extra) = match (is_limited, number % 2) {
                (false, _) => ("200 OK", String::new()),
                (true, 0) if self.rejects_half => ("503 Busy", format!("{NOT_RUN}: 1\r\n")),
                (true, _) => ("200 OK", format!("{RATE_LIMIT}: {LIMIT}.0\r\n")),
            };
            let response = format!(
                "HTTP/1.1 {status}\r\n{ATTEMPT}: {attempt}\r\n{SEAL}: seal\r\n{extra}\
                 content-length: 2\r\n\r\nok"
            );
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<ClockTime>> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests that arrived from `from` to `to`.
    fn count(&self, from: ClockTime, to: ClockTime) -> usize {
        let arrivals = self.lock();
        arrivals.iter().filter(|at| (from..to).contains(at)).count()
    }

    /// Returns the largest number of requests in any window that begins at `from` or later and ends
    /// by `to`.
    fn most(&self, from: ClockTime, to: ClockTime) -> usize {
        let starts = self.lock().clone();
        let starts = starts.into_iter().filter(|at| *at >= from);
        let counts = starts.map(|at| self.count(at, (at + WINDOW).min(to)));
        counts.max().unwrap_or(0)
    }
}

/// Sends requests to all entry hosts in turn for `span`; returns how many were not answered.
async fn send_for(addresses: &[SocketAddr], span: Duration) -> usize {
    let until = clock_now() + span;
    let mut calls = Vec::new();
    for number in 0_usize.. {
        if clock_now() >= until {
            break;
        }
        let address = addresses[number % addresses.len()];
        let request = request_of(&format!("a{number}"), &format!("{number}"));
        calls.push(tokio::spawn(
            async move { status_of(address, &request).await },
        ));
        sleep(REQUEST_PAUSE).await;
    }
    let responses = futures::future::join_all(calls).await;
    let lost = responses
        .iter()
        .filter(|response| !matches!(response, Ok(Some(200))));
    lost.count()
}

/// Guards against entry hosts that each use the complete rate that is advertised for all of them,
/// and against applying a limit that is no longer advertised.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_backend_server_gets_its_advertised_rate() {
    run_scenario(false).await;
}

/// Guards against taking a refusal without an advertised limit for the end of the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_backend_server_that_refuses_requests_gets_its_advertised_rate() {
    run_scenario(true).await;
}

async fn run_scenario(rejects_half: bool) {
    let store = start_store().await;
    let addresses = start_entries(ENTRIES, &store).await;
    run_scenario_on(&store, &addresses, rejects_half).await;
}

/// Guards against entry hosts that use too large a part of a rate each, because they do not know
/// each other yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn entry_hosts_without_seeds_keep_to_a_named_rate() {
    let store = start_store().await;
    let addresses = start_entries_with(ENTRIES, 0, &store).await;
    run_scenario_on(&store, &addresses, false).await;
}

async fn run_scenario_on(store: &FakeStore, addresses: &[SocketAddr], rejects_half: bool) {
    let limited_until = clock_now() + LIMITED_SPAN;
    let limited = LimitedBackend::start("i-1", store, limited_until, rejects_half).await;
    let other = LimitedBackend::start("i-2", store, ClockTime(0), false).await;
    sleep(Duration::from_secs(1)).await;
    let lost = send_for(addresses, LIMITED_SPAN).await;
    send_for(addresses, FREE_SPAN).await;
    assert_eq!(
        lost, 0,
        "the other backend server has room for all requests"
    );
    let known_at = limited.lock()[0] + PROPAGATION_LIMIT;
    let most = limited.most(known_at, limited_until);
    let allowed = 4 * 3 * LIMIT as usize / 2 + 5;
    assert!(most <= allowed, "{most} in {WINDOW:?}, {allowed} allowed");
    assert!(most > LIMIT as usize, "{most}: the rate is not used");
    let free_at = limited_until + RECOVERY_LIMIT;
    let counts = [&limited, &other].map(|backend| backend.count(free_at, free_at + FREE_SPAN));
    assert!(
        counts[0] * 4 > counts[1],
        "the backend server stays unused: {counts:?}"
    );
}
