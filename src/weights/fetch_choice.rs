//! The fetch plan's choices: which chunk next, from whom, whom to ask.

use std::time::Duration;

use rand::RngExt;

use super::fetch_plan::{ChunkSource, FetchPlan, FetchStep, Flight};
use super::peer_table::{PeerKey, PeerPresence, PeerRecord};
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
/// How often it is looked who reads what this host brings in.
const SOURCES_PAUSE: Duration = Duration::from_millis(200);

impl FetchPlan {
    pub(super) fn plan_origin_reads(&mut self, now: ClockTime, steps: &mut Vec<FetchStep>) {
        let under_way = self.count_flights(ChunkSource::Origin);
        let mut room = self.limits.origin_reads_max.saturating_sub(under_way);
        while room > 0 && self.turns.may_read(now) {
            let Some(index) = self.choose_origin_read(now) else {
                return;
            };
            steps.push(self.launch(index, ChunkSource::Origin, now));
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

    /// Pulls from hosts that are gone held all places until each stalled; a host that was up got nothing
    /// beside others that hold all. One sign of silence frees the places of all pulls from a host.
    pub(super) fn doubt_silent(&mut self, now: ClockTime, steps: &mut Vec<FetchStep>) {
        let late = self.late_span();
        for transfer in self.flights.clone() {
            let ChunkSource::Peer(key) = transfer.source else {
                continue;
            };
            let is_gone = self.is_gone(key);
            let peer = self.peers.get_mut(key);
            let last = peer.heard_at.max(Some(transfer.since)).unwrap_or(now);
            // A host that holds the chunk no more started anew, and knows nothing of the pull.
            let is_anew = last > transfer.since && !peer.holds(transfer.index);
            if is_anew || (is_gone && peer.presence == PeerPresence::Silent) {
                self.land(transfer.id);
                steps.push(FetchStep::Cancel(transfer.id, transfer.source));
            } else if now.since(last) > late && peer.presence == PeerPresence::There {
                peer.presence = PeerPresence::Doubted;
            }
        }
    }

    /// Chunks under way from hosts that are there.
    fn count_pulls(&self) -> usize {
        let pulls = self
            .flights
            .iter()
            .filter(|transfer| self.is_sound(transfer));
        pulls.count() - self.count_flights(ChunkSource::Origin)
    }

    /// Whether nothing speaks against the source of `transfer`.
    pub(super) fn is_sound(&self, transfer: &Flight) -> bool {
        match transfer.source {
            ChunkSource::Peer(key) => !self.is_gone(key),
            ChunkSource::Origin => true,
        }
    }

    /// Whether the host at `key` does not answer while others do. Where nobody answers, this host's own link
    /// is slow: more pulls over it would wait behind each other, and live requests behind them.
    fn is_gone(&self, key: PeerKey) -> bool {
        let peer = self.peers.get(key);
        let is_unanswered = match peer.presence {
            PeerPresence::There => false,
            PeerPresence::Doubted => peer.is_asked,
            PeerPresence::Silent => true,
        };
        is_unanswered && self.answered_from >= peer.asked_at
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
            steps.push(self.launch(index, ChunkSource::Peer(key), now));
        }
    }

    /// The rarest chunk that somebody who has room holds, from whoever has most room. What this host
    /// has to bring into its data centre goes first: others wait for it. Then come the preferred ones.
    fn choose_pull(&mut self, now: ClockTime) -> Option<(u32, PeerKey)> {
        let count = self.held.count();
        let first = self.rng.random_range(0..count);
        let mut best: Option<((bool, bool, u16), u32)> = None;
        for index in (first..count).chain(0..first) {
            let copies = self.peers.copies(index);
            let is_wanted = copies > 0 && !self.held.contains(index);
            if !is_wanted || self.is_flying(index) {
                continue;
            }
            let is_other = !self.preferred.contains(&index);
            let rank = (self.is_held_near(index), is_other, copies);
            let is_better = best.is_none_or(|best| rank < best.0);
            if is_better && self.has_holder(index, now) {
                best = Some((rank, index));
            }
        }
        let (_, index) = best?;
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
        let is_hedge = |transfer: &&Flight| self.flights_of(transfer.index).count() > 1;
        if self.flights.iter().filter(is_hedge).count() >= HEDGES_MAX * FLIGHTS_PER_CHUNK {
            return None;
        }
        let late = self.late_span();
        let mut lates: Vec<&Flight> = self
            .flights
            .iter()
            .filter(|transfer| now.since(transfer.since) > late)
            .filter(|transfer| self.flights_of(transfer.index).count() < FLIGHTS_PER_CHUNK)
            .collect();
        lates.sort_by_key(|transfer| transfer.since);
        let indexes: Vec<u32> = lates.iter().map(|transfer| transfer.index).collect();
        indexes.into_iter().find_map(|index| {
            let key = self.choose_holder(index, now)?;
            let is_same = |transfer: &Flight| transfer.source == ChunkSource::Peer(key);
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

    /// Chooses anew whom this host asks for what it brings into its data centre.
    ///
    /// A chunk lies at one host first. Of hundreds, a host that asks some of them by lot seldom meets
    /// that one; all know who it is.
    fn choose_import_sources(&mut self, now: ClockTime) {
        if now < self.sources_due {
            return;
        }
        self.sources_due = now + SOURCES_PAUSE;
        let silent = self.peers.silent();
        let span = now.since(self.begun);
        let mut sources: Vec<PeerKey> = Vec::new();
        for index in 0..self.held.count() {
            if self.held.contains(index) || self.is_held_near(index) {
                continue;
            }
            let reader = if self.imports.looks_for(index, span) {
                self.turns.reader(index, &silent)
            } else {
                None
            };
            let importer = self.imports.asked_before(index, &silent, now);
            let hosts = reader.into_iter().chain(importer);
            sources.extend(hosts.filter_map(|host| self.peers.find(host)));
        }
        sources.sort_unstable();
        sources.dedup();
        self.import_sources = sources;
    }

    fn is_import_source(&self, key: PeerKey) -> bool {
        self.import_sources.binary_search(&key).is_ok()
    }

    /// Asks neighbours that said nothing lately: often while this host has room for more than it
    /// finds, seldom while it is busy anyway.
    pub(super) fn plan_asks(&mut self, now: ClockTime, steps: &mut Vec<FetchStep>) {
        self.choose_import_sources(now);
        let is_starved = self.count_pulls() < self.limits.pulls_max;
        let doubted = |(_, peer): (_, &PeerRecord)| peer.presence == PeerPresence::Doubted;
        let is_in_doubt = self.peers.listed().any(doubted);
        let every = if is_starved {
            self.asks_every
        } else if is_in_doubt {
            self.late_span().min(ASK_CALM)
        } else {
            ASK_CALM
        };
        let keys: Vec<PeerKey> = self
            .peers
            .listed()
            .filter(|(key, peer)| {
                let is_asked = peer.is_neighbour || self.is_import_source(*key);
                is_asked || peer.presence == PeerPresence::Doubted
            })
            .map(|(key, _)| key)
            .collect();
        for key in keys.into_iter().chain(self.turns.take_watched()) {
            let is_source = self.peers.is_near(key) || self.is_import_source(key);
            let pace = if is_source { 1 } else { ASK_FAR_PACE };
            let jitter = (every * pace).mul_f64(self.rng.random_range(0.75..1.25));
            let peer = self.peers.get_mut(key);
            let last = peer.heard_at.max(peer.asked_at);
            let is_time = last.is_none_or(|last| now.since(last) >= jitter);
            let is_due = is_time && peer.rest_until <= now;
            let is_doubted = peer.presence == PeerPresence::Doubted;
            if (is_doubted || is_due) && !peer.is_asked {
                peer.is_asked = true;
                peer.asked_at = Some(now);
                steps.push(FetchStep::Query(key));
            }
        }
    }
}
