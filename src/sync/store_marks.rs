//! Which revision the store had at which moments: what bounds when a row was written.
//!
//! The store counts all its changes with one number and tells the newest with every answer, whatever table
//! it is about. A row of a higher revision than an answer tells was written behind that answer.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::naming_time::TargetUpdateTime;
use crate::derives::plain;
use crate::time::StoreTime;

/// Answers that are remembered. Three tables are followed, each with up to two answers a second, and a row is
/// on its way for a few seconds.
const MARKS_KEPT: usize = 64;

/// How far two answers are apart at most while the store is there: a watch that brings nothing, its pause, and
/// an answer that takes as long as it may.
const ANSWERS_APART: Duration = Duration::from_millis(2500);

/// What an answer tells.
#[apply(plain!)]
#[derive(Copy)]
struct StoreMark {
    revision: u64,
    told_at: StoreTime,
}

/// The last answers, the oldest first.
#[derive(Debug, Default)]
pub(super) struct StoreMarks {
    /// Sorted by both of their fields.
    marks: Vec<StoreMark>,
}

impl StoreMarks {
    /// The store told at `told_at` that `revision` is the newest.
    pub(super) fn note(&mut self, revision: u64, told_at: StoreTime) {
        let at = self.marks.partition_point(|mark| mark.told_at < told_at);
        let is_behind = self.marks[..at]
            .last()
            .is_none_or(|last| last.revision <= revision);
        let is_before = self.marks[at..]
            .first()
            .is_none_or(|next| next.revision >= revision);
        // An answer of an older state says nothing of the rows behind it.
        if is_behind && is_before {
            self.marks.insert(at, StoreMark { revision, told_at });
        }
        if self.marks.len() > MARKS_KEPT {
            self.marks.remove(0);
        }
    }

    /// When the contact with the store began that lasts since, as of the newest answer.
    pub(super) fn contact_since(&self) -> Option<StoreTime> {
        let pairs = self.marks.windows(2).rev();
        let mut apart = pairs.filter(|pair| pair[1].told_at.since(pair[0].told_at) > ANSWERS_APART);
        let first = apart.next().map(|pair| pair[1]);
        first
            .or(self.marks.first().copied())
            .map(|mark| mark.told_at)
    }

    /// What `named` is, if the row that names the version has at least `revision`: it may have been written
    /// again since.
    pub(super) fn cap(&self, named: TargetUpdateTime, revision: u64) -> TargetUpdateTime {
        let at = self.marks.partition_point(|mark| mark.revision < revision);
        let Some(after) = self.marks.get(at) else {
            return named;
        };
        TargetUpdateTime {
            at: named.at.min(after.told_at),
            by: named.by.min(after.told_at),
            ..named
        }
    }

    /// What `named` is, if the row that names the version was written with `revision`.
    ///
    /// An answer that is seconds on its way, over a link full of documents, tells of a change as if it were
    /// new; so does the one behind it, of what was changed meanwhile. Taken for new, requests began on
    /// older weights behind the bound.
    pub(super) fn narrow(&self, named: TargetUpdateTime, revision: u64) -> TargetUpdateTime {
        let at = self.marks.partition_point(|mark| mark.revision < revision);
        let (Some(before), Some(after)) = (self.marks[..at].last(), self.marks.get(at)) else {
            return named;
        };
        TargetUpdateTime {
            at: named.at.max(before.told_at).min(after.told_at),
            by: named.by.min(after.told_at),
            ..named
        }
    }
}
