//! Changes the engine of this host to the newest version that is whole here, when its turn has come.

use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use tokio::time::sleep;

use super::chunk_store::ChunkStore;
use super::events;
use super::load_reports::EngineWatch;
use super::load_turn::LoadRank;
use super::version_loop::{HostPlace, plan_hosts};
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::fleet::{ModelVersion, WantedWeights, WeightsVersion};
use crate::platform::{EngineClient, EngineReport, LoadOrder, OrderOutcome};
use crate::sync::{ControlSnapshot, SharedBook};
use crate::time::{ClockTime, clock_now};

const LOOK_PAUSE: Duration = Duration::from_millis(50);
const ORDER_WITHIN: Duration = Duration::from_millis(800);
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

/// What the changes work with.
pub(super) struct VersionLoad {
    pub(super) place: HostPlace,
    pub(super) book: SharedBook,
    pub(super) engine: EngineClient,
    pub(super) store: ChunkStore,
    pub(super) watch: Arc<EngineWatch>,
    /// How long after it was named a version must have replaced the older ones.
    pub(super) bound: Duration,
}

/// A version that is whole and waits for its turn.
struct WaitingVersion {
    target: ModelVersion,
    whole_at: ClockTime,
}

impl VersionLoad {
    /// Works for as long as the process lives.
    pub(super) async fn run(self) {
        let mut waiting: Option<WaitingVersion> = None;
        loop {
            if let Err(error) = self.step(&mut waiting).await {
                log_event!(events::LOAD_REFUSED, "{error}");
            }
            sleep(LOOK_PAUSE).await;
        }
    }

    async fn step(&self, waiting: &mut Option<WaitingVersion>) -> SwitchResult<()> {
        let snapshot = self.book.snapshot().load();
        let Some((model, layers)) = self.place.model_of(&snapshot) else {
            return Ok(());
        };
        let Some(report) = self.watch.report() else {
            return Ok(());
        };
        let served = report.holdings.whole_version(&model, layers);
        let Some(target) = self.store.newest_whole(&model, served) else {
            return Ok(());
        };
        let now = clock_now();
        let whole_at = match waiting {
            Some(known) if known.target == target => known.whole_at,
            _ => {
                log_event!(events::VERSION_STAGED, "version={}", target.version.0);
                *waiting = Some(WaitingVersion {
                    target: target.clone(),
                    whole_at: now,
                });
                now
            }
        };
        if now >= self.load_at(&snapshot, &model, served, whole_at) {
            self.load(&target, layers).await?;
        }
        Ok(())
    }

    /// An engine that serves nothing loads at once.
    fn load_at(
        &self,
        snapshot: &ControlSnapshot,
        model: &ByteString,
        served: Option<WeightsVersion>,
        whole_at: ClockTime,
    ) -> ClockTime {
        let is_behind = |wanted: &&WantedWeights| {
            wanted.target.model == *model && Some(wanted.target.version) > served
        };
        let due = snapshot.wanted.iter().find(is_behind);
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
    async fn load(&self, target: &ModelVersion, layers: u32) -> SwitchResult<()> {
        self.store.stage(target).await?;
        self.watch.announce_load(true);
        let changed = self.change(target, layers).await;
        self.watch.announce_load(false);
        changed
    }

    async fn change(&self, target: &ModelVersion, layers: u32) -> SwitchResult<()> {
        sleep(WARNING_SPAN).await;
        let may_cut = self.may_cut();
        let report = if may_cut {
            self.await_calm().await?
        } else {
            self.engine.report(ORDER_WITHIN).await?
        };
        if !report.is_busy {
            let order = LoadOrder {
                target: target.clone(),
                orders_taken: report.orders_taken,
                cuts_requests: may_cut,
            };
            let ordered = self.engine.order_load(&order, ORDER_WITHIN).await;
            match ordered {
                Ok(OrderOutcome::Begun | OrderOutcome::InForce) => {
                    let (version, active) = (target.version.0, report.active);
                    log_event!(events::LOAD_ORDERED, "version={version} active={active}");
                }
                Ok(OrderOutcome::Refused) => {
                    log_event!(events::LOAD_REFUSED, "version={}", target.version.0);
                    return Ok(());
                }
                // It may have been taken; the report shows it before another is given.
                Err(error) => log_event!(events::LOAD_REFUSED, "{error}"),
            }
        }
        self.await_version(target, layers).await;
        Ok(())
    }

    /// Whether all requests of this host's service may go on elsewhere.
    fn may_cut(&self) -> bool {
        let snapshot = self.book.snapshot().load();
        let catalog = snapshot.catalog.as_ref();
        catalog.is_some_and(|catalog| catalog.may_cut(&self.place.service))
    }

    /// Waits until the engine works on few requests.
    async fn await_calm(&self) -> SwitchResult<EngineReport> {
        let until = clock_now() + CALM_WITHIN;
        loop {
            let report = self.engine.report(ORDER_WITHIN).await?;
            let is_calm = report.active + report.queued <= CUT_MAX;
            if is_calm || report.is_busy || clock_now() >= until {
                return Ok(report);
            }
            sleep(CALM_LOOK).await;
        }
    }

    async fn await_version(&self, target: &ModelVersion, layers: u32) {
        let mut state = self.watch.subscribe();
        let is_served = |report: &Option<EngineReport>| {
            report.as_ref().is_some_and(|report| {
                report.holdings.whole_version(&target.model, layers) == Some(target.version)
            })
        };
        let waiting = state.wait_for(|report| is_served(report) || report.is_none());
        if let Ok(Ok(report)) = tokio::time::timeout(LOAD_WITHIN, waiting).await
            && is_served(&report)
        {
            log_event!(events::VERSION_SERVED, "version={}", target.version.0);
            self.store.note_served(target);
        }
    }
}
