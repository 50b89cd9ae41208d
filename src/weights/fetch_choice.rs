//! The fetch plan's choices: which chunk next, from whom, whom to ask.

use std::time::Duration;

use rand::RngExt;

use super::fetch_plan::{FetchPlan, FetchStep, Flight, FlightSource};
use super::peer_table::{PeerKey, PeerPresence};
use crate::documents::SpreadObjective;
use crate::time::ClockTime;

/// How many times the usual span must have passed before a chunk is late.
const LATE_SPANS: u32 = 3;
const LATE_LEAST: Duration = Duration::from_millis(300);
const HEDGES_MAX: usize = 2;
const FLIGHTS_PER_CHUNK: usize = 2;
const ASK_CALM: Duration = Duration::from_millis(1500);
/// How many times less often hosts of other data centres are asked: only what nobody here holds is
/// pulled from there.
const ASK_FAR_PACE: u32 = 3;

impl FetchPlan {
    pub(super) fn plan_origin_reads(&mut self, now: ClockTime, steps: &mut Vec<FetchStep>) {
        let under_way = self.count_flights(FlightSource::Origin);
        let mut room = self.limits.origin_reads_max.saturating_sub(under_way);
        while room > 0 && self.turns.may_read(now) {
            let Some(index) = self.choose_origin_read(now) else {
                return;
            };
            steps.push(self.launch(index, FlightSource::Origin, now));
            room -= 1;
        }
    }

    fn choose_origin_read(&mut self, now: ClockTime) -> Option<u32> {
        if self.objective == SpreadObjective::OriginBytes && self.is_listening(now) {
            return None;
        }
        let is_open = |index: &u32| !self.held.contains(*index) && !self.is_flying(*index);
        let unseen = |index: &u32| is_open(index) && self.peers.copies(*index) == 0;
        let mine = (0..self.held.count())
            .filter(|index| self.turns.is_first(*index))
            .find(unseen);
        if mine.is_some() {
            return mine;
        }
        let due: Vec<u32> = (0..self.held.count())
            .filter(unseen)
            .filter(|index| self.turns.is_due(*index, now))
            .collect();
        for index in due {
            if self.turns.takes_turn(index, &mut self.peers, now) {
                return Some(index);
            }
        }
        self.choose_spare_read()
    }

    /// With the objective `time`, a host that nobody can give a chunk reads one that others have
    /// already, so that nothing that the origin gives is left. Not before every chunk was seen
    /// somewhere: the first copy of each goes before any second.
    fn choose_spare_read(&mut self) -> Option<u32> {
        let is_starved = self.count_pulls() < self.limits.pulls_max;
        if self.objective != SpreadObjective::Time || !is_starved {
            return None;
        }
        let missing: Vec<u32> = (0..self.held.count())
            .filter(|index| !self.held.contains(*index) && !self.is_flying(*index))
            .collect();
        if missing.iter().any(|index| self.peers.copies(*index) == 0) {
            return None;
        }
        let first = self.rng.random_range(0..missing.len().max(1));
        let order = missing[first.min(missing.len())..]
            .iter()
            .chain(&missing[..first]);
        order.copied().min_by_key(|index| self.peers.copies(*index))
    }

    /// Whether it is too early to tell what the neighbours hold: a host that joins late would read
    /// from the origin what they could give.
    fn is_listening(&self, now: ClockTime) -> bool {
        let mut neighbours = self.peers.listed().filter(|(_, peer)| peer.is_neighbour);
        !self.turns.has_listened(now)
            && neighbours
                .any(|(_, peer)| peer.heard_at.is_none() && peer.presence != PeerPresence::Silent)
    }

    pub(super) fn plan_pulls(&mut self, now: ClockTime, steps: &mut Vec<FetchStep>) {
        loop {
            if self.count_pulls() >= self.limits.pulls_max {
                return;
            }
            let choice = self.choose_pull(now).or_else(|| self.choose_hedge(now));
            let Some((index, key)) = choice else {
                return;
            };
            steps.push(self.launch(index, FlightSource::Peer(key), now));
        }
    }

    /// The rarest chunk that somebody who has room holds, from whoever has most room. What this host
    /// has to bring into its data centre goes first: others wait for it.
    fn choose_pull(&mut self, now: ClockTime) -> Option<(u32, PeerKey)> {
        let count = self.held.count();
        let first = self.rng.random_range(0..count);
        let mut best: Option<(bool, u16, u32)> = None;
        for index in (first..count).chain(0..first) {
            let copies = self.peers.copies(index);
            let is_wanted = copies > 0 && !self.held.contains(index);
            if !is_wanted || self.is_flying(index) {
                continue;
            }
            let is_near = self.is_held_near(index);
            let rank = (is_near, copies, index);
            let is_better = best.is_none_or(|best| (is_near, copies) < (best.0, best.1));
            if is_better && self.has_holder(index, now) {
                best = Some(rank);
            }
        }
        let (_, _, index) = best?;
        let key = self.choose_holder(index, now)?;
        Some((index, key))
    }

