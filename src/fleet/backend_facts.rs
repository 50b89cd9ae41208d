//! What others say of the backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::{key, message, plain};
use crate::overload::usual_pace;
use crate::time::{ClockTime, WallTime};

/// The number of a version of a model's weights; grows with each that is named.
#[apply(key!)]
#[derive(Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct WeightsVersion(pub(crate) u64);

/// A version of a model's weights.
#[apply(message!)]
#[derive(Eq, PartialOrd, Ord)]
pub(crate) struct ModelVersion {
    /// The model's name.
    pub(crate) model: ByteString,
    /// The version.
    pub(crate) version: WeightsVersion,
}

/// Layers that an engine holds, of one version.
#[apply(message!)]
#[derive(Copy, Eq)]
pub(crate) struct HeldLayers {
    /// The first of them.
    pub(crate) from: u32,
    /// The one behind the last.
    pub(crate) to: u32,
    /// Their version.
    pub(crate) version: WeightsVersion,
}

/// What an engine has loaded.
#[apply(message!)]
#[derive(Eq, Default)]
pub(crate) struct EngineHoldings {
    /// The models.
    pub(crate) models: Vec<ModelVersion>,
    /// The layers.
    pub(crate) layers: Vec<HeldLayers>,
}

impl EngineHoldings {
    /// The version of `model` of which all `layers` layers are loaded.
    pub(crate) fn complete_version(&self, model: &str, layers: u32) -> Option<WeightsVersion> {
        let mut held = self.models.iter().filter(|held| *held.model == *model);
        held.find(|held| self.is_whole(held.version, layers))
            .map(|held| held.version)
    }

    fn is_whole(&self, version: WeightsVersion, layers: u32) -> bool {
        let mut next = 0;
        let mut ranges: Vec<&HeldLayers> = self
            .layers
            .iter()
            .filter(|range| range.version == version)
            .collect();
        ranges.sort_unstable_by_key(|range| range.from);
        for range in ranges {
            if range.from > next {
                return false;
            }
            next = next.max(range.to);
        }
        next >= layers
    }
}

/// Whether a backend server takes new requests.
#[apply(key!)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum BackendPhase {
    /// It does.
    Serving,
    /// It is about to end and gets nothing new.
    Leaving,
}

/// What the store says of a backend server.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct BackendFacts {
    /// Its name. It may start again under it, and then knows nothing of before.
    pub(crate) id: ByteString,
    /// When it started, by its own clock: with its name, the incarnation that these facts tell of.
    /// None where it does not say so.
    pub(crate) born: Option<WallTime>,
    /// How many times this incarnation has told the store of itself, if it says so.
    #[serde(rename = "told")]
    pub(crate) sequence: Option<u64>,
    /// Its service.
    pub(crate) service: ByteString,
    /// Where it answers; used again by others some time after it has ended.
    pub(crate) address: SocketAddr,
    /// Its data centre.
    pub(crate) data_centre: ByteString,
    /// How many requests it works on at once.
    pub(crate) slots: u32,
    /// Whether it takes new requests.
    pub(crate) phase: BackendPhase,
    /// What its engine has loaded.
    pub(crate) holdings: EngineHoldings,
}

/// How a word about a backend server stands to the incarnation that is known.
#[apply(key!)]
pub(crate) enum IncarnationOrder {
    /// It tells of a former one and changes nothing.
    Former,
    /// It tells of this one, or cannot be told apart.
    Same,
    /// It tells of a newer one; nothing that was known holds.
    Newer,
}

impl IncarnationOrder {
    /// The order of a word about the incarnation that started at `born`.
    ///
    /// A backend server that starts again under its name holds nothing and has no requests, while
    /// words of before are still on their way: reports, answers, the store's entry. One would notice
    /// requests that are refused by an engine that holds nothing, or an engine that gets none.
    pub(crate) fn of(born: Option<WallTime>, known: Option<WallTime>) -> Self {
        match (born, known) {
            (Some(born), Some(known)) if born < known => Self::Former,
            (Some(born), Some(known)) if born > known => Self::Newer,
            _ => Self::Same,
        }
    }
}

/// A backend server's load, as it tells it in an answer.
#[apply(key!)]
pub(crate) struct ResponseLoad {
    /// Requests that it works on.
    pub(crate) running: u32,
    /// Requests that wait at it.
    pub(crate) waiting: u32,
}

/// What the process beside a backend server says of it, some times a second.
#[apply(message!)]
pub(crate) struct LoadReport {
    /// Where the backend server answers.
    pub(crate) address: SocketAddr,
    /// When it started, by its own clock, if it says so.
    pub(crate) born: Option<WallTime>,
    /// Requests that it works on.
    pub(crate) active: u32,
    /// Requests that wait at it.
    pub(crate) queued: u32,
    /// Whether it is about to load weights and takes no new requests meanwhile.
    pub(crate) is_loading: bool,
    /// How many times slower than published it is; 1 from processes that do not tell it.
    #[serde(default = "usual_pace")]
    pub(crate) pace: f64,
    /// What its engine has loaded.
    pub(crate) holdings: EngineHoldings,
}

impl LoadReport {
    /// Whether other weights answer than by `known`, or none: more than another load.
    pub(crate) fn changes_weights(&self, known: &Self) -> bool {
        self.is_loading != known.is_loading
            || self.born != known.born
            || self.holdings != known.holdings
    }
}

/// All backend servers, as of one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    /// Sorted by id.
    pub(crate) backends: Vec<Arc<BackendFacts>>,
}

/// A version of weights that is to be served.
#[apply(plain!)]
pub(crate) struct TargetWeights {
    /// What is wanted.
    pub(crate) target: ModelVersion,
    /// When it was named, as far as is known.
    pub(crate) target_set_at: ClockTime,
    /// How well that is known.
    pub(crate) certainty: TargetTimeCertainty,
}

/// How well it is known when a version was named, the least first.
#[apply(key!)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum TargetTimeCertainty {
    /// A process found it at its start and took it for old.
    Assumed,
    /// A process that was cut off from the store found it when it was back and took it for new.
    Resumed,
    /// A process that followed the store was told at that moment.
    Witnessed,
}

impl TargetWeights {
    /// Whether requests may begin on an older version at `now`, if they may for `grace` after it
    /// was named.
    pub(crate) fn allows_previous(&self, grace: Duration, now: ClockTime) -> bool {
        // The first version replaces none.
        now.since(self.target_set_at) < grace || self.target.version <= WeightsVersion(1)
    }
}
