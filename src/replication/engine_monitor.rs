//! Monitors the engine of this host. It alone queries the engine's state, so that all tasks agree
//! about the engine's incarnation.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::chunk_store::ChunkStore;
use super::engine_incarnation::{EngineIncarnation, IncarnationTracker, ReportOrigin};
use super::events;
use super::order_doubt::OrderNumber;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::platform::{EngineClient, EngineReport};
use crate::time::{ClockTime, clock_now};

/// Longest time for which an engine that served requests when this process started serves none
/// because the digests of its weights are not known. If all hosts start at once while the origin does
/// not answer, no engine would serve any more.
const VERIFICATION_WAIT_MAX: Duration = Duration::from_secs(3);

/// State of the engine.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    pub(super) report: EngineReport,
    pub(super) incarnation: EngineIncarnation,
    /// When it was queried; the state is from this time or later.
    pub(super) queried_at: ClockTime,
}

#[derive(Debug, Default)]
struct MonitorRecord {
    incarnations: IncarnationTracker,
    queried_at: ClockTime,
    /// The incarnation that is about to change its weights.
    loading: Option<EngineIncarnation>,
    /// The last order that the engine had accepted at the first report.
    inherited: Option<InheritedOrder>,
    /// The orders whose loads are verified; none before the first report.
    verified: Option<VerifiedOrders>,
}

impl MonitorRecord {
    /// Notes the orders that the incarnation of `report` had accepted at its first report.
    fn note_incarnation(&mut self, report: &EngineReport, now: ClockTime) {
        let incarnation = self.incarnations.incarnation();
        let verified = match self.verified {
            Some(verified) if verified.incarnation == incarnation => return,
            Some(_) => VerifiedOrders::after_restart(incarnation),
            None => {
                let verified = VerifiedOrders::at_start(incarnation, report);
                self.inherited = Some(InheritedOrder {
                    number: verified.next_order(),
                    idle_since: (!report.is_busy).then_some(now),
                });
                verified
            }
        };
        self.verified = Some(verified);
    }
}

/// The last order that an engine had accepted when this process started.
#[derive(Clone, Copy, Debug)]
struct InheritedOrder {
    number: OrderNumber,
    /// The time of the first report, if the engine had carried out the order by then.
    idle_since: Option<ClockTime>,
}

/// The orders of one incarnation whose loads are known to be of intact chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct VerifiedOrders {
    incarnation: EngineIncarnation,
    /// Their number; the orders behind them are not verified.
    count: u64,
}

impl VerifiedOrders {
    /// At the first report of the engine to this process.
    ///
    /// The last load is not verified: the process that ordered it may have ended before it was. No
    /// order was sent before that one was verified, and an engine without orders holds what it was
    /// started with.
    const fn at_start(incarnation: EngineIncarnation, report: &EngineReport) -> Self {
        Self {
            incarnation,
            count: report.orders_accepted.saturating_sub(1),
        }
    }

    /// The first order behind them.
    const fn next_order(self) -> OrderNumber {
        OrderNumber {
            incarnation: self.incarnation,
            accepted_before: self.count,
        }
    }

    /// At the first report of an engine that has restarted.
    const fn after_restart(incarnation: EngineIncarnation) -> Self {
        Self {
            incarnation,
            count: 0,
        }
    }
}

/// The last known state of the engine, and whether it is about to change its weights.
pub(super) struct EngineMonitor {
    engine: EngineClient,
    store: ChunkStore,
    record: Mutex<MonitorRecord>,
    state: watch::Sender<Option<EngineState>>,
    changed: Notify,
}

impl EngineMonitor {
    /// Monitors `engine`. When it restarts, `store` discards what it knows of the former
    /// incarnation.
    pub(super) fn new(engine: EngineClient, store: ChunkStore) -> Self {
        Self {
            engine,
            store,
            record: Mutex::default(),
            state: watch::Sender::default(),
            changed: Notify::new(),
        }
    }

    /// The last state; none while the engine does not answer.
    pub(super) fn state(&self) -> Option<EngineState> {
        self.state.borrow().clone()
    }

