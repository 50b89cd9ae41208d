//! Announcements of the chunks that this host holds.

use std::sync::Arc;

use arc_swap::ArcSwap;
use bytestring::ByteString;

use super::chunk_map::ChunkMap;
use super::digest::WeightsDigest;
use super::link_pacer::{LinkDirection, LinkPacer};
use super::messages::ChunkAnnouncement;
use super::staged_version::StagedVersion;

/// Creates this host's [`ChunkAnnouncement`]s. Clones share the claimed chunks.
#[derive(Clone, Debug)]
pub(crate) struct ChunkAnnouncer {
    host: ByteString,
    pacer: LinkPacer,
    claimed: Arc<ArcSwap<Option<(WeightsDigest, ChunkMap)>>>,
}

impl ChunkAnnouncer {
    /// Creates the announcer of `host`.
    pub(crate) fn new(host: ByteString, pacer: LinkPacer) -> Self {
        Self {
            host,
            pacer,
            claimed: Arc::default(),
        }
    }

    /// Announces from now on that this host is about to read the `claimed` chunks of the version
    /// `digest` from the origin.
    pub(crate) fn claim(&self, digest: WeightsDigest, claimed: ChunkMap) {
        self.claimed.store(Arc::new(Some((digest, claimed))));
    }

    /// The current announcement about `version`.
    pub(crate) fn announcement(&self, version: &StagedVersion) -> ChunkAnnouncement {
        let claimed = match &**self.claimed.load() {
            Some((digest, claimed)) if *digest == version.digest() => claimed.clone(),
            _ => ChunkMap::empty(version.manifest().chunk_count()),
        };
        let backlog = self.pacer.backlog(LinkDirection::Up);
        ChunkAnnouncement {
            host: self.host.clone(),
            held: version.held(),
            claimed,
            backlog_ms: u64::try_from(backlog.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
