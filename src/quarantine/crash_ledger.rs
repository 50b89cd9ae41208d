//! Ledger of the requests that were in progress when a backend server crashed, as observed by all
//! entry hosts.
//!
//! When a request crashes its backend server, all other requests that run there are suspected as
//! well. Later events distinguish them: a harmless request is soon answered in full and does not
//! occur at the next crashes.

use std::ops::Range;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::request_digest::RequestDigest;
use crate::derives::{key, message, plain};
use crate::platform::era_of;
use crate::routing::name_hash;
use crate::time::{ClockTime, StoreTime, WallTime};

/// Number of different backend servers that have to crash while running a request before the
/// request is quarantined.
pub(crate) const QUARANTINE_THRESHOLD: usize = 3;
/// How long a crash counts. A quarantined request is allowed again after that, because it may no
/// longer be harmful.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// Largest number of rows in the ledger; the oldest ones are evicted first.
const ROWS_MAX: usize = 4096;

/// Hash that identifies one run of a backend server, from one start to the next.
#[apply(message!)]
#[derive(Copy, Eq, PartialOrd, Ord)]
pub(crate) struct BackendIncarnation(pub(crate) u64);

impl BackendIncarnation {
    /// Returns the incarnation of the backend server `id` that started at `start_time`, if that is
    /// known.
    pub(crate) fn of(id: &ByteString, start_time: Option<WallTime>) -> Self {
        let start_time = start_time.map_or(0, |start_time| start_time.0);
        Self(name_hash(&format!("{id}/{start_time}")))
    }
}

/// Whether a request may have caused a crash.
#[apply(key!)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CrashVerdict {
    /// The request may have caused the crash.
    Suspected,
    /// The same request was answered in full after the crash.
    Cleared,
}

/// A request that was in progress when a backend server crashed.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct CrashRecord {
    /// Digest of the request.
    pub(crate) request: RequestDigest,
    /// The incarnation that crashed.
    pub(crate) backend: BackendIncarnation,
    /// Whether the request is still suspected.
    pub(crate) verdict: CrashVerdict,
    /// When the crash was observed.
    pub(crate) seen: StoreTime,
}

impl CrashRecord {
    const fn key(&self) -> (RequestDigest, BackendIncarnation) {
        (self.request, self.backend)
    }
}

/// A crash record with the revision of its row in the store.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct StoredCrash {
    /// Content of the row.
    pub(crate) record: CrashRecord,
    /// Store revision of the row.
    pub(crate) revision: u64,
}

#[apply(plain!)]
#[derive(Copy)]
struct LedgerRow {
    record: CrashRecord,
    /// Store revision of the row; `None` while the store does not hold the record in this form.
    revision: Option<u64>,
    /// When the record expires.
    until: ClockTime,
}

/// The crash records that this entry host knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashLedger {
    /// Sorted by request and backend server.
    rows: Vec<LedgerRow>,
    /// Store revision up to which all rows of the store are known.
    revision: u64,
}

impl CrashLedger {
    /// Returns whether the ledger has no records.
    pub(crate) const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the store revision up to which all rows of the store are known.
    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that all rows of the store up to `revision` are known.
    pub(crate) fn note_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Records a crash that this process observed at `now`.
    pub(crate) fn note_crash(&mut self, record: CrashRecord, now: ClockTime) {
        if let Err(at) = self.find(&record) {
            let row = LedgerRow {
                record,
                revision: None,
                until: now + CRASH_RETENTION,
            };
            self.rows.insert(at, row);
            self.evict_oldest();
        }
    }

    /// Clears `request` of the crashes so far, because it was answered in full.
    pub(crate) fn clear(&mut self, request: RequestDigest) {
        let range = self.range(request);
        for row in &mut self.rows[range] {
            if row.record.verdict != CrashVerdict::Cleared {
                row.record.verdict = CrashVerdict::Cleared;
                row.revision = None;
            }
        }
    }

    /// Merges a row of the store, which expires at `until`.
    pub(crate) fn merge_stored(&mut self, stored: StoredCrash, until: ClockTime) {
        let row = LedgerRow {
            record: stored.record,
            revision: Some(stored.revision),
            until,
        };
        match self.find(&stored.record) {
            Ok(at) => {
                let known = &mut self.rows[at];
                // A request cleared here stays cleared until the store has that row, too.
                if stored.record.verdict >= known.record.verdict {
                    known.revision = known.revision.max(row.revision);
                    known.record.verdict = stored.record.verdict;
                }
            }
            Err(at) => {
                self.rows.insert(at, row);
                self.evict_oldest();
            }
        }
    }