    /// Subscribes to changes of the state.
    pub(super) fn subscribe(&self) -> watch::Receiver<Option<EngineState>> {
        self.state.subscribe()
    }

    /// Queries the engine's state; none if the response is older than the known state.
    ///
    /// # Errors
    ///
    /// If the engine does not answer within `timeout`.
    pub(super) async fn query(&self, timeout: Duration) -> SwitchResult<Option<EngineState>> {
        let queried_at = clock_now();
        let report = self.engine.report(timeout).await?;
        Ok(self.take(report, queried_at))
    }

    /// Sets the incarnation that is about to change its weights, if any, and wakes up the reporting
    /// task so that entry hosts know at once. The setting does not apply to later incarnations,
    /// which take no requests for other reasons.
    pub(super) fn announce_load(&self, loading: Option<EngineIncarnation>) {
        self.lock().loading = loading;
        self.changed.notify_one();
    }

    /// Records that the loads of all orders before `next` are of intact chunks.
    pub(super) fn set_verified(&self, next: OrderNumber) {
        let verified = VerifiedOrders {
            incarnation: next.incarnation,
            count: next.accepted_before,
        };
        self.lock().verified = Some(verified);
        self.changed.notify_one();
    }

    /// The first order of an engine in `state` whose load is not verified, if it has accepted one.
    pub(super) fn unverified(&self, state: &EngineState) -> Option<OrderNumber> {
        let number = self.lock().verified?.next_order();
        number.was_accepted(state).then_some(number)
    }

    /// Whether the order `number` is the last that the engine had accepted when this process started.
    pub(super) fn is_inherited(&self, number: OrderNumber) -> bool {
        let inherited = self.lock().inherited;
        inherited.is_some_and(|inherited| inherited.number == number)
    }

    /// Whether the order `number` was carried out before this process started, and its load could
    /// not be verified for too long as of `now`.
    pub(super) fn is_overdue(&self, number: OrderNumber, now: ClockTime) -> bool {
        let inherited = self.lock().inherited;
        let idle_since = inherited
            .filter(|inherited| inherited.number == number)
            .and_then(|inherited| inherited.idle_since);
        idle_since.is_some_and(|since| now.since(since) >= VERIFICATION_WAIT_MAX)
    }

    /// Whether an engine in `state` takes no new requests, because its weights change or may be
    /// corrupt.
    pub(super) fn is_loading(&self, state: &EngineState) -> bool {
        state.report.is_busy
            || self.unverified(state).is_some()
            || self.lock().loading == Some(state.incarnation)
    }

    /// Records that the engine did not answer.
    pub(super) fn note_unresponsive(&self) {
        self.state.send_replace(None);
    }

    /// Waits for `pause`, or until there is a change to report.
    pub(super) async fn wait(&self, pause: Duration) {
        let _ = timeout(pause, self.changed.notified()).await;
    }

    /// Takes in a report that was queried at `queried_at`.
    fn take(&self, report: EngineReport, queried_at: ClockTime) -> Option<EngineState> {
        let mut record = self.lock();
        // Two tasks query the engine; an outdated response is dropped.
        if queried_at < record.queried_at {
            return None;
        }
        let was_unresponsive = self.state.borrow().is_none();
        match record.incarnations.take(&report, was_unresponsive) {
            ReportOrigin::Known => {}
            ReportOrigin::Older => return None,
            ReportOrigin::Restarted => {
                let start_time = report.start_time.map(|start_time| start_time.0);
                log_event!(events::ENGINE_RESTARTED, "born_ms={start_time:?}");
                self.store.forget_engine();
            }
        }
        record.note_incarnation(&report, queried_at);
        record.queried_at = queried_at;
        let state = EngineState {
            report,
            incarnation: record.incarnations.incarnation(),
            queried_at,
        };
        // Sent while the lock is held, so that a state never replaces a newer one.
        self.state.send_replace(Some(state.clone()));
        Some(state)
    }

    fn lock(&self) -> MutexGuard<'_, MonitorRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
