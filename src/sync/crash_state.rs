//! The part of the deployment state that holds which requests crashed backend servers.

use std::sync::Arc;

use super::crash_rows::read_crash;
use super::deployment_state::DeploymentState;
use super::events;
use super::peer_messages::PeerQuery;
use super::unreadable_rows::RowStatus;
use crate::events::log_event;
use crate::metrics;
use crate::platform::{TableName, TableView};
use crate::quarantine::{
    BackendIncarnation, CRASH_RETENTION, CrashLedger, CrashRecord, CrashVerdict,
    QUARANTINE_THRESHOLD, RequestDigest, StoredCrash,
};
use crate::time::ClockTime;

impl DeploymentState {
    /// Whether the store's table of crashes was read, or received from a neighbour.
    pub(super) fn knows_crashes(&self) -> bool {
        self.crashes.revision() > 0
    }

    /// Records that this process saw `backend` crash while `requests` were running on it.
    pub(crate) fn note_crash(
        &mut self,
        backend: BackendIncarnation,
        requests: &[RequestDigest],
        now: ClockTime,
    ) {
        let seen = self.store_time(now);
        for request in requests {
            let record = CrashRecord {
                request: *request,
                backend,
                verdict: CrashVerdict::Suspected,
                seen,
            };
            self.change_request(*request, now, |ledger| ledger.note_crash(record, now));
        }
    }

    /// Records that `request` was answered completely, which clears it.
    pub(crate) fn clear_request(&mut self, request: RequestDigest) {
        Arc::make_mut(&mut self.crashes).clear(request);
    }

    /// Merges changed rows of the store's table.
    pub(super) fn change_crashes(&mut self, view: &TableView, now: ClockTime) {
        for crash in self.read_crash_rows(view) {
            self.merge_crash(crash, now);
        }
        let ledger = Arc::make_mut(&mut self.crashes);
        ledger.note_revision(view.revision);
        ledger.drop_expired(now);
    }

    /// Merges the full table of the store.
    pub(super) fn set_crashes(&mut self, view: &TableView, now: ClockTime) {
        let crashes = self.read_crash_rows(view);
        let is_listed = |key: &str| view.rows.iter().any(|row| row.key == key);
        self.unreadable.keep_listed(TableName::Crashes, is_listed);
        Arc::make_mut(&mut self.crashes).keep_listed(&crashes, view.revision);
        for crash in crashes {
            self.merge_crash(crash, now);
        }
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

    fn merge_crash(&mut self, crash: StoredCrash, now: ClockTime) {
        let until = self.earliest(crash.record.seen) + CRASH_RETENTION;
        let request = crash.record.request;
        self.change_request(request, now, |ledger| {
            ledger.merge_stored(crash, until);
        });
    }

    /// Applies a change that may quarantine `request`, and logs it if it does.
    fn change_request(
        &mut self,
        request: RequestDigest,
        now: ClockTime,
        change: impl FnOnce(&mut CrashLedger),
    ) {
        let ledger = Arc::make_mut(&mut self.crashes);
        let was_quarantined = ledger.quarantine(request, now).is_some();
        change(ledger);
        if !was_quarantined && ledger.quarantine(request, now).is_some() {
            metrics::count_event("request_quarantined", 1);
            log_event!(
                events::REQUEST_QUARANTINED,
                "request={request} crashes={QUARANTINE_THRESHOLD}"
            );
        }
    }

    /// The records that are to be written to the store; none while the store does not answer.
    pub(super) fn unsaved_crashes(&self) -> Vec<CrashRecord> {
        match self.store_steady_since {
            Some(_) => self.crashes.unstored(),
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
        for crash in crashes {
            self.merge_crash(*crash, now);
        }
        if revision > self.crashes.revision() {
            let ledger = Arc::make_mut(&mut self.crashes);
            ledger.note_revision(revision);
            ledger.drop_expired(now);
        }
    }
}
