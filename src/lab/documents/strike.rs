//! Carries out the faults that strike with a change.

use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::fault_plan::ChangeFault;
use super::run::{DocumentsRun, ObservedProcess};
use crate::errors::SwitchResult;
use crate::lab::launch::LabSystem;
use crate::lab::stand_ins::FaultSettings;
use crate::time::clock_now;

const TABLE_OUTAGE: Duration = Duration::from_secs(3);
const ENTRY_FREEZE: Duration = Duration::from_secs(2);
const CENTRE_FREEZE: Duration = Duration::from_secs(4);

impl DocumentsRun {
    /// What begins before the change is put.
    pub(super) async fn before(&mut self, fault: ChangeFault, asked: usize) -> SwitchResult<()> {
        match fault {
            ChangeFault::AnswersLost => {
                let faults = FaultSettings {
                    lost_answers_percent: 50,
                    ..FaultSettings::default()
                };
                LabSystem::set_faults(&self.system.table, faults).await?;
            }
            ChangeFault::EntryFrozen => {
                let frozen = self.other_entry(asked);
                self.system.entries[frozen].process.freeze();
            }
            ChangeFault::CentreFrozen => self.freeze_centre(asked, true),
            _ => {}
        }
        Ok(())
    }

    pub(super) fn other_entry(&self, asked: usize) -> usize {
        (asked + 1) % self.system.entries.len()
    }

    /// Freezes, or thaws, every process of the data centre behind that of entry host `asked`.
    fn freeze_centre(&mut self, asked: usize, freezes: bool) {
        let centre = self.system.entries[self.other_entry(asked)].data_centre;
        let entries = self.system.entries.iter();
        let entries = entries.map(|node| (node.data_centre, &node.process));
        let backends = self.system.backends.iter();
        let backends = backends.map(|node| (node.data_centre, &node.process));
        for (place, process) in entries.chain(backends) {
            if place == centre && freezes {
                process.freeze();
            } else if place == centre {
                process.thaw();
            }
        }
    }

    /// What strikes at the acceptance.
    pub(super) async fn after(&mut self, fault: ChangeFault, asked: usize) -> SwitchResult<()> {
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
                self.system.entries[asked].process.kill().await;
                LabSystem::set_faults(&self.system.table, down).await?;
                self.restart_entry(asked).await
            }
            ChangeFault::AcceptorKilledAfter => {
                self.system.entries[asked].process.kill().await;
                self.restart_entry(asked).await
            }
            ChangeFault::AcceptorKilledAmid => self.restart_entry(asked).await,
            ChangeFault::EntriesRestarted => self.restart_entries().await,
            ChangeFault::BackendRestarted => self.restart_backend().await,
            ChangeFault::EntryFrozen => {
                sleep(ENTRY_FREEZE).await;
                let frozen = self.other_entry(asked);
                self.system.entries[frozen].process.thaw();
                let host = self.system.entries[frozen].host.clone();
                self.thawed(|process| process.host == host);
                Ok(())
            }
            ChangeFault::CentreFrozen => {
                sleep(CENTRE_FREEZE).await;
                self.freeze_centre(asked, false);
                let centre = self.system.entries[self.other_entry(asked)]
                    .data_centre
                    .name;
                self.thawed(|process| process.host.contains(centre));
                Ok(())
            }
            ChangeFault::Quiet | ChangeFault::Race => Ok(()),
        }
    }

    fn thawed(&mut self, fits: impl Fn(&ObservedProcess) -> bool) {
        let now = clock_now();
        for process in self.processes.iter_mut().filter(|process| fits(process)) {
            process.since = now;
        }
    }

    async fn restart_entry(&mut self, at: usize) -> SwitchResult<()> {
        self.system.restart_entry(at).await?;
        let node = &self.system.entries[at];
        let (host, address) = (node.host.clone(), node.process.address("peer")?);
        self.observe(host, address);
        Ok(())
    }

    async fn restart_entries(&mut self) -> SwitchResult<()> {
        for node in &mut self.system.entries {
            node.process.kill().await;
        }
        for at in 0..self.system.entries.len() {
            self.restart_entry(at).await?;
        }
        Ok(())
    }

    async fn restart_backend(&mut self) -> SwitchResult<()> {
        let at = self.random.random_range(0..self.system.backends.len());
        self.system.backends[at].process.kill().await;
        self.system.restart_host(at).await?;
        let node = &self.system.backends[at];
        let (host, address) = (node.host.clone(), node.process.address("peer")?);
        self.observe(host, address);
        Ok(())
    }

    /// Ends what the fault began.
    pub(super) async fn mend(&self, fault: ChangeFault) -> SwitchResult<()> {
        match fault {
            ChangeFault::TableDownAfter | ChangeFault::AcceptorAndTableLost => {
                sleep(TABLE_OUTAGE).await;
                LabSystem::set_faults(&self.system.table, FaultSettings::default()).await
            }
            ChangeFault::TableSilentAfter => {
                LabSystem::set_faults(&self.system.table, FaultSettings::default()).await
            }
            _ => Ok(()),
        }
    }
}