    /// Removes the rows that the store no longer has; `listed` are all rows of the store as of
    /// `revision`. Rows that are newer or not stored yet remain. So do those of an older era, which
    /// the store has lost rather than removed; they are stored again.
    pub(crate) fn keep_listed(&mut self, listed: &[StoredCrash], revision: u64) {
        let is_listed = |row: &LedgerRow| {
            let mut listed = listed.iter();
            listed.any(|stored| stored.record.key() == row.record.key())
        };
        let is_lost = |row: &LedgerRow| {
            let known = row.revision;
            known.is_some_and(|known| era_of(known) < era_of(revision)) && !is_listed(row)
        };
        for row in &mut self.rows {
            if is_lost(row) {
                row.revision = None;
            }
        }
        self.rows
            .retain(|row| row.revision.is_none_or(|known| known > revision) || is_listed(row));
        self.note_revision(revision);
    }

    /// Records that the store holds `records` as of `revision`.
    pub(crate) fn mark_stored(&mut self, records: &[CrashRecord], revision: u64) {
        for record in records {
            if let Ok(at) = self.find(record)
                && self.rows[at].record.verdict == record.verdict
            {
                self.rows[at].revision = Some(revision);
            }
        }
    }

    /// Returns the records that the store does not hold yet.
    pub(crate) fn unstored(&self) -> Vec<CrashRecord> {
        let rows = self.rows.iter().filter(|row| row.revision.is_none());
        rows.map(|row| row.record).collect()
    }

    /// Returns the rows that are missing in a process that knows all rows up to `revision`.
    pub(crate) fn stored_after(&self, revision: u64) -> impl Iterator<Item = StoredCrash> + '_ {
        // A row newer than the completely known revision would be sent again in every response.
        let is_missing = move |stored: &u64| *stored > revision && *stored <= self.revision;
        self.rows.iter().filter_map(move |row| {
            let revision = row.revision.filter(is_missing)?;
            Some(StoredCrash {
                record: row.record,
                revision,
            })
        })
    }

    /// Removes the records that have expired at `now`.
    pub(crate) fn drop_expired(&mut self, now: ClockTime) {
        self.rows.retain(|row| row.until > now);
    }

    /// Returns whether `request` is quarantined or would be after one more crash.
    ///
    /// Few of the harmless requests that run next to a harmful one are at risk. Only for these does
    /// a complete answer have to be announced.
    pub(crate) fn is_at_risk(&self, request: RequestDigest, now: ClockTime) -> bool {
        self.active_suspicions(request, now).count() + 1 >= QUARANTINE_THRESHOLD
    }

    /// Returns how long `request` stays quarantined after `now`, or `None` if it is not.
    pub(crate) fn quarantine(&self, request: RequestDigest, now: ClockTime) -> Option<Duration> {
        let mut ends: Vec<ClockTime> = self
            .active_suspicions(request, now)
            .map(|row| row.until)
            .collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        let end = ends.get(QUARANTINE_THRESHOLD - 1)?;
        Some(end.since(now))
    }

    /// Returns whether `request` is suspected of any crash.
    #[cfg(test)]
    pub(crate) fn suspects(&self, request: RequestDigest) -> bool {
        let mut rows = self.rows[self.range(request)].iter();
        rows.any(|row| row.record.verdict == CrashVerdict::Suspected)
    }

    fn active_suspicions(
        &self,
        request: RequestDigest,
        now: ClockTime,
    ) -> impl Iterator<Item = &LedgerRow> + '_ {
        let rows = self.rows[self.range(request)].iter();
        rows.filter(move |row| row.record.verdict == CrashVerdict::Suspected && row.until > now)
    }

    fn range(&self, request: RequestDigest) -> Range<usize> {
        let from = self
            .rows
            .partition_point(|row| row.record.request < request);
        let to = self
            .rows
            .partition_point(|row| row.record.request <= request);
        from..to
    }

    fn find(&self, record: &CrashRecord) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&record.key(), |row| row.record.key())
    }

    fn evict_oldest(&mut self) {
        if self.rows.len() > ROWS_MAX
            && let Some(oldest) = self.rows.iter().map(|row| row.until).min()
        {
            self.rows.retain(|row| row.until != oldest);
        }
    }
}
