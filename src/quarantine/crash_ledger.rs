//! Ledger of what was in progress when backend servers crashed, as observed by all entry hosts.
//!
//! When a request crashes its backend server, the other requests that run there are suspected as
//! well. Later events distinguish them: see [`judge`].

use std::ops::Range;
use std::time::Duration;

use macro_rules_attribute::apply;

use super::answer_tally::AnswerCount;
use super::crash_record::{
    BackendIncarnation, CrashRecord, CrashSuspect, CrashVerdict, StoredCrash, SuspectDepth,
};
use super::judgement::{
    Judgement, QUARANTINE_THRESHOLD, SuspectCrash, SuspectEvidence, is_harmless, judge,
};
use super::suspect_digest::SuspectDigest;
use crate::derives::{key, plain};
use crate::platform::era_of;
use crate::time::ClockTime;

/// How long a crash counts. A quarantined suspect is allowed again after that, because it may no
/// longer be harmful.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// Largest number of rows in the ledger.
const ROWS_MAX: usize = 4096;

/// Who writes a row to the store.
#[apply(key!)]
enum RowOrigin {
    /// This process.
    Own,
    /// The process that announced the crash.
    Peer,
}

#[apply(plain!)]
#[derive(Copy)]
struct LedgerRow {
    record: CrashRecord,
    origin: RowOrigin,
    /// When this process learned of the crash.
    noted: ClockTime,
    /// Store revision of the row; `None` while the store does not hold the record in this form.
    revision: Option<u64>,
    /// When the record expires.
    until: ClockTime,
}

impl LedgerRow {
    /// Clears the suspect of the crash; this process writes that to the store.
    const fn clear(&mut self) {
        self.record.verdict = CrashVerdict::Cleared;
        self.origin = RowOrigin::Own;
        self.revision = None;
    }
}

/// The crash records that this entry host knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashLedger {
    /// Sorted by suspect and backend server.
    rows: Vec<LedgerRow>,
    /// Answers to requests with a suspected part; sorted by part and process.
    answers: Vec<AnswerCount>,
    judgement: Judgement,
    /// Store revision up to which all rows of the store are known.
    revision: u64,
}

