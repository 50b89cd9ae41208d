//! Which host brings a chunk into its data centre.
//!
//! Links between data centres are narrow and shared with live answers. If each host pulled chunks
//! from wherever they are, a version would cross them once for each host, and answers would wait
//! behind it. One would notice streams that pause while a version spreads. So one host of a data
//! centre brings a chunk in, by rendezvous hashing, and the others pull it from there. If it does
//! not come, the next in line brings it.

use std::time::Duration;

use bytestring::ByteString;

use super::digest::WeightsDigest;
use super::host_ranking::{HostLocation, HostRanking};
use super::peer_table::PeerHost;
use crate::documents::SpreadObjective;
use crate::time::ClockTime;

/// How long each in the line has before the next brings the chunk in: a chunk takes 27 ms on the
/// narrowest link in use, and hosts hear of each other's chunks within some 100 ms.
const IMPORT_TAKEOVER_DELAY: Duration = Duration::from_millis(500);
/// How long before its turn a host asks those before it: time for a few questions and answers.
const QUERY_LEAD_TIME: Duration = Duration::from_millis(400);
/// Hosts of a line that look for a chunk in other data centres, beside the first.
const SEARCH_PRIORITY_MAX: u32 = 2;
/// How long each of them leaves it to those before it.
const SEARCH_DELAY: Duration = Duration::from_millis(2500);

/// One host's view of its data centre's lines for one version.
#[derive(Debug)]
pub(crate) struct ImportSchedule {
    local: HostLocation,
    digest: WeightsDigest,
    ranking: HostRanking,
    /// This host's turn for each chunk, among the hosts that answer; 0 is the first.
    priorities: Vec<u32>,
    /// When each chunk was first seen in another data centre.
    first_seen_at: Vec<Option<ClockTime>>,
}

impl ImportSchedule {
    /// The view of `local` before it knows of others: it is the first in every line.
    pub(crate) fn new(local: HostLocation, digest: WeightsDigest, chunks: u32) -> Self {
        let chunks = usize::try_from(chunks).unwrap_or(usize::MAX);
        let local_peers = std::slice::from_ref(&local);
        Self {
            ranking: HostRanking::new(SpreadObjective::Time, digest, &local.region, local_peers),
            local,
            digest,
            priorities: vec![0; chunks],
            first_seen_at: vec![None; chunks],
        }
    }

    /// A new view of the live hosts that want the version.
    pub(crate) fn set_hosts(&mut self, hosts: &[PeerHost]) {
        let locations = hosts.iter().map(|host| &host.location);
        let local_peers = locations.filter(|ranking| ranking.data_centre == self.local.data_centre);
        let mut local_peers: Vec<HostLocation> = local_peers.cloned().collect();
        if !local_peers
            .iter()
            .any(|ranking| ranking.host == self.local.host)
        {
            local_peers.push(self.local.clone());
        }
        let chunks = u32::try_from(self.priorities.len()).unwrap_or(u32::MAX);
        self.ranking = HostRanking::new(
            SpreadObjective::Time,
            self.digest,
            &self.local.region,
            &local_peers,
        )
        .with_balanced_readers(chunks);
    }

    /// Counts this host's turns without the hosts that do not answer.
    pub(crate) fn skip_hosts(&mut self, unresponsive: &[ByteString]) {
        for (index, priority) in (0..).zip(self.priorities.iter_mut()) {
            let own = self
                .ranking
                .priority_of(&self.local.host, index)
                .unwrap_or(0);
            *priority = self.ranking.live_priority(own, index, unresponsive);
        }
    }

    /// Whether this host looks for chunk `index` in other data centres, `span` after it began.
    ///
    /// The first in the line looks at once. The next do later: until then the chunk is on its way to
    /// the first, or has not left the origin.
    pub(crate) fn searches_for(&self, index: u32, span: Duration) -> bool {
        let priority = usize::try_from(index)
            .ok()
            .and_then(|at| self.priorities.get(at));
        priority.is_some_and(|priority| {
            *priority <= SEARCH_PRIORITY_MAX && span >= SEARCH_DELAY * *priority
        })
    }

    /// The host that is to bring chunk `index` in, if this host is about to do so in its place.
    ///
    /// It has often done so, and this host has not heard of it.
    pub(crate) fn importer_to_query(
        &self,
        index: u32,
        unresponsive: &[ByteString],
        now: ClockTime,
    ) -> Option<&ByteString> {
        let at = usize::try_from(index).ok()?;
        let (priority, first_seen_at) =
            (*self.priorities.get(at)?, (*self.first_seen_at.get(at)?)?);
        let is_soon = priority > 0
            && now + QUERY_LEAD_TIME >= first_seen_at + IMPORT_TAKEOVER_DELAY * priority;
        let top_host = self
            .ranking
            .top_host(index, unresponsive)
            .filter(|_| is_soon)?;
        (*top_host != self.local.host).then_some(top_host)
    }

    /// Whether this host may pull chunk `index` from another data centre, where it was seen.
    pub(crate) fn may_import(&mut self, index: u32, now: ClockTime) -> bool {
        let Ok(at) = usize::try_from(index) else {
            return false;
        };
        let (Some(priority), Some(first_seen_at)) =
            (self.priorities.get(at), self.first_seen_at.get_mut(at))
        else {
            return false;
        };
        let first_seen_at = *first_seen_at.get_or_insert(now);
        now.since(first_seen_at) >= IMPORT_TAKEOVER_DELAY * *priority
    }
}
