//! Which entry hosts share the turns at backend servers that name a rate.

use bytestring::ByteString;

use super::backend_facts::BackendFacts;
use crate::overload::{EntryHostId, SendSchedule};
use crate::routing::name_hash;

/// The entry hosts by data centre, as hashes of their names.
#[derive(Clone, Debug)]
pub(super) struct TurnSharers {
    me: u64,
    all: Vec<u64>,
    /// Sorted by data centre.
    near: Vec<(ByteString, Vec<u64>)>,
}

impl TurnSharers {
    /// The sharers among `entries`, to which `me` belongs.
    pub(super) fn new(me: &EntryHostId, entries: &[EntryHostId]) -> Self {
        let mut places: Vec<&EntryHostId> = entries.iter().chain([me]).collect();
        places.sort_unstable();
        places.dedup();
        let hash = |place: &&EntryHostId| name_hash(&place.host);
        let groups = places.chunk_by(|left, right| left.data_centre == right.data_centre);
        let near = groups.map(|group| {
            let hashes = group.iter().map(hash);
            (group[0].data_centre.clone(), hashes.collect())
        });
        Self {
            me: name_hash(&me.host),
            all: places.iter().map(hash).collect(),
            near: near.collect(),
        }
    }

    /// Who shares the turns of a backend server: the entry hosts of its data centre, or all if it has none.
    pub(super) fn share(&self, facts: &BackendFacts) -> SendSchedule<'_> {
        let found = self
            .near
            .binary_search_by(|(data_centre, _)| data_centre.cmp(&facts.data_centre));
        SendSchedule {
            backend: name_hash(&facts.id),
            entry_hosts: found.map_or(&self.all, |at| &self.near[at].1),
            me: self.me,
        }
    }
}
