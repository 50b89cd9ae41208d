//! What all requests of an entry host share.

use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use bytestring::ByteString;
use tokio::sync::Notify;

use super::connection_pool::ConnectionPool;
use super::crash_detector::{CrashDetector, InterruptedRequest};
use super::request_job::RequestJob;
use crate::daemon::DrainState;
use crate::fleet::{
    BackendDesk, BackendKey, BackendPhase, BackendTicket, LimitWord, LoadReport, PurseLimits,
    RetryPurse, SharedDesk,
};
use crate::overload::EntryHostId;
use crate::platform::TimeBounds;
use crate::sync::{ControlSnapshot, EntryRecord, SharedSnapshot};
use crate::time::ClockTime;

/// How much earlier than the bound requests stop going to older weights: time for a request that
/// was sent to an engine with a free place to begin.
const PREVIOUS_VERSION_MARGIN: Duration = Duration::from_millis(800);

/// How much earlier than the bound a request that has not begun on older weights is taken back: time
/// for the close to reach the backend server, 1 to 6 ms away, over a link that carries weights.
const CANCEL_MARGIN: Duration = Duration::from_millis(250);

/// For how long a stopping process takes new requests: the balancer asks for its readiness once a
/// second and stops sending after two refusals.
pub(super) const STOP_ACCEPT_SPAN: Duration = Duration::from_millis(2800);

/// The shared state.
pub(super) struct GatewayState {
    snapshot: SharedSnapshot,
    /// The snapshot that the desk was set to.
    applied: Mutex<Option<Arc<ControlSnapshot>>>,
    pub(super) desk: SharedDesk,
    pub(super) pool: ConnectionPool,
    crashes: CrashDetector,
    pub(super) drain: DrainState,
    /// When the graceful stop began.
    stop_started: OnceLock<ClockTime>,
    /// Told whenever a place at a backend server becomes free.
    pub(super) freed: Notify,
    /// Sorted by service.
    retry_budgets: Mutex<Vec<(ByteString, RetryPurse)>>,
    bounds: TimeBounds,
}

/// What the shared state is made of.
pub(super) struct GatewayParts {
    /// Where the newest control state stands.
    pub(super) snapshot: SharedSnapshot,
    pub(super) crashes: CrashDetector,
    /// This entry host.
    pub(super) me: EntryHostId,
    pub(super) drain: DrainState,
    pub(super) bounds: TimeBounds,
}

impl GatewayState {
    pub(super) fn new(parts: GatewayParts) -> Self {
        let GatewayParts {
            snapshot,
            crashes,
            me,
            drain,
            bounds,
        } = parts;
        Self {
            snapshot,
            crashes,
            applied: Mutex::new(None),
            desk: SharedDesk::new(BackendDesk::new(me)),
            pool: ConnectionPool::default(),
            drain,
            stop_started: OnceLock::new(),
            freed: Notify::new(),
            retry_budgets: Mutex::new(Vec::new()),
            bounds,
        }
    }

    /// The newest control state, whatever the desk knows.
    pub(super) fn newest(&self) -> Arc<ControlSnapshot> {
        self.snapshot.load()
    }

    /// The newest control state; the desk is brought to it first.
    pub(super) fn snapshot(&self) -> Arc<ControlSnapshot> {
        let newest = self.snapshot.load();
        let mut applied = self.applied.lock().unwrap_or_else(PoisonError::into_inner);
        let is_applied = applied
            .as_ref()
            .is_some_and(|applied| Arc::ptr_eq(applied, &newest));
        if !is_applied {
            let retired = {
                let mut desk = self.desk.lock();
                desk.set_clock(newest.clock);
                desk.set_fleet(&newest.fleet);
                desk.share_among(&entry_host_ids(&newest));
                desk.take_retired()
            };
            self.drop_connections(&retired);
            *applied = Some(newest.clone());
        }
        newest
    }

    /// Connections to a backend server that ended lead nowhere, or to another that has its address.
    fn drop_connections(&self, retired: &[BackendKey]) {
        for key in retired {
            self.pool.remove_all(*key);
        }
    }

    /// The graceful stop begins.
    pub(super) fn begin_stop(&self, now: ClockTime) {
        let _ = self.stop_started.set(now);
    }

