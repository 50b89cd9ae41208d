//! Makes the engine of this host load the newest complete version, at the time that its rank
//! allows.

use std::sync::Arc;
use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::time::{sleep, timeout};

use super::chunk_staging::StagingCheck;
use super::chunk_store::ChunkStore;
use super::engine_incarnation::EngineIncarnation;
use super::engine_monitor::{EngineMonitor, EngineState};
use super::events;
use super::host_wait::{HostWait, WaitPublisher};
use super::load_orders::VerificationStep;
use super::load_rank::LoadRank;
use super::order_doubt::OrderDoubt;
use super::version_fetcher::{BackendHostIdentity, plan_hosts};
use crate::derives::key;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::fleet::{ModelVersion, TargetWeights, WeightsVersion};
use crate::platform::{EngineClient, LoadOrder, OrderOutcome};
use crate::sync::{DeploymentSnapshot, SharedDeploymentState};
use crate::time::{ClockTime, clock_now};

const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time from an order until the engine serves the version, including the requests in
/// progress.
const LOAD_TIMEOUT: Duration = Duration::from_secs(9);
/// Time between the announcement of a load to entry hosts and the order. A request that arrives
/// after the order is rejected and costs a retry.
const ANNOUNCEMENT_LEAD: Duration = Duration::from_millis(25);
/// Longest wait for the number of requests in progress to fall before an order.
const DRAIN_WAIT_MAX: Duration = Duration::from_millis(1500);
/// How long after an order a report may still show an idle engine: two reports.
const ORDER_VISIBLE_SPAN: Duration = Duration::from_millis(400);
/// Pause after a load that did not succeed, doubled for each failure in a row. A load reads every
/// chunk back, so that repeating a refused order at once would keep host and engine busy.
const RETRY_FIRST_PAUSE: Duration = Duration::from_millis(100);
const RETRY_DOUBLINGS: u32 = 4;

/// Loads complete versions into the engine.
pub(super) struct EngineUpdater {
    pub(super) identity: BackendHostIdentity,
    pub(super) deployment_state: SharedDeploymentState,
    pub(super) engine: EngineClient,
    pub(super) store: ChunkStore,
    pub(super) monitor: Arc<EngineMonitor>,
    pub(super) waits: Arc<WaitPublisher>,
    /// How long after a target update the previous versions must be out of service.
    pub(super) weights_deadline: Duration,
    /// The last order whose load is not verified.
    pub(super) doubt: Option<OrderDoubt>,
}

/// A version that is complete here and newer than the one that the engine serves.
struct CompleteVersion {
    target: ModelVersion,
    layers: u32,
    served: Option<WeightsVersion>,
    incarnation: EngineIncarnation,
}

/// A complete version that waits for its load time.
struct PendingVersion {
    target: ModelVersion,
    /// The incarnation of the engine that is to load it.
    incarnation: EngineIncarnation,
    complete_at: ClockTime,
    /// Loads in a row that did not succeed.
    failures: u32,
    retry_at: ClockTime,
}

impl PendingVersion {
    fn new(found: &CompleteVersion, now: ClockTime) -> Self {
        let target = found.target.clone();
        log_event!(events::VERSION_STAGED, "version={}", target.version.0);
        Self {
            target,
            incarnation: found.incarnation,
            complete_at: now,
            failures: 0,
            retry_at: now,
        }
    }

    fn note_failure(&mut self, now: ClockTime) {
        let pause = RETRY_FIRST_PAUSE * (1 << self.failures.min(RETRY_DOUBLINGS));
        self.failures += 1;
        self.retry_at = now + pause;
    }
}

/// How a load ended.
#[apply(key!)]
enum LoadOutcome {
    /// The engine serves the version.
    Served,
    /// The engine restarted, and the order is lost.
    Restarted,
    /// The engine does not serve the version, and does not seem to be loading it.
    Unserved,
}

