//! Detection of wrong manifests by repeated chunk mismatches.
//!
//! A manifest can be consistent and still state a wrong chunk size or a wrong digest for a chunk.
//! That chunk then never matches, whichever source sends it, and the host would fetch it for ever;
//! the log would show the same chunk rejected again and again from different sources. Links and
//! hosts seldom corrupt the same chunk several times in a row, so that repeated mismatches lead to
//! the rejection of the manifest. A new one is then read from the origin.

use std::time::Duration;

/// Mismatches of one chunk after which the manifest is rejected.
const MISMATCHES_MAX: u8 = 4;
const BACKOFF_INITIAL: Duration = Duration::from_secs(2);
const BACKOFF_DOUBLINGS_MAX: u32 = 5;

/// Counts chunk mismatches under one manifest.
#[derive(Clone, Debug)]
pub(crate) struct MismatchCounter {
    mismatches: Vec<u8>,
}

impl MismatchCounter {
    /// No mismatches yet for a manifest of `chunks` chunks.
    pub(crate) fn new(chunks: u32) -> Self {
        let chunks = usize::try_from(chunks).unwrap_or(usize::MAX);
        Self {
            mismatches: vec![0; chunks],
        }
    }

    /// Records a mismatch of chunk `index`. Returns whether the manifest is to be rejected.
    pub(crate) fn on_mismatch(&mut self, index: u32) -> bool {
        let position = usize::try_from(index).unwrap_or(usize::MAX);
        let Some(count) = self.mismatches.get_mut(position) else {
            return false;
        };
        *count += 1;
        *count >= MISMATCHES_MAX
    }
}

/// Delay before a manifest is fetched again after `rejected_manifests` rejections in a row. There
/// is no delay after the first one, because a peer may have made up the manifest. Later delays
/// double, because the origin itself publishes the manifest. `jitter` is a random fraction.
pub(crate) fn manifest_retry_delay(rejected_manifests: u32, jitter: f64) -> Duration {
    match rejected_manifests {
        0 | 1 => Duration::ZERO,
        rejected_manifests => (BACKOFF_INITIAL
            * (1 << (rejected_manifests - 2).min(BACKOFF_DOUBLINGS_MAX)))
        .mul_f64(0.5 + jitter / 2.0),
    }
}
