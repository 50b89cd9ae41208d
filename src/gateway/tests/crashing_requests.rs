//! A request that crashes every backend server that starts it is sent repeatedly to several entry
//! hosts, together with harmless requests.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use super::crashing_backends::{CRASHING_BODY, DOWN_SPAN, SharedObservations, lock, start_system};
use super::entry_hosts::{request_of, start_late_entry, status_of};
use crate::time::clock_now;

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
