//! Whom a process watches. Every process works it out for itself by rendezvous hashing, so that
//! the choice is spread evenly, moves little when a host comes or goes, and needs no agreement.

use bytestring::ByteString;

use super::identity::HostIdentity;
use super::member_table::MemberView;
use crate::control::MemberState;
use crate::stores::{HostEntry, HostRole};

/// Backend servers that an entry host watches at most.
const BACKENDS_WATCHED: usize = 24;
/// Entry hosts of its own data centre and of others that an entry host watches at most.
const ENTRIES_OF_ENTRY: (usize, usize) = (3, 2);
/// The same for a backend server's process, to which nobody looks for documents.
const ENTRIES_OF_BACKEND: (usize, usize) = (2, 1);
/// Hosts that were given up and are asked at a time.
const LOST_ASKED: usize = 4;
/// Entry hosts of a data centre that read the table for it.
const TABLE_READERS: usize = 2;

/// The hosts that the process `own` watches, sorted by name.
pub(crate) fn choose_neighbours(own: &HostIdentity, members: &[MemberView]) -> Vec<ByteString> {
    let present = of_state(members, |state| state != MemberState::Unavailable);
    let mut chosen = choose_present(own, &present);
    // Hosts that were given up are asked again and again, a few at a time: when a data centre that
    // was cut off is joined again, nobody else would notice.
    let lost = of_state(members, |state| state == MemberState::Unavailable);
    let lost = lost
        .iter()
        .filter(|entry| own.role == HostRole::Entry || entry.role == HostRole::Entry);
    chosen.extend(top(&own.host, lost, LOST_ASKED));
    chosen.sort_unstable();
    chosen
}

fn of_state(members: &[MemberView], fits: fn(MemberState) -> bool) -> Vec<&HostEntry> {
    members
        .iter()
        .filter(|member| fits(member.state()))
        .map(|member| &member.facts.entry)
        .collect()
}

fn choose_present(own: &HostIdentity, present: &[&HostEntry]) -> Vec<ByteString> {
    let (near_count, far_count) = match own.role {
        HostRole::Entry => ENTRIES_OF_ENTRY,
        HostRole::Backend => ENTRIES_OF_BACKEND,
    };
    let is_near = |entry: &&&HostEntry| entry.data_centre == own.data_centre;
    let entries = || present.iter().filter(|entry| entry.role == HostRole::Entry);
    let mut chosen = top(&own.host, entries().filter(is_near), near_count);
    let far = entries().filter(|entry| !is_near(entry));
    chosen.extend(top(&own.host, far, far_count));
    if own.role == HostRole::Entry {
        chosen.extend(choose_backends(own, present));
    }
    chosen
}

/// Some backend servers of each service, those of the own data centre first.
fn choose_backends(own: &HostIdentity, present: &[&HostEntry]) -> Vec<ByteString> {
    let backends: Vec<&&HostEntry> = present
        .iter()
        .filter(|entry| entry.role == HostRole::Backend)
        .collect();
    if backends.len() <= BACKENDS_WATCHED {
        return backends.iter().map(|entry| entry.host.clone()).collect();
    }
    let mut services: Vec<_> = backends.iter().map(|entry| &entry.service).collect();
    services.sort_unstable();
    services.dedup();
    let quota = (BACKENDS_WATCHED / services.len()).max(1);
    let mut chosen = Vec::new();
    for service in services {
        let of_service = || backends.iter().filter(|entry| entry.service == *service);
        let near = of_service().filter(|entry| entry.data_centre == own.data_centre);
        let far = of_service().filter(|entry| entry.data_centre != own.data_centre);
        let mut picked = top(&own.host, near.copied(), quota);
        let rest = quota - picked.len();
        picked.extend(top(&own.host, far.copied(), rest));
        chosen.extend(picked);
    }
    chosen
}

/// The hosts of `data_centre` that read the table for it, among the entry hosts in `members` and
/// `own`.
pub(crate) fn choose_table_readers(own: &HostIdentity, members: &[MemberView]) -> Vec<ByteString> {
    let mut entries: Vec<ByteString> = members
        .iter()
        .filter(|member| member.state() == MemberState::Live)
        .map(|member| &member.facts.entry)
        .filter(|entry| entry.role == HostRole::Entry && entry.data_centre == own.data_centre)
        .map(|entry| entry.host.clone())
        .collect();
    if own.role == HostRole::Entry {
        entries.push(own.host.clone());
    }
    entries.sort_by_cached_key(|host| std::cmp::Reverse(score(&own.data_centre, host)));
    entries.truncate(TABLE_READERS);
    entries
}

fn top<'a>(
    own: &str,
    entries: impl Iterator<Item = &'a &'a HostEntry>,
    count: usize,
) -> Vec<ByteString> {
    let mut hosts: Vec<&ByteString> = entries.map(|entry| &entry.host).collect();
    hosts.sort_by_cached_key(|host| std::cmp::Reverse(score(own, host)));
    hosts.truncate(count);
    hosts.into_iter().cloned().collect()
}

/// The rendezvous score of the pair.
fn score(chooser: &str, chosen: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(chooser.as_bytes());
    hasher.update(b"/");
    hasher.update(chosen.as_bytes());
    let mut score = [0; 8];
    hasher.finalize_xof().fill(&mut score);
    u64::from_be_bytes(score)
}
