//! One run: starts the system, submits the changes and waits until each is in force everywhere.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::change_fault::ChangeFault;
use super::documents_report::{ChangeTiming, DocumentsReport};
use super::operator_change::{OperatorChange, PutOutcome};
use super::version_observer::VersionObserver;
use crate::documents::{DocumentVersion, ServiceDocument};
use crate::errors::SwitchResult;
use crate::lab::launch::{LabSystem, SampleCompany, SystemShape, put_document};
use crate::time::{ClockTime, clock_now};

/// Timeout for storing the first version of a document.
const FIRST_PUT_TIMEOUT: Duration = Duration::from_secs(20);
/// After this long, a change counts as not in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the model weights that the system serves.
const WEIGHTS_BYTES: usize = 64 * 1024;

/// Settings of a run, from the command line.
#[derive(Clone, Copy)]
pub(super) struct DocumentsSettings {
    pub(super) company: SampleCompany,
    pub(super) seed: u64,
    pub(super) change_count: u64,
    pub(super) entry_count: usize,
    pub(super) backend_count: usize,
    pub(super) injects_faults: bool,
}

/// Carries out the run that `settings` describe.
///
/// # Errors
///
/// Fails if the system cannot be started, disturbed or read.
pub(super) async fn measure_documents(
    settings: DocumentsSettings,
) -> SwitchResult<DocumentsReport> {
    let mut run = DocumentsRun::start(settings).await?;
    for change in 0..settings.change_count {
        run.run_change(change).await?;
    }
    run.finish().await
}

/// A process that is observed, and in which each document has to be in force.
pub(super) struct ObservedProcess {
    pub(super) host: String,
    /// Since when it has been available; reset by a restart and at the end of a freeze.
    pub(super) available_since: ClockTime,
    pub(super) watch_task: JoinHandle<()>,
}

/// State of a run.
pub(super) struct DocumentsRun {
    pub(super) settings: DocumentsSettings,
    pub(super) system: LabSystem,
    pub(super) random: StdRng,
    pub(super) observer: VersionObserver,
    pub(super) processes: Vec<ObservedProcess>,
    /// The latest accepted documents, with their versions.
    pub(super) current_documents: Vec<(ServiceDocument, u64)>,
    /// Every change that was submitted, with its outcome.
    pub(super) outcomes: Vec<(OperatorChange, PutOutcome)>,
    /// Nonces used so far; the next nonce contains the following number.
    pub(super) nonce_count: u64,
    pub(super) timings: Vec<ChangeTiming>,
    /// Changes that were not in force in every process within the timeout.
    pub(super) not_in_force: u64,
}

impl DocumentsRun {
    /// Starts the system, stores the first documents and waits until they are in force.
    async fn start(settings: DocumentsSettings) -> SwitchResult<Self> {
        let shape = SystemShape {
            entries: settings.entry_count,
            models: settings.backend_count - 2,
            at_most_once_workers: 1,
            linger_ms: 200,
            ..SystemShape::small(settings.company)
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
            put_document(admin, document, 0, FIRST_PUT_TIMEOUT).await?;
        }
        let mut run = Self {
            settings,
            system,
            random: StdRng::seed_from_u64(settings.seed),
            observer: VersionObserver::default(),
            processes: Vec::new(),
            current_documents: documents
                .into_iter()
                .map(|document| (document, 1))
                .collect(),
            outcomes: Vec::new(),
            nonce_count: 0,
            timings: Vec::new(),
            not_in_force: 0,
        };
        run.observe_all()?;
        for document_index in 0..run.current_documents.len() {
            let version = run.version_of(document_index);
            run.wait_in_force(u64::MAX, ChangeFault::Quiet, &version, clock_now())
                .await;
        }
        run.timings.clear();
        Ok(run)
    }

    /// Starts to observe every entry host and every host process.
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

    /// Observes the process at `address` from now on, in place of an earlier one on `host`.
    pub(super) fn observe(&mut self, host: String, address: SocketAddr) {
        let process = ObservedProcess {
            watch_task: self.observer.watch(host.clone(), address),
            available_since: clock_now(),
            host,
        };
        let existing = self
            .processes
            .iter_mut()
            .find(|existing| existing.host == process.host);
        match existing {
            Some(existing) => {
                existing.watch_task.abort();
                *existing = process;
            }
            None => self.processes.push(process),
        }
    }

    fn version_of(&self, document_index: usize) -> DocumentVersion {
        DocumentVersion {
            service: self.current_documents[document_index].0.service.clone(),
            version: self.current_documents[document_index].1,
        }
    }

    /// Submits change number `change`, with a drawn fault if faults are injected, and waits until
    /// it is in force if it was accepted.
    async fn run_change(&mut self, change: u64) -> SwitchResult<()> {
        let fault = if self.settings.injects_faults {
            ChangeFault::draw(&mut self.random)
        } else {
            ChangeFault::Quiet
        };
        let document_index = self.random.random_range(0..self.current_documents.len());
        let first_entry = self.random.random_range(0..self.system.entries.len());
        self.inject_before_put(fault, first_entry).await?;
        let outcome = self.put(fault, document_index, first_entry).await?;
        self.inject_after_put(fault, first_entry).await?;
        if let PutOutcome::Accepted(version, accepted_at) = outcome {
            self.wait_in_force(change, fault, &version, accepted_at)
                .await;
        }
        self.clear_fault(fault).await
    }

