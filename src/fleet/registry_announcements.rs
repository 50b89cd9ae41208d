//! What a backend server announces about itself in its responses: that it is leaving, or that it
//! wants no requests from this entry host for a while.

use std::time::Duration;

use super::backend_registry::{BackendKey, BackendRegistry};
use super::events;
use crate::events::log_event;
use crate::metrics;
use crate::time::ClockTime;

impl BackendRegistry {
    /// Takes in the announcement of the backend server at `key` that it is leaving.
    pub(super) fn note_leaving(&mut self, key: BackendKey) {
        let Some(record) = self.get_mut(key) else {
            return;
        };
        if !record.note_leaving() {
            return;
        }
        metrics::count_event("backend_announced_leaving", 1);
        log_event!(
            events::BACKEND_ANNOUNCED_LEAVING,
            "backend={}",
            record.facts.id
        );
    }

    /// Takes in the request of the backend server at `key`, received at `now`, to get no requests
    /// for `pause`.
    pub(super) fn note_requested_pause(
        &mut self,
        key: BackendKey,
        pause: Duration,
        now: ClockTime,
    ) {
        let Some(record) = self.get_mut(key) else {
            return;
        };
        let until = record.note_requested_pause(pause, now);
        metrics::count_event("backend_requested_pause", 1);
        log_event!(
            events::BACKEND_REQUESTED_PAUSE,
            "backend={} requested_ms={} left_ms={}",
            record.facts.id,
            pause.as_millis(),
            until.since(now).as_millis()
        );
    }
}
