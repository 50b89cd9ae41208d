//! Chooses the hosts to query for the digests of a version, and how long to do so before reading
//! the origin.
//!
//! Load pattern: hundreds of hosts are notified of a version at the same time and need its digests
//! before they can fetch a chunk. Two of all hosts read the origin, two of each data centre query
//! these, and the others query any higher-ranked host of their data centre, so that none answers
//! more than a few dozen.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::ModelVersion;
use crate::routing::name_hash;
use crate::weights::{HostLocation, PeerHost};

/// Hosts that read the origin, and hosts of each data centre that query those; one may be down.
const ORIGIN_READERS: usize = 2;
/// Time to query other hosts, for each higher-ranked host of the data centre and once more.
const RANK_SPAN: Duration = Duration::from_millis(500);
/// Longest time to query other hosts.
const WAIT_MAX: Duration = Duration::from_secs(4);

/// The hosts from which one host can get the digests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DigestSources {
    /// The hosts to query; none if this host reads the origin.
    sources: Vec<SocketAddr>,
    /// Number of hosts of its data centre with a higher rank.
    rank: u32,
}

impl DigestSources {
    /// Determines the sources of `local` among `hosts` for `target`.
    pub(super) fn new(hosts: &[PeerHost], local: &HostLocation, target: &ModelVersion) -> Self {
        let weight = |host: &str| {
            let name = format!("{host}/{}/{}", target.model, target.version.0);
            name_hash(&name)
        };
        let own_weight = weight(&local.host);
        let others = hosts.iter().filter(|host| host.location.host != local.host);
        let mut higher_ranked: Vec<(u64, &PeerHost)> = others
            .map(|host| (weight(&host.location.host), host))
            .filter(|(other, _)| *other > own_weight)
            .collect();
        higher_ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let is_near =
            |(_, host): &&(u64, &PeerHost)| host.location.data_centre == local.data_centre;
        let near: Vec<SocketAddr> = higher_ranked
            .iter()
            .filter(is_near)
            .map(|(_, host)| host.address)
            .collect();
        let sources = if higher_ranked.len() < ORIGIN_READERS {
            Vec::new()
        } else if near.len() < ORIGIN_READERS {
            higher_ranked[..ORIGIN_READERS]
                .iter()
                .map(|(_, host)| host.address)
                .collect()
        } else {
            near.clone()
        };
        Self {
            sources,
            rank: u32::try_from(near.len()).unwrap_or(u32::MAX),
        }
    }

    /// How long to query other hosts before reading the origin.
    pub(super) fn wait_limit(&self) -> Duration {
        (RANK_SPAN.saturating_mul(self.rank.saturating_add(1))).min(WAIT_MAX)
    }

    /// The host to query next; `fraction` is random, from 0 to 1. Half of the queries go to the
    /// first hosts, which get the digests first.
    pub(super) fn choose(&self, fraction: f64) -> Option<SocketAddr> {
        let (fraction, count) = if fraction < 0.5 {
            (fraction * 2.0, self.sources.len().min(ORIGIN_READERS))
        } else {
            (fraction * 2.0 - 1.0, self.sources.len())
        };
        let last = count.checked_sub(1)?;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a fraction of the number of hosts"
        )]
        let at = (fraction * count as f64) as usize;
        self.sources.get(at.min(last)).copied()
    }
}
