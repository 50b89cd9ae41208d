//! Decisions on what a process takes in.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use arbtest::arbtest;

use super::connection_lease::ConnectionSignals;
use super::connection_record::{ConnectionKey, ListenerRole};
use super::process_limits::{ConnectionTimeouts, ProcessLimits, SHORT_BODY_BYTES};
use super::resource_account::{BodyOwner, HeldBytes, ResourceAccount};
use super::{BodyBuffer, ConnectionLease, SharedAccount};
use crate::errors::ErrorKind;
use crate::time::ClockTime;

const LIMITS: ProcessLimits = ProcessLimits {
    memory: 64_000_000,
    descriptors: 300,
};
/// Accepted connections that fit, with those that are kept free for the other listeners.
const CONNECTIONS: usize = 75;
const KEPT_FREE: usize = 3 * 16;
const START: ClockTime = ClockTime::from_millis(10_000);
const LATER: ClockTime = ClockTime::from_millis(12_000);
const LARGE_BYTES: usize = 4 * 1024 * 1024;

fn peer() -> IpAddr {
    Ipv4Addr::LOCALHOST.into()
}

fn open(account: &mut ResourceAccount, now: ClockTime) -> Option<ConnectionKey> {
    let signals = Arc::new(ConnectionSignals::default());
    account.open_connection(ListenerRole::Clients, peer(), signals, now)
}

fn lease(account: &SharedAccount, now: ClockTime) -> ConnectionLease {
    let opened = account.open_connection(ListenerRole::Clients, peer(), now);
    opened.expect("there is room")
}

/// Guards against connections that are refused while others are idle.
#[test]
fn the_connection_that_was_idle_longest_gives_way() {
    let mut account = ResourceAccount::new(LIMITS);
    let keys: Vec<_> = (0..CONNECTIONS - KEPT_FREE)
        .map(|_| open(&mut account, START).expect("there is room"))
        .collect();
    for key in &keys {
        assert!(account.begin_head(*key, START));
        assert!(account.begin_request(*key, 8, START));
    }
    assert!(open(&mut account, LATER).is_none(), "all are in use");
    account.end_request(keys[3], START);
    account.end_request(keys[1], LATER);
    assert!(open(&mut account, LATER).is_some(), "one is idle");
    assert!(account.is_closing(keys[3]));
    assert!(!account.is_closing(keys[1]));
}

/// Guards against a crowd at one listener that takes all connections of the process.
#[test]
fn each_listener_keeps_connections_of_its_own() {
    let mut account = ResourceAccount::new(LIMITS);
    while let Some(key) = open(&mut account, START) {
        assert!(account.begin_request(key, 8, START));
        if account.connection_count(ListenerRole::Clients) > CONNECTIONS {
            break;
        }
    }
    let signals = Arc::new(ConnectionSignals::default());
    let probe = account.open_connection(ListenerRole::Readiness, peer(), signals, START);
    assert!(probe.is_some_and(|key| account.begin_request(key, 8, START)));
}

/// Guards against heads and idle connections without a time limit.
#[test]
fn overdue_connections_are_closed() {
    let mut account = ResourceAccount::new(LIMITS);
    let timeouts = ConnectionTimeouts {
        head: Duration::from_secs(3),
        idle: Some(Duration::from_secs(15)),
        body: None,
    };
    account.set_client_limits(ListenerRole::Clients, 16 * 1024, timeouts);
    let [slow_head, idle, busy] = [(); 3].map(|()| open(&mut account, START).expect("room"));
    assert!(account.begin_head(slow_head, START));
    assert!(account.begin_request(idle, 8, START));
    account.end_request(idle, START);
    assert!(account.begin_request(busy, 8, START));
    let mut closed_at = |span: u64| {
        let now = START + Duration::from_millis(span);
        let reasons = account.close_overdue(ListenerRole::Clients, now);
        reasons.len()
    };
    assert_eq!(closed_at(3_000), 0);
    assert_eq!(closed_at(3_001), 1, "the head");
    assert_eq!(closed_at(15_000), 0);
    assert_eq!(closed_at(15_001), 1, "the idle one");
    assert_eq!(closed_at(600_000), 0, "a request is in progress");
}

