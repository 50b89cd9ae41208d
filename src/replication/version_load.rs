//! Changes the engine of this host to the newest version that is whole here, when its turn has come.

use std::sync::Arc;
use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::time::{sleep, timeout};

use super::chunk_store::ChunkStore;
use super::engine_incarnation::EngineIncarnation;
use super::engine_watch::{EngineState, EngineWatch};
use super::events;
use super::host_wait::{HostWait, WaitBoard};
use super::load_turn::LoadRank;
use super::version_loop::{HostPlace, plan_hosts};
use crate::derives::key;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::fleet::{ModelVersion, WantedWeights, WeightsVersion};
use crate::platform::{EngineClient, EngineReport, LoadOrder, OrderOutcome};
use crate::sync::{ControlSnapshot, SharedControlState};
use crate::time::{ClockTime, clock_now};

const LOOK_PAUSE: Duration = Duration::from_millis(50);
pub(super) const ORDER_WITHIN: Duration = Duration::from_millis(800);
/// How long an engine may take from an order to the version, the requests that it works on included.
const LOAD_WITHIN: Duration = Duration::from_secs(9);
/// The time between the word to entry hosts that the engine is about to change and the order: a
/// request that arrives behind the order is turned away and costs a second send.
const WARNING_SPAN: Duration = Duration::from_millis(25);
/// How many requests an engine may still work on when it is ordered to change and cuts them off. Each
/// goes on at another engine, which reads its prompt again in 30 ms; waiting for the last of sixteen
/// leaves the engine nearly idle for two seconds.
const CUT_MAX: u32 = 6;
/// How long an engine is waited for to come down to so few.
const CALM_WITHIN: Duration = Duration::from_millis(1500);
const CALM_LOOK: Duration = Duration::from_millis(40);
/// How long after an order a report may still show an engine that does nothing: two reports.
const ORDER_SHOWS_WITHIN: Duration = Duration::from_millis(400);
/// The pause after a load that did not end with the version served; doubles with each in a row. A load
/// reads every chunk back, so that a refused order given again at once would keep host and engine busy.
const RETRY_FIRST: Duration = Duration::from_millis(100);
const RETRY_DOUBLINGS: u32 = 4;

/// What the changes work with.
pub(super) struct VersionLoad {
    pub(super) place: HostPlace,
    pub(super) book: SharedControlState,
    pub(super) engine: EngineClient,
    pub(super) store: ChunkStore,
    pub(super) watch: Arc<EngineWatch>,
    pub(super) waits: Arc<WaitBoard>,
    /// How long after it was named a version must have replaced the older ones.
    pub(super) bound: Duration,
}

/// A version that is whole here and newer than what the engine serves.
struct WholeVersion {
    target: ModelVersion,
    layers: u32,
    served: Option<WeightsVersion>,
    incarnation: EngineIncarnation,
}

/// A version that is whole and waits for its turn.
struct WaitingVersion {
    target: ModelVersion,
    /// The engine that is to load it.
    incarnation: EngineIncarnation,
    whole_at: ClockTime,
    /// Loads in a row that did not end with the version served.
    failures: u32,
    retry_at: ClockTime,
}

impl WaitingVersion {
    fn new(found: &WholeVersion, now: ClockTime) -> Self {
        let target = found.target.clone();
        log_event!(events::VERSION_STAGED, "version={}", target.version.0);
        Self {
            target,
            incarnation: found.incarnation,
            whole_at: now,
            failures: 0,
            retry_at: now,
        }
    }

    fn note_failure(&mut self, now: ClockTime) {
        let pause = RETRY_FIRST * (1 << self.failures.min(RETRY_DOUBLINGS));
        self.failures += 1;
        self.retry_at = now + pause;
    }
}

/// How a load ended.
#[apply(key!)]
enum LoadEnd {
    /// The engine serves the version.
    Served,
    /// The engine started again; nothing of the order is left.
    Restarted,
    /// It does not serve the version, and nothing shows that it will.
    Unserved,
}

