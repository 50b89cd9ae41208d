//! What of the book of keyed calls is written down, and what waits for it.

use super::claim_record::ClaimState;
use super::key_book::KeyBook;
use super::key_entry::{ClaimResult, KeyEntry, KeyState, PendingRecord, RecordEnd};
use super::keyed_call::KeyHash;
use crate::stores::RowRevision;
use crate::time::WallTime;

impl KeyBook {
    /// Records that the table does not have yet, at most `limit`.
    pub(crate) fn pending_records(&self, limit: usize, wall: WallTime) -> Vec<PendingRecord> {
        let pending = self.entries.iter().filter(|entry| entry.needs_record());
        pending
            .take(limit)
            .map(|entry| PendingRecord {
                key: entry.call.key,
                expected: entry
                    .claim
                    .or(entry.standing)
                    .unwrap_or(RowRevision::ABSENT),
                record: self.record_of(entry.call.key, wall),
                has_ended: matches!(entry.state, KeyState::Ran { .. }),
            })
            .collect()
    }

    /// The table answered to the writing of `pending`, or did not.
    pub(crate) fn on_record(&mut self, pending: &PendingRecord, result: ClaimResult) -> RecordEnd {
        let Ok(at) = self.find(pending.key) else {
            return RecordEnd::Written;
        };
        let entry = &mut self.entries[at];
        match result {
            ClaimResult::Written(revision) => {
                entry.on_recorded(revision, pending.has_ended);
                RecordEnd::Written
            }
            ClaimResult::Found(revision, found)
                if found.holder == pending.record.holder && found.nonce == pending.record.nonce =>
            {
                // An earlier write of ours whose answer was lost.
                let is_whole = matches!(found.state, ClaimState::Finished(_));
                entry.on_recorded(revision, is_whole);
                RecordEnd::Written
            }
            // Every key that runs without a claim is one that the next holder doubts: it writes no
            // claim. Should there be one all the same, it stands.
            ClaimResult::Found(revision, _) => {
                entry.on_recorded(revision, true);
                RecordEnd::Doubled
            }
            ClaimResult::Unreadable => {
                entry.on_recorded(RowRevision::ABSENT, true);
                RecordEnd::Doubled
            }
            ClaimResult::Absent => {
                entry.claim = None;
                entry.standing = None;
                RecordEnd::Waits
            }
            ClaimResult::Away => RecordEnd::Waits,
        }
    }

    /// The kept answer of `key` could not be brought back: the next call looks for it again.
    pub(crate) fn on_answer_missing(&mut self, key: KeyHash) {
        self.remove(key);
    }

    /// Whether a call of `slot` was handed over without a trace in the table. The lease must not be
    /// renewed nor given back before there is one: a taker looks for doubts from the last renewal
    /// on.
    pub(crate) fn has_untraced(&self, slot: u16) -> bool {
        let mut of_slot = self.entries.iter().filter(|entry| entry.call.slot == slot);
        of_slot.any(KeyEntry::is_untraced)
    }

    /// Whether nothing of `slot` is under way and all that ended is written down.
    pub(crate) fn is_idle(&self, slot: u16) -> bool {
        let mut of_slot = self.entries.iter().filter(|entry| entry.call.slot == slot);
        of_slot.all(KeyEntry::is_settled)
    }
}
