//! The backend servers that the store lists, and which word of them counts.
//!
//! Words of one backend server come over several ways and not in order: the store may do an entry that
//! got no answer seconds later, and neighbours pass on what they read before. A word of a former
//! incarnation, or one that was told earlier by the same one, changes nothing; without a start in both
//! words they cannot be told apart, and the later to arrive counts.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;

use super::events;
use crate::events::log_event;
use crate::fleet::BackendFacts;
use crate::routing::name_hash;
use crate::time::{ClockTime, WallTime};

/// How long at most a backend server whose entry went is kept. A leaving one must get nothing two
/// seconds after this process has learned of it, what is on its way included.
pub(super) const LAPSE_GRACE: Duration = Duration::from_millis(1500);
/// How long the last word of a backend server that is gone is remembered. The store does a write that
/// got no answer within some seconds.
const REMOVED_MEMORY: Duration = Duration::from_secs(30);
/// Backend servers that are gone and remembered at a time; all of a large deployment may go together.
const REMOVED_MAX: usize = 1024;

/// How long it is told that a backend server is gone. Whoever asks does so twice in a second; what else
/// is missed shows in the digest.
const REMOVED_REPORT_SPAN: Duration = Duration::from_secs(5);

fn digest_of(facts: &BackendFacts) -> u64 {
    let (id, born, address) = (&facts.id, facts.born, facts.address);
    name_hash(&format!("{id} {born:?} {address} {:?}", facts.phase))
}

/// Where a word stands among all of its backend server's.
#[derive(Clone, Copy, Debug)]
struct EntrySequence {
    started_at: Option<WallTime>,
    number: Option<u64>,
}

impl EntrySequence {
    const fn of(facts: &BackendFacts) -> Self {
        Self {
            started_at: facts.born,
            number: facts.told,
        }
    }

    /// How it stands to `known`; none where the two cannot be told apart.
    fn order(self, known: Self) -> Option<Ordering> {
        match (self.started_at, known.started_at) {
            (Some(own), Some(other)) if own != other => Some(own.cmp(&other)),
            (Some(_), None) | (None, Some(_)) => None,
            _ => Some(self.number?.cmp(&known.number?)),
        }
    }
}

#[derive(Clone, Debug)]
struct BackendEntry {
    facts: Arc<BackendFacts>,
    /// The store's revision as of which they came; not before that of their last change.
    revision: u64,
    /// What the digest of the list holds of them.
    digest: u64,
    /// When it is given up, if its entry does not come back before.
    expires_at: Option<ClockTime>,
}

#[derive(Clone, Debug)]
struct RemovedBackend {
    id: ByteString,
    last: EntrySequence,
    at: ClockTime,
}

/// The list.
#[derive(Debug, Default)]
pub(super) struct BackendList {
    /// Sorted by id.
    entries: Vec<BackendEntry>,
    /// Sorted by id.
    removed: Vec<RemovedBackend>,
}

impl BackendList {
    /// All of them, those whose entries went a moment ago included, sorted by id.
    pub(super) fn all(&self) -> impl Iterator<Item = &Arc<BackendFacts>> {
        self.entries.iter().map(|entry| &entry.facts)
    }

    /// Those that have an entry.
    pub(super) fn listed(&self) -> impl Iterator<Item = &Arc<BackendFacts>> {
        let listed = self
            .entries
            .iter()
            .filter(|entry| entry.expires_at.is_none());
        listed.map(|entry| &entry.facts)
    }

    /// Takes in an entry, unless it is of a former incarnation or older than what was told.
    ///
    /// Without that, a leaving backend server got requests again, and one that was gone came back for
    /// three heartbeats: an earlier entry of its own was done late.
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
            // The very word that was known when its entry went.
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

    /// The entry of `id` went. It counts as lapsed until `settled_at`, and may come back.
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

    /// The entry called `id` names no backend server any more, because somebody else wrote over it. It
    /// did not lapse while the store was away, so that nothing is to be waited for: what answers at the
    /// address that it had named is no longer known. Its own next entry brings it back.
    pub(super) fn drop_entry(&mut self, id: &str) {
        self.entries.retain(|entry| *entry.facts.id != *id);
    }

    /// The ids that are not among those that `is_listed` knows.
    pub(super) fn unlisted(&self, is_listed: impl Fn(&str) -> bool) -> Vec<ByteString> {
        let ids = self.all().map(|facts| facts.id.clone());
        ids.filter(|id| !is_listed(id)).collect()
    }

    /// Those whose facts came behind revision `since`.
    pub(super) fn changed_since(&self, since: u64) -> impl Iterator<Item = &BackendFacts> {
        let changed = self
            .entries
            .iter()
            .filter(move |entry| entry.revision > since);
        changed.map(|entry| &*entry.facts)
    }

    /// The ids of those that are gone and were a short while ago at `now`.
    pub(super) fn recently_removed(&self, now: ClockTime) -> impl Iterator<Item = &ByteString> {
        let removed = self
            .removed
            .iter()
            .filter(move |removed| now.since(removed.at) < REMOVED_REPORT_SPAN);
        let removed = removed.filter(|removed| self.find(&removed.id).is_err());
        removed.map(|removed| &removed.id)
    }

    /// Of who is in the list, where, and whether it takes requests.
    pub(super) fn digest(&self) -> u64 {
        let digests = self.entries.iter().map(|entry| entry.digest);
        digests.fold(0, std::ops::BitXor::bitxor)
    }

    /// Whether backend servers whose entries went are to be given up at `now`.
    pub(super) fn has_expired(&self, now: ClockTime) -> bool {
        let mut waiting = self.entries.iter().filter_map(|entry| entry.expires_at);
        waiting.any(|expires_at| expires_at <= now)
    }

    /// Gives up backend servers whose entries did not come back.
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
            // One more would only make its own late entry believed, until its next heartbeat is due.
            Err(_) => {}
        }
    }
}
