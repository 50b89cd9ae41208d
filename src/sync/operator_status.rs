//! How recent this process's knowledge of the operator's table is, and whether it reads the table
//! itself.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::peer_messages::OperatorAnnouncement;
use super::read_order::ReaderAnswer;
use crate::derives::plain;
use crate::time::{ClockTime, StoreTime};

/// Age that the knowledge of a reader reaches: a watch held open for 1.4 s, and half a second.
const READER_AGE_MAX: Duration = Duration::from_millis(1900);
/// Age that the knowledge of a follower reaches: a query held open for 0.6 s more.
const FOLLOWER_AGE_MAX: Duration = Duration::from_millis(2500);

/// The most recent knowledge of the table.
#[apply(plain!)]
#[derive(Copy)]
struct TableKnowledge {
    answered_at: StoreTime,
    /// Earliest moment of `answered_at` on this process's clock.
    known_at: ClockTime,
    /// The store's revision as of which the table is known.
    revision: u64,
}

/// Status of the operator's table in this process.
#[apply(plain!)]
#[derive(Copy, Default)]
pub(crate) struct OperatorStatus {
    /// `None` before anything was received.
    knowledge: Option<TableKnowledge>,
    /// Whether this process reads the table itself, successfully or not.
    is_reader: bool,
    /// Until when it reads the table, if that is known.
    reads_until: Option<ClockTime>,
    /// Whether its last attempt failed.
    is_cut_off: bool,
}

impl OperatorStatus {
    /// Records that the store answered this process at `answered_at` with the table as of
    /// `revision`.
    pub(super) fn note_read(&mut self, revision: u64, answered_at: StoreTime, known_at: ClockTime) {
        self.take(revision, answered_at, known_at);
        self.is_reader = true;
    }

    /// Records that the store did not answer this process.
    pub(super) fn note_failure(&mut self) {
        self.is_reader = true;
        self.is_cut_off = true;
    }

    /// Records until when this process reads the table; `None` if that is not known.
    pub(super) fn note_reads_until(&mut self, until: Option<ClockTime>) {
        self.reads_until = until;
    }

    /// Takes over the status of a neighbour that has reported all that it knows of the table.
    pub(super) fn take_announcement(
        &mut self,
        announcement: OperatorAnnouncement,
        known_at: ClockTime,
    ) {
        self.take(announcement.revision, announcement.answered_at, known_at);
        self.is_reader = false;
        self.reads_until = None;
    }

    fn take(&mut self, revision: u64, answered_at: StoreTime, known_at: ClockTime) {
        self.is_cut_off = false;
        let known = self.knowledge.unwrap_or(TableKnowledge {
            answered_at,
            known_at,
            revision,
        });
        self.knowledge = Some(TableKnowledge {
            answered_at: known.answered_at.max(answered_at),
            known_at: known.known_at.max(known_at),
            revision: known.revision.max(revision),
        });
    }

    /// What this process announces about the table; `None` before it is known.
    pub(super) fn announcement(&self) -> Option<OperatorAnnouncement> {
        self.knowledge.map(|knowledge| OperatorAnnouncement {
            answered_at: knowledge.answered_at,
            revision: knowledge.revision,
            is_cut_off: self.is_cut_off,
        })
    }

    /// Whether the store does not answer this process about the table.
    pub(super) const fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Whether this process reads the table itself.
    pub(super) const fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Until when this process reads the table, if that is known.
    pub(super) const fn reads_until(&self) -> Option<ClockTime> {
        self.reads_until
    }

    /// Whether this process reads the table itself and still does at `now`.
    pub(super) fn is_reader_at(&self, now: ClockTime) -> bool {
        self.is_reader && self.reads_until.is_none_or(|until| until > now)
    }

    /// Whether the knowledge is older at `now` than it becomes in normal operation.
    pub(super) fn is_overdue(&self, now: ClockTime) -> bool {
        let age_max = if self.is_reader {
            READER_AGE_MAX
        } else {
            FOLLOWER_AGE_MAX
        };
        self.knowledge
            .is_none_or(|knowledge| now.since(knowledge.known_at) >= age_max)
    }
}

/// Rates a reader at `now` by its announcement, which was true at `known_at` or later.
pub(super) fn classify_answer(
    announcement: &OperatorAnnouncement,
    known_at: ClockTime,
    now: ClockTime,
) -> ReaderAnswer {
    if announcement.is_cut_off || now.since(known_at) >= FOLLOWER_AGE_MAX {
        ReaderAnswer::Outdated
    } else {
        ReaderAnswer::Current
    }
}
