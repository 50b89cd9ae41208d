//! The control state as the tasks of a process share it.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

use super::control_state::ControlState;
use super::snapshot::SharedSnapshot;

/// The control state with the snapshot that is made of it. Clones share both.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedControlState {
    state: Arc<Mutex<ControlState>>,
    snapshot: SharedSnapshot,
    /// Counts changes.
    changes: Arc<watch::Sender<u64>>,
}

impl SharedControlState {
    /// Where the traffic finds the newest snapshot.
    pub(crate) fn snapshot(&self) -> SharedSnapshot {
        self.snapshot.clone()
    }

    /// Reads the control state.
    pub(crate) fn read<T>(&self, reader: impl FnOnce(&ControlState) -> T) -> T {
        reader(&self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the control state and shows the traffic what came of it.
    pub(crate) fn change(&self, change: impl FnOnce(&mut ControlState)) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state);
        self.snapshot.store(state.snapshot());
        drop(state);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Changes what neither the traffic nor anybody that follows the changes sees.
    pub(crate) fn note(&self, note: impl FnOnce(&mut ControlState)) {
        note(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Follows the changes.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
