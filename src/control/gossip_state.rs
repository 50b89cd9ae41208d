//! The state that is sent to watchers.
//!
//! The control thread replaces it atomically. A slow watcher skips intermediate states, so that
//! nothing is queued for it.

use std::sync::Arc;

use macro_rules_attribute::apply;
use tokio::sync::watch;

use crate::derives::plain;
use crate::documents::{ActiveDocument, DocumentVersion};
use crate::membership::MemberFacts;

/// The documents and host facts that this process propagates.
#[apply(plain!)]
#[derive(Default)]
pub(crate) struct GossipState {
    /// The documents in force, sorted by service.
    pub(crate) documents: Vec<Arc<ActiveDocument>>,
    /// The facts that hosts, including this one, announced about themselves, sorted by host.
    pub(crate) facts: Vec<Arc<MemberFacts>>,
}

impl GossipState {
    /// The versions that are newer than in `sent`.
    pub(crate) fn versions_beyond(&self, sent: &Self) -> Vec<DocumentVersion> {
        let known_version = |active: &ActiveDocument| {
            let found = sent
                .documents
                .binary_search_by(|known| known.version.service.cmp(&active.version.service));
            found.map_or(0, |at| sent.documents[at].version.version)
        };
        self.documents
            .iter()
            .filter(|active| active.version.version > known_version(active))
            .map(|active| active.version.clone())
            .collect()
    }

    /// The rows of documents that are newer than the versions in `have`, which is sorted by
    /// service.
    pub(crate) fn rows_beyond(&self, have: &[DocumentVersion]) -> Vec<bytes::Bytes> {
        let known_version = |active: &ActiveDocument| {
            let found = have.binary_search_by(|known| known.service.cmp(&active.version.service));
            found.map_or(0, |at| have[at].version)
        };
        self.documents
            .iter()
            .filter(|active| active.version.version > known_version(active))
            .map(|active| active.row.clone())
            .collect()
    }

    /// The facts that are newer than in `sent`.
    pub(crate) fn facts_beyond(&self, sent: &Self) -> Vec<MemberFacts> {
        let known_order = |facts: &MemberFacts| {
            let host = &facts.entry.host;
            let found = sent
                .facts
                .binary_search_by(|known| known.entry.host.cmp(host));
            found.map_or((0, 0), |at| sent.facts[at].order())
        };
        self.facts
            .iter()
            .filter(|facts| facts.order() > known_order(facts))
            .map(|facts| (**facts).clone())
            .collect()
    }
}

/// The sending end, used by the control thread.
pub(crate) type GossipSender = watch::Sender<Arc<GossipState>>;
/// The receiving end, used by the streams to watchers.
pub(crate) type GossipReceiver = watch::Receiver<Arc<GossipState>>;
