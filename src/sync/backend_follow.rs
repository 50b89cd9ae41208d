//! The list of backend servers from an entry host that reads it in the store: what changed, by revision, and
//! a digest by which whoever asks sees that nothing is missing.
//!
//! Entries change about once a second each. Read by each entry host itself they took a sixth of the link
//! between two regions, and more calls to the store than all else.

use std::time::Duration;

use super::peer_messages::{BackendChanges, PeerQuery};
use super::view_book::ControlState;
use crate::time::{ClockTime, StoreTime};

/// How old the list becomes while a reader tells it: a watch of the store that is held open for a second, the
/// pause behind it, and a question that is held open for 0.6 s.
const TOLD_AGE_MAX: Duration = Duration::from_millis(2400);

/// How the list stands to a reader's once its answer was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListMatch {
    /// It is the same.
    Same,
    /// It is not.
    Differs,
    /// The reader's is older, and says nothing.
    Older,
}

/// What a process tells of its list when it asks a reader.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListAsking {
    /// Whether the last answer did not lead to the reader's list, so that the whole is asked for.
    is_whole_due: bool,
    /// Whether the whole did not either. Then the answer need not come at once for it.
    is_odd: bool,
}

impl ListAsking {
    /// The last answer led to `found`.
    pub(super) fn note(&mut self, found: ListMatch) {
        match found {
            ListMatch::Older => {}
            ListMatch::Same => *self = Self::default(),
            ListMatch::Differs => {
                self.is_odd = self.is_whole_due;
                self.is_whole_due = !self.is_odd;
            }
        }
    }

    /// Completes `query`.
    pub(super) fn complete(self, query: &mut PeerQuery, digest: u64) {
        if self.is_whole_due {
            query.backends_revision = 0;
        }
        query.backends_digest = (!self.is_odd).then_some(digest);
    }
}

impl ControlState {
    /// The store told of the list at `told_at`.
    pub(super) fn note_backends(&mut self, told_at: StoreTime) {
        self.backends_told = self.backends_told.max(Some(told_at));
    }

    /// Whether a reader tells this process the list, so that it need not read it at `now`.
    pub(super) fn is_told_backends(&self, now: ClockTime) -> bool {
        let is_new = |told_at: StoreTime| now.since(self.earliest(told_at)) < TOLD_AGE_MAX;
        !self.operator().is_own() && self.backends_told.is_some_and(is_new)
    }

    /// What changed behind what a process knows that follows the list by the answers.
    pub(super) fn backend_changes(
        &self,
        query: &PeerQuery,
        now: ClockTime,
    ) -> Option<BackendChanges> {
        let told_at = self.backends_told?;
        let since = query.backends_revision;
        Some(BackendChanges {
            revision: self.backends_revision(),
            is_whole: since == 0,
            entries: self.backends.changed_since(since).cloned().collect(),
            gone: self.backends.lately_gone(now).cloned().collect(),
            digest: self.backends.digest(),
            told_at,
        })
    }

    /// Whether a backend server came, went, or changed whether it takes requests, behind what a process
    /// knows that follows the list by the answers.
    pub(super) fn has_backend_news(&self, query: &PeerQuery) -> bool {
        let is_other = |digest: u64| digest != self.backends.digest();
        query.backends_digest.is_some_and(is_other)
            && self.backends_revision() > query.backends_revision
    }

    /// The digest of the list.
    pub(super) fn backends_digest(&self) -> u64 {
        self.backends.digest()
    }

    /// Takes in what a reader told.
    ///
    /// A reader tells that a backend server went when its own wait for an entry that lapsed is over;
    /// nothing more is to be waited for.
    pub(super) fn take_backend_changes(
        &mut self,
        changes: BackendChanges,
        now: ClockTime,
    ) -> ListMatch {
        if changes.revision < self.backends_revision() {
            return ListMatch::Older;
        }
        if changes.is_whole {
            let is_listed = |id: &str| changes.entries.iter().any(|facts| *facts.id == *id);
            for id in self.backends.unlisted(is_listed) {
                self.backends.remove(&id, now, now);
            }
        }
        for id in &changes.gone {
            self.backends.remove(id, now, now);
        }
        for facts in changes.entries {
            self.backends.put(facts, changes.revision);
        }
        self.set_backends_revision(changes.revision);
        self.note_backends(changes.told_at);
        if self.backends.digest() == changes.digest {
            ListMatch::Same
        } else {
            ListMatch::Differs
        }
    }
}
