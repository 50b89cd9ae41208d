//! Injects the faults of a run around each change, and clears them afterwards.

use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::change_fault::ChangeFault;
use super::documents_run::{DocumentsRun, ObservedProcess};
use crate::errors::SwitchResult;
use crate::lab::launch::LabSystem;
use crate::lab::stand_ins::FaultSettings;
use crate::time::clock_now;

/// How long a table outage continues after the change is in force.
const TABLE_OUTAGE_EXTENSION: Duration = Duration::from_secs(3);
/// How long a pause of an entry host continues after the outcome of the change.
const ENTRY_FREEZE_DURATION: Duration = Duration::from_secs(2);
/// How long a pause of a data centre continues after the outcome of the change.
const CENTRE_FREEZE_DURATION: Duration = Duration::from_secs(4);

impl DocumentsRun {
    /// Starts the part of `fault` that precedes the submission of the change. `first_entry` is the
    /// index of the entry host that receives the change first.
    pub(super) async fn inject_before_put(
        &mut self,
        fault: ChangeFault,
        first_entry: usize,
    ) -> SwitchResult<()> {
        match fault {
            ChangeFault::AnswersLost => {
                let faults = FaultSettings {
                    lost_answers_percent: 50,
                    ..FaultSettings::default()
                };
                LabSystem::set_faults(&self.system.table, faults).await?;
            }
            ChangeFault::EntryFrozen => {
                let frozen = self.next_entry(first_entry);
                self.system.entries[frozen].process.freeze();
            }
            ChangeFault::CentreFrozen => self.freeze_centre(first_entry, true),
            _ => {}
        }
        Ok(())
    }

    /// Returns the index of the entry host after `first_entry`, to which entry and data centre
    /// freezes apply.
    pub(super) fn next_entry(&self, first_entry: usize) -> usize {
        (first_entry + 1) % self.system.entries.len()
    }

    /// Pauses (`is_freeze`) or resumes every process in the data centre of the entry host after
    /// `first_entry`.
    fn freeze_centre(&mut self, first_entry: usize, is_freeze: bool) {
        let centre = self.system.entries[self.next_entry(first_entry)].data_centre;
        let entries = self.system.entries.iter();
        let entries = entries.map(|node| (node.data_centre, &node.process));
        let backends = self.system.backends.iter();
        let backends = backends.map(|node| (node.data_centre, &node.process));
        for (data_centre, process) in entries.chain(backends) {
            if data_centre == centre && is_freeze {
                process.freeze();
            } else if data_centre == centre {
                process.thaw();
            }
        }
    }

    /// Injects the part of `fault` that follows the outcome of the change. Returns once paused
    /// processes are resumed and killed ones restarted.
    pub(super) async fn inject_after_put(
        &mut self,
        fault: ChangeFault,
        first_entry: usize,
    ) -> SwitchResult<()> {
        let down = FaultSettings {
            down: true,
            ..FaultSettings::default()
        };
        let silent = FaultSettings {
            silence_open: true,
            ..FaultSettings::default()
        };
        match fault {
            ChangeFault::TableDownAfter => LabSystem::set_faults(&self.system.table, down).await,
            ChangeFault::TableSilentAfter => {
                LabSystem::set_faults(&self.system.table, silent).await
            }
            ChangeFault::AnswersLost => {
                LabSystem::set_faults(&self.system.table, FaultSettings::default()).await
            }
            ChangeFault::AcceptorAndTableLost => {
                self.system.entries[first_entry].process.kill().await;
                LabSystem::set_faults(&self.system.table, down).await?;
                self.restart_entry(first_entry).await
            }
            ChangeFault::AcceptorKilledAfter => {
                self.system.entries[first_entry].process.kill().await;
                self.restart_entry(first_entry).await
            }
            ChangeFault::AcceptorKilledAmid => self.restart_entry(first_entry).await,
            ChangeFault::EntriesRestarted => self.restart_entries().await,
            ChangeFault::BackendRestarted => self.restart_backend().await,
            ChangeFault::EntryFrozen => {
                sleep(ENTRY_FREEZE_DURATION).await;
                let frozen = self.next_entry(first_entry);
                self.system.entries[frozen].process.thaw();
                let host = self.system.entries[frozen].host.clone();
                self.mark_available_now(|process| process.host == host);
                Ok(())
            }
            ChangeFault::CentreFrozen => {
                sleep(CENTRE_FREEZE_DURATION).await;
                self.freeze_centre(first_entry, false);
                let centre = self.system.entries[self.next_entry(first_entry)]
                    .data_centre
                    .name;
                self.mark_available_now(|process| process.host.contains(centre));
                Ok(())
            }
            ChangeFault::Quiet | ChangeFault::Race => Ok(()),
        }
    }

    /// Counts the matching processes as available from now on, after a pause.
    fn mark_available_now(&mut self, is_match: impl Fn(&ObservedProcess) -> bool) {
        let now = clock_now();
        for process in self
            .processes
            .iter_mut()
            .filter(|process| is_match(process))
        {
            process.available_since = now;
        }
    }

    /// Restarts the entry host at `index` and observes the new process.
    async fn restart_entry(&mut self, index: usize) -> SwitchResult<()> {
        self.system.restart_entry(index).await?;
        let node = &self.system.entries[index];
        let (host, address) = (node.host.clone(), node.process.address("peer")?);
        self.observe(host, address);
        Ok(())
    }

    /// Kills all entry hosts, then restarts them one by one.
    async fn restart_entries(&mut self) -> SwitchResult<()> {
        for node in &mut self.system.entries {
            node.process.kill().await;
        }
        for index in 0..self.system.entries.len() {
            self.restart_entry(index).await?;
        }
        Ok(())
    }

    /// Kills and restarts the host process of a randomly drawn backend server.
    async fn restart_backend(&mut self) -> SwitchResult<()> {
        let index = self.random.random_range(0..self.system.backends.len());
        self.system.backends[index].process.kill().await;
        self.system.restart_host(index).await?;
        let node = &self.system.backends[index];
        let (host, address) = (node.host.clone(), node.process.address("peer")?);
        self.observe(host, address);
        Ok(())
    }

    /// Ends the faults of the table that are still set once the change is in force.
    pub(super) async fn clear_fault(&self, fault: ChangeFault) -> SwitchResult<()> {
        match fault {
            ChangeFault::TableDownAfter | ChangeFault::AcceptorAndTableLost => {
                sleep(TABLE_OUTAGE_EXTENSION).await;
                LabSystem::set_faults(&self.system.table, FaultSettings::default()).await
            }
            ChangeFault::TableSilentAfter => {
                LabSystem::set_faults(&self.system.table, FaultSettings::default()).await
            }
            _ => Ok(()),
        }
    }
}
