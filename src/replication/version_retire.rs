//! Takes an engine off weights that may answer no more while the newer ones are not whole here.
//!
//! A request can reach an engine, or begin there, long after its entry host has given it up: it waits in a
//! full link, or at the engine while its entry host stands still. An engine that no longer holds the older
//! weights turns it away. An engine lets go of them when it loads layers of another version; one layer is
//! enough, and it counts for the load of the rest.

use std::ops::Range;
use std::time::Duration;

use super::engine_incarnation::EngineIncarnation;
use super::events;
use super::version_load::{ORDER_WITHIN, VersionLoad};
use super::version_loop::targets;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::fleet::{ModelVersion, NamingCertainty};
use crate::platform::{EngineReport, LoadOrder, OrderOutcome};
use crate::sync::ControlSnapshot;
use crate::time::ClockTime;
use crate::weights::ChunkMap;

/// How long before their bound the engine is taken off older weights: the order and the staging of a layer
/// take some 20 ms each, and entry hosts have taken back what waits.
const RETIRE_BEFORE: Duration = Duration::from_millis(200);

/// An engine that serves weights which may answer no more.
pub(super) struct OverdueWeights {
    incarnation: EngineIncarnation,
    /// The newest version, of which a layer is here.
    target: ModelVersion,
    layer: u32,
    chunks: Range<u32>,
}

/// The chunks of which `layer` of `layers` is made, of `count` in all.
pub(super) fn layer_chunks(layer: u32, count: u32, layers: u32) -> Range<u32> {
    let layers = layers.max(1);
    (layer * count / layers)..((layer + 1) * count).div_ceil(layers)
}

/// The first of `layers` layers all of whose chunks are held, with these.
pub(super) fn first_layer(held: &ChunkMap, layers: u32) -> Option<(u32, Range<u32>)> {
    let mut ranges = (0..layers).map(|layer| (layer, layer_chunks(layer, held.count(), layers)));
    ranges.find(|(_, range)| range.clone().all(|index| held.contains(index)))
}

impl VersionLoad {
    /// What the engine serves beyond its bound at `now`, if it can be taken off it.
    pub(super) fn find_overdue(
        &self,
        snapshot: &ControlSnapshot,
        now: ClockTime,
    ) -> Option<OverdueWeights> {
        let (model, layers) = self.place.model_of(snapshot)?;
        let state = self.watch.state()?;
        if state.report.is_busy || !self.is_overdue(&state.report, now) {
            return None;
        }
        let target = targets(snapshot, model);
        let held = self.store.held(&target)?;
        let (layer, chunks) = first_layer(&held, layers)?;
        Some(OverdueWeights {
            incarnation: state.incarnation,
            target,
            layer,
            chunks,
        })
    }

    /// Whether the weights that an engine of `report` serves may answer no more at `now`, or in a moment.
    pub(super) fn is_overdue(&self, report: &EngineReport, now: ClockTime) -> bool {
        let snapshot = self.book.snapshot().load();
        let until = self.place.model_of(&snapshot).and_then(|(model, layers)| {
            let served = report.holdings.whole_version(&model, layers)?;
            let newer = snapshot.targets.iter().filter(|targets| {
                // An assumed time is earlier than the true one.
                targets.target.model == model
                    && targets.target.version > served
                    && targets.certainty > NamingCertainty::Assumed
            });
            newer.map(|targets| targets.named_at + self.bound).min()
        });
        until.is_some_and(|until| now + RETIRE_BEFORE >= until)
    }

    /// Orders the engine to load the layer that is here. What it works on ends first, unless others wait
    /// there: these would begin late, and their entry hosts do not take them back any more.
    ///
    /// # Errors
    ///
    /// When the engine does not answer; it may have taken the order all the same.
    pub(super) async fn retire(&self, overdue: &OverdueWeights) -> SwitchResult<()> {
        let OverdueWeights {
            incarnation,
            target,
            layer,
            chunks,
        } = overdue;
        self.watch.announce_load(Some(*incarnation));
        let ordered = async {
            self.store.stage_range(target, chunks.clone()).await?;
            let Some(state) = self.watch.ask(ORDER_WITHIN).await? else {
                return Ok(OrderOutcome::Refused);
            };
            if state.incarnation != *incarnation {
                return Ok(OrderOutcome::Refused);
            }
            let report = &state.report;
            log_event!(
                events::OLDER_RETIRED,
                "version={} layer={layer} active={} queued={}",
                target.version.0,
                report.active,
                report.queued
            );
            let order = LoadOrder {
                target: target.clone(),
                layer: Some(*layer),
                orders_taken: report.orders_taken,
                cuts_requests: report.queued > 0 && self.may_cut(),
            };
            self.engine.order_load(&order, ORDER_WITHIN).await
        };
        let outcome = ordered.await;
        let asked = self.watch.ask(ORDER_WITHIN).await;
        self.watch.announce_load(None);
        asked?;
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
