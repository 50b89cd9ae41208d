//! Makes an engine release expired weights while the newer ones are not complete on this host.
//!
//! A request can reach an engine, or begin there, long after its entry host has abandoned it: it is
//! delayed by a congested link, or queued at the engine while its entry host is stalled. An engine
//! without the previous weights rejects it. An engine releases them when it loads layers of another
//! version. One layer is enough, and need not be loaded again with the rest.

use std::ops::Range;
use std::time::Duration;

use super::engine_incarnation::EngineIncarnation;
use super::engine_updater::EngineUpdater;
use super::events;
use super::load_orders::ORDER_TIMEOUT;
use super::version_fetcher::target_version;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::fleet::{ModelVersion, TargetTimeCertainty};
use crate::platform::{EngineReport, LoadOrder, OrderOutcome};
use crate::sync::DeploymentSnapshot;
use crate::time::{ClockTime, clock_now};
use crate::weights::ChunkMap;

/// How long before their deadline the weights are released. The order and the staging of a layer
/// take about 20 ms each, and entry hosts have taken back queued requests by then.
const RETIRE_LEAD: Duration = Duration::from_millis(200);

/// Expired weights in service, and the layer whose load releases them.
pub(super) struct ExpiredWeights {
    incarnation: EngineIncarnation,
    /// The target version, of which a layer is complete here.
    target: ModelVersion,
    layer: u32,
    chunks: Range<u32>,
}

/// Indices of the chunks that contain `layer`, for a version with `layers` layers and `count`
/// chunks.
pub(super) fn layer_chunks(layer: u32, count: u32, layers: u32) -> Range<u32> {
    let layers = layers.max(1);
    (layer * count / layers)..((layer + 1) * count).div_ceil(layers)
}

/// The first of `layers` layers whose chunks are all held, and their indices.
pub(super) fn first_layer(held: &ChunkMap, layers: u32) -> Option<(u32, Range<u32>)> {
    let mut ranges = (0..layers).map(|layer| (layer, layer_chunks(layer, held.count(), layers)));
    ranges.find(|(_, range)| range.clone().all(|index| held.contains(index)))
}

impl EngineUpdater {
    /// Finds expired weights that the engine serves at `now` and can be made to release.
    pub(super) fn find_expired(
        &self,
        snapshot: &DeploymentSnapshot,
        now: ClockTime,
    ) -> Option<ExpiredWeights> {
        let (model, layers) = self.identity.model_of(snapshot)?;
        let state = self.monitor.state()?;
        if state.report.is_busy || !self.is_expired(&state.report, now) {
            return None;
        }
        let target = target_version(snapshot, model);
        let held = self.store.held(&target)?;
        let (layer, chunks) = first_layer(&held, layers)?;
        Some(ExpiredWeights {
            incarnation: state.incarnation,
            target,
            layer,
            chunks,
        })
    }

    /// Whether the weights served by an engine with this `report` have expired at `now`, or are
    /// about to.
    pub(super) fn is_expired(&self, report: &EngineReport, now: ClockTime) -> bool {
        let snapshot = self.deployment_state.snapshot().load();
        let until = self
            .identity
            .model_of(&snapshot)
            .and_then(|(model, layers)| {
                let served = report.holdings.complete_version(&model, layers)?;
                let newer = snapshot.targets.iter().filter(|candidate| {
                    // An assumed time may be earlier than the true one.
                    candidate.target.model == model
                        && candidate.target.version > served
                        && candidate.certainty > TargetTimeCertainty::Assumed
                });
                newer
                    .map(|newer| newer.target_set_at + self.weights_deadline)
                    .min()
            });
        until.is_some_and(|until| now + RETIRE_LEAD >= until)
    }

    /// Orders the engine to load the layer of `expired`. Requests in progress may end first, unless
    /// others are queued: these would begin too late, and a stalled entry host does not take them
    /// back.
    ///
    /// # Errors
    ///
    /// If the engine does not answer. It may have accepted the order all the same.
    pub(super) async fn retire(&mut self, expired: &ExpiredWeights) -> SwitchResult<()> {
        let ExpiredWeights {
            incarnation,
            target,
            layer,
            chunks,
        } = expired;
        self.monitor.announce_load(Some(*incarnation));
        let ordered = async {
            let check = self.store.stage_range(target, chunks.clone()).await?;
            self.note_check(&check);
            let Some((state, check)) = self.checked_state(check, None).await? else {
                return Ok(OrderOutcome::Refused);
            };
            if state.incarnation != *incarnation {
                return Ok(OrderOutcome::Refused);
            }
            let report = &state.report;
            log_event!(
                events::PREVIOUS_RETIRED,
                "version={} layer={layer} active={} queued={} check_age_ms={}",
                target.version.0,
                report.active,
                report.queued,
                check.age(clock_now()).as_millis()
            );
            let order = LoadOrder {
                target: target.clone(),
                layer: Some(*layer),
                orders_accepted: report.orders_accepted,
                aborts_requests: report.queued > 0 && self.may_abort(),
            };
            self.send_order(&order, *incarnation, &check).await
        };
        let outcome = ordered.await;
        let queried = self.monitor.query(ORDER_TIMEOUT).await;
        self.monitor.announce_load(None);
        queried?;
        if outcome? == OrderOutcome::Refused {
            log_event!(
                events::LOAD_REFUSED,
                "version={} layer={layer}",
                target.version.0
            );
        }
        Ok(())
    }
}
