//! How many slots of an engine are kept free for more urgent requests.
//!
//! Load pattern: more requests arrive for a service than its engines have slots for, and some of
//! them can wait. If every request may take the last slot, the urgent ones are refused as often as
//! the others, although each of them has a shorter latency target and is worth more.

use std::time::Duration;

use super::priority_rank::PriorityRank;
use crate::time::ClockTime;

/// Part of an engine's slots that is kept for more urgent requests if all others are more urgent.
/// Fewer slots do not cover the requests that arrive until a load report shows them.
const RESERVED_PART_MAX: f64 = 1.0 / 3.0;
/// Part of the less urgent requests that may use the reserved slots, so that no priority is starved
/// by more urgent ones.
const EXEMPT_PART: f64 = 0.25;
/// Time constant with which earlier arrivals lose weight. A burst is over within a few seconds.
const DEMAND_SPAN: Duration = Duration::from_secs(2);

/// Recent arrivals of requests for one service, by rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandMeter {
    /// Sorted by rank, each with the weighted number of arrivals.
    arrivals: Vec<(PriorityRank, f64)>,
    updated_at: ClockTime,
}

impl DemandMeter {
    /// Records the arrival of a request of `rank` at `now`.
    pub(crate) fn note_arrival(&mut self, rank: PriorityRank, now: ClockTime) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let weight = (-elapsed / DEMAND_SPAN.as_secs_f64()).exp();
        for (_, count) in &mut self.arrivals {
            *count *= weight;
        }
        self.updated_at = self.updated_at.max(now);
        match self
            .arrivals
            .binary_search_by_key(&rank, |(known, _)| *known)
        {
            Ok(at) => self.arrivals[at].1 += 1.0,
            Err(at) => self.arrivals.insert(at, (rank, 1.0)),
        }
    }

    /// Returns the part of each engine's slots that a request of `rank` has to leave free, for
    /// the more urgent ones among the recent arrivals. `lot` is random, from 0 to 1.
    pub(crate) fn reserved_part(&self, rank: PriorityRank, lot: f64) -> f64 {
        if lot < EXEMPT_PART {
            return 0.0;
        }
        let total: f64 = self.arrivals.iter().map(|(_, count)| count).sum();
        let more_urgent = self.arrivals.iter().filter(|(known, _)| *known < rank);
        let urgent: f64 = more_urgent.map(|(_, count)| count).sum();
        if total > 0.0 {
            RESERVED_PART_MAX * urgent / total
        } else {
            0.0
        }
    }
}
