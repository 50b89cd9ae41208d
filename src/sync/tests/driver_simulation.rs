//! The simulation that the driver runs: backend servers in their real state, the store with writes
//! that it executes late, and reports in transit.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::{
    BackendPhase, EngineHoldings, HeldLayers, LoadReport, ModelVersion, WeightsVersion,
};
use crate::platform::samples::{document_sample, loaded_entry_sample, target_sample};
use crate::platform::{StoreRow, TableView, era_of, number_in, revision_in};
use crate::sync::own_rows::VersionRecord;
use crate::time::{ClockTime, StoreTime, WallTime};

use super::row;

pub(super) const SERVERS: usize = 3;
pub(super) const LAYERS: u32 = 16;
/// When the store at the latest executes a write that got no answer, after the call.
const LATE_MAX: Duration = Duration::from_secs(8);
/// The greatest age of a copy from which the store returns.
const COPY_AGE_MAX: Duration = Duration::from_secs(6);

/// A backend server in its real state.
pub(super) struct SimulatedServer {
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) start_time: u64,
    entry_number: u64,
    pub(super) is_alive: bool,
    pub(super) is_leaving: bool,
    /// The version that it holds; 0 for none.
    pub(super) version: u64,
    /// All versions that its incarnations have held, as (start, version).
    pub(super) held: Vec<(u64, u64)>,
}

impl SimulatedServer {
    fn new(number: u8) -> Self {
        Self {
            id: format!("i-{number}"),
            address: SocketAddr::from(([10, 0, 0, number], 80)),
            start_time: 1,
            entry_number: 0,
            is_alive: true,
            is_leaving: false,
            version: 1,
            held: vec![(1, 1)],
        }
    }

    /// Restarts under the same id, with no weights.
    pub(super) fn restart(&mut self, now: ClockTime) {
        self.start_time = (now.0 / 1000).max(self.start_time + 1);
        self.entry_number = 0;
        self.is_alive = true;
        self.is_leaving = false;
        self.version = 0;
    }

    pub(super) fn load(&mut self, version: u64) {
        if self.is_alive {
            self.version = version;
            self.held.push((self.start_time, version));
        }
    }

    /// The value of its next entry.
    pub(super) fn next_entry(&mut self) -> String {
        self.entry_number += 1;
        let phase = if self.is_leaving {
            BackendPhase::Leaving
        } else {
            BackendPhase::Serving
        };
        loaded_entry_sample(
            (self.address, self.start_time),
            self.entry_number,
            phase,
            self.version,
        )
    }

    /// The report that the process colocated with it would send now.
    pub(super) fn report(&self) -> LoadReport {
        let version = WeightsVersion(self.version);
        let mut holdings = EngineHoldings::default();
        if self.version > 0 {
            let model = "m".into();
            holdings.models.push(ModelVersion { model, version });
            holdings.layers.push(HeldLayers {
                from: 0,
                to: LAYERS,
                version,
            });
        }
        LoadReport {
            address: self.address,
            start_time: Some(WallTime(self.start_time)),
            active: 0,
            queued: 0,
            is_loading: false,
            pace: 1.0,
            holdings,
        }
    }
}

/// A write that got no answer and is executed later.
pub(super) enum LateWrite {
    Entry(usize, String),
    Target(u64),
    Record(VersionRecord),
}

/// What the store returns with after it lost its newest writes.
struct StoreCopy {
    taken_at: ClockTime,
    revision: u64,
    backends: Vec<StoreRow>,
    target: Option<StoreRow>,
    record: Option<VersionRecord>,
}

/// The store.
#[derive(Default)]
pub(super) struct SimulatedStore {
    copy: Option<StoreCopy>,
    revision: u64,
    backends: Vec<StoreRow>,
    target: Option<StoreRow>,
    /// The version in the target's row.
    pub(super) target_version: u64,
    pub(super) record: Option<VersionRecord>,
    /// All versions that were recorded.
    pub(super) recorded: Vec<u64>,
    /// With the time of the call.
    pub(super) late: Vec<(ClockTime, LateWrite)>,
}

