//! The backend servers that the store lists, and which of several entries of one backend server is
//! in force.
//!
//! Entries arrive out of order: the store may execute a write that got no answer seconds later, and
//! neighbours forward what they read earlier. An entry of a former incarnation, or an earlier one
//! of the same incarnation, changes nothing. If only one of two entries has a start time, or a
//! number is missing, they cannot be ordered, and the later arrival is used.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;

use super::events;
use crate::events::log_event;
use crate::fleet::BackendFacts;
use crate::routing::name_hash;
use crate::time::{ClockTime, WallTime};

/// How long a backend server is kept at most after its entry was removed. A leaving one may get no
/// request later than two seconds after this process knows of it, requests in transit included.
pub(super) const LAPSE_GRACE: Duration = Duration::from_millis(1500);
/// How long the last entry of a removed backend server is remembered: the store executes a write
/// that got no answer within some seconds.
const REMOVED_MEMORY: Duration = Duration::from_secs(30);
/// Limit of remembered removed backend servers; all of a large deployment may be removed at once.
const REMOVED_MAX: usize = 1024;

/// How long a removal is reported to followers, which send a query twice a second. Removals missed
/// nevertheless show in the digest.
const REMOVED_REPORT_SPAN: Duration = Duration::from_secs(5);

fn digest_of(facts: &BackendFacts) -> u64 {
    let (id, start_time, address) = (&facts.id, facts.start_time, facts.address);
    name_hash(&format!("{id} {start_time:?} {address} {:?}", facts.phase))
}

/// Position of an entry among all entries of its backend server.
#[derive(Clone, Copy, Debug)]
struct EntrySequence {
    start_time: Option<WallTime>,
    number: Option<u64>,
}

impl EntrySequence {
    const fn of(facts: &BackendFacts) -> Self {
        Self {
            start_time: facts.start_time,
            number: facts.sequence,
        }
    }

    /// Compares the two; `None` if they cannot be ordered.
    fn order(self, known: Self) -> Option<Ordering> {
        match (self.start_time, known.start_time) {
            (Some(own), Some(other)) if own != other => Some(own.cmp(&other)),
            (Some(_), None) | (None, Some(_)) => None,
            _ => Some(self.number?.cmp(&known.number?)),
        }
    }
}

#[derive(Clone, Debug)]
struct BackendEntry {
    facts: Arc<BackendFacts>,
    /// Revision of the store as of which the facts were read, at least that of their last change.
    revision: u64,
    /// Contribution to the digest of the list.
    digest: u64,
    /// When the backend server is removed unless its entry returns before.
    expires_at: Option<ClockTime>,
}

#[derive(Clone, Debug)]
struct RemovedBackend {
    id: ByteString,
    last: EntrySequence,
    at: ClockTime,
}

/// The backend servers, and those removed recently.
#[derive(Debug, Default)]
pub(super) struct BackendList {
    /// Sorted by id.
    entries: Vec<BackendEntry>,
    /// Sorted by id.
    removed: Vec<RemovedBackend>,
}

impl BackendList {
    /// All backend servers, sorted by id, including those in the grace period after their entry was
    /// removed.
    pub(super) fn all(&self) -> impl Iterator<Item = &Arc<BackendFacts>> {
        self.entries.iter().map(|entry| &entry.facts)
    }

    /// The backend servers that have an entry.
    pub(super) fn listed(&self) -> impl Iterator<Item = &Arc<BackendFacts>> {
        let listed = self
            .entries
            .iter()
            .filter(|entry| entry.expires_at.is_none());
        listed.map(|entry| &entry.facts)
    }