/// A load under way.
struct LoadRun<'a> {
    target: &'a ModelVersion,
    layers: u32,
    incarnation: EngineIncarnation,
}

impl LoadRun<'_> {
    /// How the load ended, by the engine's `state` after an order of `ordered_at`; none while it goes
    /// on.
    fn end(&self, state: Option<&EngineState>, ordered_at: ClockTime) -> Option<LoadEnd> {
        let Some(state) = state else {
            return Some(LoadEnd::Unserved);
        };
        let report = &state.report;
        let served = report
            .holdings
            .whole_version(&self.target.model, self.layers);
        if state.incarnation != self.incarnation {
            Some(LoadEnd::Restarted)
        } else if served == Some(self.target.version) {
            Some(LoadEnd::Served)
        } else if !report.is_busy && state.asked_at > ordered_at + ORDER_SHOWS_WITHIN {
            Some(LoadEnd::Unserved)
        } else {
            None
        }
    }
}

impl VersionLoad {
    /// Works for as long as the process lives.
    pub(super) async fn run(self) {
        let mut waiting: Option<WaitingVersion> = None;
        loop {
            self.step(&mut waiting).await;
            sleep(LOOK_PAUSE).await;
        }
    }

    async fn step(&self, waiting: &mut Option<WaitingVersion>) {
        let snapshot = self.book.snapshot().load();
        let Some(found) = self.find_whole(&snapshot) else {
            self.waits.set_load(None);
            if let Some(overdue) = self.find_overdue(&snapshot, clock_now())
                && let Err(error) = self.retire(&overdue).await
            {
                log_event!(events::LOAD_REFUSED, "{error}");
            }
            return;
        };
        let now = clock_now();
        // A former engine's turn and failures say nothing of the next.
        let known = waiting
            .take()
            .filter(|known| known.target == found.target && known.incarnation == found.incarnation);
        let version = waiting.insert(known.unwrap_or_else(|| WaitingVersion::new(&found, now)));
        let load_at = self.load_at(&snapshot, version, found.served);
        if now < load_at.max(version.retry_at) {
            self.waits.set_load(Some(HostWait::Turn));
            return;
        }
        let run = LoadRun {
            target: &found.target,
            layers: found.layers,
            incarnation: found.incarnation,
        };
        match self.load(&run).await {
            Ok(LoadEnd::Served | LoadEnd::Restarted) => {}
            Ok(LoadEnd::Unserved) => version.note_failure(clock_now()),
            Err(error) => {
                log_event!(events::LOAD_REFUSED, "{error}");
                version.note_failure(clock_now());
            }
        }
    }

    /// The newest whole version that is newer than what the engine serves.
    fn find_whole(&self, snapshot: &ControlSnapshot) -> Option<WholeVersion> {
        let (model, layers) = self.place.model_of(snapshot)?;
        let state = self.watch.state()?;
        let served = state.report.holdings.whole_version(&model, layers);
        Some(WholeVersion {
            target: self.store.newest_whole(&model, served)?,
            layers,
            served,
            incarnation: state.incarnation,
        })
    }

    /// An engine that serves nothing loads at once.
    fn load_at(
        &self,
        snapshot: &ControlSnapshot,
        version: &WaitingVersion,
        served: Option<WeightsVersion>,
    ) -> ClockTime {
        let whole_at = version.whole_at;
        let is_behind = |targets: &&WantedWeights| {
            targets.target.model == version.target.model && Some(targets.target.version) > served
        };
        let due = snapshot.targets.iter().find(is_behind);
        match (served, due) {
            (Some(_), Some(due)) => {
                let others = plan_hosts(snapshot, &self.place);
                let rank = LoadRank::new(&self.place.me.host, &self.place.me.data_centre, &others);
                rank.load_at(whole_at, due, self.bound)
            }
            _ => whole_at,
        }
    }

