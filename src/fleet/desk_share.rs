//! Shares the backend servers of a desk out among the entry hosts.

use bytestring::ByteString;

use super::backend_desk::BackendDesk;
use super::turn_sharers::TurnSharers;
use crate::overload::{EngineAssignment, EntryHostId};

impl BackendDesk {
    /// Shares the backend servers out among `entries`, to which this entry host belongs.
    pub(crate) fn share_among(&mut self, entries: &[EntryHostId]) {
        let me = self.me.clone();
        let share = EngineAssignment::new(&me, entries);
        self.peers = share.peers();
        self.turns = TurnSharers::new(&me, entries);
        // How many were met so far, by service and data centre.
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
