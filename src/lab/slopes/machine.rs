//! What the control thread's decisions cost against the number of hosts, without any I/O.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::run::as_float;
use crate::control::ControlMachine;
use crate::derives::message;
use crate::membership::{HostIdentity, HostStatus, LoadReport};
use crate::stores::{HostEntry, HostRole, ListedState};
use crate::time::{ClockTime, clock_now};

const SIZES: [usize; 4] = [26, 120, 480, 960];
const ROUNDS: u64 = 300;
const CENTRES: usize = 7;
/// Of so many hosts one is an entry host.
const ENTRY_EVERY: usize = 3;
/// Hosts whose frames come, as many as an entry host watches.
const WATCHED: usize = 24;

/// What the decisions cost at one size.
#[apply(message!)]
pub(super) struct MachineCost {
    /// Hosts that are known.
    pub(super) hosts: usize,
    /// Microseconds of one tick: every host's state, whom to watch, who reads the table.
    pub(super) tick_us: f64,
    /// Microseconds of one frame with a changed load, a new snapshot included.
    pub(super) frame_us: f64,
}

/// Measures every size.
pub(super) fn measure_machine() -> Vec<MachineCost> {
    SIZES.iter().map(|hosts| measure_size(*hosts)).collect()
}

fn measure_size(hosts: usize) -> MachineCost {
    let mut machine = ControlMachine::new(identity());
    let mut now = ClockTime::from_millis(1000);
    let entries: Vec<HostEntry> = (0..hosts).map(entry).collect();
    machine.on_list(&entries, now);
    for entry in &entries {
        machine.on_status(status(entry), now);
    }
    let begun = clock_now();
    for _ in 0..ROUNDS {
        now = now + Duration::from_millis(200);
        machine.on_tick(true, now);
        let _ = std::hint::black_box((machine.neighbours(), machine.reads_table()));
    }
    let tick_us = micros_each(begun);
    let begun = clock_now();
    for round in 1..=ROUNDS {
        let at = usize::try_from(round).unwrap_or(0) % WATCHED;
        let running = u32::try_from(round).unwrap_or(0);
        machine.on_load(&entries[at].host, (round, [running, 0, 8, 8]), now);
        let _ = std::hint::black_box(machine.take_snapshot());
    }
    MachineCost {
        hosts,
        tick_us,
        frame_us: micros_each(begun),
    }
}

fn micros_each(begun: ClockTime) -> f64 {
    let micros = u64::try_from(clock_now().since(begun).as_micros()).unwrap_or(u64::MAX);
    as_float(micros) / as_float(ROUNDS)
}

fn identity() -> HostIdentity {
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

fn entry(index: usize) -> HostEntry {
    let is_entry = index.is_multiple_of(ENTRY_EVERY);
    let centre = index % CENTRES;
    HostEntry {
        host: format!("host-{index:04}").into(),
        data_centre: format!("centre-{centre}").into(),
        region: format!("region-{}", centre % 2).into(),
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

fn status(entry: &HostEntry) -> HostStatus {
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
