//! State of backend servers as reported by the store, by their hosts and in responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::{key, message, plain};
use crate::overload::usual_pace;
use crate::time::{ClockTime, StoreTime, WallTime};

/// Version number of a model's weights. Each version that is set as target has a higher number.
#[apply(key!)]
#[derive(Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct WeightsVersion(pub(crate) u64);

/// A version of a model's weights.
#[apply(message!)]
#[derive(Eq, PartialOrd, Ord)]
pub(crate) struct ModelVersion {
    /// The model's name.
    pub(crate) model: ByteString,
    /// The version of its weights.
    pub(crate) version: WeightsVersion,
}

/// A range of layers of one version that an engine has loaded.
#[apply(message!)]
#[derive(Copy, Eq)]
pub(crate) struct HeldLayers {
    /// First layer of the range.
    pub(crate) from: u32,
    /// End of the range, exclusive.
    pub(crate) to: u32,
    /// Version of these layers.
    pub(crate) version: WeightsVersion,
}

/// The weights that an engine has loaded.
#[apply(message!)]
#[derive(Eq, Default)]
pub(crate) struct EngineHoldings {
    /// The models that are loaded, with their versions.
    pub(crate) models: Vec<ModelVersion>,
    /// The layers that are loaded.
    pub(crate) layers: Vec<HeldLayers>,
}

impl EngineHoldings {
    /// The version of `model` of which all `layers` layers are loaded, if there is one.
    pub(crate) fn complete_version(&self, model: &str, layers: u32) -> Option<WeightsVersion> {
        let mut held = self.models.iter().filter(|held| *held.model == *model);
        held.find(|held| self.is_complete(held.version, layers))
            .map(|held| held.version)
    }

    /// Whether any layer of `version` is loaded.
    pub(crate) fn has_layers_of(&self, version: WeightsVersion) -> bool {
        self.layers.iter().any(|range| range.version == version)
    }

    /// Whether `layer` of `version` is loaded.
    pub(crate) fn has_layer(&self, layer: u32, version: WeightsVersion) -> bool {
        let mut held = self.layers.iter().filter(|range| range.version == version);
        held.any(|range| (range.from..range.to).contains(&layer))
    }

    fn is_complete(&self, version: WeightsVersion, layers: u32) -> bool {
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
    /// It takes new requests.
    Serving,
    /// It is about to stop and takes no new requests.
    Leaving,
}

/// A backend server's entry in the store.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct BackendFacts {
    /// Its name. A restarted backend server keeps its name but none of its former state.
    pub(crate) id: ByteString,
    /// Start time by its own clock, if reported. Together with `id` it identifies an incarnation.
    #[serde(rename = "born")]
    pub(crate) start_time: Option<WallTime>,
    /// Sequence number of this update among the updates of this incarnation, if reported.
    #[serde(rename = "told")]
    pub(crate) sequence: Option<u64>,
    /// The service that it belongs to.
    pub(crate) service: ByteString,
    /// Address for requests. Another backend server may reuse it some time after this one has
    /// stopped.
    pub(crate) address: SocketAddr,
    /// Its data centre.
    pub(crate) data_centre: ByteString,
    /// Number of requests that it processes concurrently.
    pub(crate) slots: u32,
    /// Whether it takes new requests.
    pub(crate) phase: BackendPhase,
    /// Weights that its engine has loaded.
    pub(crate) holdings: EngineHoldings,
    /// Until when it is cold, by its own statement, on the store's clock; `None` if it states
    /// nothing.
    #[serde(default)]
    pub(crate) cold_until: Option<StoreTime>,
}

/// Compares the incarnation that a message describes with the known one.
#[apply(key!)]
pub(crate) enum IncarnationOrder {
    /// An older incarnation; the message is ignored.
    Older,
    /// The known incarnation, or a start time is missing and the two can't be distinguished.
    Same,
    /// A newer incarnation; all former state is obsolete.
    Newer,
}

impl IncarnationOrder {
    /// Compares an incarnation that started at `start_time` with one that started at `known`.
    ///
    /// A restarted backend server has no weights and no requests, while reports, responses and
    /// store entries of its former incarnation may still arrive. If these were applied, requests
    /// would go to an engine without weights, or an engine in service would get none.
    pub(crate) fn of(start_time: Option<WallTime>, known: Option<WallTime>) -> Self {
        match (start_time, known) {
            (Some(start_time), Some(known)) if start_time < known => Self::Older,
            (Some(start_time), Some(known)) if start_time > known => Self::Newer,
            _ => Self::Same,
        }
    }
}

/// Load that a backend server states in a response.
#[apply(key!)]
pub(crate) struct ResponseLoad {
    /// Requests in progress.
    pub(crate) running: u32,
    /// Queued requests.
    pub(crate) waiting: u32,
}

/// Load report that the process colocated with a backend server sends several times a second.
#[apply(message!)]
pub(crate) struct LoadReport {
    /// The backend server's address for requests.
    pub(crate) address: SocketAddr,
    /// Its start time by its own clock, if known.
    #[serde(rename = "born")]
    pub(crate) start_time: Option<WallTime>,
    /// Requests in progress.
    pub(crate) active: u32,
    /// Queued requests.
    pub(crate) queued: u32,
    /// Whether it is about to load weights and takes no new requests until it has.
    pub(crate) is_loading: bool,
    /// Slowdown factor relative to the published speed; 1 where the sender does not report it.
    #[serde(default = "usual_pace")]
    pub(crate) pace: f64,
    /// Weights that its engine has loaded.
    pub(crate) holdings: EngineHoldings,
}

impl LoadReport {
    /// Whether the weights in service, or whether any are, differ from `known`; the load is
    /// ignored.
    pub(crate) fn changes_weights(&self, known: &Self) -> bool {
        self.is_loading != known.is_loading
            || self.start_time != known.start_time
            || self.holdings != known.holdings
    }
}

/// A consistent view of all backend servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    /// Sorted by id.
    pub(crate) backends: Vec<Arc<BackendFacts>>,
}

/// The target version of a model's weights.
#[apply(plain!)]
pub(crate) struct TargetWeights {
    /// The model and its target version.
    pub(crate) target: ModelVersion,
    /// When it was set as target, as far as this process knows.
    pub(crate) target_set_at: ClockTime,
    /// How reliable that time is.
    pub(crate) certainty: TargetTimeCertainty,
}

/// How reliably the time of a target update is known, from least to most reliable.
#[apply(key!)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum TargetTimeCertainty {
    /// The process found the version when it started and assumed that it was set long before.
    Assumed,
    /// The process found the version when it reached the store again, and assumed that it is new.
    Resumed,
    /// The process was following the store and was notified at that time.
    Witnessed,
}

impl TargetWeights {
    /// Whether requests may begin on a previous version at `now`, which is allowed for
    /// `deadline_span` after the target update.
    pub(crate) fn allows_previous(&self, deadline_span: Duration, now: ClockTime) -> bool {
        // The first version replaces none.
        now.since(self.target_set_at) < deadline_span || self.target.version <= WeightsVersion(1)
    }
}
