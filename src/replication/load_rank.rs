//! Determines when a host's engine loads a newer version.
//!
//! An engine that changes its weights takes no requests until those in progress have ended, which
//! takes two to three seconds. Hosts complete a version at about the same time. If all engines
//! loaded it then, no slot would be left for those seconds. Hosts therefore load one after the
//! other until shortly before the deadline of the previous version, in an order that each computes
//! for itself.

use std::time::Duration;

use crate::fleet::TargetWeights;
use crate::time::ClockTime;
use crate::weights::PeerHost;

/// How long before the deadline the last engine starts its load. Entry hosts stop sending requests
/// to previous versions at about that time.
const LAST_LOAD_LEAD: Duration = Duration::from_millis(1300);

/// This host's rank in the load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadRank {
    pub(super) rank: u32,
    pub(super) host_count: u32,
}

impl LoadRank {
    /// The rank of the host `local`, in `data_centre`, among `others`. The order alternates between
    /// data centres, so that each loses the same part of its engines at a time.
    pub(super) fn new(local: &str, data_centre: &str, others: &[PeerHost]) -> Self {
        let locations = others.iter().map(|host| &host.location);
        let mut hosts: Vec<(&str, &str)> = locations
            .map(|location| (&*location.data_centre, &*location.host))
            .filter(|(_, host)| *host != local)
            .collect();
        hosts.push((data_centre, local));
        hosts.sort_unstable();
        let mut order: Vec<(usize, &str, &str)> = Vec::with_capacity(hosts.len());
        for near in hosts.chunk_by(|left, right| left.0 == right.0) {
            let ranked = near.iter().enumerate();
            order.extend(ranked.map(|(rank, (centre, host))| (rank, *centre, *host)));
        }
        order.sort_unstable();
        let rank = order.iter().position(|(_, _, host)| *host == local);
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Self {
            rank: count(rank.unwrap_or(0)),
            host_count: count(order.len()),
        }
    }

    /// When this host's engine loads, given that the version was complete here at `complete_at`.
    /// `due` is the oldest target that the engine does not serve yet; it must be in service
    /// `weights_deadline` after its target update.
    pub(super) fn load_at(
        self,
        complete_at: ClockTime,
        due: &TargetWeights,
        weights_deadline: Duration,
    ) -> ClockTime {
        let last = due.target_set_at + weights_deadline.saturating_sub(LAST_LOAD_LEAD);
        let span = last.since(complete_at);
        complete_at + span * self.rank / self.host_count.max(1)
    }
}
