//! As of when, and as of which revision, a process knows the operator's table, by whichever way.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::peer_messages::OperatorAnnouncement;
use super::read_order::ReaderAnswer;
use crate::derives::plain;
use crate::time::{ClockTime, StoreTime};

/// How old the knowledge of a process becomes that follows the table by itself: a watch that is held open
/// for 1.4 s, and half a second.
const OWN_AGE_MAX: Duration = Duration::from_millis(1900);
/// How old that of a process becomes that asks such a one: a question that is held open for 0.6 s more.
const TOLD_AGE_MAX: Duration = Duration::from_millis(2500);

/// What was last told of the table.
#[apply(plain!)]
#[derive(Copy)]
struct TableKnowledge {
    answered_at: StoreTime,
    /// The earliest that this can have been on this process's clock.
    known_at: ClockTime,
    /// The store's revision as of which the table is known.
    revision: u64,
}

/// The reading.
#[apply(plain!)]
#[derive(Copy, Default)]
pub(crate) struct OperatorStatus {
    /// None before anything was told.
    knowledge: Option<TableKnowledge>,
    /// Whether this process reads the table by itself, or tried to.
    is_reader: bool,
    /// Whether its last try failed.
    is_cut_off: bool,
}

impl OperatorStatus {
    /// The store told this process of the table at `answered_at`, as of `revision`.
    pub(super) fn note_read(&mut self, revision: u64, answered_at: StoreTime, known_at: ClockTime) {
        self.take(revision, answered_at, known_at);
        self.is_reader = true;
    }

    /// The store did not answer this process.
    pub(super) fn note_failure(&mut self) {
        self.is_reader = true;
        self.is_cut_off = true;
    }

    /// A neighbour told all that it knows, and this of it.
    pub(super) fn take_announcement(
        &mut self,
        announcement: OperatorAnnouncement,
        known_at: ClockTime,
    ) {
        self.take(announcement.revision, announcement.answered_at, known_at);
        self.is_reader = false;
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

    /// What this process tells of it; none before it knew the table.
    pub(super) fn announcement(&self) -> Option<OperatorAnnouncement> {
        self.knowledge.map(|knowledge| OperatorAnnouncement {
            answered_at: knowledge.answered_at,
            revision: knowledge.revision,
            is_cut_off: self.is_cut_off,
        })
    }

    /// Whether the store does not answer this process for the table.
    pub(super) const fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Whether this process reads the table itself.
    pub(super) const fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Whether nothing has been known of the table for longer at `now` than while all goes well.
    pub(super) fn is_overdue(&self, now: ClockTime) -> bool {
        let age_max = if self.is_reader {
            OWN_AGE_MAX
        } else {
            TOLD_AGE_MAX
        };
        self.knowledge
            .is_none_or(|knowledge| now.since(knowledge.known_at) >= age_max)
    }
}

/// What the announcement of a neighbour says of it at `now`, if it was true at `known_at` at the earliest.
pub(super) fn classify_answer(
    announcement: &OperatorAnnouncement,
    known_at: ClockTime,
    now: ClockTime,
) -> ReaderAnswer {
    if announcement.is_cut_off || now.since(known_at) >= TOLD_AGE_MAX {
        ReaderAnswer::Outdated
    } else {
        ReaderAnswer::Current
    }
}
