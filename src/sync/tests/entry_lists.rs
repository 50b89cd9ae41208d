//! How entry hosts learn of each other from their neighbours.

use std::net::SocketAddr;
use std::time::Duration;

use super::{START, at_once, new_state};
use crate::sync::peer_messages::EntryRecord;
use crate::sync::{DeploymentState, SharedDeploymentState};

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
    let query = from.read(DeploymentState::entry_query);
    let view = to.read(|state| state.answer(&query, Duration::ZERO, START));
    from.change(|state| state.merge(view, at_once(START)));
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
