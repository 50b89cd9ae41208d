//! How busy the machine was.

use std::fs;

use super::shape::as_float;

/// The processors' time since the machine's start, in ticks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProcessorTicks {
    busy: u64,
    all: u64,
}

impl ProcessorTicks {
    /// The time so far; zero where the system does not tell.
    pub(super) fn read() -> Self {
        let text = fs::read_to_string("/proc/stat").unwrap_or_default();
        let line = text.lines().next().unwrap_or_default();
        let ticks: Vec<u64> = line
            .split_whitespace()
            .skip(1)
            .filter_map(|word| word.parse().ok())
            .collect();
        let all = ticks.iter().take(8).sum();
        let idle: u64 = ticks.iter().skip(3).take(2).sum();
        Self {
            busy: all - idle,
            all,
        }
    }

    /// The share of the processors' time since `earlier` in which they were busy, with whatever.
    pub(super) fn busy_share_since(self, earlier: Self) -> f64 {
        let all = as_float(self.all.saturating_sub(earlier.all)).max(1.0);
        as_float(self.busy.saturating_sub(earlier.busy)) / all
    }
}
