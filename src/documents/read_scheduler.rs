//! Decides when a process reads the table, and which rows.
//!
//! Two entry hosts of each data centre, the readers, poll the hint row. All other processes receive
//! documents from their neighbours and read the table only if those are out of date.

use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::active_documents::{ActiveDocuments, DocumentVersion};
use super::hint_record::HintRecord;
use crate::derives::plain;
use crate::time::ClockTime;

/// Interval at which a reader polls the hint row.
pub(crate) const POLL_PAUSE: Duration = Duration::from_secs(1);
/// Interval at which a reader reads all documents, regardless of the hint row.
const FULL_READ_PAUSE: Duration = Duration::from_mins(1);
/// Age of the documents received from neighbours at which a process reads the table itself. It
/// covers a reader's poll interval and the frame intervals of a few hops. Changes are propagated
/// immediately and do not depend on it.
const STALE_AFTER: Duration = Duration::from_secs(12);
/// How long a change listed in the hint row is searched for; longer than the time limit for writing
/// a change.
const SEARCH_FOR: Duration = Duration::from_secs(15);
/// Maximum pause after a failed read.
const FAILURE_PAUSE_MAX: Duration = Duration::from_secs(8);

/// The next read of the table.
#[apply(plain!)]
pub(crate) enum TableReadStep {
    /// Read nothing until this time.
    WaitUntil(ClockTime),
    /// Read all documents.
    ReadAll,
    /// Read the hint row.
    ReadHint,
    /// Read the document of this service.
    ReadDocument(ByteString),
}

/// Schedules the table reads of one process.
#[derive(Debug)]
pub(crate) struct TableReadScheduler {
    /// All documents that the table contained at this time are in force in this process or have
    /// been read and will be.
    fresh_at: Option<ClockTime>,
    full_read_due: ClockTime,
    poll_due: ClockTime,
    failures: u32,
    /// Whether at least one read has completed or failed since the start.
    attempted: bool,
    /// Changes listed in the hint row that are not in force in this process yet.
    searched: Vec<SearchedChange>,
    /// The hint row as last read.
    last_hint: HintRecord,
    /// Services whose documents are read before the next poll.
    pending: Vec<ByteString>,
}

/// A change from the hint row whose document is read until it is in force or [`SEARCH_FOR`] ends.
#[derive(Debug)]
struct SearchedChange {
    version: DocumentVersion,
    first_seen: ClockTime,
}

impl TableReadScheduler {
    /// Creates the scheduler of a process that has just started; its first read is due at `first`.
    pub(crate) const fn new(first: ClockTime) -> Self {
        Self {
            fresh_at: None,
            full_read_due: first,
            poll_due: first,
            failures: 0,
            attempted: false,
            searched: Vec::new(),
            last_hint: HintRecord {
                expected: Vec::new(),
            },
            pending: Vec::new(),
        }
    }

    /// The maximum age of the documents in force at `now`; `None` before it is known.
    pub(crate) fn age(&self, now: ClockTime) -> Option<Duration> {
        self.fresh_at.map(|at| now.since(at))
    }

    /// A neighbour reported that it has all documents that the table contained at `at`, and this
    /// process has all documents of the neighbour.
    pub(crate) fn on_neighbour_current(&mut self, at: ClockTime) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// The next read at `now`. `is_reader` says whether this process reads the table for its data
    /// centre. `jitter`, 0 to 255, is the part of the jitter range to add, which spreads the reads
    /// of different processes over time.
    pub(crate) fn next_step(
        &mut self,
        now: ClockTime,
        is_reader: bool,
        jitter: u8,
    ) -> TableReadStep {
        if let Some(service) = self.pending.pop() {
            return TableReadStep::ReadDocument(service);
        }
        if now < self.poll_due {
            return TableReadStep::WaitUntil(self.poll_due);
        }
        let is_stale = self.age(now).is_none_or(|age| age >= STALE_AFTER);
        // A new process always reads the table once itself, even if its neighbours are up to date.
        if self.attempted && !is_reader && !is_stale {
            let stale_at = self.fresh_at.unwrap_or(now) + STALE_AFTER;
            let jitter = POLL_PAUSE * u32::from(jitter) / u32::from(u8::MAX);
            self.poll_due = stale_at.max(now) + jitter;
            return TableReadStep::WaitUntil(self.poll_due.min(now + POLL_PAUSE));
        }
        if now >= self.full_read_due {
            return TableReadStep::ReadAll;
        }
        TableReadStep::ReadHint
    }

    /// All documents were read; the request was sent at `sent`.
    pub(crate) fn on_all(&mut self, sent: ClockTime, now: ClockTime) {
        self.attempted = true;
        self.full_read_due = now + FULL_READ_PAUSE;
        self.on_read(sent, now);
    }

    /// The hint row was read; the request was sent at `sent`.
    pub(crate) fn on_hint(
        &mut self,
        hint: &HintRecord,
        active: &ActiveDocuments,
        sent: ClockTime,
        now: ClockTime,
    ) {
        let is_newer = |entry: &&DocumentVersion| entry.version > active.version_of(&entry.service);
        for entry in hint.expected.iter().filter(is_newer) {
            if !self
                .searched
                .iter()
                .any(|searched| searched.version == *entry)
            {
                self.searched.push(SearchedChange {
                    version: entry.clone(),
                    first_seen: now,
                });
            }
        }
        self.searched.retain(|searched| {
            let is_listed = hint.expected.contains(&searched.version);
            is_listed && active.version_of(&searched.version.service) < searched.version.version
        });
        self.pending = self
            .searched
            .iter()
            .filter(|searched| now.since(searched.first_seen) < SEARCH_FOR)
            .map(|searched| searched.version.service.clone())
            .collect();
        if hint.may_miss_changes(&self.last_hint) {
            self.full_read_due = now;
        }
        self.last_hint = hint.clone();
        self.on_read(sent, now);
    }

    /// One document was read.
    pub(crate) fn on_document(&mut self) {
        self.failures = 0;
    }

    /// A read failed.
    pub(crate) fn on_unavailable(&mut self, now: ClockTime, jitter: u8) {
        self.attempted = true;
        self.failures = self.failures.saturating_add(1);
        self.pending.clear();
        let longest = POLL_PAUSE * 2u32.saturating_pow(self.failures.min(6));
        // Full jitter: processes that lost the table at the same time do not retry all at once.
        let pause = longest.min(FAILURE_PAUSE_MAX) * u32::from(jitter) / u32::from(u8::MAX);
        self.poll_due = now + pause.max(POLL_PAUSE / 4);
    }

    fn on_read(&mut self, sent: ClockTime, now: ClockTime) {
        self.failures = 0;
        self.fresh_at = self.fresh_at.max(Some(sent));
        self.poll_due = sent.max(now - POLL_PAUSE) + POLL_PAUSE;
    }
}
