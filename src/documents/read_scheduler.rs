//! When to read the table, and what. Two entry hosts of each data centre poll the hint row; the
//! others only when what they have from neighbours is old.

use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::active_documents::{ActiveDocuments, DocumentVersion};
use super::hint_record::HintRecord;
use crate::derives::plain;
use crate::time::ClockTime;

/// How often a reader polls the hint row.
pub(crate) const POLL_PAUSE: Duration = Duration::from_secs(1);
/// How often a reader reads every document, whatever the hint row says.
const WHOLE_PAUSE: Duration = Duration::from_mins(1);
/// How old what came from neighbours may be before a process reads the table for itself: a reader's
/// pause and the paces of a few hops fit. Changes are told at once and do not wait for this.
const STALE_AFTER: Duration = Duration::from_secs(12);
/// How long a change that the hint row names is looked for; longer than a change is tried.
const EXPECT_FOR: Duration = Duration::from_secs(15);
/// The longest pause between two reads that fail.
const AWAY_PAUSE_MAX: Duration = Duration::from_secs(8);

/// What to read next.
#[apply(plain!)]
pub(crate) enum TableReadStep {
    /// Nothing until then.
    WaitUntil(ClockTime),
    /// Every document.
    ReadAll,
    /// The hint row.
    ReadHint,
    /// The document of this service.
    ReadDocument(ByteString),
}

/// One process's reading of the table.
#[derive(Debug)]
pub(crate) struct TableReadScheduler {
    /// The table's documents were all in force here, or on their way here, at this time.
    fresh_at: Option<ClockTime>,
    whole_due: ClockTime,
    poll_due: ClockTime,
    failures: u32,
    /// Whether the table has answered or failed since the start.
    asked_once: bool,
    wanted: Vec<Expected>,
    /// The hint row as it was last read.
    last_hint: HintRecord,
    /// The documents to read before the next poll.
    round: Vec<ByteString>,
}

#[derive(Debug)]
struct Expected {
    version: DocumentVersion,
    first_seen: ClockTime,
}

impl TableReadScheduler {
    /// A process that has just started; its first reading is due at `first`.
    pub(crate) const fn new(first: ClockTime) -> Self {
        Self {
            fresh_at: None,
            whole_due: first,
            poll_due: first,
            failures: 0,
            asked_once: false,
            wanted: Vec::new(),
            last_hint: HintRecord {
                expected: Vec::new(),
            },
            round: Vec::new(),
        }
    }

    /// How old what is in force may be, as far as this process knows.
    pub(crate) fn age(&self, now: ClockTime) -> Option<Duration> {
        self.fresh_at.map(|at| now.since(at))
    }

    /// A neighbour has everything that the table held at `at`, and so has this process.
    pub(crate) fn on_neighbour_current(&mut self, at: ClockTime) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// What to read next; `is_reader` when this process reads for its data centre. `jitter` in 0
    /// to 255 moves the reads of processes apart.
    pub(crate) fn next_step(
        &mut self,
        now: ClockTime,
        is_reader: bool,
        jitter: u8,
    ) -> TableReadStep {
        if let Some(service) = self.round.pop() {
            return TableReadStep::ReadDocument(service);
        }
        if now < self.poll_due {
            return TableReadStep::WaitUntil(self.poll_due);
        }
        let is_stale = self.age(now).is_none_or(|age| age >= STALE_AFTER);
        // What neighbours say does not spare a new process its own first reading.
        if self.asked_once && !is_reader && !is_stale {
            let stale_at = self.fresh_at.unwrap_or(now) + STALE_AFTER;
            let jitter = POLL_PAUSE * u32::from(jitter) / u32::from(u8::MAX);
            self.poll_due = stale_at.max(now) + jitter;
            return TableReadStep::WaitUntil(self.poll_due.min(now + POLL_PAUSE));
        }
        if now >= self.whole_due {
            return TableReadStep::ReadAll;
        }
        TableReadStep::ReadHint
    }

    /// Every document was read; the reading was sent at `sent`.
    pub(crate) fn on_all(&mut self, sent: ClockTime, now: ClockTime) {
        self.asked_once = true;
        self.whole_due = now + WHOLE_PAUSE;
        self.answered(sent, now);
    }

    /// The hint row was read; the reading was sent at `sent`.
    pub(crate) fn on_hint(
        &mut self,
        hint: &HintRecord,
        held: &ActiveDocuments,
        sent: ClockTime,
        now: ClockTime,
    ) {
        let is_ahead = |entry: &&DocumentVersion| entry.version > held.version_of(&entry.service);
        for entry in hint.expected.iter().filter(is_ahead) {
            if !self.wanted.iter().any(|wanted| wanted.version == *entry) {
                self.wanted.push(Expected {
                    version: entry.clone(),
                    first_seen: now,
                });
            }
        }
        self.wanted.retain(|wanted| {
            let standing = hint.expected.contains(&wanted.version);
            standing && held.version_of(&wanted.version.service) < wanted.version.version
        });
        self.round = self
            .wanted
            .iter()
            .filter(|wanted| now.since(wanted.first_seen) < EXPECT_FOR)
            .map(|wanted| wanted.version.service.clone())
            .collect();
        if hint.may_miss_changes(&self.last_hint) {
            self.whole_due = now;
        }
        self.last_hint = hint.clone();
        self.answered(sent, now);
    }

    /// A document was read.
    pub(crate) fn on_document(&mut self) {
        self.failures = 0;
    }

    /// The table did not answer.
    pub(crate) fn on_unavailable(&mut self, now: ClockTime, jitter: u8) {
        self.asked_once = true;
        self.failures = self.failures.saturating_add(1);
        self.round.clear();
        let longest = POLL_PAUSE * 2u32.saturating_pow(self.failures.min(6));
        // Full jitter: processes that lost the table at the same moment come back one by one.
        let pause = longest.min(AWAY_PAUSE_MAX) * u32::from(jitter) / u32::from(u8::MAX);
        self.poll_due = now + pause.max(POLL_PAUSE / 4);
    }

    fn answered(&mut self, sent: ClockTime, now: ClockTime) {
        self.failures = 0;
        self.fresh_at = self.fresh_at.max(Some(sent));
        self.poll_due = sent.max(now - POLL_PAUSE) + POLL_PAUSE;
    }
}
