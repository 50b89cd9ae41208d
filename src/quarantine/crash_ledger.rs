//! Which requests were under way at backend servers that crashed, from all entry hosts together.
//!
//! Requests that ran beside one that crashes its backend server are suspected as well. They are told apart
//! by what follows: a harmless one is soon answered whole, and is not there at the next crashes.

use std::ops::Range;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::request_digest::RequestDigest;
use crate::derives::{key, message, plain};
use crate::routing::name_hash;
use crate::time::{ClockTime, StoreTime, WallTime};

/// Different backend servers that crash under a request before it is quarantined.
pub(crate) const QUARANTINE_THRESHOLD: usize = 3;
/// How long a crash counts. A quarantined request is then tried again, in case it no longer does harm.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// Crashes that are remembered, each with one request; of more, the oldest are forgotten.
const ROWS_MAX: usize = 4096;

/// One start of one backend server.
#[apply(message!)]
#[derive(Copy, Eq, PartialOrd, Ord)]
pub(crate) struct BackendIncarnation(pub(crate) u64);

impl BackendIncarnation {
    /// The start at `born` of the backend server called `id`.
    pub(crate) fn of(id: &ByteString, born: Option<WallTime>) -> Self {
        let born = born.map_or(0, |born| born.0);
        Self(name_hash(&format!("{id}/{born}")))
    }
}

/// What a crash says of a request that was under way.
#[apply(key!)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CrashVerdict {
    /// The request may have caused it.
    Suspected,
    /// The same request was answered whole since.
    Cleared,
}

/// A request that was under way at a backend server that crashed.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct CrashRecord {
    /// The request.
    pub(crate) request: RequestDigest,
    /// The backend server that crashed.
    pub(crate) backend: BackendIncarnation,
    /// What is held against the request.
    pub(crate) verdict: CrashVerdict,
    /// When the crash was seen.
    pub(crate) seen: StoreTime,
}

impl CrashRecord {
    const fn key(&self) -> (RequestDigest, BackendIncarnation) {
        (self.request, self.backend)
    }
}

/// A record as the store keeps it.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct StoredCrash {
    /// The record.
    pub(crate) record: CrashRecord,
    /// The store's revision of its row.
    pub(crate) revision: u64,
}

#[apply(plain!)]
#[derive(Copy)]
struct LedgerRow {
    record: CrashRecord,
    /// The store's revision of it; none while the store does not keep it as it is.
    revision: Option<u64>,
    /// Until when it counts.
    until: ClockTime,
}

/// The ledger.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashLedger {
    /// Sorted by request and backend server.
    rows: Vec<LedgerRow>,
    /// The store's revision up to which all of its rows are known.
    revision: u64,
}

impl CrashLedger {
    /// Whether nothing is held against any request.
    pub(crate) const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The store's revision up to which all of its rows are known.
    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    /// All rows of the store up to `revision` are known.
    pub(crate) fn note_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// This process saw the crash that `record` tells of, at `now`.
    pub(crate) fn note_crash(&mut self, record: CrashRecord, now: ClockTime) {
        if let Err(at) = self.find(&record) {
            let row = LedgerRow {
                record,
                revision: None,
                until: now + CRASH_RETENTION,
            };
            self.rows.insert(at, row);
            self.trim();
        }
    }

    /// `request` was answered whole: the crashes so far were not its own.
    pub(crate) fn clear(&mut self, request: RequestDigest) {
        let range = self.range(request);
        for row in &mut self.rows[range] {
            if row.record.verdict != CrashVerdict::Cleared {
                row.record.verdict = CrashVerdict::Cleared;
                row.revision = None;
            }
        }
    }

    /// Takes in what the store keeps, which counts until `until`.
    pub(crate) fn merge_stored(&mut self, word: StoredCrash, until: ClockTime) {
        let row = LedgerRow {
            record: word.record,
            revision: Some(word.revision),
            until,
        };
        match self.find(&word.record) {
            Ok(at) => {
                let known = &mut self.rows[at];
                // What was cleared here is still to be told.
                if word.record.verdict >= known.record.verdict {
                    known.revision = known.revision.max(row.revision);
                    known.record.verdict = word.record.verdict;
                }
            }
            Err(at) => {
                self.rows.insert(at, row);
                self.trim();
            }
        }
    }

    /// Takes in all that the store keeps as of `revision`. Rows that it does not have any more are gone.
    pub(crate) fn keep_listed(&mut self, words: &[StoredCrash], revision: u64) {
        self.rows.retain(|row| {
            let is_listed = || {
                words
                    .iter()
                    .any(|word| word.record.key() == row.record.key())
            };
            row.revision.is_none_or(|known| known > revision) || is_listed()
        });
        self.note_revision(revision);
    }

    /// The store keeps `records` since `revision`.
    pub(crate) fn mark_stored(&mut self, records: &[CrashRecord], revision: u64) {
        for record in records {
            if let Ok(at) = self.find(record)
                && self.rows[at].record.verdict == record.verdict
            {
                self.rows[at].revision = Some(revision);
            }
        }
    }

    /// What the store does not keep yet.
    pub(crate) fn unstored(&self) -> Vec<CrashRecord> {
        let rows = self.rows.iter().filter(|row| row.revision.is_none());
        rows.map(|row| row.record).collect()
    }

    /// What a process does not know that knows all rows up to `revision`.
    pub(crate) fn stored_after(&self, revision: u64) -> impl Iterator<Item = StoredCrash> + '_ {
        // A row beyond what is completely known would be told again each time.
        let is_meant = move |told: &u64| *told > revision && *told <= self.revision;
        self.rows.iter().filter_map(move |row| {
            let revision = row.revision.filter(is_meant)?;
            Some(StoredCrash {
                record: row.record,
                revision,
            })
        })
    }

    /// Crashes that no longer count at `now`.
    pub(crate) fn drop_expired(&mut self, now: ClockTime) {
        self.rows.retain(|row| row.until > now);
    }

    /// Whether `request` would be quarantined by one crash more after `now`, or is.
    ///
    /// Of the harmless requests that ran beside one that crashes its backend server few are, and only these
    /// need to be told of when they are answered.
    pub(crate) fn is_at_risk(&self, request: RequestDigest, now: ClockTime) -> bool {
        self.counting(request, now).count() + 1 >= QUARANTINE_THRESHOLD
    }

    /// How long `request` stays quarantined from `now` on; none if it is not.
    pub(crate) fn quarantine(&self, request: RequestDigest, now: ClockTime) -> Option<Duration> {
        let mut ends: Vec<ClockTime> = self.counting(request, now).map(|row| row.until).collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        let end = ends.get(QUARANTINE_THRESHOLD - 1)?;
        Some(end.since(now))
    }

    /// Whether anything is held against `request`.
    #[cfg(test)]
    pub(crate) fn suspects(&self, request: RequestDigest) -> bool {
        let mut rows = self.rows[self.range(request)].iter();
        rows.any(|row| row.record.verdict == CrashVerdict::Suspected)
    }

    fn counting(
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

    fn trim(&mut self) {
        if self.rows.len() > ROWS_MAX
            && let Some(oldest) = self.rows.iter().map(|row| row.until).min()
        {
            self.rows.retain(|row| row.until != oldest);
        }
    }
}
