//! The desk as requests share it, and a request's place at a backend server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::backend_desk::{BackendKey, BackendRegistry};
use super::backend_facts::{BackendFacts, WeightsVersion};
use super::backend_record::{BackendRecord, CallOutcome};
use super::pick::{PickRefusal, PickRequirements};
use crate::time::{ClockTime, StoreTime, clock_now};

/// The desk as requests share it.
#[derive(Clone, Debug)]
pub(crate) struct SharedRegistry {
    desk: Arc<Mutex<BackendRegistry>>,
}

impl SharedRegistry {
    /// Shares `desk`.
    pub(crate) fn new(desk: BackendRegistry) -> Self {
        Self {
            desk: Arc::new(Mutex::new(desk)),
        }
    }

    /// The desk, for a moment; never held while waiting.
    pub(crate) fn lock(&self) -> MutexGuard<'_, BackendRegistry> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses a backend server; the request counts as under way there until the ticket ends.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub(crate) fn pick(
        &self,
        need: &PickRequirements<'_>,
        now: ClockTime,
    ) -> Result<BackendTicket, PickRefusal> {
        let picked = self.lock().pick(need, now, rand::random())?;
        Ok(BackendTicket {
            desk: self.clone(),
            key: picked.key,
            facts: picked.facts,
            version: picked.version,
            unread: picked.unread,
            asked: picked.asked,
            is_ended: false,
        })
    }
}

/// A request under way at a backend server.
#[derive(Debug)]
pub(crate) struct BackendTicket {
    desk: SharedRegistry,
    /// Where.
    pub(crate) key: BackendKey,
    /// What the store says of it.
    pub(crate) facts: Arc<BackendFacts>,
    /// The version of weights that it had when it was chosen; none for plain services.
    pub(crate) version: Option<WeightsVersion>,
    /// Tokens of its prompt that count as unread there.
    unread: u32,
    /// When it was chosen.
    asked: StoreTime,
    is_ended: bool,
}

impl BackendTicket {
    /// The backend server began to answer: the prompt is read.
    pub(crate) fn note_response_started(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if unread > 0 {
            self.with_record(|record| record.note_read(unread));
        }
    }

    /// Its answer, which came at `now`, names `rate`, or no limit.
    pub(crate) fn note_limit(&self, rate: Option<f64>, now: ClockTime) {
        let times = (self.asked, now);
        self.desk.lock().note_limit(self.key, rate, times);
    }

    /// The backend server has sent nothing for too long, and the call goes on.
    pub(crate) fn note_unresponsive(&self, now: ClockTime) {
        let mut desk = self.desk.lock();
        desk.note_outcome(self.key, CallOutcome::Failed, now, rand::random());
    }

    /// The call ended.
    pub(crate) fn end(mut self, end: CallOutcome, now: ClockTime) {
        self.note_response_started();
        self.is_ended = true;
        self.desk.lock().end(self.key, end, now, rand::random());
    }

    /// Changes the backend server's record, if it is still there.
    pub(crate) fn with_record(&self, change: impl FnOnce(&mut BackendRecord)) {
        if let Some(record) = self.desk.lock().get_mut(self.key) {
            change(record);
        }
    }
}

impl Drop for BackendTicket {
    /// The client left: the request's future was dropped wherever it stood.
    fn drop(&mut self) {
        if !self.is_ended {
            self.note_response_started();
            let now = clock_now();
            let desk = self.desk.clone();
            desk.lock().end(self.key, CallOutcome::Inconclusive, now, 0);
        }
    }
}
