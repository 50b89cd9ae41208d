//! The choice among the backend servers of a pool.

use rand::Rng;

use super::backend_pool::{BackendKey, BackendPool, NoPick, PickTarget, PickWish};
use super::backend_server::BackendServer;
use super::rendezvous::rendezvous_weight;
use crate::time::ClockTime;

/// Candidates per pick.
const CHOICES: usize = 2;

impl BackendPool {
    /// Two random candidates that could take the request now, the nearest that have room, and of
    /// these the one that should be done first. Looking at all would send every entry host to the
    /// same one until the next load report.
    pub(super) fn pick_any(
        &mut self,
        wish: &PickWish,
        now: ClockTime,
    ) -> Result<BackendKey, NoPick> {
        for tier in 0..self.tiers.len() {
            if let Some(key) = self.pick_in_tier(tier, wish, now) {
                return Ok(key);
            }
        }
        // Where it failed last is better than nowhere.
        if let Some(key) = wish.avoid {
            let anew = PickWish {
                avoid: None,
                ..*wish
            };
            if self.is_in_tiers(key) && self.fits(key, &anew, now) {
                return Ok(key);
            }
        }
        let somebody = self.tiers.iter().flatten().any(|key| {
            self.backend(*key)
                .is_some_and(|backend| serves_target(backend, wish.target))
        });
        Err(if somebody {
            NoPick::Full
        } else {
            NoPick::Nobody
        })
    }

    /// The holder of `slot` with the greatest fencing number.
    pub(super) fn pick_holder(
        &self,
        slot: u16,
        wish: &PickWish,
        now: ClockTime,
    ) -> Result<BackendKey, NoPick> {
        let holders = self.by_host.iter().filter_map(|key| {
            let backend = self.backend(*key)?;
            let usable = backend.is_usable(self.needs_weights);
            backend
                .fence_of(slot)
                .filter(|_| usable)
                .map(|fence| (fence, *key))
        });
        let (_, key) = holders.max().ok_or(NoPick::Nobody)?;
        if self.fits(key, wish, now) || wish.avoid == Some(key) {
            Ok(key)
        } else {
            Err(NoPick::Full)
        }
    }

    /// The backend server `key`, if the process there is still the same.
    pub(super) fn pick_same(
        &self,
        key: BackendKey,
        incarnation: u64,
    ) -> Result<BackendKey, NoPick> {
        let backend = self.backend(key).ok_or(NoPick::Nobody)?;
        let is_same = backend
            .status
            .as_ref()
            .is_some_and(|status| status.incarnation == incarnation);
        if is_same {
            Ok(key)
        } else {
            Err(NoPick::Nobody)
        }
    }

    fn pick_in_tier(&mut self, tier: usize, wish: &PickWish, now: ClockTime) -> Option<BackendKey> {
        let count = self.tiers[tier].len();
        if count == 0 {
            return None;
        }
        let draws = [self.rng.next_u32(), self.rng.next_u32()];
        let members = &self.tiers[tier];
        if let Some(key) = self.pick_by_prefix(members, wish, now) {
            return Some(key);
        }
        let first = below(draws[0], count);
        let second = below(draws[1], count);
        // When the two drawn do not do, the others follow in a circle.
        let circle = (1..count).map(|step| (first + step) % count);
        let places = [first, second].into_iter().chain(circle);
        let mut best: Option<(u64, BackendKey)> = None;
        let mut fitting = 0;
        for place in places {
            let key = members[place];
            if best.is_some_and(|(_, other)| other == key) || !self.fits(key, wish, now) {
                continue;
            }
            let expected = self.expected_micros(key);
            if best.is_none_or(|(least, _)| expected < least) {
                best = Some((expected, key));
            }
            fitting += 1;
            if fitting == CHOICES {
                break;
            }
        }
        best.map(|(_, key)| key)
    }

    /// The backend server that requests with this beginning go to, while it runs less than it
    /// could: its cache is worth nothing to a request that waits there.
    fn pick_by_prefix(
        &self,
        members: &[BackendKey],
        wish: &PickWish,
        now: ClockTime,
    ) -> Option<BackendKey> {
        let prefix = wish.prefix?;
        let weight_of = |key: &&BackendKey| {
            let member = self.backend(**key).map_or(0, |backend| backend.hash);
            rendezvous_weight(prefix, member)
        };
        let key = *members.iter().max_by_key(weight_of)?;
        let backend = self.backend(key)?;
        let is_idle = backend.estimate.total() < backend.estimate.capacity();
        (is_idle && self.fits(key, wish, now)).then_some(key)
    }

    fn fits(&self, key: BackendKey, wish: &PickWish, now: ClockTime) -> bool {
        let Some(backend) = self.backend(key) else {
            return false;
        };
        wish.avoid != Some(key)
            && serves_target(backend, wish.target)
            && backend.breaker.lets_pass(now)
            && backend.has_room(wish.urgent, self.entries)
    }

    fn is_in_tiers(&self, key: BackendKey) -> bool {
        self.tiers.iter().any(|tier| tier.contains(&key))
    }

    fn expected_micros(&self, key: BackendKey) -> u64 {
        let average = self.average_micros;
        self.backend(key)
            .map_or(u64::MAX, |backend| backend.expected_micros(average))
    }
}

fn serves_target(backend: &BackendServer, target: PickTarget) -> bool {
    match target {
        PickTarget::Version(digest) => backend
            .status
            .as_ref()
            .and_then(|status| status.serving.as_ref())
            .is_some_and(|serving| serving.digest == digest),
        PickTarget::Any | PickTarget::Slot(_) | PickTarget::Same(..) => true,
    }
}

/// A place below `count` from a random number that is evenly spread over all of `u32`.
const fn below(draw: u32, count: usize) -> usize {
    ((draw as u64 * count as u64) >> u32::BITS) as usize
}
