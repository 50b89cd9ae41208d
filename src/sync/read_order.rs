//! Decides which entry hosts of a data centre read the operator's table from the store, and which
//! of them the others query. Each entry host computes this on its own, from the entry hosts that it
//! knows and from how they answered.
//!
//! All rank the entry hosts in the same order, and each queries only hosts of a higher rank, so
//! that no two wait for each other whatever failures each has seen. While their lists differ, there
//! is one reader more.

use std::time::Duration;

use bytestring::ByteString;

use super::peer_messages::EntryRecord;
use crate::routing::name_hash;
use crate::time::ClockTime;

/// Entry hosts of a data centre that read. With two of them, one may be cut off, paused or outdated
/// without a wait for the others; a third would only add its traffic to the link between two
/// regions.
const READERS: usize = 2;
/// How long a failed reader is excluded. The time doubles with each failure, up to `EXCLUSION_MAX`.
const EXCLUSION: Duration = Duration::from_secs(2);
const EXCLUSION_MAX: Duration = Duration::from_secs(16);
/// How many readers may be excluded at a time although they answer, because the store does not
/// answer them or their knowledge is old. Each additional reader makes a narrow link narrower. The
/// store may refuse a third of all hosts; the chance that it refuses all of six is two in a
/// thousand.
const OUTDATED_MAX: usize = 4;
/// Unresponsive readers in a row after which this process reads from the store once.
const UNRESPONSIVE_MAX: u32 = 2;

/// What this process does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadStep {
    /// It calls the store.
    Read,
    /// It queries this reader.
    Query(EntryRecord),
}

/// The result of a query to a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReaderAnswer {
    /// The reader knows the current state of the store.
    Current,
    /// The reader answers, but the store does not answer it, or its knowledge is old.
    Outdated,
    /// There was no response, or an unreadable one.
    Unresponsive,
}

#[derive(Clone, Debug)]
struct ExcludedReader {
    host: ByteString,
    until: ClockTime,
    span: Duration,
    is_unresponsive: bool,
}

/// The order of readers as seen by one process.
#[derive(Clone, Debug)]
pub(super) struct ReadOrder {
    host: ByteString,
    data_centre: ByteString,
    rank: u64,
    /// Readers whose last query failed, each at most once; the exclusion of some may be over.
    excluded: Vec<ExcludedReader>,
    next_reader: usize,
    unresponsive_in_row: u32,
}

/// The rank of the entry host called `host`; the highest ranks read.
pub(super) fn rank_of(host: &str) -> u64 {
    name_hash(&format!("{host}/reads"))
}

impl ReadOrder {
    pub(super) fn of(own_entry: &EntryRecord) -> Self {
        let rank = rank_of(&own_entry.host);
        Self {
            host: own_entry.host.clone(),
            data_centre: own_entry.data_centre.clone(),
            rank,
            excluded: Vec::new(),
            // Half of the followers begin with the first reader, half with the second.
            next_reader: usize::from(rank & 1 == 0),
            unresponsive_in_row: 0,
        }
    }

    /// The next step at `now`, given all known entry hosts.
    pub(super) fn next(&mut self, entries: &[EntryRecord], now: ClockTime) -> ReadStep {
        if self.unresponsive_in_row >= UNRESPONSIVE_MAX {
            self.unresponsive_in_row = 0;
            return ReadStep::Read;
        }
        let readers = self.readers_ahead(entries, now);
        if readers.len() < READERS {
            return ReadStep::Read;
        }
        self.next_reader = self.next_reader.wrapping_add(1);
        ReadStep::Query(readers[self.next_reader % READERS].clone())
    }

    /// The first time, not before `now`, at which enough readers of a higher rank are not excluded,
    /// given all known entry hosts; `None` if there are too few of them.
    pub(super) fn reads_until(&self, entries: &[EntryRecord], now: ClockTime) -> Option<ClockTime> {
        let ends = self.excluded.iter().map(|excluded| excluded.until);
        let mut times: Vec<ClockTime> = ends.filter(|until| *until > now).collect();
        times.push(now);
        times.sort_unstable();
        times
            .into_iter()
            .find(|time| self.readers_ahead(entries, *time).len() >= READERS)
    }

    /// Records the result of a query to the reader called `host` at `now`.
    pub(super) fn note(&mut self, host: &str, answer: ReaderAnswer, now: ClockTime) {
        let known = self
            .excluded
            .iter()
            .position(|excluded| *excluded.host == *host);
        let former = known.map(|at| self.excluded.swap_remove(at).span);
        self.unresponsive_in_row = match answer {
            ReaderAnswer::Unresponsive => self.unresponsive_in_row + 1,
            ReaderAnswer::Current | ReaderAnswer::Outdated => 0,
        };
        if answer == ReaderAnswer::Current {
            return;
        }
        let span = former.map_or(EXCLUSION, |span| (span * 2).min(EXCLUSION_MAX));
        self.excluded.push(ExcludedReader {
            host: host.into(),
            until: now + span,
            span,
            is_unresponsive: answer == ReaderAnswer::Unresponsive,
        });
    }

    /// The readers that have a higher rank than this process.
    fn readers_ahead(&self, entries: &[EntryRecord], now: ClockTime) -> Vec<EntryRecord> {
        let mut ahead: Vec<(u64, &EntryRecord)> = entries
            .iter()
            .filter(|entry| entry.data_centre == self.data_centre && entry.host != self.host)
            .map(|entry| (rank_of(&entry.host), entry))
            .filter(|(rank, _)| *rank > self.rank)
            .collect();
        ahead.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        let mut outdated = 0;
        let mut readers = Vec::with_capacity(READERS);
        for (_, entry) in ahead {
            let excluded = self
                .excluded
                .iter()
                .find(|excluded| excluded.host == entry.host);
            match excluded.filter(|excluded| excluded.until > now) {
                Some(excluded) if excluded.is_unresponsive => continue,
                Some(_) if outdated < OUTDATED_MAX => outdated += 1,
                Some(_) | None => readers.push(entry.clone()),
            }
            if readers.len() == READERS {
                break;
            }
        }
        readers
    }
}