/// Guards against one client account that takes the memory for bodies from the others.
#[test]
fn one_client_account_takes_a_part_of_the_memory_for_bodies() {
    let account = SharedAccount::new(LIMITS);
    let body_of = |name: &'static str| {
        let owner = bytestring::ByteString::from_static(name);
        let mut body =
            BodyBuffer::charged(lease(&account, START), Some(&owner), LARGE_BYTES, START);
        body.expect_length(LARGE_BYTES as u64, START).map(|()| body)
    };
    let first = body_of("first").expect("there is room");
    let refused = body_of("first").expect_err("it has its part");
    assert_eq!(refused.kind, ErrorKind::MemoryShort);
    let second = body_of("second").expect("there is room for another account");
    drop((first, second));
    assert!(body_of("first").is_ok(), "the bytes are returned");
    let _stalled = body_of("first").expect("there is room");
    let owner = bytestring::ByteString::from_static("first");
    let mut body = BodyBuffer::charged(lease(&account, LATER), Some(&owner), LARGE_BYTES, LATER);
    let reserved = body.expect_length(LARGE_BYTES as u64, LATER);
    assert!(reserved.is_ok(), "its own slow body gives way");
}

/// Guards against bodies that stop short of their end and keep their memory.
#[test]
fn a_body_that_arrives_slowly_gives_way() {
    let account = SharedAccount::new(LIMITS);
    let names = ["a", "b", "c", "d"].map(bytestring::ByteString::from_static);
    let mut bodies = Vec::new();
    let mut reserve = |name, now| {
        let mut body = BodyBuffer::charged(lease(&account, now), Some(name), LARGE_BYTES, now);
        let reserved = body.expect_length(LARGE_BYTES as u64, now);
        bodies.push(body);
        reserved.is_ok()
    };
    assert!(reserve(&names[0], START));
    assert!(reserve(&names[1], START));
    assert!(reserve(&names[2], START));
    assert!(!reserve(&names[3], START), "all have just begun");
    assert!(reserve(&names[3], LATER), "one has received nothing");
    let results = bodies.into_iter().map(|body| body.finish(LATER).is_err());
    assert_eq!(results.filter(|is_revoked| *is_revoked).count(), 1);
    assert_eq!(account.change(|it| it.held()), HeldBytes::default());
}

/// Guards against bytes that are charged to a body which has been told to give its bytes back, and
/// are then counted as given back for ever.
#[test]
fn a_body_that_gives_way_takes_no_more() {
    let account = SharedAccount::new(LIMITS);
    let names = ["a", "b", "c", "d"].map(bytestring::ByteString::from_static);
    let body_of =
        |name, now| BodyBuffer::charged(lease(&account, now), Some(name), LARGE_BYTES, now);
    let part = vec![0; 2 * SHORT_BODY_BYTES];
    let mut first = body_of(&names[0], START);
    first.push(&part, START).expect("there is room");
    let mut others = [&names[1], &names[2]].map(|name| body_of(name, START));
    let mut last = body_of(&names[3], LATER);
    for body in &mut others {
        body.expect_length(LARGE_BYTES as u64, START)
            .expect("there is room");
    }
    last.expect_length(LARGE_BYTES as u64, LATER)
        .expect("there is room");
    let mut more = body_of(&names[0], LATER);
    more.expect_length(LARGE_BYTES as u64, LATER)
        .expect("the first gives way");
    assert!(first.push(&part, LATER).is_err(), "it takes no more");
    drop((first, others, last, more));
    assert_eq!(account.change(|it| it.held()), HeldBytes::default());
}

