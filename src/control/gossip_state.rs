//! What the streams to watchers send from: the newest state, swapped whole. A slow watcher skips
//! what was replaced meanwhile; nothing queues up for it.

use std::sync::Arc;

use macro_rules_attribute::apply;
use tokio::sync::watch;

use crate::derives::plain;
use crate::documents::{ActiveDocument, DocumentVersion};
use crate::membership::MemberFacts;

/// What is passed on.
#[apply(plain!)]
#[derive(Default)]
pub(crate) struct GossipState {
    /// The documents in force, sorted by service.
    pub(crate) documents: Vec<Arc<ActiveDocument>>,
    /// What hosts said of themselves, this one included, sorted by host.
    pub(crate) facts: Vec<Arc<MemberFacts>>,
}

impl GossipState {
    /// The versions in force that are newer than in `sent`.
    pub(crate) fn versions_beyond(&self, sent: &Self) -> Vec<DocumentVersion> {
        let version_there = |held: &ActiveDocument| {
            let found = sent
                .documents
                .binary_search_by(|there| there.version.service.cmp(&held.version.service));
            found.map_or(0, |at| sent.documents[at].version.version)
        };
        self.documents
            .iter()
            .filter(|held| held.version.version > version_there(held))
            .map(|held| held.version.clone())
            .collect()
    }

    /// The rows of documents that one who has `have`, sorted by service, lacks.
    pub(crate) fn rows_beyond(&self, have: &[DocumentVersion]) -> Vec<bytes::Bytes> {
        let version_there = |held: &ActiveDocument| {
            let found = have.binary_search_by(|there| there.service.cmp(&held.version.service));
            found.map_or(0, |at| have[at].version)
        };
        self.documents
            .iter()
            .filter(|held| held.version.version > version_there(held))
            .map(|held| held.row.clone())
            .collect()
    }

    /// The facts that are newer than in `sent`.
    pub(crate) fn facts_beyond(&self, sent: &Self) -> Vec<MemberFacts> {
        let order_there = |facts: &MemberFacts| {
            let host = &facts.entry.host;
            let found = sent
                .facts
                .binary_search_by(|known| known.entry.host.cmp(host));
            found.map_or((0, 0), |at| sent.facts[at].order())
        };
        self.facts
            .iter()
            .filter(|facts| facts.order() > order_there(facts))
            .map(|facts| (**facts).clone())
            .collect()
    }
}

/// The sending end, held by the control thread.
pub(crate) type GossipSender = watch::Sender<Arc<GossipState>>;
/// The receiving end, held by the streams to watchers.
pub(crate) type GossipReceiver = watch::Receiver<Arc<GossipState>>;
