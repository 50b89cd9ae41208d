//! The part of the deployment state that holds what crashed backend servers.

use std::sync::Arc;
use std::time::Duration;

use super::crash_rows::read_crash;
use super::deployment_state::DeploymentState;
use super::events;
use super::peer_messages::PeerQuery;
use super::unreadable_rows::RowStatus;
use crate::events::log_event;
use crate::metrics;
use crate::platform::{TableName, TableView};
use crate::quarantine::{
    AnswerCount, BackendIncarnation, CRASH_RETENTION, CrashLedger, CrashRecord, CrashSuspect,
    CrashVerdict, StoredCrash, SuspectDepth, SuspectDigest, UNKNOWN_TIME,
};
use crate::time::{ClockTime, StoreTime};

/// How long a process that announced a crash has to write it to the store, while the store answers,
/// before a reader of the store does that instead.
const ADOPT_SPAN: Duration = Duration::from_secs(5);

impl DeploymentState {
    /// Whether the store's table of crashes was read, or received from a neighbour.
    pub(super) fn knows_crashes(&self) -> bool {
        self.crashes.revision() > 0
    }

    /// Records that this process saw `backend` crash while requests with `suspects` were running on
    /// it. Returns the new records.
    pub(crate) fn note_crash(
        &mut self,
        backend: BackendIncarnation,
        suspects: &[CrashSuspect],
        now: ClockTime,
    ) -> Vec<CrashRecord> {
        let seen = self.store_time(now);
        let records: Vec<CrashRecord> = suspects
            .iter()
            .map(|suspect| CrashRecord {
                suspect: suspect.digest,
                backend,
                verdict: CrashVerdict::Suspected,
                seen,
                depth: suspect.depth,
            })
            .collect();
        self.change_ledger(|ledger| {
            for record in &records {
                ledger.note_crash(*record, now);
            }
        });
        records
    }

    /// Records that a request with the digest `suspect` was answered completely, which clears it.
    /// Returns the changed records.
    pub(crate) fn clear_request(&mut self, suspect: SuspectDigest) -> Vec<CrashRecord> {
        self.change_ledger(|ledger| ledger.clear(suspect))
    }

    /// Whether there are answered parts for this process to clear. Only readers of the store do it, so
    /// that few processes write the same rows.
    pub(crate) fn has_answered_parts(&self) -> bool {
        self.reads_store() && self.crashes.has_answered_parts()
    }

    /// Clears answered parts of crashes. Returns the changed records.
    pub(crate) fn clear_answered_parts(&mut self) -> Vec<CrashRecord> {
        self.change_ledger(CrashLedger::clear_answered_parts)
    }

    /// Merges crashes that another process announced, received at `now`.
    pub(crate) fn merge_announced_crashes(&mut self, records: &[CrashRecord], now: ClockTime) {
        if records.is_empty() {
            return;
        }
        let expiries: Vec<ClockTime> = records
            .iter()
            .map(|record| self.expiry(record.seen, now))
            .collect();
        self.change_ledger(|ledger| {
            for (record, until) in records.iter().zip(expiries) {
                if until > now {
                    ledger.merge_announced(*record, until, now);
                }
            }
        });
    }

    /// The crashes that this process saw and that the store does not hold yet, whether it answers or
    /// not.
    pub(crate) fn unstored_crashes(&self) -> Vec<CrashRecord> {
        self.crashes.unstored(ClockTime(0))
    }

    /// Records how many answers to requests with suspected parts processes saw.
    pub(crate) fn note_answers(&mut self, counts: &[AnswerCount]) {
        if counts.is_empty() {
            return;
        }
        self.change_ledger(|ledger| {
            for count in counts {
                ledger.note_answers(*count);
            }
        });
    }

    /// Merges changed rows of the store's table.
    pub(super) fn change_crashes(&mut self, view: &TableView, now: ClockTime) {
        let crashes = self.read_crash_rows(view);
        self.merge_stored_crashes(&crashes, now, |ledger| {
            ledger.note_revision(view.revision);
            ledger.drop_expired(now);
        });
    }

    /// Merges the full table of the store.
    pub(super) fn set_crashes(&mut self, view: &TableView, now: ClockTime) {
        let crashes = self.read_crash_rows(view);
        let is_listed = |key: &str| view.rows.iter().any(|row| row.key == key);
        self.unreadable.keep_listed(TableName::Crashes, is_listed);
        Arc::make_mut(&mut self.crashes).keep_listed(&crashes, view.revision);
        self.merge_stored_crashes(&crashes, now, |ledger| ledger.drop_expired(now));
    }