/// Guards against short bodies that stop short of their end and keep the room of their requests.
#[test]
fn a_request_whose_body_arrives_slowly_gives_way() {
    let account = SharedAccount::new(ProcessLimits {
        descriptors: 4_096,
        ..LIMITS
    });
    let mut requests = Vec::new();
    let mut bodies = Vec::new();
    loop {
        let connection = lease(&account, START);
        let Some(request) = connection.begin_request(8, true, START) else {
            break;
        };
        requests.push(request);
        bodies.push(BodyBuffer::charged(connection, None, LARGE_BYTES, START));
    }
    let request = lease(&account, LATER).begin_request(8, false, LATER);
    assert!(request.is_some(), "a slow one gives way");
    let revoked = bodies.into_iter().map(|body| body.finish(LATER).is_err());
    assert_eq!(revoked.filter(|is_revoked| *is_revoked).count(), 1);
    drop((request, requests));
    assert_eq!(account.change(|it| it.held()), HeldBytes::default());
}

/// Guards against a short body that is refused because others hold large ones.
#[test]
fn a_short_body_is_part_of_its_request() {
    let account = SharedAccount::new(LIMITS);
    let mut body = BodyBuffer::charged(lease(&account, START), None, LARGE_BYTES, START);
    for part in [0; SHORT_BODY_BYTES].chunks(1000) {
        body.push(part, START).expect("it fits");
    }
    assert_eq!(account.change(|it| it.held()).bodies, 0);
    body.push(&[0], START).expect("there is room");
    assert_eq!(account.change(|it| it.held()).bodies, 2 * SHORT_BODY_BYTES);
}

/// Guards against bytes, requests or connections that are charged twice or never returned.
#[test]
fn an_account_is_empty_once_all_is_dropped() {
    arbtest(|source| {
        let account = SharedAccount::new(LIMITS);
        let mut now = START;
        let (mut leases, mut requests) = (Vec::new(), Vec::new());
        let (mut bodies, mut held): (Vec<BodyBuffer>, Vec<bytes::Bytes>) = (Vec::new(), Vec::new());
        for _ in 0..source.int_in_range(0..=200)? {
            now = now + Duration::from_millis(source.int_in_range(0..=2_000)?);
            let index = source.int_in_range(0..=300_usize)?;
            match source.int_in_range(0..=9)? {
                0 | 1 => leases.extend(account.open_connection(ListenerRole::Clients, peer(), now)),
                2 => {
                    let opened = account.open_connection(ListenerRole::Clients, peer(), now);
                    let arrived = opened.filter(|lease| lease.begin_head(now));
                    requests.extend(arrived.and_then(|it| it.begin_request(index, true, now)));
                }
                3 => {
                    let opened = account.open_connection(ListenerRole::Clients, peer(), now);
                    let body = opened.map(|it| BodyBuffer::charged(it, None, LARGE_BYTES, now));
                    let mut body = body.into_iter().collect::<Vec<_>>();
                    for body in &mut body {
                        // A body that was refused holds what it had.
                        let _ = body.expect_length(index as u64 * 20_000, now);
                    }
                    bodies.append(&mut body);
                }
                4 if !bodies.is_empty() => {
                    let body = bodies.swap_remove(index % bodies.len());
                    held.extend(body.finish(now));
                }
                5 if !held.is_empty() => drop(held.swap_remove(index % held.len())),
                6 if !requests.is_empty() => drop(requests.swap_remove(index % requests.len())),
                8 if !bodies.is_empty() => {
                    // A body that has to give its bytes back may go on until it learns of that.
                    let at = index % bodies.len();
                    let _ = bodies[at].push(&vec![0; 3 * SHORT_BODY_BYTES], now);
                }
                7 if !leases.is_empty() => drop(leases.swap_remove(index % leases.len())),
                _ => account.sweep(ListenerRole::Clients, now),
            }
        }
        drop((leases, requests, bodies, held));
        assert_eq!(account.change(|it| it.held()), HeldBytes::default());
        let count = account.change(|it| it.connection_count(ListenerRole::Clients));
        assert_eq!(count, 0);
        Ok(())
    });
}

/// The properties of an owner of bytes that the sorted list of owners rests on.
#[test]
fn accounts_come_before_addresses() {
    let account = BodyOwner::Account(bytestring::ByteString::from_static("z"));
    assert!(account < BodyOwner::Address(peer()));
}