/// A load in progress.
struct LoadRun<'a> {
    target: &'a ModelVersion,
    layers: u32,
    incarnation: EngineIncarnation,
}

impl LoadRun<'_> {
    /// The outcome of the load by the engine's `state`, after an order at `ordered_at`; none while
    /// it is in progress.
    fn outcome(&self, state: Option<&EngineState>, ordered_at: ClockTime) -> Option<LoadOutcome> {
        let Some(state) = state else {
            return Some(LoadOutcome::Unserved);
        };
        let report = &state.report;
        let served = report
            .holdings
            .complete_version(&self.target.model, self.layers);
        if state.incarnation != self.incarnation {
            Some(LoadOutcome::Restarted)
        } else if served == Some(self.target.version) {
            Some(LoadOutcome::Served)
        } else if !report.is_busy && state.queried_at > ordered_at + ORDER_VISIBLE_SPAN {
            Some(LoadOutcome::Unserved)
        } else {
            None
        }
    }
}

impl EngineUpdater {
    /// Runs for the lifetime of the process.
    pub(super) async fn run(mut self) {
        let mut pending: Option<PendingVersion> = None;
        loop {
            self.step(&mut pending).await;
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn step(&mut self, pending: &mut Option<PendingVersion>) {
        let snapshot = self.deployment_state.snapshot().load();
        match self.verify_load().await {
            Ok(VerificationStep::Proceed) => {}
            Ok(VerificationStep::Wait) => return,
            Err(error) => {
                log_event!(events::LOAD_UNVERIFIED, "{error}");
                return;
            }
        }
        let Some(found) = self.find_complete(&snapshot) else {
            self.waits.set_load(None);
            if let Some(expired) = self.find_expired(&snapshot, clock_now())
                && let Err(error) = self.retire(&expired).await
            {
                log_event!(events::LOAD_REFUSED, "{error}");
            }
            return;
        };
        let now = clock_now();
        // The load time and the failures of a former incarnation do not apply to this one.
        let known = pending
            .take()
            .filter(|known| known.target == found.target && known.incarnation == found.incarnation);
        let version = pending.insert(known.unwrap_or_else(|| PendingVersion::new(&found, now)));
        let load_at = self.load_at(&snapshot, version, found.served);
        if now < load_at.max(version.retry_at) {
            self.waits.set_load(Some(HostWait::Schedule));
            return;
        }
        let run = LoadRun {
            target: &found.target,
            layers: found.layers,
            incarnation: found.incarnation,
        };
        match self.load(&run).await {
            Ok(LoadOutcome::Served | LoadOutcome::Restarted) => {}
            Ok(LoadOutcome::Unserved) => version.note_failure(clock_now()),
            Err(error) => {
                log_event!(events::LOAD_REFUSED, "{error}");
                version.note_failure(clock_now());
            }
        }
    }

    /// The newest complete version that is newer than the one that the engine serves.
    fn find_complete(&self, snapshot: &DeploymentSnapshot) -> Option<CompleteVersion> {
        let (model, layers) = self.identity.model_of(snapshot)?;
        let state = self.monitor.state()?;
        let served = state.report.holdings.complete_version(&model, layers);
        Some(CompleteVersion {
            target: self.store.newest_complete(&model, served)?,
            layers,
            served,
            incarnation: state.incarnation,
        })
    }

    /// When to load `version`. An engine that serves nothing loads at once.
    fn load_at(
        &self,
        snapshot: &DeploymentSnapshot,
        version: &PendingVersion,
        served: Option<WeightsVersion>,
    ) -> ClockTime {
        let complete_at = version.complete_at;
        let is_newer_target = |candidate: &&TargetWeights| {
            candidate.target.model == version.target.model
                && Some(candidate.target.version) > served
        };
        let due = snapshot.targets.iter().find(is_newer_target);
        match (served, due) {
            (Some(_), Some(due)) => {
                let others = plan_hosts(snapshot, &self.identity);
                let rank = LoadRank::new(
                    &self.identity.local.host,
                    &self.identity.local.data_centre,
                    &others,
                );
                rank.load_at(complete_at, due, self.weights_deadline)
            }
            _ => complete_at,
        }
    }

    /// Orders the engine to load a version and waits until it serves it.
    async fn load(&mut self, run: &LoadRun<'_>) -> SwitchResult<LoadOutcome> {
        self.waits.set_load(Some(HostWait::Staging));
        let check = self.store.stage(run.target).await?;
        self.note_check(&check);
        self.waits.set_load(Some(HostWait::Order));
        self.monitor.announce_load(Some(run.incarnation));
        let changed = self.change(run, check).await;
        self.monitor.announce_load(None);
        changed
    }

    async fn change(
        &mut self,
        run: &LoadRun<'_>,
        check: StagingCheck,
    ) -> SwitchResult<LoadOutcome> {
        sleep(ANNOUNCEMENT_LEAD).await;
        let drained_by = self.may_abort().then(|| clock_now() + DRAIN_WAIT_MAX);
        let Some((state, check)) = self.checked_state(check, drained_by).await? else {
            return Ok(LoadOutcome::Unserved);
        };
        if state.incarnation != run.incarnation {
            return Ok(LoadOutcome::Restarted);
        }
        if !state.report.is_busy && !self.order(run, &state, &check).await {
            return Ok(LoadOutcome::Unserved);
        }
        self.waits.set_load(Some(HostWait::Load));
        // The engine takes no requests while it loads, so that this costs them nothing. What does
        // not succeed here is repeated when it has loaded.
        if let Err(error) = self.verify_load().await {
            log_event!(events::LOAD_UNVERIFIED, "{error}");
        }
        let outcome = self.await_version(run).await;
        if outcome == LoadOutcome::Served {
            if self.verify_load().await? == VerificationStep::Wait {
                return Ok(LoadOutcome::Unserved);
            }
            log_event!(events::VERSION_SERVED, "version={}", run.target.version.0);
            self.store.note_served(run.target);
            self.waits.end_load();
        }
        Ok(outcome)
    }

    /// Orders the load of all layers; returns whether the engine may have accepted the order.
    async fn order(
        &mut self,
        run: &LoadRun<'_>,
        state: &EngineState,
        check: &StagingCheck,
    ) -> bool {
        let order = LoadOrder {
            target: run.target.clone(),
            layer: None,
            orders_accepted: state.report.orders_accepted,
            aborts_requests: self.may_abort(),
        };
        let check_age_ms = check.age(clock_now()).as_millis();
        let (version, active) = (run.target.version.0, state.report.active);
        match self.send_order(&order, state.incarnation, check).await {
            Ok(OrderOutcome::Started | OrderOutcome::AlreadyLoaded) => {
                log_event!(
                    events::LOAD_ORDERED,
                    "version={version} active={active} check_age_ms={check_age_ms}"
                );
                true
            }
            Ok(OrderOutcome::Refused) => {
                log_event!(events::LOAD_REFUSED, "version={version}");
                false
            }
            // It may have been accepted; the next report shows that before another order is sent.
            Err(error) => {
                log_event!(events::LOAD_REFUSED, "{error}");
                true
            }
        }
    }

    async fn await_version(&self, run: &LoadRun<'_>) -> LoadOutcome {
        let ordered_at = clock_now();
        let mut states = self.monitor.subscribe();
        let outcome = |state: &Option<EngineState>| run.outcome(state.as_ref(), ordered_at);
        let ended = states.wait_for(|state| outcome(state).is_some());
        let Ok(Ok(state)) = timeout(LOAD_TIMEOUT, ended).await else {
            return LoadOutcome::Unserved;
        };
        outcome(&state).unwrap_or(LoadOutcome::Unserved)
    }
}
