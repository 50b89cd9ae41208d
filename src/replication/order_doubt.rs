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

/// The layer to order so that the engine releases the others, by what the engine does with it.
#[apply(key!)]
pub(super) enum ReleaseLayer {
    /// The engine keeps it as it is.
    Held(u32),
    /// The engine loads it from staged chunks.
    Loaded(u32),
}

impl ReleaseLayer {
    /// The number of the layer.
    pub(super) const fn layer(self) -> u32 {
        match self {
            Self::Held(layer) | Self::Loaded(layer) => layer,
        }
    }
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
    /// The layer that was loaded anew from chunks that are not known to be corrupt. It may share
    /// chunks with a corrupt layer.
    reloaded: Option<u32>,
}

impl OrderDoubt {
    /// The doubt about the order `number`, which relies on `check`.
    pub(super) fn new(number: OrderNumber, check: &StagingCheck) -> Self {
        Self {
            number,
            target: check.target.clone(),
            range: check.range.clone(),
            corrupt: Vec::new(),
            reloaded: None,
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
            reloaded: None,
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
        if !found.is_empty() {
            self.reloaded = None;
        }
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

    /// Takes over the chunks of `earlier` and what it knows of corrupt ones, if it is about the same
    /// version at the same incarnation. The engine may have loaded them by either order.
    #[must_use]
    pub(super) fn merge(mut self, earlier: Option<&Self>) -> Self {
        let is_same = |earlier: &&Self| {
            earlier.target == self.target && earlier.number.incarnation == self.number.incarnation
        };
        if let Some(earlier) = earlier.filter(is_same) {
            let (from, to) = (earlier.range.start, earlier.range.end);
            self.range = self.range.start.min(from)..self.range.end.max(to);
            if earlier.has_corrupt() {
                self.note_corrupt(&earlier.corrupt);
                self.number = earlier.number;
            }
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
        let is_intact = |layer: &u32| is_held(layer) && self.is_intact(*layer, count, layers);
        let intact = (0..layers).find(is_intact).map(ReleaseLayer::Held);
        let unheld = || (0..layers).find(|layer| !is_held(layer));
        intact
            .or_else(|| unheld().map(ReleaseLayer::Loaded))
            .unwrap_or(ReleaseLayer::Held(0))
    }

    /// The doubt behind an accepted order for the layer `release`, which has the chunks of `range`.
    pub(super) fn after_release(mut self, release: ReleaseLayer, range: Range<u32>) -> Self {
        if let ReleaseLayer::Loaded(layer) = release {
            self.reloaded = Some(layer);
        }
        self.range = range;
        self
    }

    /// Whether all layers of the version that an engine with `holdings` has loaded are intact, of
    /// `layers` layers in `count` chunks.
    pub(super) fn is_released(&self, holdings: &EngineHoldings, count: u32, layers: u32) -> bool {
        let mut held = (0..layers).filter(|layer| holdings.has_layer(*layer, self.target.version));
        held.all(|layer| self.is_intact(layer, count, layers))
    }

    fn is_intact(&self, layer: u32, count: u32, layers: u32) -> bool {
        let mut chunks = layer_chunks(layer, count, layers);
        self.reloaded == Some(layer)
            || chunks.all(|index| self.corrupt.binary_search(&index).is_err())
    }
}
