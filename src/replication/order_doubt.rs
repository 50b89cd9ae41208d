//! Loads that are not verified yet. A load is verified once its staged chunks were found intact after
//! the engine had accepted the order; until then the engine may have loaded corrupt chunks.

use std::ops::Range;

use macro_rules_attribute::apply;

use super::chunk_staging::StagingCheck;
use super::engine_incarnation::EngineIncarnation;
use super::engine_monitor::EngineState;
use super::weights_retirement::layer_chunks;
use crate::derives::{key, plain};
use crate::fleet::{EngineHoldings, ModelVersion};

/// The number of an order at one incarnation of the engine.
#[apply(key!)]
pub(super) struct OrderNumber {
    pub(super) incarnation: EngineIncarnation,
    /// Number of orders that the engine had accepted before.
    pub(super) accepted_before: u64,
}

impl OrderNumber {
    /// Whether an engine in `state` has accepted this order.
    pub(super) fn was_accepted(self, state: &EngineState) -> bool {
        self.incarnation == state.incarnation && self.accepted_before < state.report.orders_accepted
    }
}

/// What the engine does with an order that it has accepted.
#[apply(key!)]
pub(super) enum LoadPhase {
    /// It is loading, or still has to.
    InProgress,
    /// It has loaded.
    Loaded,
    /// It has released what it loaded.
    Released,
}

/// The layer to order so that the engine releases the others.
#[apply(key!)]
pub(super) struct ReleaseLayer {
    pub(super) layer: u32,
    /// Whether the engine holds no layer with corrupt chunks afterwards.
    pub(super) is_last: bool,
}

/// An order whose load is not verified.
#[apply(plain!)]
pub(super) struct OrderDoubt {
    /// The order, or the first of several that may have loaded corrupt chunks.
    pub(super) number: OrderNumber,
    pub(super) target: ModelVersion,
    /// The chunks to load.
    pub(super) range: Range<u32>,
    /// Those chunks that were found corrupt after they had been checked for the order.
    corrupt: Vec<u32>,
}

impl OrderDoubt {
    /// The doubt about the order `number`, which relies on `check`.
    pub(super) fn new(number: OrderNumber, check: &StagingCheck) -> Self {
        Self {
            number,
            target: check.target.clone(),
            range: check.range.clone(),
            corrupt: Vec::new(),
        }
    }

    /// The doubt about the load of `target` by an order that this process did not send. Its chunks
    /// in `range` are corrupt as far as `corrupt` says.
    pub(super) fn of_other_process(
        number: OrderNumber,
        target: ModelVersion,
        range: Range<u32>,
        corrupt: Vec<u32>,
    ) -> Self {
        Self {
            number,
            target,
            range,
            corrupt,
        }
    }

    /// What the engine does with the accepted order, by its `state`.
    pub(super) fn phase(&self, state: &EngineState) -> LoadPhase {
        let report = &state.report;
        if report.is_busy {
            LoadPhase::InProgress
        } else if report.holdings.has_layers_of(self.target.version) {
            LoadPhase::Loaded
        } else {
            LoadPhase::Released
        }
    }

    /// Records chunks that were found corrupt.
    pub(super) fn note_corrupt(&mut self, found: &[u32]) {
        self.corrupt.extend_from_slice(found);
        self.corrupt.sort_unstable();
        self.corrupt.dedup();
    }

    /// Records a later check of staged chunks, which has replaced the corrupt ones, or all if it is
    /// of another version.
    pub(super) fn note_check(&mut self, check: &StagingCheck) {
        if check.target == self.target {
            self.note_corrupt(&check.corrupt);
        } else {
            let replaced: Vec<u32> = self.range.clone().collect();
            self.note_corrupt(&replaced);
        }
    }

    /// Takes over what `earlier` knows of corrupt chunks, if it is about the same version at the
    /// same incarnation. The engine may have loaded them by either order.
    #[must_use]
    pub(super) fn merge(mut self, earlier: Option<&Self>) -> Self {
        let is_same = |earlier: &&Self| {
            earlier.target == self.target && earlier.number.incarnation == self.number.incarnation
        };
        if let Some(earlier) = earlier
            .filter(is_same)
            .filter(|earlier| earlier.has_corrupt())
        {
            self.note_corrupt(&earlier.corrupt);
            self.number = earlier.number;
        }
        self
    }

    /// Whether the engine may have loaded corrupt chunks.
    pub(super) fn has_corrupt(&self) -> bool {
        !self.corrupt.is_empty()
    }

    /// Whether it still matters once the order `next` was accepted: the engine refuses this order
    /// from then on, unless it had accepted it before.
    pub(super) fn outlasts(&self, next: OrderNumber) -> bool {
        self.has_corrupt() && self.number < next
    }

    /// The layer to order, of `layers` layers in `count` chunks, so that the engine with `holdings`
    /// releases the others. The engine keeps a layer that it holds and loads one that it does not
    /// hold, so that two orders are necessary if each layer that it holds has corrupt chunks.
    pub(super) fn release_layer(
        &self,
        holdings: &EngineHoldings,
        count: u32,
        layers: u32,
    ) -> ReleaseLayer {
        let version = self.target.version;
        let is_held = |layer: &u32| holdings.has_layer(*layer, version);
        let intact =
            (0..layers).find(|layer| is_held(layer) && self.is_intact(*layer, count, layers));
        let unheld = || (0..layers).find(|layer| !is_held(layer));
        let last = intact.or_else(unheld);
        ReleaseLayer {
            layer: last.unwrap_or(0),
            is_last: last.is_some(),
        }
    }

    /// Whether all layers of the version that an engine with `holdings` has loaded are intact, of
    /// `layers` layers in `count` chunks.
    pub(super) fn is_released(&self, holdings: &EngineHoldings, count: u32, layers: u32) -> bool {
        let mut held = (0..layers).filter(|layer| holdings.has_layer(*layer, self.target.version));
        held.all(|layer| self.is_intact(layer, count, layers))
    }

    fn is_intact(&self, layer: u32, count: u32, layers: u32) -> bool {
        let mut chunks = layer_chunks(layer, count, layers);
        chunks.all(|index| self.corrupt.binary_search(&index).is_err())
    }
}
