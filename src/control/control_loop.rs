//! The control thread's loop: takes in events, lets the machine decide, carries out what follows,
//! and publishes the state.

use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use super::control_machine::ControlMachine;
use super::control_thread::{ControlAdapters, ControlEvent, DocumentFreshness};
use super::gossip_state::GossipSender;
use super::peer_messages::PeerFrame;
use super::peer_watch::PeerWatch;
use super::platform_reads::{TablePoller, TableReaderRole, read_list};
use super::snapshot::SharedSnapshot;
use crate::daemon::DrainState;
use crate::documents::DocumentVersion;
use crate::stores::{HostEntry, HostRole};
use crate::time::clock_now;

const TICK: Duration = Duration::from_millis(200);
/// Events taken in before the state is published.
const EVENTS_AT_ONCE: usize = 64;
/// The pace of frames from backend servers' processes that are not urgent, for each that is watched:
/// the more there are, the slower each speaks, so that all of them together stay within what control
/// may receive.
const PACE_PER_BACKEND: Duration = Duration::from_millis(120);
const BACKEND_PACE_SHORTEST: Duration = Duration::from_millis(500);
/// The pace of frames from entry hosts that are not urgent; they tell no load.
const ENTRY_PACE: Duration = Duration::from_secs(2);
/// How long backend servers' processes wait at most before their first reading of the table.
const FIRST_READ_WITHIN: Duration = Duration::from_millis(300);

/// The control thread's loop.
pub(super) struct ControlLoop {
    machine: ControlMachine,
    adapters: ControlAdapters,
    snapshot: SharedSnapshot,
    gossip: GossipSender,
    fresh: DocumentFreshness,
    sender: mpsc::Sender<ControlEvent>,
    receiver: mpsc::Receiver<ControlEvent>,
    drain: DrainState,
    duty: watch::Sender<TableReaderRole>,
    watches: Vec<RunningWatch>,
    /// The neighbour that is being asked for documents.
    pulling: Option<ByteString>,
}

struct RunningWatch {
    watch: PeerWatch,
    task: JoinHandle<()>,
    /// What the neighbour last said it has in force.
    versions: Vec<DocumentVersion>,
    /// Whether it has said so, or failed, since it is watched.
    asked: bool,
}

impl RunningWatch {
    /// Takes in the versions that changed at the neighbour.
    fn take_versions(&mut self, changed: Vec<DocumentVersion>) {
        for version in changed {
            let place = |known: &DocumentVersion| known.service.cmp(&version.service);
            match self.versions.binary_search_by(place) {
                Ok(at) => self.versions[at] = version,
                Err(at) => self.versions.insert(at, version),
            }
        }
    }
}

impl ControlLoop {
    pub(super) fn new(
        machine: ControlMachine,
        adapters: ControlAdapters,
        snapshot: SharedSnapshot,
        gossip: GossipSender,
        fresh: DocumentFreshness,
        (sender, receiver): (mpsc::Sender<ControlEvent>, mpsc::Receiver<ControlEvent>),
        drain: DrainState,
    ) -> Self {
        Self {
            machine,
            adapters,
            snapshot,
            gossip,
            fresh,
            sender,
            receiver,
            drain,
            duty: watch::Sender::default(),
            watches: Vec::new(),
            pulling: None,
        }
    }

    /// Runs as long as the process lives.
    pub(super) async fn run(mut self) {
        self.start_reading();
        self.publish();
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut told_leaving = false;
        let drain = self.drain.clone();
        loop {
            tokio::select! {
                event = self.receiver.recv() => {
                    let Some(event) = event else { return };
                    self.on_event(event);
                    self.take_waiting();
                }
                _ = ticks.tick() => self.on_tick(),
                () = drain.begun(), if !told_leaving => {
                    told_leaving = true;
                    self.machine.on_leaving();
                }
            }
            self.publish();
        }
    }

    fn start_reading(&self) {
        let is_backend = self.machine.identity().role == HostRole::Backend;
        let first_pause = if is_backend {
            FIRST_READ_WITHIN.mul_f64(rand::rng().random())
        } else {
            Duration::ZERO
        };
        let reading = TablePoller {
            table: self.adapters.table.clone(),
            duty: self.duty.subscribe(),
            fresh: self.fresh.clone(),
            events: self.sender.clone(),
            first_pause,
        };
        tokio::spawn(reading.run());
        let own_host = self.machine.identity().host.clone();
        let list = self.adapters.list.clone();
        tokio::spawn(read_list(list, own_host, self.sender.clone()));
    }

    fn take_waiting(&mut self) {
        for _ in 0..EVENTS_AT_ONCE {
            match self.receiver.try_recv() {
                Ok(event) => self.on_event(event),
                Err(_) => return,
            }
        }
    }

    fn on_event(&mut self, event: ControlEvent) {
        let now = clock_now();
        match event {
            ControlEvent::Rows(rows) => rows.iter().for_each(|row| self.machine.on_row(row)),
            ControlEvent::TableAnswered(answers) => self.machine.on_table(answers),
            ControlEvent::List(entries) => self.machine.on_list(&entries, now),
            ControlEvent::Watcher(facts) => self.machine.on_watcher(&facts, now),
            ControlEvent::Frame(host, frame) => self.on_frame(&host, *frame),
            ControlEvent::Lost(host) => self.on_stream_lost(&host),
            ControlEvent::Pulled(host, rows) => self.on_pulled(&host, rows),
        }
    }

