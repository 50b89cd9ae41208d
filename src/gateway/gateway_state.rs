//! State that all requests of an entry host share.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;
use tokio::sync::Notify;

use super::connection_pool::ConnectionPool;
use super::crash_detector::{CrashDetector, InterruptedRequest};
use super::request_job::RequestJob;
use super::retry_budgets::{ResendReason, RetryBudgets, RetryCharge, SharedLimits};
use crate::capacity::{ConnectionTimeouts, ListenerRole, SharedAccount};
use crate::catalog::CallerLimits;
use crate::daemon::{DrainState, StallClock};
use crate::derives::key;
use crate::errors::ErrorKind;
use crate::fleet::{
    BackendKey, BackendRecord, BackendRegistry, BackendTicket, ColdLimit, LimitAnnouncement,
    LoadReport, RetryShareLimits, SharedRegistry,
};
use crate::overload::{DemandMeter, EntryHostId};
use crate::placement::{PlacementDenial, PlacementRules, RegionMap};
use crate::platform::PlatformBounds;
use crate::quarantine::CrashSuspect;
use crate::sync::{DeploymentSnapshot, EntryRecord, SharedSnapshot};
use crate::time::ClockTime;

/// How long before the deadline of a target version requests stop going to previous versions: time
/// for a request at an engine with a free slot to start.
const PREVIOUS_VERSION_MARGIN: Duration = Duration::from_millis(800);

/// How long before that deadline a request is cancelled that has not started on a previous version:
/// time for the close to reach the backend server, 1 to 6 ms away, over a link that carries
/// weights.
const CANCEL_MARGIN: Duration = Duration::from_millis(250);

/// How long a stopping process accepts new requests. The load balancer checks readiness once a
/// second and stops sending after two failed checks.
pub(super) const STOP_ACCEPT_SPAN: Duration = Duration::from_millis(2800);

/// How far a backend server has come with a request.
#[apply(key!)]
pub(super) enum RunProgress {
    /// It has sent nothing of the answer, or only its beginning.
    NotBegun,
    /// It has gone on beyond the beginning of the answer, so that beginning it did no harm.
    Begun,
}

/// State of an entry host that its requests share.
pub(super) struct GatewayState {
    snapshot: SharedSnapshot,
    /// Snapshot that was last applied to `registry`.
    applied: Mutex<Option<Arc<DeploymentSnapshot>>>,
    pub(super) registry: SharedRegistry,
    pub(super) pool: ConnectionPool,
    pub(super) crash_detector: CrashDetector,
    pub(super) drain: DrainState,
    /// What the process holds.
    pub(super) account: SharedAccount,
    /// The limits that `account` applies to clients.
    caller_limits: Mutex<Option<CallerLimits>>,
    /// When the graceful stop began.
    stop_started: OnceLock<ClockTime>,
    /// Notified whenever a slot at a backend server becomes free.
    pub(super) freed: Notify,
    /// Recent arrivals, sorted by service.
    demand: Mutex<Vec<(ByteString, DemandMeter)>>,
    retry_budgets: RetryBudgets,
    stall_clock: Mutex<StallClock>,
    bounds: PlatformBounds,
    regions: Arc<RegionMap>,
}

/// Parts of a `GatewayState`.
pub(super) struct GatewayParts {
    /// Source of the newest snapshot.
    pub(super) snapshot: SharedSnapshot,
    pub(super) crash_detector: CrashDetector,
    /// This entry host.
    pub(super) own_id: EntryHostId,
    pub(super) drain: DrainState,
    /// What the process holds.
    pub(super) account: SharedAccount,
    pub(super) bounds: PlatformBounds,
    /// The regions of the data centres.
    pub(super) regions: RegionMap,
}

