//! One run.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::fault_plan::ChangeFault;
use super::observer::ObserverBoard;
use super::operators::{OperatorChange, PutEnd};
use super::report::{DocumentsReport, SlowChange};
use crate::documents::{DocumentVersion, ServiceDocument};
use crate::errors::SwitchResult;
use crate::lab::launch::{LabSystem, SampleCompany, SystemShape, put_document};
use crate::time::{ClockTime, clock_now};

const FIRST_WITHIN: Duration = Duration::from_secs(20);
/// How long a change may take until it counts as not in force.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);
const LOOK_PAUSE: Duration = Duration::from_millis(20);
const WEIGHTS_BYTES: usize = 64 * 1024;

/// What to run.
#[derive(Clone, Copy)]
pub(super) struct DocumentsOrder {
    pub(super) company: SampleCompany,
    pub(super) seed: u64,
    pub(super) changes: u64,
    pub(super) entries: usize,
    pub(super) workers: usize,
    pub(super) has_faults: bool,
}

/// Runs `order`.
pub(super) async fn measure_documents(order: DocumentsOrder) -> SwitchResult<DocumentsReport> {
    let mut run = DocumentsRun::start(order).await?;
    for change in 0..order.changes {
        run.change(change).await?;
    }
    run.finish().await
}

/// One process that has to have each document in force.
pub(super) struct ObservedProcess {
    pub(super) host: String,
    /// From when on it is there; a restart or the end of a freeze moves it.
    pub(super) since: ClockTime,
    pub(super) task: JoinHandle<()>,
}

pub(super) struct DocumentsRun {
    pub(super) order: DocumentsOrder,
    pub(super) system: LabSystem,
    pub(super) random: StdRng,
    pub(super) board: ObserverBoard,
    pub(super) processes: Vec<ObservedProcess>,
    /// The documents as they stand, with their versions.
    pub(super) standing: Vec<(ServiceDocument, u64)>,
    /// Every change that was tried, and how it ended.
    pub(super) ends: Vec<(OperatorChange, PutEnd)>,
    pub(super) nonces: u64,
    pub(super) spans: Vec<SlowChange>,
    pub(super) not_in_force: u64,
}

impl DocumentsRun {
    async fn start(order: DocumentsOrder) -> SwitchResult<Self> {
        let shape = SystemShape {
            entries: order.entries,
            models: order.workers - 2,
            at_most_once_workers: 1,
            linger_ms: 200,
            ..SystemShape::small(order.company)
        };
        let system = LabSystem::start(shape, || {}).await?;
        let weights = system.publish_weights("weights", WEIGHTS_BYTES, 1).await?;
        let names = system.names;
        let documents = vec![
            names.model_document("v1", "weights", &weights.digest),
            names.at_most_once_document(),
            names.single_worker_document(),
        ];
        let admin = system.entries[0].admin()?;
        for document in &documents {
            put_document(admin, document, 0, FIRST_WITHIN).await?;
        }
        let mut run = Self {
            order,
            system,
            random: StdRng::seed_from_u64(order.seed),
            board: ObserverBoard::default(),
            processes: Vec::new(),
            standing: documents
                .into_iter()
                .map(|document| (document, 1))
                .collect(),
            ends: Vec::new(),
            nonces: 0,
            spans: Vec::new(),
            not_in_force: 0,
        };
        run.observe_all()?;
        for at in 0..run.standing.len() {
            let version = run.version_of(at);
            run.wait_in_force(u64::MAX, ChangeFault::Quiet, &version, clock_now())
                .await;
        }
        run.spans.clear();
        Ok(run)
    }

    fn observe_all(&mut self) -> SwitchResult<()> {
        let mut processes = Vec::new();
        for node in &self.system.entries {
            processes.push((node.host.clone(), node.process.address("peer")?));
        }
        for node in &self.system.backends {
            processes.push((node.host.clone(), node.process.address("peer")?));
        }
        for (host, address) in processes {
            self.observe(host, address);
        }
        Ok(())
    }

    /// Watches a process from now on, in place of the one that was there.
    pub(super) fn observe(&mut self, host: String, address: SocketAddr) {
        let process = ObservedProcess {
            task: self.board.watch(host.clone(), address),
            since: clock_now(),
            host,
        };
        let known = self
            .processes
            .iter_mut()
            .find(|known| known.host == process.host);
        match known {
            Some(known) => {
                known.task.abort();
                *known = process;
            }
            None => self.processes.push(process),
        }
    }

    fn version_of(&self, at: usize) -> DocumentVersion {
        DocumentVersion {
            service: self.standing[at].0.service.clone(),
            version: self.standing[at].1,
        }
    }

