//! What this host knows of its engine: the one place that asks it for its state, so that everything
//! here goes by the same incarnation.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::chunk_store::ChunkStore;
use super::engine_incarnation::{EngineIncarnation, IncarnationTracker, ReportOrigin};
use super::events;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::platform::{EngineClient, EngineReport};
use crate::time::{ClockTime, clock_now};

/// The engine's state.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    pub(super) report: EngineReport,
    pub(super) incarnation: EngineIncarnation,
    /// It was so at this moment or later.
    pub(super) queried_at: ClockTime,
}

#[derive(Debug, Default)]
struct MonitorRecord {
    incarnations: IncarnationTracker,
    queried_at: ClockTime,
    /// The incarnation that is about to change its weights.
    loading: Option<EngineIncarnation>,
}

/// The engine's last state, and whether it is about to change its weights.
pub(super) struct EngineMonitor {
    engine: EngineClient,
    store: ChunkStore,
    record: Mutex<MonitorRecord>,
    state: watch::Sender<Option<EngineState>>,
    changed: Notify,
}

impl EngineMonitor {
    /// Watches `engine`. What `store` knows of it ends with each of its incarnations.
    pub(super) fn new(engine: EngineClient, store: ChunkStore) -> Self {
        Self {
            engine,
            store,
            record: Mutex::default(),
            state: watch::Sender::default(),
            changed: Notify::new(),
        }
    }

    /// The engine's last state; none while it does not answer.
    pub(super) fn state(&self) -> Option<EngineState> {
        self.state.borrow().clone()
    }

    /// Follows the state.
    pub(super) fn subscribe(&self) -> watch::Receiver<Option<EngineState>> {
        self.state.subscribe()
    }

    /// Asks the engine for its state; none if the answer tells of a state before one that is known.
    ///
    /// # Errors
    ///
    /// When the engine does not answer within `within`.
    pub(super) async fn query(&self, within: Duration) -> SwitchResult<Option<EngineState>> {
        let queried_at = clock_now();
        let report = self.engine.report(within).await?;
        Ok(self.take(report, queried_at))
    }

    /// Entry hosts are told at once whether the engine is about to change its weights. What was said
    /// of one incarnation is not said of the next, which takes no requests for another reason.
    pub(super) fn announce_load(&self, loading: Option<EngineIncarnation>) {
        self.lock().loading = loading;
        self.changed.notify_one();
    }

    /// Whether an engine in `state` takes no new requests since its weights change.
    pub(super) fn is_loading(&self, state: &EngineState) -> bool {
        state.report.is_busy || self.lock().loading == Some(state.incarnation)
    }

    /// The engine did not answer.
    pub(super) fn note_unresponsive(&self) {
        self.state.send_replace(None);
    }

    /// Waits up to `pause`, or until there is something to tell.
    pub(super) async fn wait(&self, pause: Duration) {
        let _ = timeout(pause, self.changed.notified()).await;
    }

    /// Takes in a report that was asked for at `queried_at`.
    fn take(&self, report: EngineReport, queried_at: ClockTime) -> Option<EngineState> {
        let mut record = self.lock();
        // Two tasks ask; an answer that was overtaken tells nothing new.
        if queried_at < record.queried_at {
            return None;
        }
        let was_unresponsive = self.state.borrow().is_none();
        match record.incarnations.take(&report, was_unresponsive) {
            ReportOrigin::Known => {}
            ReportOrigin::Older => return None,
            ReportOrigin::Restarted => {
                let born = report.born.map(|born| born.0);
                log_event!(events::ENGINE_RESTARTED, "born_ms={born:?}");
                self.store.forget_engine();
            }
        }
        record.queried_at = queried_at;
        let state = EngineState {
            report,
            incarnation: record.incarnations.incarnation(),
            queried_at,
        };
        // Sent before the lock is given back, so that a state never replaces a later one.
        self.state.send_replace(Some(state.clone()));
        Some(state)
    }

    fn lock(&self) -> MutexGuard<'_, MonitorRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
