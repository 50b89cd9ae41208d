//! Measures the processor time of the control thread's decisions against the number of hosts,
//! without any I/O.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::measurement::as_float;
use crate::control::ControlMachine;
use crate::derives::message;
use crate::membership::{HostIdentity, HostStatus, LoadReport};
use crate::stores::{HostEntry, HostRole, ListedState};
use crate::time::{ClockTime, clock_now};

/// Sizes of the system that are measured.
const HOST_COUNTS: [usize; 4] = [26, 120, 480, 960];
const ROUNDS: u64 = 300;
const DATA_CENTRES: usize = 7;
/// One in this many hosts is an entry host.
const HOSTS_PER_ENTRY_HOST: usize = 3;
/// Hosts that send frames: as many as an entry host watches.
const WATCHED_HOSTS: usize = 24;

/// The cost of the decisions at one size of the system.
#[apply(message!)]
pub(super) struct DecisionCost {
    /// Known hosts.
    pub(super) hosts: usize,
    /// Microseconds of one tick: the state of every host, the hosts to watch, and whether this
    /// process reads the table.
    pub(super) tick_us: f64,
    /// Microseconds of one frame with a changed load, including a new snapshot.
    pub(super) frame_us: f64,
}

/// Measures the cost at each of `HOST_COUNTS`.
pub(super) fn measure_decisions() -> Vec<DecisionCost> {
    HOST_COUNTS
        .iter()
        .map(|hosts| measure_host_count(*hosts))
        .collect()
}

fn measure_host_count(hosts: usize) -> DecisionCost {
    let mut machine = ControlMachine::new(own_identity());
    let mut now = ClockTime::from_millis(1000);
    let entries: Vec<HostEntry> = (0..hosts).map(host_entry).collect();
    machine.on_list(&entries, now);
    for entry in &entries {
        machine.on_status(host_status(entry), now);
    }
    let start = clock_now();
    for _ in 0..ROUNDS {
        now = now + Duration::from_millis(200);
        machine.on_tick(true, now);
        let _ = std::hint::black_box((machine.neighbours(), machine.reads_table()));
    }
    let tick_us = micros_per_round(start);
    let start = clock_now();
    for round in 1..=ROUNDS {
        let index = usize::try_from(round).unwrap_or(0) % WATCHED_HOSTS;
        let running = u32::try_from(round).unwrap_or(0);
        machine.on_load(&entries[index].host, (round, [running, 0, 8, 8]), now);
        let _ = std::hint::black_box(machine.take_snapshot());
    }
    DecisionCost {
        hosts,
        tick_us,
        frame_us: micros_per_round(start),
    }
}

/// Mean microseconds of one of `ROUNDS` rounds that began at `start`.
fn micros_per_round(start: ClockTime) -> f64 {
    let micros = u64::try_from(clock_now().since(start).as_micros()).unwrap_or(u64::MAX);
    as_float(micros) / as_float(ROUNDS)
}

fn own_identity() -> HostIdentity {
    HostIdentity {
        host: "own".into(),
        data_centre: "centre-0".into(),
        region: "region-0".into(),
        role: HostRole::Entry,
        service: None,
        peer_address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
    }
}

fn host_entry(index: usize) -> HostEntry {
    let is_entry = index.is_multiple_of(HOSTS_PER_ENTRY_HOST);
    let data_centre = index % DATA_CENTRES;
    HostEntry {
        host: format!("host-{index:04}").into(),
        data_centre: format!("centre-{data_centre}").into(),
        region: format!("region-{}", data_centre % 2).into(),
        role: if is_entry {
            HostRole::Entry
        } else {
            HostRole::Backend
        },
        service: (!is_entry).then(|| format!("service-{}", index % 3).into()),
        peer_address: ([127, 0, 0, 1], 1).into(),
        state: ListedState::Live,
    }
}

fn host_status(entry: &HostEntry) -> HostStatus {
    HostStatus {
        host: entry.host.clone(),
        incarnation: 1,
        sequence: 0,
        leaving: false,
        load: LoadReport::default(),
        serving: None,
        staging: None,
    }
}