    /// Submits a change of a document, or two concurrent ones for a race.
    async fn put(
        &mut self,
        fault: ChangeFault,
        document_index: usize,
        first_entry: usize,
    ) -> SwitchResult<PutOutcome> {
        let addresses = self.admin_addresses(fault, first_entry)?;
        let change = self.new_change(document_index);
        if fault == ChangeFault::Race {
            return Ok(self.race(document_index, change, &addresses).await);
        }
        let outcome = if fault == ChangeFault::AcceptorKilledAmid {
            let delay = Duration::from_micros(self.random.random_range(200..8_000));
            let acceptor = &mut self.system.entries[first_entry].process;
            let put = change.put(&addresses, false);
            let kill = async {
                sleep(delay).await;
                acceptor.kill().await;
            };
            tokio::join!(put, kill).0
        } else {
            change.put(&addresses, false).await
        };
        self.record_outcome(document_index, change, outcome.clone());
        Ok(outcome)
    }

    /// Returns the admin addresses to try in turn: that of `first_entry`, then those of the other
    /// entry hosts that are not paused by `fault`.
    fn admin_addresses(
        &self,
        fault: ChangeFault,
        first_entry: usize,
    ) -> SwitchResult<Vec<SocketAddr>> {
        let count = self.system.entries.len();
        let frozen = self.next_entry(first_entry);
        let centre = self.system.entries[frozen].data_centre;
        let mut addresses = Vec::new();
        for index in (first_entry..first_entry + count).map(|index| index % count) {
            let node = &self.system.entries[index];
            let is_frozen = match fault {
                ChangeFault::EntryFrozen => index == frozen,
                ChangeFault::CentreFrozen => node.data_centre == centre,
                _ => false,
            };
            if !is_frozen || index == first_entry {
                addresses.push(node.admin()?);
            }
        }
        Ok(addresses)
    }

    /// Creates a change of the request limit of one account in a document.
    fn new_change(&mut self, document_index: usize) -> OperatorChange {
        self.nonce_count += 1;
        let (document, replaces) = &self.current_documents[document_index];
        let mut document = document.clone();
        document.accounts[0].requests_per_second =
            1_000 + u32::try_from(self.nonce_count).unwrap_or(0);
        OperatorChange {
            document,
            replaces: *replaces,
            nonce: format!("change-{}-{}", self.settings.seed, self.nonce_count),
        }
    }

    /// Submits `first` and a second change concurrently at two entry hosts. Returns the outcome of
    /// the accepted one, or that of the second if neither was accepted.
    async fn race(
        &mut self,
        document_index: usize,
        first: OperatorChange,
        addresses: &[SocketAddr],
    ) -> PutOutcome {
        let second = self.new_change(document_index);
        let mut others = addresses.to_vec();
        others.rotate_left(1);
        let (outcome, second_outcome) =
            tokio::join!(first.put(addresses, false), second.put(&others, false));
        self.record_outcome(document_index, first, outcome.clone());
        self.record_outcome(document_index, second, second_outcome.clone());
        match outcome {
            PutOutcome::Accepted(..) => outcome,
            _ => second_outcome,
        }
    }

    /// Records the outcome of a change, and its version as current if the change was accepted.
    fn record_outcome(
        &mut self,
        document_index: usize,
        change: OperatorChange,
        outcome: PutOutcome,
    ) {
        if let PutOutcome::Accepted(version, _) = &outcome {
            let current = &mut self.current_documents[document_index];
            if version.version > current.1 && version.version == change.replaces + 1 {
                *current = (change.document.clone(), version.version);
            }
        }
        let is_known = self
            .outcomes
            .iter()
            .any(|(known, _)| known.nonce == change.nonce);
        if !is_known {
            self.outcomes.push((change, outcome));
        }
    }

    /// Waits until every process has `version` in force, and records how long the slowest one took.
    async fn wait_in_force(
        &mut self,
        change: u64,
        fault: ChangeFault,
        version: &DocumentVersion,
        accepted_at: ClockTime,
    ) {
        let started_at = clock_now();
        loop {
            match self.slowest_process(version, accepted_at) {
                Ok((seconds, last)) => {
                    self.timings.push(ChangeTiming {
                        change,
                        fault: format!("{fault:?}"),
                        last,
                        seconds,
                    });
                    return;
                }
                Err(host) if clock_now().since(started_at) > IN_FORCE_TIMEOUT => {
                    eprintln!("change {change} ({fault:?}): not in force on {host} in time");
                    self.not_in_force += 1;
                    return;
                }
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Returns the time, in seconds, that the slowest process took, and its host.
    ///
    /// # Errors
    ///
    /// The host of a process that does not have `version` in force yet.
    fn slowest_process(
        &self,
        version: &DocumentVersion,
        accepted_at: ClockTime,
    ) -> Result<(f64, String), String> {
        let mut worst = (0.0, String::new());
        for process in &self.processes {
            let in_force = self.observer.in_force_at(&process.host, version);
            let Some(in_force_at) = in_force else {
                return Err(process.host.clone());
            };
            let seconds = in_force_at
                .since(accepted_at.max(process.available_since))
                .as_secs_f64();
            if seconds >= worst.0 {
                worst = (seconds, process.host.clone());
            }
        }
        Ok(worst)
    }
}
