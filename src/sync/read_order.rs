//! Which entry hosts of a data centre read the operator's table in the store, and whom the others ask,
//! worked out by each for itself from the entry hosts that it knows and from how they answered.
//!
//! All sort the entry hosts in the same order, and everybody asks only such as stand before it: no two wait
//! for each other, whatever each has seen fail. Where lists differ for a moment, one more reads.

use std::time::Duration;

use bytestring::ByteString;

use super::peer_messages::EntryRecord;
use crate::routing::name_hash;
use crate::time::ClockTime;

/// Entry hosts of a data centre that read. One may be cut off, frozen or behind without anybody waiting for
/// it; a third brings nothing but its bytes over the link between two regions.
const READERS: usize = 2;
/// How long a neighbour is left out that failed; it doubles with each failure, up to the longest.
const EXCLUSION: Duration = Duration::from_secs(2);
const EXCLUSION_MAX: Duration = Duration::from_secs(16);
/// Neighbours at a time that answer and are left out all the same, because the store does not answer them
/// or what they know is old. Where a link is too narrow, each more that reads makes it narrower; and the
/// store may turn away a third of all machines: of six, all are with a chance of two in a thousand.
const OUTDATED_MAX: usize = 4;
/// Neighbours in a row that give no answer, after which this process reads once by itself.
const UNRESPONSIVE_MAX: u32 = 2;

/// What this process does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadStep {
    /// It asks the store.
    Read,
    /// It asks this neighbour.
    Query(EntryRecord),
}

/// How a neighbour answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReaderAnswer {
    /// It knows what the store says.
    Current,
    /// It answers, and the store does not answer it, or what it knows is old.
    Outdated,
    /// Nothing came, or nothing that reads.
    Unresponsive,
}

#[derive(Clone, Debug)]
struct ExcludedReader {
    host: ByteString,
    until: ClockTime,
    span: Duration,
    is_unresponsive: bool,
}

/// The order as one process sees it.
#[derive(Clone, Debug)]
pub(super) struct ReadOrder {
    host: ByteString,
    data_centre: ByteString,
    rank: u64,
    /// Those that failed last, each at most once; only some of them still rest.
    excluded: Vec<ExcludedReader>,
    next_reader: usize,
    unresponsive_in_row: u32,
}

/// Where the entry host called `host` stands: the greatest goes first.
pub(super) fn rank_of(host: &str) -> u64 {
    name_hash(&format!("{host}/reads"))
}

impl ReadOrder {
    pub(super) fn of(me: &EntryRecord) -> Self {
        let rank = rank_of(&me.host);
        Self {
            host: me.host.clone(),
            data_centre: me.data_centre.clone(),
            rank,
            excluded: Vec::new(),
            // Half of those that ask begin with the first reader, half with the second.
            next_reader: usize::from(rank & 1 == 0),
            unresponsive_in_row: 0,
        }
    }

    /// What is to be done at `now`, if `entries` are all entry hosts that are known.
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

    /// The neighbour called `host` answered, or did not, at `now`.
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

    /// The readers, as far as they stand before this process.
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
