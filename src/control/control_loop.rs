//! The event loop of the control thread: passes events to the state machine, carries out its
//! decisions and publishes the resulting state.

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
/// Maximum number of queued events handled before the state is published.
const EVENT_BATCH_MAX: usize = 64;
/// Contribution of each watched backend server to the frame interval requested from all of them.
/// The interval grows with their number, which limits the total traffic that the control thread
/// receives. Urgent frames are sent immediately.
const FRAME_INTERVAL_PER_BACKEND: Duration = Duration::from_millis(120);
const BACKEND_FRAME_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Interval of frames from entry hosts that are not urgent; entry hosts report no load.
const ENTRY_FRAME_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum random delay before the first table read of a process next to a backend server.
const FIRST_READ_DELAY_MAX: Duration = Duration::from_millis(300);

/// The control thread's loop.
pub(super) struct ControlLoop {
    machine: ControlMachine,
    adapters: ControlAdapters,
    snapshot: SharedSnapshot,
    gossip: GossipSender,
    freshness: DocumentFreshness,
    sender: mpsc::Sender<ControlEvent>,
    receiver: mpsc::Receiver<ControlEvent>,
    drain: DrainState,
    reader_role: watch::Sender<TableReaderRole>,
    watches: Vec<RunningWatch>,
    /// The neighbour from which documents are being pulled.
    pulling: Option<ByteString>,
}

struct RunningWatch {
    watch: PeerWatch,
    task: JoinHandle<()>,
    /// The versions that the neighbour last reported to be in force there.
    versions: Vec<DocumentVersion>,
    /// Whether the neighbour has reported its versions, or failed, since the watch began.
    settled: bool,
}