    /// Whether requests that arrive now are refused.
    ///
    /// The balancer sends new connections for some two seconds after the process has said that it
    /// is not ready, and clients keep connections for longer. A stream that is taken late in the
    /// stop is cut when the process is killed at the end of its grace. One would notice streams that
    /// end together a few seconds after a planned stop. A refusal sends the client to another entry
    /// host at once. A stop that is over refuses as well: nobody waits for what would still be taken.
    pub(super) fn refuses_requests(&self, now: ClockTime) -> bool {
        let begun = self.stop_started.get();
        self.drain.is_finished() || begun.is_some_and(|begun| now.since(*begun) >= STOP_ACCEPT_SPAN)
    }

    /// For how long after a version was named requests may begin on an older one.
    pub(super) fn previous_version_span(&self) -> Duration {
        self.bounds
            .weights_within
            .saturating_sub(PREVIOUS_VERSION_MARGIN)
    }

    /// How long after a version was named a request that waits at an older one is taken back.
    pub(super) fn cancel_after(&self) -> Duration {
        self.bounds.weights_within.saturating_sub(CANCEL_MARGIN)
    }

    /// The processes beside backend servers told their state.
    pub(super) fn note_reports(
        &self,
        reports: impl IntoIterator<Item = LoadReport>,
        now: ClockTime,
    ) {
        let retired = {
            let mut desk = self.desk.lock();
            for report in reports {
                desk.note_report(report, now);
            }
            desk.take_retired()
        };
        self.drop_connections(&retired);
        self.freed.notify_waiters();
    }

    /// Another entry host told of limits.
    pub(super) fn apply_limits(&self, limits: &[LimitWord]) {
        let mut desk = self.desk.lock();
        for limit in limits {
            desk.take_limit(limit);
        }
    }

    /// What other entry hosts are to be told of limits at `now`.
    pub(super) fn take_untold_limits(&self, now: ClockTime) -> Vec<LimitWord> {
        self.desk.lock().take_untold_limits(now)
    }

    /// The backend server of `ticket` closed the connection in the middle of `job`.
    pub(super) fn note_interrupted(&self, job: &RequestJob, ticket: &BackendTicket) {
        let backend = {
            let desk = self.desk.lock();
            let record = desk.get(ticket.key);
            // One that leaves ends by itself and closes what it has not finished.
            let serving = record.filter(|record| record.facts.phase == BackendPhase::Serving);
            serving.map(|record| record.facts.clone())
        };
        if let Some(backend) = backend {
            let key = ticket.key;
            let request = job.digest();
            self.crashes
                .note_interrupted(InterruptedRequest { key, request }, &backend);
        }
    }

    /// A backend server answered `job` whole at `now`.
    pub(super) fn note_answered(&self, job: &RequestJob, now: ClockTime) {
        self.crashes.note_answered(job.digest(), now);
    }

    /// How long `job` is to be sent to no backend server, because they crash under it.
    pub(super) fn quarantine(&self, job: &RequestJob, now: ClockTime) -> Option<Duration> {
        if !self.crashes.has_suspects() {
            return None;
        }
        self.crashes.quarantine(job.digest(), now)
    }

    /// A request for `service` came in, which earns part of a second send.
    pub(super) fn earn_retry(&self, service: &ByteString, now: ClockTime) {
        self.with_retry_budget(service, now, |budget, limits| budget.earn(limits, now));
    }

    /// Takes one second send for `service`, if there is one.
    pub(super) fn spend_retry(&self, service: &ByteString, now: ClockTime) -> bool {
        self.with_retry_budget(service, now, |budget, limits| budget.spend(limits, now))
    }

    /// Gives a second send for `service` back that was not made.
    pub(super) fn refund_retry(&self, service: &ByteString, now: ClockTime) {
        self.with_retry_budget(service, now, |budget, _| budget.refund());
    }

    fn with_retry_budget<T>(
        &self,
        service: &ByteString,
        now: ClockTime,
        action: impl FnOnce(&mut RetryPurse, PurseLimits) -> T,
    ) -> T {
        let limits = PurseLimits {
            ratio: self.bounds.retry_ratio,
            extra: self.bounds.retry_extra,
            window: self.bounds.retry_window,
            entries: self.snapshot.load().entries.len(),
        };
        let mut retry_budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let found = retry_budgets.binary_search_by(|(name, _)| name.cmp(service));
        let at = found.unwrap_or_else(|at| {
            retry_budgets.insert(at, (service.clone(), RetryPurse::new(limits, now)));
            at
        });
        action(&mut retry_budgets[at].1, limits)
    }
}

fn entry_host_ids(snapshot: &ControlSnapshot) -> Vec<EntryHostId> {
    let id = |entry: &EntryRecord| EntryHostId {
        data_centre: entry.data_centre.clone(),
        host: entry.host.clone(),
    };
    snapshot.entries.iter().map(id).collect()
}