    fn read_crash_rows(&mut self, view: &TableView) -> Vec<StoredCrash> {
        let mut crashes = Vec::new();
        for row in &view.rows {
            let Some(value) = &row.value else {
                let table = TableName::Crashes;
                self.unreadable.note(table, &row.key, RowStatus::Removed);
                continue;
            };
            let read = read_crash(row, value);
            let status = RowStatus::of(&read);
            self.unreadable.note(TableName::Crashes, &row.key, status);
            crashes.extend(read);
        }
        crashes
    }

    /// Merges rows of the store, then applies `change`.
    fn merge_stored_crashes(
        &mut self,
        crashes: &[StoredCrash],
        now: ClockTime,
        change: impl FnOnce(&mut CrashLedger),
    ) {
        let expiries: Vec<ClockTime> = crashes
            .iter()
            .map(|crash| self.expiry(crash.record.seen, now))
            .collect();
        self.change_ledger(|ledger| {
            for (crash, until) in crashes.iter().zip(expiries) {
                ledger.merge_stored(*crash, until);
            }
            change(ledger);
        });
    }

    /// When a crash that was seen at `seen` expires. One without a known time is as old as its report.
    fn expiry(&self, seen: StoreTime, now: ClockTime) -> ClockTime {
        let longest = now + CRASH_RETENTION;
        if seen == UNKNOWN_TIME {
            return longest;
        }
        longest.min(self.earliest(seen) + CRASH_RETENTION)
    }

    /// Applies a change to the ledger, judges it anew, and logs what is quarantined or released.
    fn change_ledger<T>(&mut self, change: impl FnOnce(&mut CrashLedger) -> T) -> T {
        let ledger = Arc::make_mut(&mut self.crashes);
        let before: Vec<CrashSuspect> = ledger.quarantined().collect();
        let changed = change(ledger);
        ledger.judge();
        for suspect in ledger.quarantined() {
            if before.iter().any(|other| other.digest == suspect.digest) {
                continue;
            }
            let (crashes, answers) = ledger.counts_of(suspect.digest);
            metrics::count_event("request_quarantined", 1);
            log_event!(
                events::REQUEST_QUARANTINED,
                "request={} depth={} crashes={crashes} answers={answers}",
                suspect.digest,
                suspect.depth
            );
        }
        for suspect in &before {
            if ledger
                .quarantined()
                .all(|other| other.digest != suspect.digest)
            {
                metrics::count_event("request_released", 1);
                log_event!(events::REQUEST_RELEASED, "request={}", suspect.digest);
            }
        }
        if ledger.quarantined().count() + before.len() > 0 {
            set_gauges(ledger);
        }
        changed
    }

    /// The records that are to be written to the store at `now`; none while the store does not
    /// answer.
    pub(super) fn unsaved_crashes(&self, now: ClockTime) -> Vec<CrashRecord> {
        match self.store_steady_since {
            Some(since) if self.reads_store() && now.since(since) >= ADOPT_SPAN => {
                self.crashes.unstored(now - ADOPT_SPAN)
            }
            Some(_) => self.crashes.unstored(ClockTime(0)),
            None => Vec::new(),
        }
    }

    /// Records that the store holds `records` since `revision`.
    pub(super) fn note_saved_crashes(&mut self, records: &[CrashRecord], revision: u64) {
        Arc::make_mut(&mut self.crashes).mark_stored(records, revision);
    }

    /// Whether there are crashes that the querying process does not know.
    pub(super) fn has_new_crashes(&self, query: &PeerQuery) -> bool {
        let known = query.crashes_revision;
        known.is_some_and(|known| self.crashes.stored_after(known).next().is_some())
    }

    /// The crashes that the querying process does not know.
    pub(super) fn new_crashes(&self, query: &PeerQuery) -> Vec<StoredCrash> {
        let known = query.crashes_revision;
        known.map_or_else(Vec::new, |known| self.crashes.stored_after(known).collect())
    }

    /// Merges crashes from a neighbour; with them, all crashes up to `revision` are known.
    pub(super) fn merge_crashes(&mut self, crashes: &[StoredCrash], revision: u64, now: ClockTime) {
        let is_newer = revision > self.crashes.revision();
        if crashes.is_empty() && !is_newer {
            return;
        }
        self.merge_stored_crashes(crashes, now, |ledger| {
            if is_newer {
                ledger.note_revision(revision);
                ledger.drop_expired(now);
            }
        });
    }
}

/// Publishes how many whole requests and parts of prompts are quarantined.
fn set_gauges(ledger: &CrashLedger) {
    let is_whole = |suspect: &CrashSuspect| suspect.depth == SuspectDepth::WHOLE;
    let requests = ledger.quarantined().filter(is_whole).count();
    let parts = ledger.quarantined().count() - requests;
    for (of, count) in [("requests", requests), ("parts", parts)] {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        metrics::set_gauge("quarantined", of, count);
    }
}