    fn on_frame(&mut self, host: &str, frame: PeerFrame) {
        let now = clock_now();
        let Some(at) = self.watch_of(host) else {
            return;
        };
        self.machine
            .on_frame_received(host, self.watches[at].watch.pace, now);
        match frame {
            PeerFrame::Status(status) => self.machine.on_status(*status, now),
            PeerFrame::Paced(load, age_ms) => {
                if let Some(change) = load {
                    self.machine.on_load(host, change, now);
                }
                // Only once everything that the neighbour has is here too.
                let lacks = self.machine.lacks_any(&self.watches[at].versions);
                if let Some(age_ms) = age_ms.filter(|_| !lacks) {
                    self.fresh.advance(now - Duration::from_millis(age_ms));
                }
            }
            PeerFrame::Members(facts) => self.machine.on_facts(&facts, now),
            PeerFrame::Documents(versions) => {
                self.watches[at].take_versions(versions);
                self.watches[at].asked = true;
                self.pull_from(at);
            }
        }
    }

    fn on_stream_lost(&mut self, host: &str) {
        self.machine.on_stream_lost(host, clock_now());
        if let Some(at) = self.watch_of(host) {
            let running = &mut self.watches[at];
            running.asked = true;
            // The process that comes next on that host may know less.
            running.versions.clear();
        }
    }

    fn on_pulled(&mut self, host: &str, rows: Option<Vec<bytes::Bytes>>) {
        self.pulling = None;
        let answered = rows.is_some();
        for row in rows.unwrap_or_default() {
            self.machine.on_row(&row);
        }
        if let Some(at) = self.watch_of(host).filter(|_| answered) {
            // What it did not give it does not have, whatever it said: asking it again and again
            // would keep both busy.
            let machine = &self.machine;
            self.watches[at]
                .versions
                .retain(|there| there.version <= machine.documents().version_of(&there.service));
        }
        // Another neighbour may have what this one did not give.
        let other = (0..self.watches.len())
            .filter(|at| *self.watches[*at].watch.host != *host)
            .find(|at| self.machine.lacks_any(&self.watches[*at].versions));
        if let Some(at) = other {
            self.pull_from(at);
        }
    }

    /// Asks the neighbour for what it has and this process lacks; one neighbour at a time, so that
    /// a change that several tell of is fetched once.
    fn pull_from(&mut self, at: usize) {
        if self.pulling.is_some() || !self.machine.lacks_any(&self.watches[at].versions) {
            return;
        }
        let watch = self.watches[at].watch.clone();
        self.pulling = Some(watch.host.clone());
        tokio::spawn(watch.pull(self.machine.documents().versions()));
    }

    fn on_tick(&mut self) {
        self.renew_watches();
        let asked = self.pulling.is_none() && self.watches.iter().all(|running| running.asked);
        self.machine.on_tick(asked, clock_now());
        let lacking =
            (0..self.watches.len()).find(|at| self.machine.lacks_any(&self.watches[*at].versions));
        if let Some(at) = lacking {
            self.pull_from(at);
        }
    }

    /// Ends the watches that are no longer wanted and begins the new ones.
    fn renew_watches(&mut self) {
        let neighbours = self.machine.neighbours();
        let wanted: Vec<HostEntry> = neighbours
            .iter()
            .filter_map(|host| Some(self.machine.members().get(host)?.facts.entry.clone()))
            .collect();
        let is_wanted = |running: &RunningWatch| {
            let found = wanted.binary_search_by(|entry| entry.host.cmp(&running.watch.host));
            found.is_ok_and(|at| wanted[at].peer_address == running.watch.address)
        };
        let (kept, ended): (Vec<_>, Vec<_>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(is_wanted);
        self.watches = kept;
        for running in ended {
            running.task.abort();
            self.machine.on_unwatched(&running.watch.host);
        }
        let is_backend = |entry: &&HostEntry| entry.role == HostRole::Backend;
        let backends = u32::try_from(wanted.iter().filter(is_backend).count()).unwrap_or(u32::MAX);
        let backend_pace = (PACE_PER_BACKEND * backends).max(BACKEND_PACE_SHORTEST);
        for entry in wanted {
            if let Err(at) = self.place_of(&entry.host) {
                self.machine.on_watched(&entry.host, clock_now());
                let pace = match entry.role {
                    HostRole::Entry => ENTRY_PACE,
                    HostRole::Backend => backend_pace,
                };
                let running = self.begin_watch(&entry, pace);
                self.watches.insert(at, running);
            }
        }
    }

    fn begin_watch(&self, entry: &HostEntry, pace: Duration) -> RunningWatch {
        let watch = PeerWatch {
            own_host: self.machine.identity().host.clone(),
            host: entry.host.clone(),
            address: entry.peer_address,
            pace,
            client: self.adapters.client.clone(),
            gossip: self.gossip.subscribe(),
            events: self.sender.clone(),
        };
        RunningWatch {
            task: tokio::spawn(watch.clone().run()),
            watch,
            versions: Vec::new(),
            asked: false,
        }
    }

    fn watch_of(&self, host: &str) -> Option<usize> {
        self.place_of(host).ok()
    }

    fn place_of(&self, host: &str) -> Result<usize, usize> {
        self.watches
            .binary_search_by(|running| (*running.watch.host).cmp(host))
    }

    fn publish(&mut self) {
        if let Some(gossip) = self.machine.take_gossip() {
            self.gossip.send_replace(Arc::new(gossip));
        }
        if let Some(snapshot) = self.machine.take_snapshot() {
            self.duty.send_replace(TableReaderRole {
                is_reader: self.machine.reads_table(),
                held: self.machine.documents().clone(),
            });
            self.snapshot.replace(snapshot);
        }
    }
}