impl GatewayState {
    pub(super) fn new(parts: GatewayParts) -> Self {
        let GatewayParts {
            snapshot,
            crash_detector,
            own_id,
            drain,
            account,
            bounds,
            regions,
        } = parts;
        Self {
            snapshot,
            crash_detector,
            applied: Mutex::new(None),
            registry: SharedRegistry::new(BackendRegistry::new(own_id)),
            pool: ConnectionPool::default(),
            drain,
            account,
            caller_limits: Mutex::default(),
            stop_started: OnceLock::new(),
            freed: Notify::new(),
            demand: Mutex::new(Vec::new()),
            retry_budgets: RetryBudgets::default(),
            stall_clock: Mutex::default(),
            bounds,
            regions: Arc::new(regions),
        }
    }

    /// Returns the newest snapshot without applying it.
    pub(super) fn newest_snapshot(&self) -> Arc<DeploymentSnapshot> {
        self.snapshot.load()
    }

    /// Returns the newest snapshot after applying it to `registry` at `now`.
    pub(super) fn snapshot(&self, now: ClockTime) -> Arc<DeploymentSnapshot> {
        let newest = self.snapshot.load();
        let mut applied = self.applied.lock().unwrap_or_else(PoisonError::into_inner);
        let is_applied = applied
            .as_ref()
            .is_some_and(|applied| Arc::ptr_eq(applied, &newest));
        if !is_applied {
            let retired = {
                let mut registry = self.registry.lock();
                registry.set_clock(newest.clock);
                registry.set_evacuated(&newest.evacuated, now);
                registry.set_fleet(&newest.fleet, now);
                registry.assign_shares(&entry_host_ids(&newest));
                registry.take_retired()
            };
            self.drop_connections(&retired);
            *applied = Some(newest.clone());
        }
        newest
    }

    /// Closes idle connections to backend servers that have ended. Another backend server may
    /// listen at such an address by now.
    fn drop_connections(&self, retired: &[BackendKey]) {
        for key in retired {
            self.pool.remove_all(*key);
        }
    }

    /// Applies the limits of the document in force to the connections of clients.
    pub(super) fn apply_caller_limits(&self) {
        let snapshot = self.snapshot.load();
        let Some(limits) = snapshot.catalog.as_ref().map(|catalog| catalog.limits) else {
            return;
        };
        let mut applied = self
            .caller_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if applied.replace(limits) != Some(limits) {
            let timeouts = ConnectionTimeouts {
                head: limits.head_timeout,
                idle: Some(limits.idle_timeout),
                // The deadline of the request limits it.
                body: None,
            };
            self.account
                .set_client_limits(ListenerRole::Clients, limits.header_bytes, timeouts);
        }
    }

    /// Starts the graceful stop.
    pub(super) fn begin_stop(&self, now: ClockTime) {
        let _ = self.stop_started.set(now);
    }

    /// Returns whether requests that arrive at `now` are refused.
    ///
    /// The load balancer opens new connections for about two seconds after the process has become
    /// unready, and clients keep connections for longer. A stream that is accepted late in the stop
    /// is cut when the process is killed at the end of its grace period; the symptom is streams
    /// that end together a few seconds after a planned stop. A refused client goes to another entry
    /// host at once. A completed stop refuses requests as well, because the process no longer waits
    /// for them.
    pub(super) fn refuses_requests(&self, now: ClockTime) -> bool {
        let started = self.stop_started.get();
        self.drain.is_finished()
            || started.is_some_and(|started| now.since(*started) >= STOP_ACCEPT_SPAN)
    }

    /// Returns the rules of `snapshot` on the data centre that may serve `job`.
    pub(super) fn placement(
        &self,
        job: &RequestJob,
        snapshot: &DeploymentSnapshot,
    ) -> PlacementRules {
        PlacementRules {
            homes: job.homes(snapshot),
            regions: self.regions.clone(),
            evacuated: snapshot.evacuated.clone(),
        }
    }

    /// Returns what cold backend servers accept of the service of `job`.
    pub(super) fn cold_limit(
        &self,
        job: &RequestJob,
        snapshot: &DeploymentSnapshot,
    ) -> Option<ColdLimit> {
        job.cold_limit(snapshot, self.bounds.cold_overshoot)
    }

