//! Orders to the engine to load staged chunks, which were checked shortly before, and the
//! verification of the loads.

use std::time::Duration;

use macro_rules_attribute::apply;
use tokio::time::sleep;

use super::chunk_staging::StagingCheck;
use super::engine_incarnation::EngineIncarnation;
use super::engine_monitor::EngineState;
use super::engine_updater::EngineUpdater;
use super::events;
use super::order_doubt::{LoadPhase, OrderDoubt, OrderNumber};
use super::version_fetcher::target_version;
use super::weights_retirement::layer_chunks;
use crate::derives::key;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::fleet::{EngineHoldings, ModelVersion};
use crate::platform::{LoadOrder, OrderOutcome};
use crate::time::{ClockTime, clock_now};

pub(super) const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of requests in progress that an order may abort. Each continues at another engine, which
/// reads its prompt again in 30 ms; waiting for the last of sixteen would leave the engine nearly
/// idle for two seconds.
const ABORTED_REQUESTS_MAX: u32 = 6;
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Attempts to get a current state and a recent check before an order is abandoned. One fails after
/// a stall of this process, or if reading the chunks back takes too long.
const CHECK_ATTEMPTS_MAX: u32 = 4;

/// What may follow the verification of a load.
#[apply(key!)]
pub(super) enum VerificationStep {
    /// Chunks may be staged and orders sent.
    Proceed,
    /// The engine is loading or releasing, or what it has loaded is not known yet.
    Wait,
}

impl EngineUpdater {
    /// Returns the engine's state just before an order, and a recent check of the chunks to load:
    /// `check` or a repetition of it. None if each state or check was outdated.
    ///
    /// With `drained_by`, waits until then for requests in progress to end.
    ///
    /// # Errors
    ///
    /// If the engine does not answer or a chunk cannot be staged.
    pub(super) async fn checked_state(
        &mut self,
        mut check: StagingCheck,
        drained_by: Option<ClockTime>,
    ) -> SwitchResult<Option<(EngineState, StagingCheck)>> {
        for _ in 0..CHECK_ATTEMPTS_MAX {
            let Some(state) = self.state_for_order(drained_by).await? else {
                continue;
            };
            let now = clock_now();
            if check.is_recent(now) {
                return Ok(Some((state, check)));
            }
            let age_ms = check.age(now).as_millis();
            log_event!(events::STAGING_CHECK_OUTDATED, "age_ms={age_ms}");
            check = self.store.repeat_check(check).await?;
            self.note_check(&check);
        }
        Ok(None)
    }

