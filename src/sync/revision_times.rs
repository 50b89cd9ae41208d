//! The revisions that the store had at known times, which bound when a row was written.
//!
//! The store has one revision counter for all tables and reports the newest value with every
//! answer. A row with a higher revision than an answer was written after that answer.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::target_update_time::TargetUpdateTime;
use crate::derives::plain;
use crate::time::StoreTime;

/// Answers that are remembered. Three tables are followed with up to two answers a second each, and
/// a row is in transit for a few seconds at most.
const TIMES_KEPT: usize = 64;

/// Longest time between two answers of a reachable store: a watch without changes, the pause after
/// it, and the longest time for an answer.
const ANSWER_GAP_MAX: Duration = Duration::from_millis(2500);

/// The newest revision of the store at one time.
#[apply(plain!)]
#[derive(Copy)]
struct RevisionTime {
    revision: u64,
    answered_at: StoreTime,
}

/// The last answers, oldest first.
#[derive(Debug, Default)]
pub(super) struct RevisionTimes {
    /// Sorted by both of their fields.
    times: Vec<RevisionTime>,
}

impl RevisionTimes {
    /// Records that the store reported at `answered_at` that `revision` is its newest.
    pub(super) fn note(&mut self, revision: u64, answered_at: StoreTime) {
        let at = self
            .times
            .partition_point(|time| time.answered_at < answered_at);
        let fits_previous = self.times[..at]
            .last()
            .is_none_or(|last| last.revision <= revision);
        let fits_next = self.times[at..]
            .first()
            .is_none_or(|next| next.revision >= revision);
        // An answer from an older state of the store bounds nothing.
        if fits_previous && fits_next {
            self.times.insert(
                at,
                RevisionTime {
                    revision,
                    answered_at,
                },
            );
        }
        if self.times.len() > TIMES_KEPT {
            self.times.remove(0);
        }
    }

    /// Since when the store has answered without a gap, as of the newest answer.
    pub(super) fn contact_since(&self) -> Option<StoreTime> {
        let pairs = self.times.windows(2).rev();
        let mut apart =
            pairs.filter(|pair| pair[1].answered_at.since(pair[0].answered_at) > ANSWER_GAP_MAX);
        let first = apart.next().map(|pair| pair[1]);
        first
            .or(self.times.first().copied())
            .map(|time| time.answered_at)
    }

    /// Bounds `set_at` for a version whose row has `revision`. The row may have been rewritten
    /// since the update, so only the upper bound is applied.
    pub(super) fn cap(&self, set_at: TargetUpdateTime, revision: u64) -> TargetUpdateTime {
        let at = self.times.partition_point(|time| time.revision < revision);
        let Some(after) = self.times.get(at) else {
            return set_at;
        };
        TargetUpdateTime {
            earliest: set_at.earliest.min(after.answered_at),
            latest: set_at.latest.min(after.answered_at),
            ..set_at
        }
    }

    /// Bounds `set_at` for a version whose row was written with `revision`, from above and below.
    ///
    /// An answer that spends seconds on a saturated link reports a change as if it were new, and so
    /// does the next one for what changed meanwhile. Without these bounds, such a version counts as
    /// new, and requests begin on previous versions after the deadline.
    pub(super) fn narrow(&self, set_at: TargetUpdateTime, revision: u64) -> TargetUpdateTime {
        let at = self.times.partition_point(|time| time.revision < revision);
        let (Some(before), Some(after)) = (self.times[..at].last(), self.times.get(at)) else {
            return set_at;
        };
        TargetUpdateTime {
            earliest: set_at
                .earliest
                .max(before.answered_at)
                .min(after.answered_at),
            latest: set_at.latest.min(after.answered_at),
            ..set_at
        }
    }
}
