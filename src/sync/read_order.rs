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
const REST: Duration = Duration::from_secs(2);
const REST_MAX: Duration = Duration::from_secs(16);
/// Neighbours at a time that answer and are left out all the same, because the store does not answer them
/// or what they know is old. Where a link is too narrow, each more that reads makes it narrower; and the
/// store may turn away a third of all machines: of six, all are with a chance of two in a thousand.
const BEHIND_MAX: usize = 4;
/// Neighbours in a row that give no answer, after which this process reads once by itself.
const SILENT_MAX: u32 = 2;

/// What this process does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadTurn {
    /// It asks the store.
    Read,
    /// It asks this neighbour.
    Ask(EntryRecord),
}

/// How a neighbour answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReaderAnswer {
    /// It knows what the store says.
    Current,
    /// It answers, and the store does not answer it, or what it knows is old.
    Behind,
    /// Nothing came, or nothing that reads.
    Silent,
}

#[derive(Clone, Debug)]
struct RestingHost {
    host: ByteString,
    until: ClockTime,
    span: Duration,
    is_silent: bool,
}

/// The order as one process sees it.
#[derive(Clone, Debug)]
pub(super) struct ReadOrder {
    host: ByteString,
    data_centre: ByteString,
    place: u64,
    /// Those that failed last, each at most once; only some of them still rest.
    resting: Vec<RestingHost>,
    turn: usize,
    silent: u32,
}

/// Where the entry host called `host` stands: the greatest goes first.
pub(super) fn place_of(host: &str) -> u64 {
    name_hash(&format!("{host}/reads"))
}

impl ReadOrder {
    pub(super) fn of(me: &EntryRecord) -> Self {
        let place = place_of(&me.host);
        Self {
            host: me.host.clone(),
            data_centre: me.data_centre.clone(),
            place,
            resting: Vec::new(),
            // Half of those that ask begin with the first reader, half with the second.
            turn: usize::from(place & 1 == 0),
            silent: 0,
        }
    }

    /// What is to be done at `now`, if `entries` are all entry hosts that are known.
    pub(super) fn next(&mut self, entries: &[EntryRecord], now: ClockTime) -> ReadTurn {
        if self.silent >= SILENT_MAX {
            self.silent = 0;
            return ReadTurn::Read;
        }
        let readers = self.readers_before(entries, now);
        if readers.len() < READERS {
            return ReadTurn::Read;
        }
        self.turn = self.turn.wrapping_add(1);
        ReadTurn::Ask(readers[self.turn % READERS].clone())
    }

    /// The neighbour called `host` answered, or did not, at `now`.
    pub(super) fn note(&mut self, host: &str, answer: ReaderAnswer, now: ClockTime) {
        let known = self.resting.iter().position(|rest| *rest.host == *host);
        let former = known.map(|at| self.resting.swap_remove(at).span);
        self.silent = match answer {
            ReaderAnswer::Silent => self.silent + 1,
            ReaderAnswer::Current | ReaderAnswer::Behind => 0,
        };
        if answer == ReaderAnswer::Current {
            return;
        }
        let span = former.map_or(REST, |span| (span * 2).min(REST_MAX));
        self.resting.push(RestingHost {
            host: host.into(),
            until: now + span,
            span,
            is_silent: answer == ReaderAnswer::Silent,
        });
    }

    /// The readers, as far as they stand before this process.
    fn readers_before(&self, entries: &[EntryRecord], now: ClockTime) -> Vec<EntryRecord> {
        let mut before: Vec<(u64, &EntryRecord)> = entries
            .iter()
            .filter(|entry| entry.data_centre == self.data_centre && entry.host != self.host)
            .map(|entry| (place_of(&entry.host), entry))
            .filter(|(place, _)| *place > self.place)
            .collect();
        before.sort_unstable_by_key(|(place, _)| std::cmp::Reverse(*place));
        let mut behind = 0;
        let mut readers = Vec::with_capacity(READERS);
        for (_, entry) in before {
            let rest = self.resting.iter().find(|rest| rest.host == entry.host);
            match rest.filter(|rest| rest.until > now) {
                Some(rest) if rest.is_silent => continue,
                Some(_) if behind < BEHIND_MAX => behind += 1,
                Some(_) | None => readers.push(entry.clone()),
            }
            if readers.len() == READERS {
                break;
            }
        }
        readers
    }
}
