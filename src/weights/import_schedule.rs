//! Schedule of the imports of chunks into this host's data centre.
//!
//! Links between data centres are narrow and shared with live responses. If every host pulled
//! chunks from any data centre, a version would cross these links once per host, and response
//! streams would pause while a version spreads. Therefore one host of a data centre, chosen by
//! rendezvous hashing, imports a chunk, and the others pull it from that host. If the chunk does
//! not arrive, the host ranked next imports it.

use std::time::Duration;

use bytestring::ByteString;

use super::digest::WeightsDigest;
use super::host_ranking::{HostLocation, HostRanking};
use super::peer_table::PeerHost;
use crate::documents::SpreadObjective;
use crate::time::ClockTime;

/// How long each host waits for the one ranked before it before it imports the chunk itself. A
/// chunk takes 27 ms on the narrowest link in use, and hosts receive announcements of each other's
/// chunks within about 100 ms.
const IMPORT_TAKEOVER_DELAY: Duration = Duration::from_millis(500);
/// How long before its own import a host queries the one ranked first; enough for a few queries and
/// responses.
const QUERY_LEAD_TIME: Duration = Duration::from_millis(400);
/// Number of hosts, in addition to the one ranked first, that search other data centres for a
/// chunk.
const SEARCH_PRIORITY_MAX: u32 = 2;
/// How long each of these hosts waits for the one ranked before it.
const SEARCH_DELAY: Duration = Duration::from_millis(2500);

/// One host's view of the import rankings of its data centre for one version.
#[derive(Debug)]
pub(crate) struct ImportSchedule {
    local: HostLocation,
    digest: WeightsDigest,
    ranking: HostRanking,
    /// This host's priority for each chunk among the responsive hosts; 0 is the first.
    priorities: Vec<u32>,
    /// When each chunk was first seen in another data centre.
    first_seen_at: Vec<Option<ClockTime>>,
}

impl ImportSchedule {
    /// The schedule of `local` before any other host is known: it is ranked first for every chunk.
    pub(crate) fn new(local: HostLocation, digest: WeightsDigest, chunks: u32) -> Self {
        let chunks = usize::try_from(chunks).unwrap_or(usize::MAX);
        let local_hosts = std::slice::from_ref(&local);
        Self {
            ranking: HostRanking::new(SpreadObjective::Time, digest, &local.region, local_hosts),
            local,
            digest,
            priorities: vec![0; chunks],
            first_seen_at: vec![None; chunks],
        }
    }

    /// Sets the live hosts that have the version as target.
    pub(crate) fn set_hosts(&mut self, hosts: &[PeerHost]) {
        let locations = hosts.iter().map(|host| &host.location);
        let local_hosts =
            locations.filter(|location| location.data_centre == self.local.data_centre);
        let mut local_hosts: Vec<HostLocation> = local_hosts.cloned().collect();
        if !local_hosts
            .iter()
            .any(|location| location.host == self.local.host)
        {
            local_hosts.push(self.local.clone());
        }
        let chunks = u32::try_from(self.priorities.len()).unwrap_or(u32::MAX);
        self.ranking = HostRanking::new(
            SpreadObjective::Time,
            self.digest,
            &self.local.region,
            &local_hosts,
        )
        .with_balanced_readers(chunks);
    }

    /// Recomputes this host's priorities without the `unresponsive` hosts.
    pub(crate) fn skip_hosts(&mut self, unresponsive: &[ByteString]) {
        for (index, priority) in (0..).zip(self.priorities.iter_mut()) {
            let own = self
                .ranking
                .priority_of(&self.local.host, index)
                .unwrap_or(0);
            *priority = self.ranking.live_priority(own, index, unresponsive);
        }
    }

    /// Whether this host searches other data centres for chunk `index`, `span` after its plan
    /// started.
    ///
    /// The host ranked first searches at once. The next ones wait, because until then the chunk is
    /// in transfer to the first host or has not left the origin.
    pub(crate) fn searches_for(&self, index: u32, span: Duration) -> bool {
        let priority = usize::try_from(index)
            .ok()
            .and_then(|position| self.priorities.get(position));
        priority.is_some_and(|priority| {
            *priority <= SEARCH_PRIORITY_MAX && span >= SEARCH_DELAY * *priority
        })
    }

    /// The host that should import chunk `index`, if this host is about to import it in its place.
    ///
    /// Often that host already holds the chunk, and its announcement has not reached this host.
    pub(crate) fn importer_to_query(
        &self,
        index: u32,
        unresponsive: &[ByteString],
        now: ClockTime,
    ) -> Option<&ByteString> {
        let position = usize::try_from(index).ok()?;
        let (priority, first_seen_at) = (
            *self.priorities.get(position)?,
            (*self.first_seen_at.get(position)?)?,
        );
        let is_soon = priority > 0
            && now + QUERY_LEAD_TIME >= first_seen_at + IMPORT_TAKEOVER_DELAY * priority;
        let top_host = self
            .ranking
            .top_host(index, unresponsive)
            .filter(|_| is_soon)?;
        (*top_host != self.local.host).then_some(top_host)
    }

    /// Whether this host may now pull chunk `index` from another data centre. The first call for a
    /// chunk records when it was seen there.
    pub(crate) fn may_import(&mut self, index: u32, now: ClockTime) -> bool {
        let Ok(position) = usize::try_from(index) else {
            return false;
        };
        let (Some(priority), Some(first_seen_at)) = (
            self.priorities.get(position),
            self.first_seen_at.get_mut(position),
        ) else {
            return false;
        };
        let first_seen_at = *first_seen_at.get_or_insert(now);
        now.since(first_seen_at) >= IMPORT_TAKEOVER_DELAY * *priority
    }
}
