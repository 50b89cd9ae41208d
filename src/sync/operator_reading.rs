//! As of when, and as of which revision, a process knows the operator's table, by whichever way.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::peer_messages::OperatorWord;
use super::read_order::ReaderAnswer;
use crate::derives::plain;
use crate::time::ClockTime;

/// How old the knowledge of a process becomes that follows the table by itself: a watch that is held open
/// for 1.4 s, and half a second.
const OWN_AGE_MAX: Duration = Duration::from_millis(1900);
/// How old that of a process becomes that asks such a one: a question that is held open for 0.6 s more.
const TOLD_AGE_MAX: Duration = Duration::from_millis(2500);

/// The reading.
#[apply(plain!)]
#[derive(Copy, Default)]
pub(crate) struct OperatorReading {
    /// When the table was last read or found unchanged.
    read_at: Option<ClockTime>,
    /// The store's revision as of which it was.
    revision: u64,
    /// Whether this process found that out by itself, or tried to.
    is_own: bool,
    /// Whether its last try failed.
    is_cut_off: bool,
}

impl OperatorReading {
    /// This process read the table, or found it unchanged, as of `revision`.
    pub(super) fn note_read(&mut self, revision: u64, now: ClockTime) {
        self.read_at = Some(now);
        self.revision = self.revision.max(revision);
        self.is_own = true;
        self.is_cut_off = false;
    }

    /// The store did not answer this process.
    pub(super) fn note_failure(&mut self) {
        self.is_own = true;
        self.is_cut_off = true;
    }

    /// A neighbour told all that it knows, and this of it.
    pub(super) fn take_word(&mut self, word: OperatorWord, now: ClockTime) {
        let at = now - Duration::from_millis(word.age_ms);
        self.read_at = self.read_at.max(Some(at));
        self.revision = self.revision.max(word.revision);
        self.is_own = false;
        self.is_cut_off = false;
    }

    /// What this process tells of it at `now`; none before it knew the table.
    pub(super) fn word(&self, now: ClockTime) -> Option<OperatorWord> {
        let age = now.since(self.read_at?).as_millis();
        Some(OperatorWord {
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            revision: self.revision,
            is_cut_off: self.is_cut_off,
        })
    }

    /// As of which revision the table is known; none before it was.
    pub(super) fn revision(&self) -> Option<u64> {
        self.read_at.map(|_| self.revision)
    }

    /// When it was last known to be current.
    pub(super) const fn read_at(&self) -> Option<ClockTime> {
        self.read_at
    }

    /// Whether the store does not answer this process for the table.
    pub(super) const fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Whether this process reads the table itself.
    pub(super) const fn is_own(&self) -> bool {
        self.is_own
    }

    /// Whether nothing has been known of the table for longer at `now` than while all goes well.
    pub(super) fn is_overdue(&self, now: ClockTime) -> bool {
        let age_max = if self.is_own {
            OWN_AGE_MAX
        } else {
            TOLD_AGE_MAX
        };
        self.read_at.is_none_or(|at| now.since(at) >= age_max)
    }
}

impl OperatorWord {
    /// What it says of the neighbour that told it.
    pub(super) fn answer(word: Option<&Self>) -> ReaderAnswer {
        let age_max = u64::try_from(TOLD_AGE_MAX.as_millis()).unwrap_or(u64::MAX);
        match word {
            Some(word) if !word.is_cut_off && word.age_ms < age_max => ReaderAnswer::Current,
            _ => ReaderAnswer::Behind,
        }
    }
}
