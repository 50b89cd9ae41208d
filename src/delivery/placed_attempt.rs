//! The room at a backend server that one attempt holds.

use std::sync::Arc;

use super::service_desk::ServiceDesk;
use crate::errors::ErrorKind;
use crate::membership::LoadReport;
use crate::routing::PickedBackend;
use crate::time::{ClockTime, clock_now};

/// A backend server's room that one attempt holds until it ends. Dropping it gives the room back
/// without a word about the backend server.
pub(crate) struct PlacedAttempt {
    desk: Arc<ServiceDesk>,
    picked: PickedBackend,
    since: ClockTime,
    cost: u64,
    has_ended: bool,
}

impl PlacedAttempt {
    pub(super) const fn new(
        desk: Arc<ServiceDesk>,
        picked: PickedBackend,
        since: ClockTime,
        cost: u64,
    ) -> Self {
        Self {
            desk,
            picked,
            since,
            cost,
            has_ended: false,
        }
    }

    /// The pick.
    pub(crate) const fn picked(&self) -> &PickedBackend {
        &self.picked
    }

    /// The attempt ended well.
    pub(crate) fn succeeded(mut self, load: LoadReport, now: ClockTime) {
        self.has_ended = true;
        let took = now.since(self.since);
        let mut state = self.desk.lock();
        state
            .backends
            .note_success(self.picked.key, took, self.cost, Some(load), now);
        drop(state);
        self.desk.dispatch(now);
    }

    /// The attempt failed.
    pub(crate) fn failed(mut self, kind: ErrorKind, now: ClockTime) {
        self.has_ended = true;
        let mut state = self.desk.lock();
        state.backends.note_failure(self.picked.key, kind, now);
        drop(state);
        self.desk.dispatch(now);
    }
}

impl Drop for PlacedAttempt {
    fn drop(&mut self) {
        if !self.has_ended {
            let now = clock_now();
            self.desk.lock().backends.note_nothing(self.picked.key, now);
            self.desk.dispatch(now);
        }
    }
}
