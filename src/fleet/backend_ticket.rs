//! Shared access to the backend registry, and the ticket of a request in flight at a backend
//! server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::backend_facts::{BackendFacts, WeightsVersion};
use super::backend_record::{BackendRecord, CallOutcome};
use super::backend_registry::{BackendKey, BackendRegistry};
use super::pick::PickRequirements;
use super::pick_refusal::PickRefusal;
use crate::time::{ClockTime, StoreTime, clock_now};

/// A backend registry shared among requests.
#[derive(Clone, Debug)]
pub(crate) struct SharedRegistry {
    registry: Arc<Mutex<BackendRegistry>>,
}

impl SharedRegistry {
    /// Shares `registry`.
    pub(crate) fn new(registry: BackendRegistry) -> Self {
        Self {
            registry: Arc::new(Mutex::new(registry)),
        }
    }

    /// Locks the registry. The guard must not be held across an await.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BackendRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Picks a backend server; the request counts as in flight there until the ticket ends or is
    /// dropped.
    ///
    /// # Errors
    ///
    /// The reason why no backend server can take the request.
    pub(crate) fn pick(
        &self,
        requirements: &PickRequirements<'_>,
        now: ClockTime,
    ) -> Result<BackendTicket, PickRefusal> {
        let picked = self.lock().pick(requirements, now, rand::random())?;
        Ok(BackendTicket {
            registry: self.clone(),
            key: picked.key,
            facts: picked.facts,
            version: picked.version,
            unread_tokens: picked.unread_tokens,
            picked_at: picked.picked_at,
            is_ended: false,
        })
    }
}

/// A request in flight at a backend server.
#[derive(Debug)]
pub(crate) struct BackendTicket {
    registry: SharedRegistry,
    /// Key of the backend server.
    pub(crate) key: BackendKey,
    /// Its entry in the store when it was picked.
    pub(crate) facts: Arc<BackendFacts>,
    /// Version of the weights that it had when it was picked; none for plain services.
    pub(crate) version: Option<WeightsVersion>,
    /// Tokens of the prompt that still count as unread there.
    unread_tokens: u32,
    /// When it was picked, on the store's clock.
    picked_at: StoreTime,
    is_ended: bool,
}

impl BackendTicket {
    /// Records that the response has started, which means that the prompt has been read.
    pub(crate) fn note_response_started(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        if unread_tokens > 0 {
            self.with_record(|record| record.note_read(unread_tokens));
        }
    }

    /// Records that the response, received at `now`, advertised `rate`, or no limit.
    pub(crate) fn note_limit(&self, rate: Option<f64>, now: ClockTime) {
        let times = (self.picked_at, now);
        self.registry.lock().note_limit(self.key, rate, times);
    }

    /// Records that the backend server announced that it is leaving.
    pub(crate) fn note_leaving(&self) {
        self.registry.lock().note_leaving(self.key);
    }

    /// Records that the backend server asked at `now` for no requests from this entry host for
    /// `pause`.
    pub(crate) fn note_requested_pause(&self, pause: Duration, now: ClockTime) {
        let mut registry = self.registry.lock();
        registry.note_requested_pause(self.key, pause, now);
    }

    /// Records that the backend server has sent nothing for too long, although the call continues.
    pub(crate) fn note_unresponsive(&self, now: ClockTime) {
        let mut registry = self.registry.lock();
        registry.note_outcome(self.key, CallOutcome::Failed, now, rand::random());
    }

    /// Ends the call with `outcome`.
    pub(crate) fn end(mut self, outcome: CallOutcome, now: ClockTime) {
        self.note_response_started();
        self.is_ended = true;
        self.registry
            .lock()
            .end(self.key, outcome, now, rand::random());
    }

    /// Changes the backend server's record, unless it was removed.
    pub(crate) fn with_record(&self, change: impl FnOnce(&mut BackendRecord)) {
        if let Some(record) = self.registry.lock().get_mut(self.key) {
            change(record);
        }
    }
}

impl Drop for BackendTicket {
    /// Ends the call without an outcome: the request's future was dropped since its client
    /// disconnected.
    fn drop(&mut self) {
        if !self.is_ended {
            self.note_response_started();
            let now = clock_now();
            let registry = self.registry.clone();
            registry
                .lock()
                .end(self.key, CallOutcome::Inconclusive, now, 0);
        }
    }
}