    /// Returns why `job` may not be sent to the backend server of `ticket` any more, by what has
    /// become known since it was picked.
    pub(super) fn send_denial(
        &self,
        job: &RequestJob,
        ticket: &BackendTicket,
        now: ClockTime,
    ) -> Option<ErrorKind> {
        let snapshot = self.snapshot(now);
        let placement = self.placement(job, &snapshot);
        let is_serving = {
            let registry = self.registry.lock();
            let record = registry.get(ticket.key);
            record.is_some_and(BackendRecord::is_serving)
        };
        match placement.check(&ticket.facts.data_centre) {
            Err(PlacementDenial::Evacuated) => Some(ErrorKind::DataCentresEvacuated),
            Err(PlacementDenial::OutsideHomes) => Some(ErrorKind::HomeRegionsUnavailable),
            Ok(()) if !is_serving => Some(ErrorKind::BackendLeaving),
            Ok(()) => None,
        }
    }

    /// Returns how long after a target update requests may start on a previous version.
    pub(super) fn previous_version_span(&self) -> Duration {
        self.bounds
            .weights_deadline
            .saturating_sub(PREVIOUS_VERSION_MARGIN)
    }

    /// Returns how long after a target update a request that waits on a previous version is
    /// cancelled.
    pub(super) fn cancel_after(&self) -> Duration {
        self.bounds.weights_deadline.saturating_sub(CANCEL_MARGIN)
    }

    /// Applies load reports of the processes colocated with backend servers.
    pub(super) fn note_reports(
        &self,
        reports: impl IntoIterator<Item = LoadReport>,
        now: ClockTime,
    ) {
        let retired = {
            let mut registry = self.registry.lock();
            for report in reports {
                registry.note_report(report, now);
            }
            registry.take_retired()
        };
        self.drop_connections(&retired);
        self.freed.notify_waiters();
    }

    /// Applies rate limits that another entry host announced.
    pub(super) fn apply_limits(&self, limits: &[LimitAnnouncement]) {
        let mut registry = self.registry.lock();
        for limit in limits {
            registry.apply_limit(limit);
        }
    }

    /// Takes the rate limits that are to be announced to other entry hosts at `now`.
    pub(super) fn take_pending_limits(&self, now: ClockTime) -> Vec<LimitAnnouncement> {
        self.registry.lock().take_pending_limits(now)
    }

    /// Records that the backend server of `ticket` closed the connection while it ran `job`, after
    /// `progress`.
    pub(super) fn note_interrupted(
        &self,
        job: &RequestJob,
        ticket: &BackendTicket,
        progress: RunProgress,
    ) {
        let backend = {
            let registry = self.registry.lock();
            let record = registry.get(ticket.key);
            // A leaving backend server ends by itself and closes the connections of unfinished
            // requests.
            let serving = record.filter(|record| record.is_serving());
            serving.map(|record| record.facts.clone())
        };
        if let Some(backend) = backend {
            let mut suspects = vec![CrashSuspect::of_request(job.digest())];
            if progress == RunProgress::NotBegun {
                suspects.extend(job.suspect_parts());
            }
            let interrupted = InterruptedRequest {
                key: ticket.key,
                suspects,
            };
            self.crash_detector.note_interrupted(interrupted, &backend);
        }
    }

    /// Records that a backend server answered `job` in full at `now`.
    pub(super) fn note_answered(&self, job: &RequestJob, now: ClockTime) {
        self.crash_detector.note_answered(job.digest(), now);
    }

    /// Records that a backend server ran `job` beyond the beginning of its answer.
    pub(super) fn note_begun(&self, job: &RequestJob, now: ClockTime) {
        self.crash_detector.note_begun(job.suspect_parts(), now);
    }

    /// Returns what of `job` is quarantined, and how long it must not be sent to any backend server
    /// because of that.
    pub(super) fn quarantine(
        &self,
        job: &RequestJob,
        now: ClockTime,
    ) -> Option<(CrashSuspect, Duration)> {
        let whole = std::iter::once_with(|| CrashSuspect::of_request(job.digest()));
        let suspects = whole.chain(job.suspect_parts());
        self.crash_detector.quarantine(suspects, now)
    }

