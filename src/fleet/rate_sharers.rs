//! The entry hosts that share the rates advertised by backend servers.

use bytestring::ByteString;

use super::backend_facts::BackendFacts;
use crate::overload::{EntryHostId, SendSchedule};
use crate::routing::name_hash;

/// The entry hosts, grouped by data centre and represented by the hashes of their names.
#[derive(Clone, Debug)]
pub(super) struct RateSharers {
    own_hash: u64,
    all: Vec<u64>,
    /// Sorted by data centre.
    near: Vec<(ByteString, Vec<u64>)>,
}

impl RateSharers {
    /// Builds the groups from `entries`, which may lack `own_id`.
    pub(super) fn new(own_id: &EntryHostId, entries: &[EntryHostId]) -> Self {
        let mut entry_hosts: Vec<&EntryHostId> = entries.iter().chain([own_id]).collect();
        entry_hosts.sort_unstable();
        entry_hosts.dedup();
        let hash = |entry_host: &&EntryHostId| name_hash(&entry_host.host);
        let groups = entry_hosts.chunk_by(|left, right| left.data_centre == right.data_centre);
        let near = groups.map(|group| {
            let hashes = group.iter().map(hash);
            (group[0].data_centre.clone(), hashes.collect())
        });
        Self {
            own_hash: name_hash(&own_id.host),
            all: entry_hosts.iter().map(hash).collect(),
            near: near.collect(),
        }
    }

    /// The entry hosts that share the rate of a backend server: those of its data centre, or all if
    /// that has none.
    pub(super) fn schedule(&self, facts: &BackendFacts) -> SendSchedule<'_> {
        let found = self
            .near
            .binary_search_by(|(data_centre, _)| data_centre.cmp(&facts.data_centre));
        SendSchedule {
            backend: name_hash(&facts.id),
            entry_hosts: found.map_or(&self.all, |at| &self.near[at].1),
            own_hash: self.own_hash,
        }
    }
}