    /// Stores an entry, unless it is of a former incarnation or older than the known one.
    ///
    /// Otherwise an earlier entry that the store executes late makes a leaving backend server
    /// receive requests again, or revives a removed one for three heartbeats.
    pub(super) fn put(&mut self, facts: BackendFacts, revision: u64) {
        let sequence = EntrySequence::of(&facts);
        let found = self.find(&facts.id);
        let (known, is_removed) = match found {
            Ok(at) => (Some(EntrySequence::of(&self.entries[at].facts)), false),
            Err(_) => (self.last_sequence(&facts.id), true),
        };
        let order = known.and_then(|known| sequence.order(known));
        let is_late = match order {
            Some(Ordering::Less) => true,
            // The same entry that was known when the backend server was removed.
            Some(Ordering::Equal) => is_removed,
            Some(Ordering::Greater) | None => false,
        };
        if is_late {
            log_event!(events::ENTRY_LATE, "backend={} {sequence:?}", facts.id);
            return;
        }
        let entry = BackendEntry {
            digest: digest_of(&facts),
            facts: Arc::new(facts),
            revision,
            expires_at: None,
        };
        match found {
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
    }

    /// Handles the removal of the entry of `id`. Before `settled_at` the entry counts as lapsed,
    /// and may return within the grace period.
    pub(super) fn remove(&mut self, id: &str, settled_at: ClockTime, now: ClockTime) {
        let Ok(at) = self.find(id) else {
            return;
        };
        if settled_at <= now {
            let entry = self.entries.remove(at);
            self.remember_removed(&entry.facts, now);
        } else {
            let expires_at = settled_at.min(now + LAPSE_GRACE);
            self.entries[at].expires_at.get_or_insert(expires_at);
        }
    }

    /// Records that the store has no entry of `id` any more and that its grace period ends at
    /// `expires_at`.
    pub(super) fn lapse(&mut self, id: &str, expires_at: ClockTime) {
        if let Ok(at) = self.find(id) {
            self.entries[at].expires_at.get_or_insert(expires_at);
        }
    }

    /// The backend servers in their grace period, with what is left of it at `now`.
    pub(super) fn lapsed(&self, now: ClockTime) -> impl Iterator<Item = (&ByteString, Duration)> {
        self.entries.iter().filter_map(move |entry| {
            let expires_at = entry.expires_at?;
            Some((&entry.facts.id, expires_at.since(now)))
        })
    }

    /// Drops the backend server of entry `id` at once, because another writer has overwritten the
    /// entry. The entry did not lapse during an outage, so there is no grace period: what now
    /// answers at its address is unknown. The next valid entry adds it again.
    pub(super) fn drop_entry(&mut self, id: &str) {
        self.entries.retain(|entry| *entry.facts.id != *id);
    }

    /// The ids for which `is_listed` is false.
    pub(super) fn unlisted(&self, is_listed: impl Fn(&str) -> bool) -> Vec<ByteString> {
        let ids = self.all().map(|facts| facts.id.clone());
        ids.filter(|id| !is_listed(id)).collect()
    }

    /// The facts that changed after revision `since`.
    pub(super) fn changed_since(&self, since: u64) -> impl Iterator<Item = &BackendFacts> {
        let changed = self
            .entries
            .iter()
            .filter(move |entry| entry.revision > since);
        changed.map(|entry| &*entry.facts)
    }

    /// The ids of backend servers that were removed within the reporting span before `now`.
    pub(super) fn recently_removed(&self, now: ClockTime) -> impl Iterator<Item = &ByteString> {
        let removed = self
            .removed
            .iter()
            .filter(move |removed| now.since(removed.at) < REMOVED_REPORT_SPAN);
        let removed = removed.filter(|removed| self.find(&removed.id).is_err());
        removed.map(|removed| &removed.id)
    }

    /// Digest over which backend servers are listed, their addresses, and whether they take
    /// requests.
    pub(super) fn digest(&self) -> u64 {
        let digests = self.entries.iter().map(|entry| entry.digest);
        digests.fold(0, std::ops::BitXor::bitxor)
    }

    /// Whether the grace period of a removed entry is over at `now`.
    pub(super) fn has_expired(&self, now: ClockTime) -> bool {
        let mut waiting = self.entries.iter().filter_map(|entry| entry.expires_at);
        waiting.any(|expires_at| expires_at <= now)
    }

    /// Removes backend servers whose entries did not return within the grace period.
    pub(super) fn expire(&mut self, now: ClockTime) {
        let is_over = |entry: &mut BackendEntry| entry.expires_at.is_some_and(|at| at <= now);
        let over: Vec<BackendEntry> = self.entries.extract_if(.., is_over).collect();
        for entry in over {
            self.remember_removed(&entry.facts, now);
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (*entry.facts.id).cmp(id))
    }

    fn last_sequence(&self, id: &str) -> Option<EntrySequence> {
        let found = self
            .removed
            .binary_search_by(|removed| (*removed.id).cmp(id));
        found.ok().map(|at| self.removed[at].last)
    }

    fn remember_removed(&mut self, facts: &BackendFacts, now: ClockTime) {
        self.removed
            .retain(|removed| now.since(removed.at) < REMOVED_MEMORY);
        let removed = RemovedBackend {
            id: facts.id.clone(),
            last: EntrySequence::of(facts),
            at: now,
        };
        match self
            .removed
            .binary_search_by(|known| known.id.cmp(&removed.id))
        {
            Ok(at) => self.removed[at] = removed,
            Err(at) if self.removed.len() < REMOVED_MAX => self.removed.insert(at, removed),
            // Forgetting it only means that a late entry of it is accepted, until its next
            // heartbeat would be due.
            Err(_) => {}
        }
    }
}
