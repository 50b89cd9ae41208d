//! Ranking of the hosts that may read a chunk from the origin, computed for each chunk by
//! rendezvous hashing.
//!
//! Each host computes the ranking from its own view of the live hosts; no state is shared. Views
//! that differ in one host give different results only for the chunks of that host.

use std::cmp::Reverse;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::digest::WeightsDigest;
use crate::derives::plain;
use crate::documents::SpreadObjective;

/// Number of hosts in the reading data centre that come before the hosts of other data centres.
const READING_CENTRE_PRIORITIES: u32 = 2;
/// Number of hosts that share the first ranks. An origin accepts a limited number of connections,
/// and the more chunks share its link, the later each of them can be passed on.
const PREFERRED_READERS_MAX: usize = 12;

/// Name and location of a host that has the version as target.
#[apply(plain!)]
pub(crate) struct HostLocation {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The host's data centre.
    pub(crate) data_centre: ByteString,
    /// The region of that data centre.
    pub(crate) region: ByteString,
}

/// The rankings of the hosts for the chunks of one version.
///
/// With the objective `time` all hosts are ranked together. With `origin_bytes` each region has its
/// own ranking, in which one data centre reads from the origin and the first host of each other
/// data centre comes next.
#[apply(plain!)]
pub(crate) struct HostRanking {
    objective: SpreadObjective,
    salt: u64,
    entries: Vec<RankedHost>,
    data_centres: u32,
    /// For each chunk, the hash of the host that is ranked first; empty while the hashes alone
    /// decide.
    preferred_readers: Vec<u64>,
}

#[apply(plain!)]
struct RankedHost {
    host: ByteString,
    hash: u64,
    /// The rank of the host's data centre; 0 is the one that reads from the origin.
    centre_rank: u32,
}

impl HostRanking {
    /// Ranks `hosts` for the version `digest`, as seen from `region`.
    pub(crate) fn new(
        objective: SpreadObjective,
        digest: WeightsDigest,
        region: &str,
        hosts: &[HostLocation],
    ) -> Self {
        let salt = hash_of(digest.as_bytes());
        let is_member = |host: &&HostLocation| match objective {
            SpreadObjective::Time => true,
            SpreadObjective::OriginBytes => *host.region == *region,
        };
        let members: Vec<&HostLocation> = hosts.iter().filter(is_member).collect();
        let data_centres = rank_data_centres(objective, salt, &members);
        let entries = members.iter().map(|host| RankedHost {
            host: host.host.clone(),
            hash: hash_of(host.host.as_bytes()),
            centre_rank: data_centre_rank(&data_centres, &host.data_centre),
        });
        let entries = entries.collect();
        let data_centres = u32::try_from(data_centres.len()).unwrap_or(u32::MAX);
        Self {
            objective,
            salt,
            entries,
            data_centres,
            preferred_readers: Vec::new(),
        }
    }

    /// Distributes the first ranks of `chunks` chunks evenly.
    ///
    /// Hashes alone give some hosts three times as many chunks as others. Once the others had read
    /// theirs, two hosts read the rest one by one while the origin's link was idle for three
    /// quarters of the time, and the origin took 3.8 s instead of 2.9 s to send a version (from the
    /// target update to the last chunk read, 24 hosts, 96 chunks).
    pub(crate) fn with_balanced_readers(mut self, chunks: u32) -> Self {
        let candidates = self.entries.iter().filter(|entry| entry.centre_rank == 0);
        let mut readers: Vec<u64> = candidates.map(|entry| entry.hash).collect();
        readers.sort_unstable_by_key(|hash| Reverse(mix(*hash ^ self.salt)));
        readers.truncate(PREFERRED_READERS_MAX);
        let quota = chunks.div_ceil(u32::try_from(readers.len()).unwrap_or(u32::MAX).max(1));
        let mut quotas: Vec<(u64, u32)> = readers.into_iter().map(|hash| (hash, quota)).collect();
        for index in 0..chunks {
            let salt = self.salt;
            let available = quotas.iter_mut().filter(|(_, remaining)| *remaining > 0);
            let first = available.max_by_key(|(hash, _)| mix(*hash ^ mix(salt ^ u64::from(index))));
            if let Some((hash, remaining)) = first {
                *remaining -= 1;
                self.preferred_readers.push(*hash);
            }
        }
        self
    }

