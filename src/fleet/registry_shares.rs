//! Assigns the backend servers of a registry to the entry hosts, so that each has preferred ones.

use bytestring::ByteString;

use super::backend_registry::BackendRegistry;
use super::rate_sharers::RateSharers;
use crate::overload::{EngineAssignment, EntryHostId, relocated_entry_hosts};

impl BackendRegistry {
    /// Assigns the backend servers among `entries`, which include this entry host.
    pub(crate) fn assign_shares(&mut self, entries: &[EntryHostId]) {
        let mut all = entries.to_vec();
        all.push(self.own_id.clone());
        let relocated = relocated_entry_hosts(&all, &self.evacuated);
        let own_id = relocated
            .iter()
            .find(|entry| entry.host == self.own_id.host)
            .unwrap_or(&self.own_id)
            .clone();
        let assignment = EngineAssignment::new(&own_id, &relocated);
        self.near_data_centre = own_id.data_centre.clone();
        self.peers = assignment.peers();
        self.others = assignment.others();
        self.rate_sharers = RateSharers::new(&self.own_id, entries);
        // Backend servers seen so far, by service and data centre.
        let mut counts: Vec<((ByteString, ByteString), usize)> = Vec::new();
        for at in 0..self.by_id.len() {
            let key = self.by_id[at].1;
            let Some(record) = self.get_mut(key) else {
                continue;
            };
            let group = (
                record.facts.service.clone(),
                record.facts.data_centre.clone(),
            );
            let found = counts.binary_search_by(|(known, _)| known.cmp(&group));
            let group_at = found.unwrap_or_else(|at| {
                counts.insert(at, (group, 0));
                at
            });
            let rank = counts[group_at].1;
            counts[group_at].1 += 1;
            record.is_own = assignment.is_assigned(rank);
        }
    }
}
