//! Which engines an entry host prefers.
//!
//! Load pattern: several entry hosts see the same engine as the least loaded one and send to it at
//! the same moment; load reports show them each other's requests only about 200 ms later. Engines
//! are therefore assigned to entry hosts. An entry host knows nearly all requests at its assigned
//! engines without waiting for reports, and uses other engines when they are much better.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::plain;

/// Identifies an entry host by its data centre and name.
#[apply(plain!)]
#[derive(Eq, PartialOrd, Ord)]
pub(crate) struct EntryHostId {
    /// Data centre of the entry host.
    pub(crate) data_centre: ByteString,
    /// Host name.
    pub(crate) host: ByteString,
}

/// Returns `entries` as they count for the assignment while the data centres `evacuated`, which are
/// sorted, get no requests: each entry host of these counts as one of another data centre, in turn.
///
/// Load pattern: the clients of an evacuated data centre still arrive at its entry hosts. Without
/// engines assigned to them, these would get only what the entry hosts of other data centres leave
/// free, and under a shortage that is next to nothing.
pub(crate) fn relocated_entry_hosts(
    entries: &[EntryHostId],
    evacuated: &[ByteString],
) -> Vec<EntryHostId> {
    let is_evacuated = |entry: &&EntryHostId| evacuated.binary_search(&entry.data_centre).is_ok();
    let mut serving: Vec<&ByteString> = entries
        .iter()
        .filter(|entry| !is_evacuated(entry))
        .map(|entry| &entry.data_centre)
        .collect();
    serving.sort_unstable();
    serving.dedup();
    let mut sorted = entries.to_vec();
    sorted.sort_unstable();
    sorted.dedup();
    if serving.is_empty() {
        return sorted;
    }
    let mut turns = serving.iter().cycle();
    for entry in sorted.iter_mut().filter(|entry| is_evacuated(&&**entry)) {
        if let Some(data_centre) = turns.next() {
            entry.data_centre = (*data_centre).clone();
        }
    }
    sorted
}

/// Assigns engines to entry hosts.
///
/// Each entry host computes the assignment from the entry hosts that it knows. Where two of them
/// know different ones, both or neither prefer an engine; that is no worse than having no
/// assignment.
#[derive(Debug)]
pub(crate) struct EngineAssignment<'a> {
    own_id: &'a EntryHostId,
    /// Sorted; includes this entry host.
    entries: Vec<&'a EntryHostId>,
}

impl<'a> EngineAssignment<'a> {
    /// Creates the assignment of `own_id` among `entries`, which may be in any order.
    pub(crate) fn new(own_id: &'a EntryHostId, entries: &'a [EntryHostId]) -> Self {
        let mut entries: Vec<&EntryHostId> = entries.iter().collect();
        entries.push(own_id);
        entries.sort_unstable();
        entries.dedup();
        Self { own_id, entries }
    }

    /// Returns the number of other entry hosts in this data centre.
    pub(crate) fn peers(&self) -> u32 {
        let others = self.local_entry_hosts().len().saturating_sub(1);
        u32::try_from(others).unwrap_or(u32::MAX)
    }

    /// Returns the number of other entry hosts in all data centres.
    pub(crate) fn others(&self) -> u32 {
        let others = self.entries.len().saturating_sub(1);
        u32::try_from(others).unwrap_or(u32::MAX)
    }

    /// Returns the entry hosts of this data centre, including this one.
    fn local_entry_hosts(&self) -> &[&'a EntryHostId] {
        let data_centre = &self.own_id.data_centre;
        let entries = &self.entries;
        let from = entries.partition_point(|entry| entry.data_centre < *data_centre);
        let to = entries.partition_point(|entry| entry.data_centre <= *data_centre);
        &entries[from..to]
    }

    /// Returns whether an engine is assigned to this entry host. `rank` is the position of the
    /// engine among those of its service and data centre.
    ///
    /// The entry hosts of this data centre take the engines in turn. They divide the engines of
    /// every other data centre among themselves in the same way.
    pub(crate) fn is_assigned(&self, rank: usize) -> bool {
        let local_entry_hosts = self.local_entry_hosts();
        local_entry_hosts[rank % local_entry_hosts.len()] == self.own_id
    }
}