    /// Whether a host of this data centre said that it holds chunk `index`.
    fn is_held_near(&self, index: u32) -> bool {
        let mut listed = self.peers.listed();
        listed.any(|(key, peer)| peer.holds(index) && self.peers.is_near(key))
    }

    /// In the endgame, a second source for the chunk that is the latest. Bounded, so that the last
    /// chunks of many hosts do not flood the links.
    fn choose_hedge(&mut self, now: ClockTime) -> Option<(u32, PeerKey)> {
        let is_hedge = |flight: &&Flight| self.flights_of(flight.index).count() > 1;
        if self.flights.iter().filter(is_hedge).count() >= HEDGES_MAX * FLIGHTS_PER_CHUNK {
            return None;
        }
        let late = self.late_span();
        let mut lates: Vec<&Flight> = self
            .flights
            .iter()
            .filter(|flight| now.since(flight.since) > late)
            .filter(|flight| self.flights_of(flight.index).count() < FLIGHTS_PER_CHUNK)
            .collect();
        lates.sort_by_key(|flight| flight.since);
        let indexes: Vec<u32> = lates.iter().map(|flight| flight.index).collect();
        indexes.into_iter().find_map(|index| {
            let key = self.choose_holder(index, now)?;
            let is_same = |flight: &Flight| flight.source == FlightSource::Peer(key);
            (!self.flights_of(index).any(is_same)).then_some((index, key))
        })
    }

    /// How long a pull may take, or its host say nothing, before that is a sign of silence.
    pub(super) fn late_span(&self) -> Duration {
        (self.usual_span * LATE_SPANS).max(LATE_LEAST)
    }

    fn has_holder(&mut self, index: u32, now: ClockTime) -> bool {
        let may_import = self.may_import(index, now);
        self.peers.listed().any(|(key, _)| {
            self.can_give(key, index, now) && (may_import || self.peers.is_near(key))
        })
    }

    /// Whether chunk `index` may be pulled from another data centre: nobody of this one holds it,
    /// and it is this host's turn to bring it in.
    fn may_import(&mut self, index: u32, now: ClockTime) -> bool {
        !self.is_held_near(index) && self.imports.may_import(index, now)
    }

    fn can_give(&self, key: PeerKey, index: u32, now: ClockTime) -> bool {
        let peer = self.peers.get(key);
        peer.holds(index)
            && peer.presence == PeerPresence::There
            && peer.pulls < self.limits.pulls_per_peer
            && peer.rest_until <= now
            && peer.busy_until <= now
    }

    fn choose_holder(&mut self, index: u32, now: ClockTime) -> Option<PeerKey> {
        let may_import = self.may_import(index, now);
        let holders = self.peers.listed().map(|(key, _)| key);
        let holders = holders.filter(|key| may_import || self.peers.is_near(*key));
        let holders = holders.filter(|key| self.can_give(*key, index, now));
        let mut choices: Vec<PeerKey> = holders.collect();
        let least = choices.iter().map(|key| self.peers.get(*key).pulls).min()?;
        choices.retain(|key| self.peers.get(*key).pulls == least);
        let at = self.rng.random_range(0..choices.len());
        Some(choices[at])
    }

    /// Asks neighbours that said nothing lately: often while this host has room for more than it
    /// finds, seldom while it is busy anyway.
    pub(super) fn plan_asks(&mut self, now: ClockTime, steps: &mut Vec<FetchStep>) {
        let is_starved = self.count_pulls() < self.limits.pulls_max;
        let every = if is_starved {
            self.asks_every
        } else {
            ASK_CALM
        };
        let keys: Vec<PeerKey> = self
            .peers
            .listed()
            .filter(|(_, peer)| peer.is_neighbour || peer.presence == PeerPresence::Doubted)
            .map(|(key, _)| key)
            .collect();
        for key in keys.into_iter().chain(self.turns.take_watched()) {
            let pace = if self.peers.is_near(key) {
                1
            } else {
                ASK_FAR_PACE
            };
            let jitter = (every * pace).mul_f64(self.rng.random_range(0.75..1.25));
            let peer = self.peers.get_mut(key);
            let last = peer.heard_at.max(peer.asked_at);
            let is_time = last.is_none_or(|last| now.since(last) >= jitter);
            let is_due = is_time && peer.rest_until <= now;
            let is_doubted = peer.presence == PeerPresence::Doubted;
            if (is_doubted || is_due) && !peer.is_asked {
                peer.is_asked = true;
                peer.asked_at = Some(now);
                steps.push(FetchStep::Ask(key));
            }
        }
    }
}