    /// Orders the engine to load a version, and waits until it serves it.
    async fn load(&self, run: &LoadRun<'_>) -> SwitchResult<LoadEnd> {
        self.waits.set_load(Some(HostWait::Staging));
        self.store.stage(run.target).await?;
        self.waits.set_load(Some(HostWait::Order));
        self.watch.announce_load(Some(run.incarnation));
        let changed = self.change(run).await;
        self.watch.announce_load(None);
        changed
    }

    async fn change(&self, run: &LoadRun<'_>) -> SwitchResult<LoadEnd> {
        sleep(WARNING_SPAN).await;
        let may_cut = self.may_cut();
        let Some(state) = self.state_for_order(may_cut).await? else {
            return Ok(LoadEnd::Unserved);
        };
        if state.incarnation != run.incarnation {
            return Ok(LoadEnd::Restarted);
        }
        if !state.report.is_busy && !self.order(run.target, &state.report, may_cut).await {
            return Ok(LoadEnd::Unserved);
        }
        self.waits.set_load(Some(HostWait::Load));
        Ok(self.await_version(run).await)
    }

    /// Gives the order; tells whether it may have been taken.
    async fn order(&self, target: &ModelVersion, report: &EngineReport, may_cut: bool) -> bool {
        let order = LoadOrder {
            target: target.clone(),
            layer: None,
            orders_taken: report.orders_taken,
            cuts_requests: may_cut,
        };
        match self.engine.order_load(&order, ORDER_WITHIN).await {
            Ok(OrderOutcome::Begun | OrderOutcome::InForce) => {
                let (version, active) = (target.version.0, report.active);
                log_event!(events::LOAD_ORDERED, "version={version} active={active}");
                true
            }
            Ok(OrderOutcome::Refused) => {
                log_event!(events::LOAD_REFUSED, "version={}", target.version.0);
                false
            }
            // It may have been taken; the report shows it before another is given.
            Err(error) => {
                log_event!(events::LOAD_REFUSED, "{error}");
                true
            }
        }
    }

    /// Whether all requests of this host's service may go on elsewhere.
    pub(super) fn may_cut(&self) -> bool {
        let snapshot = self.book.snapshot().load();
        let catalog = snapshot.catalog.as_ref();
        catalog.is_some_and(|catalog| catalog.may_cut(&self.place.service))
    }

    /// The engine's state just before an order: when it works on few requests, if these are cut off, or when
    /// what waits there would begin on weights that may answer no more. None if the engine told of a former
    /// state.
    async fn state_for_order(&self, may_cut: bool) -> SwitchResult<Option<EngineState>> {
        let until = clock_now() + CALM_WITHIN;
        loop {
            let state = self.watch.ask(ORDER_WITHIN).await?;
            let is_calm = state.as_ref().is_none_or(|state| {
                let report = &state.report;
                let is_calm = report.active + report.queued <= CUT_MAX || report.is_busy;
                is_calm || (report.queued > 0 && self.is_overdue(report, clock_now()))
            });
            if !may_cut || is_calm || clock_now() >= until {
                return Ok(state);
            }
            sleep(CALM_LOOK).await;
        }
    }

    async fn await_version(&self, run: &LoadRun<'_>) -> LoadEnd {
        let ordered_at = clock_now();
        let mut states = self.watch.subscribe();
        let end = |state: &Option<EngineState>| run.end(state.as_ref(), ordered_at);
        let ended = states.wait_for(|state| end(state).is_some());
        let Ok(Ok(state)) = timeout(LOAD_WITHIN, ended).await else {
            return LoadEnd::Unserved;
        };
        let end = end(&state).unwrap_or(LoadEnd::Unserved);
        if end == LoadEnd::Served {
            log_event!(events::VERSION_SERVED, "version={}", run.target.version.0);
            self.store.note_served(run.target);
            self.waits.end_load();
        }
        end
    }
}