    async fn change(&mut self, change: u64) -> SwitchResult<()> {
        let fault = if self.order.has_faults {
            ChangeFault::draw(&mut self.random)
        } else {
            ChangeFault::Quiet
        };
        let at = self.random.random_range(0..self.standing.len());
        let asked = self.random.random_range(0..self.system.entries.len());
        self.before(fault, asked).await?;
        let end = self.put(fault, at, asked).await?;
        self.after(fault, asked).await?;
        if let PutEnd::Accepted(version, accepted_at) = end {
            self.wait_in_force(change, fault, &version, accepted_at)
                .await;
        }
        self.mend(fault).await
    }

    async fn put(&mut self, fault: ChangeFault, at: usize, asked: usize) -> SwitchResult<PutEnd> {
        let addresses = self.admin_addresses(fault, asked)?;
        let change = self.new_change(at);
        if fault == ChangeFault::Race {
            return Ok(self.race(at, change, &addresses).await);
        }
        let end = if fault == ChangeFault::AcceptorKilledAmid {
            let delay = Duration::from_micros(self.random.random_range(200..8_000));
            let acceptor = &mut self.system.entries[asked].process;
            let put = change.put(&addresses, false);
            let kill = async {
                sleep(delay).await;
                acceptor.kill().await;
            };
            tokio::join!(put, kill).0
        } else {
            change.put(&addresses, false).await
        };
        self.settle(at, change, end.clone());
        Ok(end)
    }

    /// The entry host that is asked first, then the others that can answer.
    fn admin_addresses(&self, fault: ChangeFault, asked: usize) -> SwitchResult<Vec<SocketAddr>> {
        let count = self.system.entries.len();
        let frozen = self.other_entry(asked);
        let centre = self.system.entries[frozen].data_centre;
        let mut addresses = Vec::new();
        for place in (asked..asked + count).map(|place| place % count) {
            let node = &self.system.entries[place];
            let is_frozen = match fault {
                ChangeFault::EntryFrozen => place == frozen,
                ChangeFault::CentreFrozen => node.data_centre == centre,
                _ => false,
            };
            if !is_frozen || place == asked {
                addresses.push(node.admin()?);
            }
        }
        Ok(addresses)
    }

    fn new_change(&mut self, at: usize) -> OperatorChange {
        self.nonces += 1;
        let (document, replaces) = &self.standing[at];
        let mut document = document.clone();
        document.accounts[0].requests_per_second = 1_000 + u32::try_from(self.nonces).unwrap_or(0);
        OperatorChange {
            document,
            replaces: *replaces,
            nonce: format!("change-{}-{}", self.order.seed, self.nonces),
        }
    }

    /// Two operators at two entry hosts; the end of the one that won.
    async fn race(&mut self, at: usize, first: OperatorChange, addresses: &[SocketAddr]) -> PutEnd {
        let second = self.new_change(at);
        let mut others = addresses.to_vec();
        others.rotate_left(1);
        let (end, other) = tokio::join!(first.put(addresses, false), second.put(&others, false));
        self.settle(at, first, end.clone());
        self.settle(at, second, other.clone());
        match end {
            PutEnd::Accepted(..) => end,
            _ => other,
        }
    }

    fn settle(&mut self, at: usize, change: OperatorChange, end: PutEnd) {
        if let PutEnd::Accepted(version, _) = &end {
            let standing = &mut self.standing[at];
            if version.version > standing.1 && version.version == change.replaces + 1 {
                *standing = (change.document.clone(), version.version);
            }
        }
        let is_known = self
            .ends
            .iter()
            .any(|(known, _)| known.nonce == change.nonce);
        if !is_known {
            self.ends.push((change, end));
        }
    }

    /// Waits until every process has `version` in force, and notes how long the last one took.
    async fn wait_in_force(
        &mut self,
        change: u64,
        fault: ChangeFault,
        version: &DocumentVersion,
        accepted_at: ClockTime,
    ) {
        let begun = clock_now();
        loop {
            match self.last_in_force(version, accepted_at) {
                Ok((seconds, last)) => {
                    self.spans.push(SlowChange {
                        change,
                        fault: format!("{fault:?}"),
                        last,
                        seconds,
                    });
                    return;
                }
                Err(host) if clock_now().since(begun) > GIVE_UP_AFTER => {
                    eprintln!("change {change} ({fault:?}): not in force on {host}");
                    self.not_in_force += 1;
                    return;
                }
                Err(_) => sleep(LOOK_PAUSE).await,
            }
        }
    }

    /// How long the slowest process took and which it was; the name of one that has it not yet.
    fn last_in_force(
        &self,
        version: &DocumentVersion,
        accepted_at: ClockTime,
    ) -> Result<(f64, String), String> {
        let mut worst = (0.0, String::new());
        for process in &self.processes {
            let in_force = self.board.in_force_at(&process.host, version);
            let Some(at) = in_force else {
                return Err(process.host.clone());
            };
            let seconds = at.since(accepted_at.max(process.since)).as_secs_f64();
            if seconds >= worst.0 {
                worst = (seconds, process.host.clone());
            }
        }
        Ok(worst)
    }
}
