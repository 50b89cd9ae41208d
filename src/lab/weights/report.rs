//! What a run came to, as JSON or text.

use macro_rules_attribute::apply;
use serde::Serialize;

use super::baseline::BaselineFigures;
use super::burst::BurstFigures;
use super::live::LiveFigures;
use crate::derives::plain;
use crate::documents::SpreadObjective;

/// A run's figures.
#[apply(plain!)]
#[derive(Serialize)]
pub(super) struct WeightsReport {
    /// Hosts.
    pub(super) hosts: usize,
    /// What the document wanted to save.
    pub(super) objective: SpreadObjective,
    /// The run's seed.
    pub(super) seed: u64,
    /// Host processes killed on the way.
    pub(super) killed: usize,
    /// Chunks corrupted, in percent.
    pub(super) corrupt_percent: u64,
    /// Bytes of the weights.
    pub(super) weights_bytes: u64,
    /// Bytes of a chunk.
    pub(super) chunk_bytes: u64,
    /// Seconds of the window in which the origin sends four copies and a host two.
    pub(super) window_seconds: f64,
    /// Regions with hosts.
    pub(super) regions: usize,
    /// The burst to hosts that served nothing.
    #[serde(flatten)]
    pub(super) burst: BurstFigures,
    /// The burst to hosts that served live requests, where it was asked for.
    pub(super) live: Option<LiveReport>,
    /// The slowest of 99 in 100 live answers during the burst against before.
    pub(super) live_p99_ratio: Option<f64>,
    /// Live answers that no single version gives.
    pub(super) mixed: u64,
    /// Everyone reads the origin.
    pub(super) baseline: Option<BaselineFigures>,
}

/// Live requests before and during a burst.
#[apply(plain!)]
#[derive(Serialize)]
pub(super) struct LiveReport {
    /// Before.
    pub(super) before: LiveFigures,
    /// During.
    pub(super) during: LiveFigures,
    /// The part of these that were made until the first host served the new weights.
    pub(super) transfer: LiveFigures,
    /// The part that were made while hosts went over to them.
    pub(super) rollout: LiveFigures,
    /// The burst, in which each host went out of service under a permit.
    pub(super) burst: BurstFigures,
}

impl WeightsReport {
    /// The report as one line of text.
    pub(super) fn line(&self) -> String {
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
