//! How large a burst is, and the least time that any scheme could take for it.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::documents::SpreadObjective;

/// Copies that the origin's link carries in a window.
pub(super) const ORIGIN_COPIES: u64 = 4;
/// Copies that a host's link carries in a window, in each direction.
pub(super) const HOST_COPIES: u64 = 2;

/// What is measured.
#[apply(plain!)]
pub(super) struct BurstShape {
    /// Hosts.
    pub(super) hosts: usize,
    /// What the document wants to save.
    pub(super) objective: SpreadObjective,
    /// Makes the weights and what is left to chance.
    pub(super) seed: u64,
    /// Bytes of the weights.
    pub(super) size: u64,
    /// Bytes of a chunk.
    pub(super) chunk_size: u64,
    /// The window in which the origin sends four copies and a host two.
    pub(super) window: Duration,
    /// Host processes that are killed on the way.
    pub(super) kill: usize,
    /// Chunks that arrive corrupted, in percent.
    pub(super) corrupt_percent: u64,
}

impl BurstShape {
    /// Bytes a second of the origin's link.
    pub(super) fn origin_rate(&self) -> u64 {
        rate(self.size * ORIGIN_COPIES, self.window)
    }

    /// Bytes a second of a host's link, in each direction.
    pub(super) fn host_rate(&self) -> u64 {
        rate(self.size * HOST_COPIES, self.window)
    }

    /// The least seconds in which `size` bytes can reach `hosts` hosts: the origin sends all once,
    /// each host takes all in, and what all take in is sent by the origin and the hosts (Kumar and
    /// Ross 2006).
    pub(super) fn bound_seconds(&self, size: u64, hosts: usize) -> f64 {
        let size = as_float(size);
        let origin = as_float(self.origin_rate());
        let host = as_float(self.host_rate());
        let hosts = as_float(hosts as u64);
        let all = hosts * size / (origin + hosts * host);
        (size / origin).max(size / host).max(all)
    }
}

fn rate(bytes: u64, window: Duration) -> u64 {
    let millis = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
    bytes * 1000 / millis.max(1)
}

/// `number` for ratios.
#[expect(
    clippy::cast_precision_loss,
    reason = "ratios of measured counts need no more than 52 bits"
)]
pub(super) const fn as_float(number: u64) -> f64 {
    number as f64
}
