//! When a manifest itself is to be doubted.
//!
//! A manifest can agree with itself and lie: about the chunks' size, or about one chunk's digest.
//! Then that chunk never matches, whoever sends it, and the host would fetch it for ever. One would
//! notice the same chunk refused again and again from different sources. A chunk that is wrong
//! several times in a row, which links and hosts seldom make of a good one, therefore costs the
//! manifest its trust; a new one is read from the origin.

use std::time::Duration;

/// Mismatches of one chunk in a row after which the manifest is given up.
const MISMATCHES_MAX: u8 = 4;
const BACKOFF_INITIAL: Duration = Duration::from_secs(2);
const BACKOFF_DOUBLINGS_MAX: u32 = 5;

/// Counts mismatches under one manifest.
#[derive(Clone, Debug)]
pub(crate) struct MismatchCounter {
    mismatches: Vec<u8>,
}

impl MismatchCounter {
    /// No doubt yet about a manifest of `chunks` chunks.
    pub(crate) fn new(chunks: u32) -> Self {
        let chunks = usize::try_from(chunks).unwrap_or(usize::MAX);
        Self {
            mismatches: vec![0; chunks],
        }
    }

    /// Chunk `index` did not match. Returns whether the manifest is to be given up.
    pub(crate) fn on_mismatch(&mut self, index: u32) -> bool {
        let at = usize::try_from(index).unwrap_or(usize::MAX);
        let Some(count) = self.mismatches.get_mut(at) else {
            return false;
        };
        *count += 1;
        *count >= MISMATCHES_MAX
    }
}

/// How long to wait before a manifest is read again after `rejected_manifests` were given up in a row: nothing
/// after the first, which a peer may have made up; then longer and longer, since the origin itself
/// publishes it so. `jitter` is left to chance.
pub(crate) fn manifest_retry_delay(rejected_manifests: u32, jitter: f64) -> Duration {
    match rejected_manifests {
        0 | 1 => Duration::ZERO,
        rejected_manifests => (BACKOFF_INITIAL
            * (1 << (rejected_manifests - 2).min(BACKOFF_DOUBLINGS_MAX)))
        .mul_f64(0.5 + jitter / 2.0),
    }
}
