//! The deployment state as shared by the tasks of a process.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

use super::deployment_state::DeploymentState;
use super::snapshot::SharedSnapshot;

/// The deployment state and the snapshot made of it. Clones share both.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedDeploymentState {
    state: Arc<Mutex<DeploymentState>>,
    snapshot: SharedSnapshot,
    /// Counts changes.
    changes: Arc<watch::Sender<u64>>,
}

impl SharedDeploymentState {
    /// The handle through which request handling reads the newest snapshot.
    pub(crate) fn snapshot(&self) -> SharedSnapshot {
        self.snapshot.clone()
    }

    /// Reads the deployment state.
    pub(crate) fn read<T>(&self, reader: impl FnOnce(&DeploymentState) -> T) -> T {
        reader(&self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the deployment state, publishes a new snapshot and notifies the tasks that wait for
    /// changes.
    pub(crate) fn change(&self, change: impl FnOnce(&mut DeploymentState)) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state);
        self.snapshot.store(state.snapshot());
        drop(state);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Changes a part that is not in the snapshot and that no task waits for.
    pub(crate) fn note(&self, note: impl FnOnce(&mut DeploymentState)) {
        note(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// A receiver that is notified of each change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
