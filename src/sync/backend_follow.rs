//! The list of backend servers from an entry host that reads it in the store: what changed, by revision, and
//! a digest by which whoever asks sees that nothing is missing.
//!
//! Entries change about once a second each. Read by each entry host itself they took a sixth of the link
//! between two regions, and more calls to the store than all else.

use std::time::Duration;

use super::control_state::ControlState;
use super::peer_messages::{BackendChanges, PeerQuery};
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
pub(super) struct ListQueryState {
    /// Whether the last answer did not lead to the reader's list, so that the whole is asked for.
    is_full_list_due: bool,
    /// Whether the whole did not either. Then the answer need not come at once for it.
    is_mismatch_persistent: bool,
}

impl ListQueryState {
    /// The last answer led to `found`.
    pub(super) fn note(&mut self, found: ListMatch) {
        match found {
            ListMatch::Older => {}
            ListMatch::Same => *self = Self::default(),
            ListMatch::Differs => {
                self.is_mismatch_persistent = self.is_full_list_due;
                self.is_full_list_due = !self.is_mismatch_persistent;
            }
        }
    }

    /// Completes `query`.
    pub(super) fn complete(self, query: &mut PeerQuery, digest: u64) {
        if self.is_full_list_due {
            query.backends_revision = 0;
        }
        query.backends_digest = (!self.is_mismatch_persistent).then_some(digest);
    }
}

impl ControlState {
    /// The store told of the list at `answered_at`.
    pub(super) fn note_backends_answer(&mut self, answered_at: StoreTime) {
        self.backends_answered_at = self.backends_answered_at.max(Some(answered_at));
    }

    /// Whether a reader tells this process the list, so that it need not read it at `now`.
    pub(super) fn is_list_reported(&self, now: ClockTime) -> bool {
        let is_new = |answered_at: StoreTime| now.since(self.earliest(answered_at)) < TOLD_AGE_MAX;
        !self.operator().is_reader() && self.backends_answered_at.is_some_and(is_new)
    }

    /// What changed behind what a process knows that follows the list by the answers.
    pub(super) fn backend_changes(
        &self,
        query: &PeerQuery,
        now: ClockTime,
    ) -> Option<BackendChanges> {
        let answered_at = self.backends_answered_at?;
        let since = query.backends_revision;
        Some(BackendChanges {
            revision: self.backends_revision(),
            is_complete: since == 0,
            entries: self.backends.changed_since(since).cloned().collect(),
            removed: self.backends.recently_removed(now).cloned().collect(),
            digest: self.backends.digest(),
            answered_at,
        })
    }

    /// Whether a backend server came, went, or changed whether it takes requests, behind what a process
    /// knows that follows the list by the answers.
    pub(super) fn has_backend_changes(&self, query: &PeerQuery) -> bool {
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
    pub(super) fn merge_backend_changes(
        &mut self,
        changes: BackendChanges,
        now: ClockTime,
    ) -> ListMatch {
        if changes.revision < self.backends_revision() {
            return ListMatch::Older;
        }
        if changes.is_complete {
            let is_listed = |id: &str| changes.entries.iter().any(|facts| *facts.id == *id);
            for id in self.backends.unlisted(is_listed) {
                self.backends.remove(&id, now, now);
            }
        }
        for id in &changes.removed {
            self.backends.remove(id, now, now);
        }
        for facts in changes.entries {
            self.backends.put(facts, changes.revision);
        }
        self.set_backends_revision(changes.revision);
        self.note_backends_answer(changes.answered_at);
        if self.backends.digest() == changes.digest {
            ListMatch::Same
        } else {
            ListMatch::Differs
        }
    }
}
