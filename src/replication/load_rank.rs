//! When a host's engine changes to a newer version.
//!
//! An engine that changes takes nothing new until what it works on has ended, two to three seconds.
//! Hosts become whole at about the same time; if all changed then, no place would be left for those
//! seconds. So they change one after the other, in an order that each works out for itself, until
//! shortly before the older version may no longer be used.

use std::time::Duration;

use crate::fleet::TargetWeights;
use crate::time::ClockTime;
use crate::weights::PlanHost;

/// How long before the bound the last engine begins to change: entry hosts stop sending to older
/// versions about then.
const LAST_LOAD_LEAD: Duration = Duration::from_millis(1300);

/// This host's place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadRank {
    pub(super) rank: u32,
    pub(super) host_count: u32,
}

impl LoadRank {
    /// The place of the host called `me`, in `data_centre`, among `others`. Data centres take turns,
    /// so that each loses the same part of its engines at a time.
    pub(super) fn new(me: &str, data_centre: &str, others: &[PlanHost]) -> Self {
        let lines = others.iter().map(|host| &host.line);
        let mut hosts: Vec<(&str, &str)> = lines
            .map(|line| (&*line.data_centre, &*line.host))
            .filter(|(_, host)| *host != me)
            .collect();
        hosts.push((data_centre, me));
        hosts.sort_unstable();
        let mut order: Vec<(usize, &str, &str)> = Vec::with_capacity(hosts.len());
        for near in hosts.chunk_by(|left, right| left.0 == right.0) {
            let ranked = near.iter().enumerate();
            order.extend(ranked.map(|(rank, (centre, host))| (rank, *centre, *host)));
        }
        order.sort_unstable();
        let rank = order.iter().position(|(_, _, host)| *host == me);
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Self {
            rank: count(rank.unwrap_or(0)),
            host_count: count(order.len()),
        }
    }

    /// When this host's engine changes, if the host was whole at `complete_at` and `due` is the oldest
    /// version that the engine is behind, which must be served `weights_deadline` after it was named.
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