    /// Returns the engine's state; none if the response was outdated. With `drained_by`, first
    /// waits until few requests are in progress, until queued requests would begin on expired
    /// weights, or until that time.
    async fn state_for_order(
        &self,
        drained_by: Option<ClockTime>,
    ) -> SwitchResult<Option<EngineState>> {
        loop {
            let state = self.monitor.query(ORDER_TIMEOUT).await?;
            let is_drained = state.as_ref().is_none_or(|state| {
                let report = &state.report;
                let is_drained =
                    report.active + report.queued <= ABORTED_REQUESTS_MAX || report.is_busy;
                is_drained || (report.queued > 0 && self.is_expired(report, clock_now()))
            });
            if is_drained || drained_by.is_none_or(|until| clock_now() >= until) {
                return Ok(state);
            }
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Sends `order` to an incarnation of the engine. Its load is not verified yet.
    ///
    /// # Errors
    ///
    /// If the engine does not answer. It may have accepted the order all the same.
    pub(super) async fn send_order(
        &mut self,
        order: &LoadOrder,
        incarnation: EngineIncarnation,
        check: &StagingCheck,
    ) -> SwitchResult<OrderOutcome> {
        let number = OrderNumber {
            incarnation,
            accepted_before: order.orders_accepted,
        };
        let doubt = OrderDoubt::new(number, check);
        let earlier = self.doubt.take();
        self.doubt = Some(doubt.clone().merge(earlier.as_ref()));
        let outcome = self.engine.order_load(order, ORDER_TIMEOUT).await;
        let now = clock_now();
        match outcome {
            Ok(OrderOutcome::Started) => {
                let earlier = earlier.filter(|earlier| earlier.outlasts(number));
                self.doubt = Some(doubt.merge(earlier.as_ref()));
            }
            Ok(OrderOutcome::Refused | OrderOutcome::AlreadyLoaded) => self.doubt = earlier,
            Err(_) => {}
        }
        let is_confirmed = match outcome {
            Ok(OrderOutcome::Started) => check.covers_load(now),
            Ok(OrderOutcome::Refused | OrderOutcome::AlreadyLoaded) => true,
            Err(_) => false,
        };
        if !is_confirmed {
            let (version, age_ms) = (order.target.version.0, check.age(now).as_millis());
            log_event!(
                events::ORDER_UNCONFIRMED,
                "version={version} check_age_ms={age_ms}"
            );
        }
        outcome
    }

    /// Records what `check` tells about a load that is not verified.
    pub(super) fn note_check(&mut self, check: &StagingCheck) {
        if let Some(doubt) = &mut self.doubt {
            doubt.note_check(check);
        }
    }

    /// Verifies the engine's last load: the staged chunks are read back, and if one is corrupt, the
    /// engine is made to release the version, which is then loaded again.
    ///
    /// The engine takes the staged chunks when it accepts an order, and a corrupt chunk stays corrupt
    /// until it is staged again. So chunks that are intact after that time were loaded intact, however
    /// long ago they were checked before the order and whatever has delayed it.
    ///
    /// # Errors
    ///
    /// If the engine does not answer.
    pub(super) async fn verify_load(&mut self) -> SwitchResult<VerificationStep> {
        let Some(known) = self.monitor.state() else {
            return Ok(VerificationStep::Wait);
        };
        if self.doubt.is_none() && self.monitor.unverified(&known).is_none() {
            return Ok(VerificationStep::Proceed);
        }
        let Some(state) = self.monitor.query(ORDER_TIMEOUT).await? else {
            return Ok(VerificationStep::Wait);
        };
        let snapshot = self.deployment_state.snapshot().load();
        let Some((model, layers)) = self.identity.model_of(&snapshot) else {
            return Ok(VerificationStep::Wait);
        };
        let target = target_version(&snapshot, model);
        let Some(mut doubt) = self.doubt_about(&state, &target, layers) else {
            let is_unknown = self.monitor.unverified(&state).is_some();
            return Ok(proceed_if(!is_unknown));
        };
        let phase = doubt.phase(&state);
        if phase == LoadPhase::Released {
            self.set_verified(&state);
            return Ok(VerificationStep::Proceed);
        }
        if self.store.digests(&doubt.target).is_none() {
            if self.monitor.is_overdue(doubt.number, clock_now()) {
                log_event!(events::LOAD_TRUSTED, "version={}", doubt.target.version.0);
                self.set_verified(&state);
            }
            // An engine with an older version serves no requests until it has loaded the target
            // version.
            return Ok(proceed_if(doubt.target != target));
        }
        let held = self.store.held(&doubt.target);
        let is_releasable = phase == LoadPhase::Loaded && held.is_some_and(|held| held.is_full());
        if !doubt.has_corrupt() || is_releasable {
            let corrupt = self.store.find_corrupt(&doubt.target, doubt.range.clone());
            doubt.note_corrupt(&corrupt.await?);
        }
        if !doubt.has_corrupt() {
            self.set_verified(&state);
            return Ok(VerificationStep::Proceed);
        }
        self.doubt = Some(doubt.clone());
        if phase == LoadPhase::InProgress {
            return Ok(VerificationStep::Wait);
        }
        self.release_corrupt(&doubt, &state, (&target, layers))
            .await
    }

    /// What is known of the unverified load of the engine in `state`; none if all loads are verified,
    /// or if it is not known yet what the engine loads.
    fn doubt_about(
        &mut self,
        state: &EngineState,
        target: &ModelVersion,
        layers: u32,
    ) -> Option<OrderDoubt> {
        let is_current = |doubt: &OrderDoubt| doubt.number.incarnation == state.incarnation;
        self.doubt = self.doubt.take().filter(is_current);
        let number = self.monitor.unverified(state)?;
        let sent = self.doubt.as_ref();
        let sent = sent.filter(|doubt| doubt.number.was_accepted(state));
        // The engine may have replaced what it loaded by that order.
        let is_replaced = sent.is_some_and(|doubt| {
            doubt.phase(state) == LoadPhase::Released
                && state.report.holdings != EngineHoldings::default()
        });
        if sent.is_some() && !is_replaced {
            return sent.cloned();
        }
        let is_loaded = !state.report.is_busy;
        is_loaded.then(|| self.doubt_about_other(number, state, (target, layers)))
    }

    /// What is known of the load by the order `number`, which this process did not send, of the engine
    /// in `state`. It covers no chunks while the digests of what is loaded are not known.
    fn doubt_about_other(
        &mut self,
        number: OrderNumber,
        state: &EngineState,
        (target, layers): (&ModelVersion, u32),
    ) -> OrderDoubt {
        let holdings = &state.report.holdings;
        let complete = holdings.complete_version(&target.model, layers);
        let loaded = ModelVersion {
            model: target.model.clone(),
            version: complete.unwrap_or(target.version),
        };
        let Some(digests) = self.store.digests(&loaded) else {
            return OrderDoubt::of_other_process(number, loaded, 0..0, Vec::new());
        };
        let count = digests.count();
        // This process may have staged chunks again since the engine accepted an order while it
        // was running. A former process may have done so if it had released the other layers.
        let corrupt = if self.monitor.is_inherited(number) && complete.is_some() {
            Vec::new()
        } else {
            (0..count).collect()
        };
        log_event!(
            events::LOAD_UNKNOWN,
            "version={} orders={} verified={}",
            loaded.version.0,
            state.report.orders_accepted,
            number.accepted_before
        );
        let doubt = OrderDoubt::of_other_process(number, loaded, 0..count, corrupt);
        self.doubt = Some(doubt.clone());
        doubt
    }

    /// Records that all loads of the engine in `state` are of intact chunks.
    fn set_verified(&mut self, state: &EngineState) {
        self.doubt = None;
        self.monitor.set_verified(OrderNumber {
            incarnation: state.incarnation,
            accepted_before: state.report.orders_accepted,
        });
    }

    /// Makes the engine in `state` release the corrupt layers of `doubt`, once all chunks are held
    /// that it needs to load the version again.
    async fn release_corrupt(
        &mut self,
        doubt: &OrderDoubt,
        state: &EngineState,
        (target, layers): (&ModelVersion, u32),
    ) -> SwitchResult<VerificationStep> {
        let digests = self.store.digests(&doubt.target);
        let count = digests.map_or(0, |digests| digests.count());
        if doubt.is_released(&state.report.holdings, count, layers) {
            self.set_verified(state);
            return Ok(VerificationStep::Proceed);
        }
        let held = self.store.held(&doubt.target);
        if held.is_some_and(|held| held.is_full()) {
            self.release(doubt, state, layers).await?;
            return Ok(VerificationStep::Wait);
        }
        // What is missing of the target version is being fetched. A part of it serves no requests.
        let holdings = &state.report.holdings;
        let complete = holdings.complete_version(&target.model, layers);
        let is_older = doubt.target != *target;
        Ok(proceed_if(is_older || complete != Some(target.version)))
    }

    /// Orders one layer of the version of `doubt`. The engine then releases all others.
    async fn release(
        &mut self,
        doubt: &OrderDoubt,
        state: &EngineState,
        layers: u32,
    ) -> SwitchResult<()> {
        let digests = self.store.digests(&doubt.target);
        let count = digests.map_or(0, |digests| digests.count());
        let release = doubt.release_layer(&state.report.holdings, count, layers);
        log_event!(
            events::LOAD_CORRUPT,
            "version={} layer={release:?}",
            doubt.target.version.0
        );
        let chunks = layer_chunks(release.layer(), count, layers);
        let check = self.store.stage_range(&doubt.target, chunks).await?;
        let order = LoadOrder {
            target: doubt.target.clone(),
            layer: Some(release.layer()),
            orders_accepted: state.report.orders_accepted,
            aborts_requests: true,
        };
        let outcome = self.send_order(&order, state.incarnation, &check).await?;
        if outcome == OrderOutcome::Started {
            let range = check.range.clone();
            self.doubt = Some(doubt.clone().after_release(release, range));
        }
        Ok(())
    }

    /// Whether all requests of this host's service can resume at another backend server.
    pub(super) fn may_abort(&self) -> bool {
        let snapshot = self.deployment_state.snapshot().load();
        let catalog = snapshot.catalog.as_ref();
        catalog.is_some_and(|catalog| catalog.can_resume_elsewhere(&self.identity.service))
    }
}

fn proceed_if(may_proceed: bool) -> VerificationStep {
    if may_proceed {
        VerificationStep::Proceed
    } else {
        VerificationStep::Wait
    }
}
