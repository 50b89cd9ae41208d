//! Share of the machine's processor time that was busy, read from `/proc/stat`.

use std::fs;

use super::burst_config::as_float;

/// Processor time of all processors since the machine's start, in ticks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProcessorTicks {
    busy: u64,
    total: u64,
}

impl ProcessorTicks {
    /// Reads the current values; zero if `/proc/stat` is unavailable.
    pub(super) fn read() -> Self {
        let text = fs::read_to_string("/proc/stat").unwrap_or_default();
        let line = text.lines().next().unwrap_or_default();
        let ticks: Vec<u64> = line
            .split_whitespace()
            .skip(1)
            .filter_map(|field| field.parse().ok())
            .collect();
        let total = ticks.iter().take(8).sum();
        let idle: u64 = ticks.iter().skip(3).take(2).sum();
        Self {
            busy: total - idle,
            total,
        }
    }

    /// Fraction of the processor time since `earlier` that was busy, other programs' work included.
    pub(super) fn busy_share_since(self, earlier: Self) -> f64 {
        let total = as_float(self.total.saturating_sub(earlier.total)).max(1.0);
        as_float(self.busy.saturating_sub(earlier.busy)) / total
    }
}