impl RunningWatch {
    /// Applies changes of the versions in force at the neighbour.
    fn update_versions(&mut self, changed: Vec<DocumentVersion>) {
        for version in changed {
            let by_service = |known: &DocumentVersion| known.service.cmp(&version.service);
            match self.versions.binary_search_by(by_service) {
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
        freshness: DocumentFreshness,
        (sender, receiver): (mpsc::Sender<ControlEvent>, mpsc::Receiver<ControlEvent>),
        drain: DrainState,
    ) -> Self {
        Self {
            machine,
            adapters,
            snapshot,
            gossip,
            freshness,
            sender,
            receiver,
            drain,
            reader_role: watch::Sender::default(),
            watches: Vec::new(),
            pulling: None,
        }
    }

    /// Runs until the process ends.
    pub(super) async fn run(mut self) {
        self.start_reading();
        self.publish();
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_leaving = false;
        let drain = self.drain.clone();
        loop {
            tokio::select! {
                event = self.receiver.recv() => {
                    let Some(event) = event else { return };
                    self.on_event(event);
                    self.handle_queued();
                }
                _ = ticks.tick() => self.on_tick(),
                () = drain.wait_begun(), if !is_leaving => {
                    is_leaving = true;
                    self.machine.on_leaving();
                }
            }
            self.publish();
        }
    }

    fn start_reading(&self) {
        let is_backend = self.machine.identity().role == HostRole::Backend;
        let first_pause = if is_backend {
            FIRST_READ_DELAY_MAX.mul_f64(rand::rng().random())
        } else {
            Duration::ZERO
        };
        let reading = TablePoller {
            table: self.adapters.table.clone(),
            reader_role: self.reader_role.subscribe(),
            freshness: self.freshness.clone(),
            events: self.sender.clone(),
            first_pause,
        };
        tokio::spawn(reading.run());
        let own_host = self.machine.identity().host.clone();
        let list = self.adapters.list.clone();
        tokio::spawn(read_list(list, own_host, self.sender.clone()));
    }

    fn handle_queued(&mut self) {
        for _ in 0..EVENT_BATCH_MAX {
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
            .on_frame_received(host, self.watches[at].watch.frame_interval, now);
        match frame {
            PeerFrame::Status(status) => self.machine.on_status(*status, now),
            PeerFrame::Paced(load, age_ms) => {
                if let Some(change) = load {
                    self.machine.on_load(host, change, now);
                }
                // The neighbour's freshness applies here only once all its documents are here too.
                let lacks = self.machine.lacks_any(&self.watches[at].versions);
                if let Some(age_ms) = age_ms.filter(|_| !lacks) {
                    self.freshness.advance(now - Duration::from_millis(age_ms));
                }
            }
            PeerFrame::Members(facts) => self.machine.on_facts(&facts, now),
            PeerFrame::Documents(versions) => {
                self.watches[at].update_versions(versions);
                self.watches[at].settled = true;
                self.pull_from(at);
            }
        }
    }

    fn on_stream_lost(&mut self, host: &str) {
        self.machine.on_stream_lost(host, clock_now());
        if let Some(at) = self.watch_of(host) {
            let running = &mut self.watches[at];
            running.settled = true;
            // The next process on that host may have fewer documents.
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
            // Versions that the neighbour reported but did not return are not available there.
            // Forgetting them avoids repeated requests.
            let machine = &self.machine;
            self.watches[at]
                .versions
                .retain(|remote| remote.version <= machine.documents().version_of(&remote.service));
        }
        // Another neighbour may have the documents that this one did not return.
        let other = (0..self.watches.len())
            .filter(|at| *self.watches[*at].watch.host != *host)
            .find(|at| self.machine.lacks_any(&self.watches[*at].versions));
        if let Some(at) = other {
            self.pull_from(at);
        }
    }

    /// Requests documents from the neighbour that are newer than in this process. Only one request
    /// runs at a time, so that a change reported by several neighbours is fetched once.
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
        let settled = self.pulling.is_none() && self.watches.iter().all(|running| running.settled);
        self.machine.on_tick(settled, clock_now());
        let lacking =
            (0..self.watches.len()).find(|at| self.machine.lacks_any(&self.watches[*at].versions));
        if let Some(at) = lacking {
            self.pull_from(at);
        }
    }

    /// Ends watches of hosts that are no longer neighbours and begins watches of new neighbours.
    fn renew_watches(&mut self) {
        let hosts = self.machine.neighbours();
        let neighbours: Vec<HostEntry> = hosts
            .iter()
            .filter_map(|host| Some(self.machine.members().get(host)?.facts.entry.clone()))
            .collect();
        let is_neighbour = |running: &RunningWatch| {
            let found = neighbours.binary_search_by(|entry| entry.host.cmp(&running.watch.host));
            found.is_ok_and(|at| neighbours[at].peer_address == running.watch.address)
        };
        let (kept, ended): (Vec<_>, Vec<_>) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(is_neighbour);
        self.watches = kept;
        for running in ended {
            running.task.abort();
            self.machine.on_unwatched(&running.watch.host);
        }
        let is_backend = |entry: &&HostEntry| entry.role == HostRole::Backend;
        let backends =
            u32::try_from(neighbours.iter().filter(is_backend).count()).unwrap_or(u32::MAX);
        let backend_interval =
            (FRAME_INTERVAL_PER_BACKEND * backends).max(BACKEND_FRAME_INTERVAL_MIN);
        for entry in neighbours {
            if let Err(at) = self.find(&entry.host) {
                self.machine.on_watched(&entry.host, clock_now());
                let frame_interval = match entry.role {
                    HostRole::Entry => ENTRY_FRAME_INTERVAL,
                    HostRole::Backend => backend_interval,
                };
                let running = self.begin_watch(&entry, frame_interval);
                self.watches.insert(at, running);
            }
        }
    }

    fn begin_watch(&self, entry: &HostEntry, frame_interval: Duration) -> RunningWatch {
        let watch = PeerWatch {
            own_host: self.machine.identity().host.clone(),
            host: entry.host.clone(),
            address: entry.peer_address,
            frame_interval,
            client: self.adapters.client.clone(),
            gossip: self.gossip.subscribe(),
            events: self.sender.clone(),
        };
        RunningWatch {
            task: tokio::spawn(watch.clone().run()),
            watch,
            versions: Vec::new(),
            settled: false,
        }
    }

    fn watch_of(&self, host: &str) -> Option<usize> {
        self.find(host).ok()
    }

    fn find(&self, host: &str) -> Result<usize, usize> {
        self.watches
            .binary_search_by(|running| (*running.watch.host).cmp(host))
    }

    fn publish(&mut self) {
        if let Some(gossip) = self.machine.take_gossip() {
            self.gossip.send_replace(Arc::new(gossip));
        }
        if let Some(snapshot) = self.machine.take_snapshot() {
            self.reader_role.send_replace(TableReaderRole {
                is_reader: self.machine.reads_table(),
                active: self.machine.documents().clone(),
            });
            self.snapshot.replace(snapshot);
        }
    }
}
