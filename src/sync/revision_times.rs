//! Which revision the store had at which moments: what bounds when a row was written.
//!
//! The store counts all its changes with one number and tells the newest with every answer, whatever table
//! it is about. A row of a higher revision than an answer tells was written behind that answer.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::target_update_time::TargetUpdateTime;
use crate::derives::plain;
use crate::time::StoreTime;

/// Answers that are remembered. Three tables are followed, each with up to two answers a second, and a row is
/// on its way for a few seconds.
const TIMES_KEPT: usize = 64;

/// How far two answers are apart at most while the store is there: a watch that brings nothing, its pause, and
/// an answer that takes as long as it may.
const ANSWER_GAP_MAX: Duration = Duration::from_millis(2500);

/// What an answer tells.
#[apply(plain!)]
#[derive(Copy)]
struct RevisionTime {
    revision: u64,
    answered_at: StoreTime,
}

/// The last answers, the oldest first.
#[derive(Debug, Default)]
pub(super) struct RevisionTimes {
    /// Sorted by both of their fields.
    times: Vec<RevisionTime>,
}

impl RevisionTimes {
    /// The store told at `answered_at` that `revision` is the newest.
    pub(super) fn note(&mut self, revision: u64, answered_at: StoreTime) {
        let at = self
            .times
            .partition_point(|time| time.answered_at < answered_at);
        let is_behind = self.times[..at]
            .last()
            .is_none_or(|last| last.revision <= revision);
        let is_before = self.times[at..]
            .first()
            .is_none_or(|next| next.revision >= revision);
        // An answer of an older state says nothing of the rows behind it.
        if is_behind && is_before {
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

    /// When the contact with the store began that lasts since, as of the newest answer.
    pub(super) fn contact_since(&self) -> Option<StoreTime> {
        let pairs = self.times.windows(2).rev();
        let mut apart =
            pairs.filter(|pair| pair[1].answered_at.since(pair[0].answered_at) > ANSWER_GAP_MAX);
        let first = apart.next().map(|pair| pair[1]);
        first
            .or(self.times.first().copied())
            .map(|time| time.answered_at)
    }

    /// What `set_at` is, if the row that names the version has at least `revision`: it may have been written
    /// again since.
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

    /// What `set_at` is, if the row that names the version was written with `revision`.
    ///
    /// An answer that is seconds on its way, over a link full of documents, tells of a change as if it were
    /// new; so does the one behind it, of what was changed meanwhile. Taken for new, requests began on
    /// older weights behind the bound.
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
