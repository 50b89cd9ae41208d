//! Which engines an entry host sends to first.
//!
//! Load pattern: several entry hosts each see the same engine as the least loaded one and send to it in
//! the same moment; reports tell them of one another some 200 ms later. So engines are shared out: at
//! its own ones an entry host knows nearly all that happens without being told, and it goes to others'
//! when these are much better.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::plain;

/// Where an entry host is.
#[apply(plain!)]
#[derive(Eq, PartialOrd, Ord)]
pub(crate) struct EntryHostId {
    /// Its data centre.
    pub(crate) data_centre: ByteString,
    /// Its name.
    pub(crate) host: ByteString,
}

/// Shares engines out among entry hosts.
///
/// Each entry host works it out for itself, from what it knows of the others. Where two know different
/// things, both or neither send to an engine first, which costs no more than before.
#[derive(Debug)]
pub(crate) struct EngineAssignment<'a> {
    me: &'a EntryHostId,
    /// Sorted, with this entry host among them.
    entries: Vec<&'a EntryHostId>,
}

impl<'a> EngineAssignment<'a> {
    /// The shares of `me` among `entries`, in any order.
    pub(crate) fn new(me: &'a EntryHostId, entries: &'a [EntryHostId]) -> Self {
        let mut entries: Vec<&EntryHostId> = entries.iter().collect();
        entries.push(me);
        entries.sort_unstable();
        entries.dedup();
        Self { me, entries }
    }

    /// How many other entry hosts the data centre has.
    pub(crate) fn peers(&self) -> u32 {
        let others = self.local_entry_hosts().len().saturating_sub(1);
        u32::try_from(others).unwrap_or(u32::MAX)
    }

    /// The entry hosts of this data centre, this one among them.
    fn local_entry_hosts(&self) -> &[&'a EntryHostId] {
        let data_centre = &self.me.data_centre;
        let entries = &self.entries;
        let from = entries.partition_point(|entry| entry.data_centre < *data_centre);
        let to = entries.partition_point(|entry| entry.data_centre <= *data_centre);
        &entries[from..to]
    }

    /// Whether this entry host has the engine that is the `rank`th of its service in a data centre: of
    /// its own, or of another, which the entry hosts of this one share among themselves as well. They
    /// take the engines in turn.
    pub(crate) fn is_assigned(&self, rank: usize) -> bool {
        let local_entry_hosts = self.local_entry_hosts();
        local_entry_hosts[rank % local_entry_hosts.len()] == self.me
    }
}
