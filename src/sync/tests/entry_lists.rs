//! How entry hosts learn of each other, and when they count each other.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{START, at_once, new_state, store_time};
use crate::sync::peer_messages::EntryRecord;
use crate::sync::{DeploymentState, EntrySharing, SharedDeploymentState};
use crate::time::ClockTime;

fn record(host: &str) -> EntryRecord {
    let address = SocketAddr::from(([10, 0, 0, 1], 1000));
    EntryRecord {
        host: host.into(),
        data_centre: "z".into(),
        control: address,
        reports: address,
    }
}

fn state_that_knows(hosts: &[&str]) -> SharedDeploymentState {
    let state = new_state();
    let records = hosts.iter().map(|host| record(host)).collect();
    state.change(|state| state.add_entries(records));
    state
}

fn query(from: &SharedDeploymentState, to: &SharedDeploymentState) {
    query_at(from, to, START);
}

/// Lets `from` query `to` at `now`.
fn query_at(from: &SharedDeploymentState, to: &SharedDeploymentState, now: ClockTime) {
    let query = from.read(DeploymentState::entry_query);
    if let Some(agreement) = &query.agreement {
        to.change(|state| state.merge_agreement(agreement, false, now));
    }
    let view = to.read(|state| state.answer(&query, Duration::ZERO, now));
    from.change(|state| state.merge(view, at_once(now)));
}

/// Guards against entry hosts that know equally many but different others and do not tell each
/// other. Limits that all share are then divided by too small a number.
#[test]
fn equally_many_but_different_entry_hosts_are_reported() {
    let first = state_that_knows(&["e1", "e2", "e3"]);
    let second = state_that_knows(&["e1", "e2", "e4"]);
    query(&first, &second);
    let known = first.snapshot().load().entries.clone();
    let names: Vec<&str> = known.iter().map(|entry| &*entry.host).collect();
    assert_eq!(names, ["e1", "e2", "e3", "e4"]);
}

/// An entry host whose clock equals the store's.
fn started_state(host: &str) -> SharedDeploymentState {
    let state = new_state();
    state.change(|state| state.set_own_host(host.into()));
    state
}

/// Lets `state` read from the store that `hosts` are registered.
fn read_table(state: &SharedDeploymentState, own_host: &str, hosts: &[&str], now: ClockTime) {
    let records = hosts.iter().map(|host| record(host)).collect();
    state.change(|state| {
        state.add_entries(records);
        state.note_entry_table(hosts.contains(&own_host), store_time(now), now);
    });
}

/// Three entry hosts that have started for the first time and know each other.
fn founders() -> [SharedDeploymentState; 3] {
    let hosts = ["e1", "e2", "e3"];
    let states = hosts.map(started_state);
    for (state, host) in states.iter().zip(hosts) {
        read_table(state, host, &[], START);
        read_table(state, host, &hosts, START);
    }
    for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 1)] {
        query(&states[from], &states[to]);
    }
    states
}

fn sharing(state: &SharedDeploymentState) -> EntrySharing {
    state.snapshot().load().entry_sharing
}

/// Records that request handling has spent something of its parts.
fn note_spent(state: &SharedDeploymentState) {
    let snapshot = state.snapshot().load();
    snapshot.has_spent.store(true, Ordering::Relaxed);
}

/// Guards against entry hosts of a new deployment that wait for their parts of shared limits, although
/// none of them has used any.
#[test]
fn entry_hosts_that_all_start_for_the_first_time_have_their_parts_at_once() {
    for state in founders() {
        assert_eq!(sharing(&state).divisor(START), 3);
        assert_eq!(sharing(&state).counted_since, Some(ClockTime(0)));
    }
}

/// Guards against an added entry host that never gets a part of shared limits, and against one that
/// gets it before the others count it.
#[test]
fn an_added_entry_host_has_its_part_when_the_others_have_its_list() {
    let states = founders();
    note_spent(&states[0]);
    let added = started_state("e4");
    read_table(&added, "e4", &["e1", "e2", "e3"], START);
    read_table(&added, "e4", &["e1", "e2", "e3", "e4"], START);
    for state in &states {
        let before = sharing(&added).counted_since;
        assert!(before > Some(START), "{before:?}");
        query(state, &added);
        query(&added, state);
    }
    assert_eq!(sharing(&added).divisor(START), 4);
    assert_eq!(sharing(&added).counted_since, Some(START));
    assert_eq!(sharing(&states[0]).counted_since, Some(ClockTime(0)));
}

/// Guards against an entry host that gets no part of shared limits for good, because one of the others
/// never answers.
#[test]
fn a_registered_entry_host_is_counted_although_others_are_silent() {
    let state = started_state("e2");
    read_table(&state, "e2", &["e1", "e2"], START);
    let counted_since = sharing(&state).counted_since;
    assert_eq!(counted_since, Some(START + Duration::from_secs(22)));
}

/// Guards against parts that are too large because a list has been outdated for a while, and against
/// any part for an entry host whose list may lack some of the others.
#[test]
fn an_outdated_list_counts_half_and_an_incomplete_one_nothing() {
    let [state, ..] = founders();
    let later = START + Duration::from_secs(21);
    assert_eq!(sharing(&state).divisor(later), 6);
    read_table(&state, "e1", &["e1", "e2", "e3"], later);
    assert_eq!(sharing(&state).divisor(later), 3);
    let incomplete = started_state("e1");
    incomplete.change(|state| state.add_entries(vec![record("e1"), record("e2")]));
    assert_eq!(sharing(&incomplete).divisor(START), 0);
}

/// Guards against an entry host that has its part at once because all others seem to be new, although
/// one of them has spent its part.
#[test]
fn an_entry_host_that_has_spent_its_part_is_no_founder() {
    let hosts = ["e1", "e2", "e3"];
    for has_spent in [false, true] {
        let states = hosts.map(started_state);
        read_table(&states[0], "e1", &[], START);
        read_table(&states[0], "e1", &["e1"], START);
        assert_eq!(sharing(&states[0]).counted_since, Some(ClockTime(0)));
        if has_spent {
            note_spent(&states[0]);
        }
        let later = START + Duration::from_secs(40);
        for at in [1, 2] {
            read_table(&states[at], hosts[at], &[], later);
            read_table(&states[at], hosts[at], &hosts, later);
        }
        for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 1), (1, 2)] {
            query_at(&states[from], &states[to], later);
        }
        let expected = if has_spent { later } else { ClockTime(0) };
        assert_eq!(sharing(&states[2]).divisor(later), 3);
        assert_eq!(sharing(&states[2]).counted_since, Some(expected));
    }
}
