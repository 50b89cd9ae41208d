//! The report of a run, as JSON or text.

use macro_rules_attribute::apply;
use serde::Serialize;

use super::baseline::BaselineFigures;
use super::burst::BurstFigures;
use super::live_calls::LiveFigures;
use crate::derives::plain;
use crate::documents::SpreadObjective;

/// Configuration and measurements of one run.
#[apply(plain!)]
#[derive(Serialize)]
pub(super) struct WeightsReport {
    /// Number of hosts.
    pub(super) hosts: usize,
    /// Whether the document asked to save time or bytes sent by the origin.
    pub(super) objective: SpreadObjective,
    /// The run's seed.
    pub(super) seed: u64,
    /// Number of host processes killed during the first burst.
    pub(super) killed: usize,
    /// Percentage of chunks that were corrupted on their way.
    pub(super) corrupt_percent: u64,
    /// Size of the weights in bytes.
    pub(super) weights_bytes: u64,
    /// Size of a chunk in bytes.
    pub(super) chunk_bytes: u64,
    /// Seconds in which the origin can send four copies of the weights and a host two.
    pub(super) window_seconds: f64,
    /// Number of regions that have hosts.
    pub(super) regions: usize,
    /// The first burst, to hosts that served no weights yet.
    #[serde(flatten)]
    pub(super) burst: BurstFigures,
    /// The second burst, to hosts that served live requests; `None` with
    /// `--no-live` or `--curve`.
    pub(super) live: Option<LiveReport>,
    /// 99th percentile of the live requests' latency during the burst, divided by that before it.
    pub(super) live_p99_ratio: Option<f64>,
    /// Live answers that match none of the published versions, such as text of two versions.
    pub(super) mixed: u64,
    /// The baseline in which every host reads the origin; `None` with `--no-baseline`.
    pub(super) baseline: Option<BaselineFigures>,
}

/// Live requests before and during a burst.
#[apply(plain!)]
#[derive(Serialize)]
pub(super) struct LiveReport {
    /// Requests sent before the burst.
    pub(super) before: LiveFigures,
    /// Requests sent during the burst.
    pub(super) during: LiveFigures,
    /// Those sent during the burst until the first host served the new weights.
    pub(super) transfer: LiveFigures,
    /// Those sent after that, while the other hosts switched to the new weights.
    pub(super) rollout: LiveFigures,
    /// The burst, in which each host needs a permit to go out of service for the switch.
    pub(super) burst: BurstFigures,
}

impl WeightsReport {
    /// The report as one line of text.
    pub(super) fn summary(&self) -> String {
        format!(
            "{} hosts, {:?}: {:.2} s, bound {:.2} s, ratio {:.3}, {:.2} origin copies in {} \
             regions, {:.1} messages a host, machine busy {:.2}",
            self.hosts,
            self.objective,
            self.burst.seconds,
            self.burst.bound_seconds,
            self.burst.ratio,
            self.burst.origin_copies,
            self.regions,
            self.burst.messages_per_host,
            self.burst.machine_busy_share,
        )
    }
}