    /// The priority of `host` for chunk `index`, counted from 0 for the host that reads it first;
    /// `None` if the host is not ranked. Hosts far down the ranking may share a priority.
    pub(crate) fn priority_of(&self, host: &str, index: u32) -> Option<u32> {
        let entry = self.entries.iter().find(|entry| *entry.host == *host)?;
        let weight = self.weight(entry, index);
        let ahead = self.entries.iter().filter(|other| {
            other.centre_rank == entry.centre_rank && self.weight(other, index) > weight
        });
        let rank = u32::try_from(ahead.count()).unwrap_or(u32::MAX);
        Some(self.priority(entry.centre_rank, rank))
    }

    /// The host ranked first for chunk `index`, not counting the `unresponsive` ones.
    pub(crate) fn top_host(&self, index: u32, unresponsive: &[ByteString]) -> Option<&ByteString> {
        let live = self
            .entries
            .iter()
            .filter(|entry| !unresponsive.contains(&entry.host));
        let top_host =
            live.min_by_key(|entry| (entry.centre_rank, Reverse(self.weight(entry, index))));
        top_host.map(|entry| &entry.host)
    }

    /// The hosts whose priority for chunk `index` comes before `priority`.
    pub(crate) fn hosts_before(&self, priority: u32, index: u32) -> Vec<ByteString> {
        let mut order: Vec<&RankedHost> = self.entries.iter().collect();
        order.sort_by_cached_key(|entry| (entry.centre_rank, Reverse(self.weight(entry, index))));
        let mut earlier = Vec::new();
        for group in order.chunk_by(|left, right| left.centre_rank == right.centre_rank) {
            let ranked = (0..).zip(group);
            let ahead =
                ranked.filter(|(rank, entry)| self.priority(entry.centre_rank, *rank) < priority);
            earlier.extend(ahead.map(|(_, entry)| entry.host.clone()));
        }
        earlier
    }

    /// The priority that a host with `priority` for chunk `index` has if the `unresponsive` hosts
    /// are not counted.
    pub(crate) fn live_priority(
        &self,
        priority: u32,
        index: u32,
        unresponsive: &[ByteString],
    ) -> u32 {
        if unresponsive.is_empty() {
            return priority;
        }
        let hosts_before = self.hosts_before(priority, index);
        let live = hosts_before
            .iter()
            .filter(|host| !unresponsive.contains(host));
        u32::try_from(live.count())
            .unwrap_or(u32::MAX)
            .min(priority)
    }

    /// The priority of the host with `rank` within the data centre that has the rank `centre_rank`.
    fn priority(&self, centre_rank: u32, rank: u32) -> u32 {
        let others = self.data_centres.saturating_sub(1);
        match (centre_rank, rank) {
            (0, rank) if rank < READING_CENTRE_PRIORITIES => rank,
            (0, rank) => others.saturating_add(rank),
            (centre_rank, 0) => READING_CENTRE_PRIORITIES + centre_rank - 1,
            (_, rank) => (others + READING_CENTRE_PRIORITIES).saturating_add(rank),
        }
    }

    fn weight(&self, entry: &RankedHost, index: u32) -> u64 {
        let position = usize::try_from(index).unwrap_or(usize::MAX);
        if self.preferred_readers.get(position) == Some(&entry.hash) {
            return u64::MAX;
        }
        mix(entry.hash ^ mix(self.salt ^ u64::from(index)))
    }
}

/// The data centres of `hosts`; the one that reads from the origin comes first.
fn rank_data_centres(
    objective: SpreadObjective,
    salt: u64,
    hosts: &[&HostLocation],
) -> Vec<ByteString> {
    if objective == SpreadObjective::Time {
        return Vec::new();
    }
    let mut data_centres: Vec<ByteString> =
        hosts.iter().map(|host| host.data_centre.clone()).collect();
    data_centres.sort();
    data_centres.dedup();
    data_centres.sort_by_key(|name| mix(salt ^ hash_of(name.as_bytes())));
    data_centres
}

fn data_centre_rank(data_centres: &[ByteString], name: &str) -> u32 {
    let position = data_centres.iter().position(|known| **known == *name);
    position
        .and_then(|position| u32::try_from(position).ok())
        .unwrap_or(0)
}

/// A hash that is the same in every process.
pub(crate) fn hash_of(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Distributes `value` over all bits (Steele, Lea and Flood 2014, `SplitMix64`).
pub(crate) const fn mix(value: u64) -> u64 {
    let mut bits = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