impl CrashLedger {
    /// Returns whether the ledger has no records.
    #[cfg(test)]
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
                origin: RowOrigin::Own,
                noted: now,
                revision: None,
                until: now + CRASH_RETENTION,
            };
            self.insert(at, row);
        }
    }

    /// Merges a crash that another process announced, received at `now`; it expires at `until`. One
    /// that is late or repeated does not undo a clearing.
    pub(crate) fn merge_announced(
        &mut self,
        record: CrashRecord,
        until: ClockTime,
        now: ClockTime,
    ) {
        match self.find(&record) {
            Ok(at) => {
                let known = &mut self.rows[at].record;
                known.merge_time(&record);
                known.verdict = known.verdict.max(record.verdict);
            }
            Err(at) => {
                let row = LedgerRow {
                    record,
                    origin: RowOrigin::Peer,
                    noted: now,
                    revision: None,
                    until,
                };
                self.insert(at, row);
            }
        }
    }

    /// Clears `suspect` of the crashes so far, because it was answered in full.
    /// Returns the changed records.
    pub(crate) fn clear(&mut self, suspect: SuspectDigest) -> Vec<CrashRecord> {
        let range = self.range(suspect);
        let mut cleared = Vec::new();
        for row in &mut self.rows[range] {
            if row.record.verdict != CrashVerdict::Cleared {
                row.clear();
                cleared.push(row.record);
            }
        }
        cleared
    }

    /// Clears parts that are answered: of all crashes if these are few for so many answers, otherwise
    /// of those that a quarantined suspect explains. Returns the changed records.
    ///
    /// A process that starts later knows the crashes, but not the answers.
    pub(crate) fn clear_answered_parts(&mut self) -> Vec<CrashRecord> {
        let answered = self.answered_rows();
        answered
            .into_iter()
            .map(|at| {
                self.rows[at].clear();
                self.rows[at].record
            })
            .collect()
    }

    /// Returns whether `clear_answered_parts` would change anything.
    pub(crate) fn has_answered_parts(&self) -> bool {
        !self.answered_rows().is_empty()
    }

    /// Returns the indices of the rows that `clear_answered_parts` clears.
    fn answered_rows(&self) -> Vec<usize> {
        let explained = &self.explained_crashes();
        let answered = self.judgement.at_risk.iter().filter(|suspect| {
            let is_part = suspect.depth != SuspectDepth::WHOLE;
            let is_quarantined = self.quarantined().any(|other| other == **suspect);
            is_part && !is_quarantined && self.answers_of(suspect.digest) > 0
        });
        let rows = answered.flat_map(|suspect| {
            let (crashes, answers) = self.counts_of(suspect.digest);
            let is_harmless = is_harmless(crashes, answers);
            let range = self.range(suspect.digest);
            range.filter(move |at| is_harmless || self.is_crash_in(*at, explained))
        });
        let is_suspected = |at: &usize| self.rows[*at].record.verdict == CrashVerdict::Suspected;
        rows.filter(is_suspected).collect()
    }

    fn is_crash_in(&self, at: usize, crashes: &[BackendIncarnation]) -> bool {
        crashes.binary_search(&self.rows[at].record.backend).is_ok()
    }

    /// Returns the crashes that count against quarantined suspects, sorted.
    fn explained_crashes(&self) -> Vec<BackendIncarnation> {
        let rows = self
            .quarantined()
            .flat_map(|suspect| &self.rows[self.range(suspect.digest)]);
        let suspected = rows.filter(|row| row.record.verdict == CrashVerdict::Suspected);
        let mut crashes: Vec<BackendIncarnation> =
            suspected.map(|row| row.record.backend).collect();
        crashes.sort_unstable();
        crashes
    }

    /// Merges a row of the store, which expires at `until`.
    pub(crate) fn merge_stored(&mut self, stored: StoredCrash, until: ClockTime) {
        let row = LedgerRow {
            record: stored.record,
            origin: RowOrigin::Peer,
            noted: ClockTime(0),
            revision: Some(stored.revision),
            until,
        };
        match self.find(&stored.record) {
            Ok(at) => {
                let known = &mut self.rows[at];
                known.record.merge_time(&stored.record);
                // A request cleared here stays cleared until the store has that row, too.
                if stored.record.verdict >= known.record.verdict {
                    known.revision = known.revision.max(row.revision);
                    known.record.verdict = stored.record.verdict;
                }
            }
            Err(at) => {
                self.insert(at, row);
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
                row.origin = RowOrigin::Own;
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

    /// Returns the records that this process has to write to the store, which does not hold them yet.
    /// These include the ones that another process announced before `adopted`: that process may have
    /// ended.
    pub(crate) fn unstored(&self, adopted: ClockTime) -> Vec<CrashRecord> {
        let is_due = |row: &&LedgerRow| {
            let is_own = row.origin == RowOrigin::Own || row.noted < adopted;
            row.revision.is_none() && is_own
        };
        let rows = self.rows.iter().filter(is_due);
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
        let rows = &self.rows;
        let is_suspected = |part| {
            let found = rows.binary_search_by_key(&part, |row| row.record.suspect);
            found.is_ok()
        };
        self.answers.retain(|count| is_suspected(count.part));
    }

    /// Records how many answers one process saw. Counts only grow, so that a late or repeated count
    /// changes nothing.
    pub(crate) fn note_answers(&mut self, count: AnswerCount) {
        let key = (count.part, count.process);
        let found = self
            .answers
            .binary_search_by_key(&key, |known| (known.part, known.process));
        match found {
            Ok(at) => self.answers[at].answers = self.answers[at].answers.max(count.answers),
            Err(at) if !self.range(count.part).is_empty() => self.answers.insert(at, count),
            Err(_) => {}
        }
    }

    /// Judges all suspects anew.
    pub(crate) fn judge(&mut self) {
        let groups = self
            .rows
            .chunk_by(|left, right| left.record.suspect == right.record.suspect);
        let evidence = groups.filter_map(|rows| self.evidence_of(rows));
        self.judgement = judge(evidence.collect());
    }

    /// Returns the evidence in `rows`, all rows of one suspect, unless its crashes are too few.
    fn evidence_of(&self, rows: &[LedgerRow]) -> Option<SuspectEvidence> {
        let suspected = rows
            .iter()
            .filter(|row| row.record.verdict == CrashVerdict::Suspected);
        let mut ends: Vec<ClockTime> = suspected.clone().map(|row| row.until).collect();
        if ends.len() + 1 < QUARANTINE_THRESHOLD {
            return None;
        }
        ends.sort_unstable_by(|left, right| right.cmp(left));
        let first = rows.first()?.record;
        // Prompts may have the part at different positions.
        let depth = rows.iter().map(|row| row.record.depth).max()?;
        let mut crashes: Vec<SuspectCrash> = suspected
            .map(|row| SuspectCrash {
                backend: row.record.backend,
                seen: row.record.seen,
            })
            .collect();
        crashes.sort_unstable_by_key(|crash| (crash.seen, crash.backend));
        Some(SuspectEvidence {
            suspect: CrashSuspect {
                digest: first.suspect,
                depth,
            },
            crashes,
            answers: self.answers_of(first.suspect),
            until: *ends.get(QUARANTINE_THRESHOLD - 1).or(ends.last())?,
        })
    }

    fn answers_of(&self, part: SuspectDigest) -> u32 {
        let from = self.answers.partition_point(|count| count.part < part);
        let counts = self.answers[from..].iter();
        let counts = counts.take_while(|count| count.part == part);
        counts.fold(0, |sum, count| sum.saturating_add(count.answers))
    }

    /// Returns the suspects that one more crash may quarantine, and those that are quarantined.
    pub(crate) fn at_risk(&self) -> &[CrashSuspect] {
        &self.judgement.at_risk
    }

    /// Returns the quarantined suspects.
    pub(crate) fn quarantined(&self) -> impl Iterator<Item = CrashSuspect> + '_ {
        self.judgement
            .quarantined
            .iter()
            .map(|(suspect, _)| *suspect)
    }

    /// Returns the number of crashes that count against `suspect` and of answers that it has.
    pub(crate) fn counts_of(&self, suspect: SuspectDigest) -> (usize, u32) {
        let rows = self.rows[self.range(suspect)].iter();
        let crashes = rows.filter(|row| row.record.verdict == CrashVerdict::Suspected);
        (crashes.count(), self.answers_of(suspect))
    }

    /// Returns whether `request` is quarantined or would be after one more crash.
    ///
    /// Few of the harmless requests that run next to a harmful one are at risk. Only for these does
    /// a complete answer have to be announced.
    pub(crate) fn is_at_risk(&self, request: SuspectDigest, now: ClockTime) -> bool {
        self.active_suspicions(request, now).count() + 1 >= QUARANTINE_THRESHOLD
    }

    /// Returns how long `suspect` stays quarantined after `now`, or `None` if it is not.
    pub(crate) fn quarantine(&self, suspect: SuspectDigest, now: ClockTime) -> Option<Duration> {
        let quarantined = &self.judgement.quarantined;
        let at = quarantined
            .binary_search_by_key(&suspect, |(quarantined, _)| quarantined.digest)
            .ok()?;
        let (_, until) = quarantined[at];
        (until > now).then(|| until.since(now))
    }

    /// Returns whether `suspect` is suspected of any crash.
    #[cfg(test)]
    pub(crate) fn suspects(&self, suspect: SuspectDigest) -> bool {
        let mut rows = self.rows[self.range(suspect)].iter();
        rows.any(|row| row.record.verdict == CrashVerdict::Suspected)
    }

    fn active_suspicions(
        &self,
        request: SuspectDigest,
        now: ClockTime,
    ) -> impl Iterator<Item = &LedgerRow> + '_ {
        let rows = self.rows[self.range(request)].iter();
        rows.filter(move |row| row.record.verdict == CrashVerdict::Suspected && row.until > now)
    }

    fn range(&self, suspect: SuspectDigest) -> Range<usize> {
        let from = self
            .rows
            .partition_point(|row| row.record.suspect < suspect);
        let to = self
            .rows
            .partition_point(|row| row.record.suspect <= suspect);
        from..to
    }

    fn find(&self, record: &CrashRecord) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&record.key(), |row| row.record.key())
    }

    fn insert(&mut self, at: usize, row: LedgerRow) {
        self.rows.insert(at, row);
        self.evict();
    }

    /// Evicts a row if there are too many. The rows of suspects with a single crash are evicted first, so that
    /// many invented parts do not hide one that keeps crashing backend servers.
    fn evict(&mut self) {
        if self.rows.len() <= ROWS_MAX {
            return;
        }
        let has_other = |at: usize| {
            let suspect = self.rows[at].record.suspect;
            let mut neighbours = [at.wrapping_sub(1), at + 1].into_iter();
            neighbours.any(|other| {
                let other = self.rows.get(other);
                other.is_some_and(|other| other.record.suspect == suspect)
            })
        };
        let evicted = (0..self.rows.len()).min_by_key(|at| (has_other(*at), self.rows[*at].until));
        evicted.map(|at| self.rows.remove(at));
    }
}
