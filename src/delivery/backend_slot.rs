//! The slot that one attempt holds at a backend server.

use std::sync::Arc;

use super::service_dispatcher::ServiceDispatcher;
use crate::errors::ErrorKind;
use crate::membership::LoadReport;
use crate::routing::PickedBackend;
use crate::time::{ClockTime, clock_now};

/// A slot at a backend server, held by one attempt until it ends. Dropping it returns the slot
/// without counting the attempt as a success or a failure of the backend server.
pub(crate) struct BackendSlot {
    dispatcher: Arc<ServiceDispatcher>,
    picked: PickedBackend,
    acquired_at: ClockTime,
    cost: u64,
    has_ended: bool,
}

impl BackendSlot {
    pub(super) const fn new(
        dispatcher: Arc<ServiceDispatcher>,
        picked: PickedBackend,
        acquired_at: ClockTime,
        cost: u64,
    ) -> Self {
        Self {
            dispatcher,
            picked,
            acquired_at,
            cost,
            has_ended: false,
        }
    }

    /// The backend server that was picked.
    pub(crate) const fn picked(&self) -> &PickedBackend {
        &self.picked
    }

    /// Returns the slot of an attempt that succeeded; `load` is the load report from the end of its
    /// answer.
    pub(crate) fn succeeded(mut self, load: LoadReport, now: ClockTime) {
        self.has_ended = true;
        let took = now.since(self.acquired_at);
        let mut state = self.dispatcher.lock();
        state
            .backends
            .note_success(self.picked.key, took, self.cost, Some(load), now);
        drop(state);
        self.dispatcher.dispatch(now);
    }

    /// Returns the slot of an attempt that failed with an error of `kind`.
    pub(crate) fn failed(mut self, kind: ErrorKind, now: ClockTime) {
        self.has_ended = true;
        let mut state = self.dispatcher.lock();
        state.backends.note_failure(self.picked.key, kind, now);
        drop(state);
        self.dispatcher.dispatch(now);
    }
}

impl Drop for BackendSlot {
    fn drop(&mut self) {
        if !self.has_ended {
            let now = clock_now();
            self.dispatcher
                .lock()
                .backends
                .note_inconclusive(self.picked.key, now);
            self.dispatcher.dispatch(now);
        }
    }
}
