//! Requests that are unlike but for one part of their prompts crash every backend server that starts
//! one. They are sent to several entry hosts, together with harmless requests that share their
//! client account and their other parts.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::crashing_backends::{CRASHING_PART, DOWN_SPAN, SharedObservations, lock, start_system};
use super::entry_hosts::{request_of, status_of};
use crate::platform::samples::{ATTEMPT, PROMPT_PARTS};
use crate::time::clock_now;

/// Part that all requests of the route have in common.
const COMMON_PART: &str = "5c1e07a2:40";
/// Part that some harmless requests have in addition.
const HARMLESS_PART: &str = "91bd3f06:9";
const CRASHING_PAUSE: Duration = Duration::from_millis(60);
const HARMLESS_PAUSE: Duration = Duration::from_millis(25);
/// Time after the fifth crash by which every entry host knows the crashing part.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Sends with the crashing part that are allowed after that.
const SENDS_MAX: usize = 3;
/// How long the test continues after that.
const WATCH_SPAN: Duration = Duration::from_secs(2);

/// Time for the entry hosts to hear of each other.
const SETTLE_SPAN: Duration = Duration::from_secs(2);
/// Time after the third crash by which entry hosts that hear each other know the crashing part.
const NOTICE_LIMIT: Duration = Duration::from_secs(1);

/// A request with its own body, and with `parts` and a part of its own in its prompt.
fn request_with(parts: &str, name: &str) -> String {
    let request = request_of(name, &format!("body of {name}"));
    let own_part = blake3::hash(name.as_bytes()).to_hex();
    let fields = format!(
        "{PROMPT_PARTS}: {parts},{}:250\r\n{ATTEMPT}:",
        &own_part[..8]
    );
    request.replacen(&format!("{ATTEMPT}:"), &fields, 1)
}

/// Sends one crashing request after the other until the task is dropped, each to another entry
/// host.
async fn send_crashing(addresses: Vec<SocketAddr>) {
    for number in 0_usize.. {
        let address = addresses[number % addresses.len()];
        let parts = format!("{COMMON_PART},{CRASHING_PART}");
        let request = request_with(&parts, &format!("d{number}"));
        tokio::spawn(async move { status_of(address, &request).await });
        sleep(CRASHING_PAUSE).await;
    }
}

/// Sends harmless requests for `span`. Returns how many there were and how many were answered.
async fn send_harmless(addresses: &[SocketAddr], span: Duration) -> (usize, usize) {
    let until = clock_now() + span;
    let mut calls = JoinSet::new();
    for number in 0_usize.. {
        if clock_now() >= until {
            break;
        }
        let address = addresses[number % addresses.len()];
        let parts = match number % 3 {
            0 => format!("{COMMON_PART},{HARMLESS_PART}"),
            _ => COMMON_PART.to_owned(),
        };
        let request = request_with(&parts, &format!("h{number}-{}", until.0));
        calls.spawn(async move { status_of(address, &request).await });
        sleep(HARMLESS_PAUSE).await;
    }
    let statuses = calls.join_all().await;
    let answered = statuses.iter().filter(|status| **status == Some(200));
    (statuses.len(), answered.count())
}

/// Guards against unlike requests that crash one backend server after the other because they share
/// a part of their prompts, and against refusing harmless requests that share their other parts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crashing_part_is_soon_sent_to_no_backend_server() {
    let observations = SharedObservations::default();
    let (_store, addresses) = start_system(&observations).await;
    send_harmless(&addresses, WATCH_SPAN).await;
    let crashing = tokio::spawn(send_crashing(addresses.clone()));
    send_harmless(&addresses, PROPAGATION_LIMIT + DOWN_SPAN).await;
    let (sent, answered) = send_harmless(&addresses, WATCH_SPAN).await;
    crashing.abort();
    let observations = lock(&observations);
    let fifth = *observations.crashes.get(4).expect("five crashes");
    let late = observations.arrivals_after(fifth + PROPAGATION_LIMIT);
    let crashes = observations.crashes.len();
    assert!(late <= SENDS_MAX, "{late} sends, {crashes} crashes");
    assert_eq!(answered, sent, "harmless requests");
}

/// Guards against requests that keep crashing backend servers by way of other entry hosts while the
/// store does not answer, so that each entry host sees only its own part of the crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crashing_part_is_known_while_the_store_is_down() {
    let observations = SharedObservations::default();
    let (store, addresses) = start_system(&observations).await;
    send_harmless(&addresses, SETTLE_SPAN).await;
    store.set_down(true);
    let crashing = tokio::spawn(send_crashing(addresses.clone()));
    send_harmless(&addresses, WATCH_SPAN).await;
    crashing.abort();
    let observations = lock(&observations);
    let third = *observations.crashes.get(2).expect("three crashes");
    let late = observations.arrivals_after(third + NOTICE_LIMIT);
    let crashes = observations.crashes.len();
    assert_eq!(late, 0, "of {crashes} crashes");
}
