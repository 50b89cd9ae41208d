//! Follows the list of backend servers through an entry host that reads it from the store: the
//! changes since a revision, and a digest that shows the follower whether its list is complete.
//!
//! Each backend server updates its entry about once a second. Read by every entry host itself,
//! these updates took a sixth of the link between two regions and more calls to the store than
//! everything else.

use std::time::Duration;

use super::backend_list::LAPSE_GRACE;
use super::deployment_state::DeploymentState;
use super::peer_messages::{BackendChanges, LapsedBackend, PeerQuery};
use crate::time::{ClockTime, StoreTime};

/// Age that the list reaches while a reader reports it: a watch of the store held open for 1 s, the
/// pause after it, and a query held open for 0.6 s.
const REPORTED_AGE_MAX: Duration = Duration::from_millis(2400);

/// How the list compares with a reader's after the response was merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListMatch {
    /// Equal.
    Same,
    /// Different.
    Differs,
    /// The reader's list is older, so the two can't be compared.
    Older,
}

/// What a follower sends about its list with the next query to a reader.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListQueryState {
    /// The last response did not make the lists equal, so the full list is requested.
    is_full_list_due: bool,
    /// The full list did not make them equal either. The query then carries no digest, so that the
    /// reader may hold it open instead of answering at once for the difference.
    is_mismatch_persistent: bool,
}

impl ListQueryState {
    /// Records what the last response led to.
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

    /// Sets the fields of `query` that concern the list.
    pub(super) fn complete(self, query: &mut PeerQuery, digest: u64) {
        if self.is_full_list_due {
            query.backends_revision = 0;
        }
        query.backends_digest = (!self.is_mismatch_persistent).then_some(digest);
    }
}

impl DeploymentState {
    /// Records that the store reported the list at `answered_at`, on its clock.
    pub(super) fn note_backends_answer(&mut self, answered_at: StoreTime) {
        self.backends_answered_at = self.backends_answered_at.max(Some(answered_at));
    }

    /// Whether a reader reports the list to this process often enough at `now`, so that it need not
    /// read the list from the store itself.
    pub(super) fn is_list_reported(&self, now: ClockTime) -> bool {
        let is_new =
            |answered_at: StoreTime| now.since(self.earliest(answered_at)) < REPORTED_AGE_MAX;
        !self.operator().is_reader() && self.backends_answered_at.is_some_and(is_new)
    }

    /// The changes since the revision in `query`, for a process that follows the list through
    /// responses.
    pub(super) fn backend_changes(
        &self,
        query: &PeerQuery,
        now: ClockTime,
    ) -> Option<BackendChanges> {
        let answered_at = self.backends_answered_at?;
        let since = query.backends_revision;
        let lapsed = self.backends.lapsed(now).map(|(id, left)| LapsedBackend {
            id: id.clone(),
            grace_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        });
        Some(BackendChanges {
            revision: self.backends_revision(),
            is_complete: since == 0,
            entries: self.backends.changed_since(since).cloned().collect(),
            removed: self.backends.recently_removed(now).cloned().collect(),
            lapsed: lapsed.collect(),
            digest: self.backends.digest(),
            answered_at,
        })
    }

    /// Whether a follower has to know at once of changes since the revision in `query`: a backend
    /// server that was added or removed, or began or ceased to take requests.
    pub(super) fn has_backend_changes(&self, query: &PeerQuery) -> bool {
        let is_other = |digest: u64| digest != self.backends.digest();
        query.backends_digest.is_some_and(is_other)
            && self.backends_revision() > query.backends_revision
    }

    /// Digest of the list.
    pub(super) fn backends_digest(&self) -> u64 {
        self.backends.digest()
    }

    /// Merges changes reported by a reader.
    ///
    /// Removals take effect at once: a reader reports one only after its own grace period for a
    /// lapsed entry.
    pub(super) fn merge_backend_changes(
        &mut self,
        changes: BackendChanges,
        now: ClockTime,
    ) -> ListMatch {
        if changes.revision < self.backends_revision() {
            return ListMatch::Older;
        }
        self.note_era(changes.revision, now);
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
        // A watch from this revision on does not report these removals again.
        for lapsed in changes.lapsed {
            let left = Duration::from_millis(lapsed.grace_ms).min(LAPSE_GRACE);
            self.backends.lapse(&lapsed.id, now + left);
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
