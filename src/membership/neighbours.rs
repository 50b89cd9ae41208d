//! Selects the hosts that a process watches, its neighbours, and the hosts that read the table.
//!
//! Every process computes the selection independently by rendezvous hashing. The load is therefore
//! distributed evenly, the selection changes little when a host is added or removed, and no
//! coordination is needed.

use bytestring::ByteString;

use super::identity::HostIdentity;
use super::member_table::MemberView;
use crate::control::MemberState;
use crate::stores::{HostEntry, HostRole};

/// Maximum number of backend servers that an entry host watches.
const BACKENDS_WATCHED_MAX: usize = 24;
/// Maximum numbers of entry hosts that an entry host watches: in its own data centre, in others.
const ENTRIES_OF_ENTRY: (usize, usize) = (3, 2);
/// The same for the process next to a backend server. It needs fewer, since other processes do not
/// depend on it for documents.
const ENTRIES_OF_BACKEND: (usize, usize) = (2, 1);
/// Maximum number of unavailable hosts that a process contacts at a time.
const UNAVAILABLE_CONTACTED_MAX: usize = 4;
/// Number of entry hosts that read the table for their data centre.
const TABLE_READERS: usize = 2;

/// The hosts that the process `own` watches, sorted by name.
pub(crate) fn choose_neighbours(own: &HostIdentity, members: &[MemberView]) -> Vec<ByteString> {
    let available = entries_in_state(members, |state| state != MemberState::Unavailable);
    let mut chosen = choose_available(own, &available);
    // Unavailable hosts are contacted repeatedly, a few at a time. Otherwise no process would
    // notice that a partitioned data centre is connected again.
    let unavailable = entries_in_state(members, |state| state == MemberState::Unavailable);
    let unavailable = unavailable
        .iter()
        .filter(|entry| own.role == HostRole::Entry || entry.role == HostRole::Entry);
    chosen.extend(choose_top(
        &own.host,
        unavailable,
        UNAVAILABLE_CONTACTED_MAX,
    ));
    chosen.sort_unstable();
    chosen
}

fn entries_in_state(members: &[MemberView], matches: fn(MemberState) -> bool) -> Vec<&HostEntry> {
    members
        .iter()
        .filter(|member| matches(member.state()))
        .map(|member| &member.facts.entry)
        .collect()
}

fn choose_available(own: &HostIdentity, available: &[&HostEntry]) -> Vec<ByteString> {
    let (near_count, far_count) = match own.role {
        HostRole::Entry => ENTRIES_OF_ENTRY,
        HostRole::Backend => ENTRIES_OF_BACKEND,
    };
    let is_near = |entry: &&&HostEntry| entry.data_centre == own.data_centre;
    let entries = || {
        available
            .iter()
            .filter(|entry| entry.role == HostRole::Entry)
    };
    let mut chosen = choose_top(&own.host, entries().filter(is_near), near_count);
    let far = entries().filter(|entry| !is_near(entry));
    chosen.extend(choose_top(&own.host, far, far_count));
    if own.role == HostRole::Entry {
        chosen.extend(choose_backends(own, available));
    }
    chosen
}

/// Selects backend servers of every service, preferring those in the own data centre.
fn choose_backends(own: &HostIdentity, available: &[&HostEntry]) -> Vec<ByteString> {
    let backends: Vec<&&HostEntry> = available
        .iter()
        .filter(|entry| entry.role == HostRole::Backend)
        .collect();
    if backends.len() <= BACKENDS_WATCHED_MAX {
        return backends.iter().map(|entry| entry.host.clone()).collect();
    }
    let mut services: Vec<_> = backends.iter().map(|entry| &entry.service).collect();
    services.sort_unstable();
    services.dedup();
    let quota = (BACKENDS_WATCHED_MAX / services.len()).max(1);
    let mut chosen = Vec::new();
    for service in services {
        let of_service = || backends.iter().filter(|entry| entry.service == *service);
        let near = of_service().filter(|entry| entry.data_centre == own.data_centre);
        let far = of_service().filter(|entry| entry.data_centre != own.data_centre);
        let mut picked = choose_top(&own.host, near.copied(), quota);
        let rest = quota - picked.len();
        picked.extend(choose_top(&own.host, far.copied(), rest));
        chosen.extend(picked);
    }
    chosen
}

/// The entry hosts that read the table for the data centre of `own`, chosen from the live `members`
/// and, if it is an entry host, `own` itself.
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

/// The `count` hosts of `entries` with the highest rendezvous scores for the host `own`.
fn choose_top<'a>(
    own: &str,
    entries: impl Iterator<Item = &'a &'a HostEntry>,
    count: usize,
) -> Vec<ByteString> {
    let mut hosts: Vec<&ByteString> = entries.map(|entry| &entry.host).collect();
    hosts.sort_by_cached_key(|host| std::cmp::Reverse(score(own, host)));
    hosts.truncate(count);
    hosts.into_iter().cloned().collect()
}

/// The rendezvous score of `chosen` for `chooser`.
fn score(chooser: &str, chosen: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(chooser.as_bytes());
    hasher.update(b"/");
    hasher.update(chosen.as_bytes());
    let mut score = [0; 8];
    hasher.finalize_xof().fill(&mut score);
    u64::from_be_bytes(score)
}