impl SimulatedStore {
    fn next(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// The newest revision.
    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision from which to continue after `since`; none if the store is in another era.
    pub(super) fn continued(&self, since: Option<u64>) -> Option<u64> {
        since.filter(|since| era_of(*since) == era_of(self.revision))
    }

    fn take_copy(&mut self, now: ClockTime) {
        self.copy = Some(StoreCopy {
            taken_at: now,
            revision: self.revision,
            backends: self.backends.clone(),
            target: self.target.clone(),
            record: self.record.clone(),
        });
    }

    /// Returns from the copy, if there is a recent one, in the next era. Returns whether it did.
    fn return_from_copy(&mut self, now: ClockTime) -> bool {
        let copy = self.copy.take();
        let Some(copy) = copy.filter(|copy| now.since(copy.taken_at) < COPY_AGE_MAX) else {
            return false;
        };
        let era = era_of(self.revision) + 1;
        let in_era = |revision: u64| revision_in(era, number_in(revision));
        self.revision = in_era(copy.revision);
        self.backends = copy.backends;
        self.target = copy.target;
        self.record = copy.record;
        for row in self.backends.iter_mut().chain(&mut self.target) {
            row.revision = in_era(row.revision);
        }
        if let Some(record) = &mut self.record {
            record.revision = in_era(record.revision);
        }
        true
    }

    pub(super) fn put_entry(&mut self, id: &str, text: Option<&str>) {
        let revision = self.next();
        self.backends.retain(|known| known.key != id);
        self.backends.push(row(id, revision, text));
    }

    pub(super) fn set_target(&mut self, version: u64) {
        let revision = self.next();
        let (key, text) = target_sample(version);
        self.target = Some(row(key, revision, Some(&text)));
        self.target_version = version;
    }

    /// Writes a record if its row has the expected revision; returns whether it did.
    pub(super) fn put_record(&mut self, mut record: VersionRecord) -> bool {
        let standing = self.record.as_ref().map_or(0, |known| known.revision);
        if standing != record.revision {
            return false;
        }
        record.revision = self.next();
        self.recorded.push(record.target.version.0);
        self.record = Some(record);
        true
    }

    /// The backend servers' table: the changes after `since`, or the full table.
    pub(super) fn backends(&self, since: Option<u64>) -> TableView {
        let rows = self.backends.iter().filter(|row| match since {
            Some(since) => row.revision > since,
            None => row.value.is_some(),
        });
        TableView {
            rows: rows.cloned().collect(),
            revision: self.revision,
            store_time: StoreTime(0),
        }
    }

    /// The operator's table: the changes after `since`, or the full table.
    pub(super) fn operator(&self, since: Option<u64>) -> TableView {
        let (key, text) = document_sample(1);
        let document = row(key, 1, Some(&text));
        let rows = std::iter::once(document).chain(self.target.clone());
        let since = since.unwrap_or(0);
        TableView {
            rows: rows.filter(|row| row.revision > since).collect(),
            revision: self.revision.max(1),
            store_time: StoreTime(0),
        }
    }
}

/// Everything outside the entry hosts.
pub(super) struct Simulation {
    pub(super) now: ClockTime,
    pub(super) servers: Vec<SimulatedServer>,
    pub(super) store: SimulatedStore,
    /// When each version was acknowledged, from version 2 on.
    pub(super) acknowledged: Vec<ClockTime>,
    /// When an interrupted connection to the store was last restored.
    pub(super) disturbed: ClockTime,
    pub(super) reports: Vec<LoadReport>,
}

impl Simulation {
    pub(super) fn new() -> Self {
        let now = ClockTime::from_millis(1_000_000);
        let mut simulation = Self {
            now,
            servers: (1..=SERVERS)
                .filter_map(|number| u8::try_from(number).ok())
                .map(SimulatedServer::new)
                .collect(),
            store: SimulatedStore::default(),
            acknowledged: Vec::new(),
            disturbed: now,
            reports: Vec::new(),
        };
        for at in 0..SERVERS {
            simulation.write_entry(at);
        }
        simulation
    }

    /// The last version that was set as target; 1 before the first update.
    pub(super) fn newest(&self) -> u64 {
        1 + u64::try_from(self.acknowledged.len()).unwrap_or(0)
    }

    /// Advances the time. Late writes are executed within some seconds.
    pub(super) fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        let now = self.now;
        let is_due = |(at, _): &(ClockTime, LateWrite)| now.since(*at) >= LATE_MAX;
        while let Some(at) = self.store.late.iter().position(is_due) {
            self.finish_late(at);
        }
    }

    /// A backend server writes its entry, which is executed at once.
    pub(super) fn write_entry(&mut self, at: usize) {
        if self.servers[at].is_alive {
            let text = self.servers[at].next_entry();
            self.store.put_entry(&self.servers[at].id, Some(&text));
        }
    }

    /// A backend server writes its entry, which gets no answer and is executed later.
    pub(super) fn write_entry_late(&mut self, at: usize) {
        if self.servers[at].is_alive {
            let text = self.servers[at].next_entry();
            self.store.late.push((self.now, LateWrite::Entry(at, text)));
        }
    }

    /// The operator sets a newer version.
    pub(super) fn set_target(&mut self, is_repeated: bool) {
        if is_repeated && self.newest() > 1 {
            let version = self.newest();
            self.store.late.push((self.now, LateWrite::Target(version)));
        }
        self.acknowledged.push(self.now);
        self.store.set_target(self.newest());
    }

    /// The store takes a copy, or returns from the one that it took. The operator sets the target
    /// again, and the platform removes the entries of backend servers that have left and ended.
    pub(super) fn copy_or_return(&mut self) {
        let now = self.now;
        if !self.store.return_from_copy(now) {
            self.store.take_copy(now);
            return;
        }
        if self.newest() > 1 {
            self.store.set_target(self.newest());
        }
        for server in &self.servers {
            if server.is_leaving && !server.is_alive {
                self.store.put_entry(&server.id, None);
            }
        }
    }

    /// The store executes a write that got no answer.
    pub(super) fn finish_late(&mut self, at: usize) {
        match self.store.late.remove(at).1 {
            LateWrite::Entry(server, text) => {
                let id = self.servers[server].id.clone();
                self.store.put_entry(&id, Some(&text));
            }
            LateWrite::Target(version) => self.store.set_target(version),
            LateWrite::Record(record) => {
                self.store.put_record(record);
            }
        }
    }
}