    /// Records the arrival of `job`, as demand for its service.
    pub(super) fn note_demand(&self, job: &RequestJob) {
        let service = &job.routed.service;
        let mut demand = self.demand.lock().unwrap_or_else(PoisonError::into_inner);
        let found = demand.binary_search_by(|(name, _)| name.cmp(service));
        let at = found.unwrap_or_else(|at| {
            demand.insert(at, (service.clone(), DemandMeter::default()));
            at
        });
        demand[at].1.note_arrival(job.routed.rank, job.arrived);
    }

    /// Returns the part of each engine's slots that `job` leaves to more urgent requests. `lot` is
    /// random, from 0 to 1, and the same for each search of one request.
    pub(super) fn reserved_part(&self, job: &RequestJob, lot: f64) -> f64 {
        let demand = self.demand.lock().unwrap_or_else(PoisonError::into_inner);
        let found = demand.binary_search_by(|(name, _)| name.cmp(&job.routed.service));
        found.map_or(0.0, |at| demand[at].1.reserved_part(job.routed.rank, lot))
    }

    /// Records a new request for `service`, which adds to its retry budget.
    pub(super) fn credit_retry(&self, service: &ByteString, now: ClockTime) {
        let sent_at = self.stall_clock().waiting_since(now);
        self.retry_budgets
            .credit(service, sent_at, self.retry_limits(now), now);
    }

    /// Records that the process runs at `now`. It is called every `CHECK_INTERVAL`.
    pub(super) fn check_stall(&self, now: ClockTime) {
        self.stall_clock().check(now);
    }

    fn stall_clock(&self) -> MutexGuard<'_, StallClock> {
        self.stall_clock
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes one retry from the budget of `service`, if one is left.
    pub(super) fn try_charge_retry(
        &self,
        service: &ByteString,
        reason: ResendReason,
        now: ClockTime,
    ) -> Option<RetryCharge> {
        let limits = self.retry_limits(now);
        let charge = self.retry_budgets.try_charge(service, reason, limits, now);
        if charge.is_some() {
            let snapshot = self.snapshot.load();
            snapshot.has_spent.store(true, Ordering::Relaxed);
        }
        charge
    }

    /// Takes a retry at `now` instead of `charge`, if one is left; otherwise returns `charge` to the
    /// budget of `service`.
    pub(super) fn try_renew_charge(
        &self,
        service: &ByteString,
        charge: RetryCharge,
        now: ClockTime,
    ) -> Option<RetryCharge> {
        let limits = self.retry_limits(now);
        self.retry_budgets.try_renew(service, charge, limits, now)
    }

    /// Returns an unused retry to the budget of `service`.
    pub(super) fn refund_retry(&self, service: &ByteString, charge: RetryCharge, now: ClockTime) {
        let limits = self.retry_limits(now);
        self.retry_budgets.refund(service, charge, limits, now);
    }

    /// Records that a request for `service` is sent again without using the budget.
    pub(super) fn note_free_resend(&self, service: &ByteString, now: ClockTime) {
        let limits = self.retry_limits(now);
        self.retry_budgets
            .note_free(service, ResendReason::NotSent, limits, now);
    }

    fn retry_limits(&self, now: ClockTime) -> SharedLimits {
        let snapshot = self.snapshot.load();
        SharedLimits {
            limits: RetryShareLimits {
                ratio: self.bounds.retry_ratio,
                extra: self.bounds.retry_extra,
                window: self.bounds.retry_window,
                entries: snapshot.entry_sharing.divisor(now),
                counted_since: snapshot.entry_sharing.counted_since,
            },
            list_digest: snapshot.entries_digest,
        }
    }
}

fn entry_host_ids(snapshot: &DeploymentSnapshot) -> Vec<EntryHostId> {
    let id = |entry: &EntryRecord| EntryHostId {
        data_centre: entry.data_centre.clone(),
        host: entry.host.clone(),
    };
    snapshot.entries.iter().map(id).collect()
}
