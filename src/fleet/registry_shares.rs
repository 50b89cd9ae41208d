//! Assigns the backend servers of a registry to the entry hosts, so that each has preferred ones.

use bytestring::ByteString;

use super::backend_registry::BackendRegistry;
use super::rate_sharers::RateSharers;
use crate::overload::{EngineAssignment, EntryHostId};

impl BackendRegistry {
    /// Assigns the backend servers among `entries`, which include this entry host.
    pub(crate) fn assign_shares(&mut self, entries: &[EntryHostId]) {
        let me = self.me.clone();
        let share = EngineAssignment::new(&me, entries);
        self.peers = share.peers();
        self.rate_sharers = RateSharers::new(&me, entries);
        // Backend servers seen so far, by service and data centre.
        let mut met: Vec<((ByteString, ByteString), usize)> = Vec::new();
        for at in 0..self.by_id.len() {
            let key = self.by_id[at].1;
            let Some(record) = self.get_mut(key) else {
                continue;
            };
            let group = (
                record.facts.service.clone(),
                record.facts.data_centre.clone(),
            );
            let found = met.binary_search_by(|(known, _)| known.cmp(&group));
            let group_at = found.unwrap_or_else(|at| {
                met.insert(at, (group, 0));
                at
            });
            let rank = met[group_at].1;
            met[group_at].1 += 1;
            record.is_own = share.is_assigned(rank);
        }
    }
}
