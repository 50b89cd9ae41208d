//! Configuration of a burst, and the lower bound of the time that any distribution scheme needs.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::documents::SpreadObjective;

/// Copies of the weights that the origin's link carries per window.
pub(super) const ORIGIN_COPIES_PER_WINDOW: u64 = 4;
/// Copies of the weights that a host's link carries per window, in each direction.
pub(super) const HOST_COPIES_PER_WINDOW: u64 = 2;

/// Configuration of the measured burst.
#[apply(plain!)]
pub(super) struct BurstConfig {
    /// Number of hosts.
    pub(super) hosts: usize,
    /// Whether the document asks to save time or bytes sent by the origin.
    pub(super) objective: SpreadObjective,
    /// Seed for the content of the weights and for the choice of the hosts to kill.
    pub(super) seed: u64,
    /// Size of the weights in bytes.
    pub(super) size: u64,
    /// Size of a chunk in bytes.
    pub(super) chunk_size: u64,
    /// Time in which the origin can send `ORIGIN_COPIES_PER_WINDOW` copies of the weights, and a
    /// host `HOST_COPIES_PER_WINDOW`.
    pub(super) window: Duration,
    /// Number of host processes that are killed during the burst.
    pub(super) kill: usize,
    /// Percentage of chunks that are corrupted on their way.
    pub(super) corrupt_percent: u64,
}

impl BurstConfig {
    /// Bandwidth of the origin's link in bytes per second.
    pub(super) fn origin_rate(&self) -> u64 {
        bytes_per_second(self.size * ORIGIN_COPIES_PER_WINDOW, self.window)
    }

    /// Bandwidth of a host's link in bytes per second, in each direction.
    pub(super) fn host_rate(&self) -> u64 {
        bytes_per_second(self.size * HOST_COPIES_PER_WINDOW, self.window)
    }

    /// The least time in seconds in which `size` bytes can reach `hosts` hosts: the largest of the
    /// times that the origin needs to send one copy, that a host needs to receive one copy, and
    /// that the links of the origin and of all hosts together need to send `hosts` copies
    /// (Kumar and Ross 2006).
    pub(super) fn bound_seconds(&self, size: u64, hosts: usize) -> f64 {
        let size = as_float(size);
        let origin = as_float(self.origin_rate());
        let host = as_float(self.host_rate());
        let hosts = as_float(hosts as u64);
        let all_links = hosts * size / (origin + hosts * host);
        (size / origin).max(size / host).max(all_links)
    }
}

fn bytes_per_second(bytes: u64, window: Duration) -> u64 {
    let millis = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
    bytes * 1000 / millis.max(1)
}

/// Converts a count for use in ratios.
#[expect(
    clippy::cast_precision_loss,
    reason = "ratios of measured counts need no more than 52 bits"
)]
pub(super) const fn as_float(number: u64) -> f64 {
    number as f64
}
