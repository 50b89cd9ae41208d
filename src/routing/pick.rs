//! Picks a backend server from a pool.

use rand::Rng;

use super::backend_pool::{BackendKey, BackendPool, PickCriteria, PickFailure, PickTarget};
use super::backend_state::BackendState;
use super::rendezvous::rendezvous_weight;
use crate::time::ClockTime;

/// Number of candidates that are compared per pick.
const CHOICES: usize = 3;

/// The kind of capacity that a request needs at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoomKind {
    /// A free slot: the request would run at once.
    Free,
    /// A place in the queue: the request would wait at the host.
    Waiting,
}

impl BackendPool {
    /// Picks the candidate with the lowest expected time from a few random ones of the nearest tier
    /// that has capacity. Tiers with a free slot come first, then tiers with room in a queue. If
    /// all members of a tier were compared, all entry hosts would pick the same one until the next
    /// load report.
    pub(super) fn pick_any(
        &mut self,
        criteria: &PickCriteria,
        now: ClockTime,
    ) -> Result<BackendKey, PickFailure> {
        for room in [RoomKind::Free, RoomKind::Waiting] {
            for tier in 0..self.tiers.len() {
                if let Some(key) = self.pick_in_tier(tier, room, criteria, now) {
                    return Ok(key);
                }
            }
        }
        // The backend server where the last attempt failed is better than none.
        if let Some(key) = criteria.avoid {
            let without_avoid = PickCriteria {
                avoid: None,
                ..*criteria
            };
            if self.is_in_tiers(key) && self.fits(key, RoomKind::Waiting, &without_avoid, now) {
                return Ok(key);
            }
        }
        let any_eligible = self.tiers.iter().flatten().any(|key| {
            self.backend(*key)
                .is_some_and(|backend| serves_target(backend, criteria.target))
        });
        Err(if any_eligible {
            PickFailure::Full
        } else {
            PickFailure::NoneEligible
        })
    }

    fn pick_in_tier(
        &mut self,
        tier: usize,
        room: RoomKind,
        criteria: &PickCriteria,
        now: ClockTime,
    ) -> Option<BackendKey> {
        let count = self.tiers[tier].len();
        if count == 0 {
            return None;
        }
        let random: [u32; CHOICES] = std::array::from_fn(|_| self.rng.next_u32());
        let members = &self.tiers[tier];
        if room == RoomKind::Free
            && let Some(key) = self.pick_by_prefix(members, criteria, now)
        {
            return Some(key);
        }
        let drawn = random.map(|draw| index_below(draw, count));
        // If too few of those drawn fit, the others follow, starting after the first one drawn.
        let others = (1..count).map(|step| (drawn[0] + step) % count);
        let indices = drawn.into_iter().chain(others);
        let mut best: Option<(f64, BackendKey)> = None;
        let mut fit_count = 0;
        for index in indices {
            let key = members[index];
            if best.is_some_and(|(_, other)| other == key) || !self.fits(key, room, criteria, now) {
                continue;
            }
            let expected = self.expected_time(key);
            if best.is_none_or(|(least, _)| expected < least) {
                best = Some((expected, key));
            }
            fit_count += 1;
            if fit_count == CHOICES {
                break;
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the preferred backend server for the prompt's prefix if it has a free slot. A
    /// request that has to wait there would gain nothing from its cache.
    fn pick_by_prefix(
        &self,
        members: &[BackendKey],
        criteria: &PickCriteria,
        now: ClockTime,
    ) -> Option<BackendKey> {
        let prefix = criteria.prefix?;
        let weight_of = |key: &&BackendKey| {
            let member = self.backend(**key).map_or(0, |backend| backend.hash);
            rendezvous_weight(prefix, member)
        };
        let key = *members.iter().max_by_key(weight_of)?;
        self.fits(key, RoomKind::Free, criteria, now).then_some(key)
    }

    fn fits(
        &self,
        key: BackendKey,
        room: RoomKind,
        criteria: &PickCriteria,
        now: ClockTime,
    ) -> bool {
        let Some(backend) = self.backend(key) else {
            return false;
        };
        let has_room = match room {
            RoomKind::Free => backend.has_free_slot(criteria.urgent),
            RoomKind::Waiting => backend.can_queue(criteria.urgent, self.entry_hosts),
        };
        criteria.avoid != Some(key)
            && serves_target(backend, criteria.target)
            && backend.breaker.allows_request(now)
            && has_room
    }

    fn is_in_tiers(&self, key: BackendKey) -> bool {
        self.tiers.iter().any(|tier| tier.contains(&key))
    }

    fn expected_time(&self, key: BackendKey) -> f64 {
        self.backend(key).map_or(f64::MAX, |backend| {
            backend.expected_time(&self.cost_latency)
        })
    }
}

fn serves_target(backend: &BackendState, target: PickTarget) -> bool {
    match target {
        PickTarget::Version(digest) => backend
            .status
            .as_ref()
            .and_then(|status| status.serving.as_ref())
            .is_some_and(|serving| serving.digest == digest),
        PickTarget::Any => true,
    }
}

/// Returns an index below `count` from a random number that is evenly distributed over all of
/// `u32`.
const fn index_below(draw: u32, count: usize) -> usize {
    ((draw as u64 * count as u64) >> u32::BITS) as usize
}
