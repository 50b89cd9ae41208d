//! The fetch plan's choices: which chunk next, from whom, whom to ask.

use std::time::Duration;

use rand::RngExt;

use super::fetch_plan::{ChunkSource, ChunkTransfer, FetchPlan, FetchStep};
use super::peer_table::{PeerKey, PeerLiveness, PeerRecord};
use crate::documents::SpreadObjective;
use crate::time::ClockTime;

/// How many times the usual span must have passed before a chunk is late.
const LATE_FACTOR: u32 = 3;
const LATE_THRESHOLD_MIN: Duration = Duration::from_millis(300);
const HEDGES_MAX: usize = 2;
const TRANSFERS_PER_CHUNK: usize = 2;
const QUERY_INTERVAL_SATURATED: Duration = Duration::from_millis(1500);
/// How many times less often hosts of other data centres are asked: only what nobody here holds is
/// pulled from there.
const REMOTE_QUERY_FACTOR: u32 = 3;
/// How often it is looked who reads what this host brings in.
const IMPORT_SOURCES_INTERVAL: Duration = Duration::from_millis(200);

impl FetchPlan {
    pub(super) fn plan_origin_reads(&mut self, now: ClockTime, steps: &mut Vec<FetchStep>) {
        let under_way = self.count_transfers(ChunkSource::Origin);
        let mut room = self.limits.origin_reads_max.saturating_sub(under_way);
        while room > 0 && self.origin_schedule.may_read(now) {
            let Some(index) = self.choose_origin_read(now) else {
                return;
            };
            steps.push(self.start_transfer(index, ChunkSource::Origin, now));
            room -= 1;
        }
    }

    fn choose_origin_read(&mut self, now: ClockTime) -> Option<u32> {
        if self.objective == SpreadObjective::OriginBytes && self.is_in_initial_wait(now) {
            return None;
        }
        let is_open = |index: &u32| !self.held.contains(*index) && !self.is_in_transfer(*index);
        let unseen = |index: &u32| is_open(index) && self.peers.copy_count(*index) == 0;
        let mine = (0..self.held.count())
            .filter(|index| self.origin_schedule.is_first(*index))
            .find(unseen);
        if mine.is_some() {
            return mine;
        }
        let due: Vec<u32> = (0..self.held.count())
            .filter(unseen)
            .filter(|index| self.origin_schedule.is_due(*index, now))
            .collect();
        for index in due {
            if self
                .origin_schedule
                .should_take_over(index, &mut self.peers, now)
            {
                return Some(index);
            }
        }
        self.choose_redundant_read()
    }

    /// With the objective `time`, a host that nobody can give a chunk reads one that others have
    /// already, so that nothing that the origin gives is left. Not before every chunk was seen
    /// somewhere: the first copy of each goes before any second.
    fn choose_redundant_read(&mut self) -> Option<u32> {
        let is_starved = self.count_pulls() < self.limits.pulls_max;
        if self.objective != SpreadObjective::Time || !is_starved {
            return None;
        }
        let missing: Vec<u32> = (0..self.held.count())
            .filter(|index| !self.held.contains(*index) && !self.is_in_transfer(*index))
            .collect();
        if missing
            .iter()
            .any(|index| self.peers.copy_count(*index) == 0)
        {
            return None;
        }
        let first = self.rng.random_range(0..missing.len().max(1));
        let order = missing[first.min(missing.len())..]
            .iter()
            .chain(&missing[..first]);
        order
            .copied()
            .min_by_key(|index| self.peers.copy_count(*index))
    }

    /// Whether it is too early to tell what the neighbours hold: a host that joins late would read
    /// from the origin what they could give.
    fn is_in_initial_wait(&self, now: ClockTime) -> bool {
        let mut neighbours = self.peers.listed().filter(|(_, peer)| peer.is_neighbour);
        !self.origin_schedule.is_initial_wait_over(now)
            && neighbours.any(|(_, peer)| {
                peer.last_heard_at.is_none() && peer.liveness != PeerLiveness::Unresponsive
            })
    }

    /// Pulls from hosts that are gone held all places until each stalled; a host that was up got nothing
    /// beside others that hold all. One sign of silence frees the places of all pulls from a host.
    pub(super) fn check_unresponsive_sources(
        &mut self,
        now: ClockTime,
        steps: &mut Vec<FetchStep>,
    ) {
        let late = self.late_threshold();
        for transfer in self.transfers.clone() {
            let ChunkSource::Peer(key) = transfer.source else {
                continue;
            };
            let is_peer_unavailable = self.is_peer_unavailable(key);
            let peer = self.peers.get_mut(key);
            let last = peer.last_heard_at.max(Some(transfer.since)).unwrap_or(now);
            // A host that holds the chunk no more started anew, and knows nothing of the pull.
            let is_anew = last > transfer.since && !peer.holds(transfer.index);
            if is_anew || (is_peer_unavailable && peer.liveness == PeerLiveness::Unresponsive) {
                self.end_transfer(transfer.id);
                steps.push(FetchStep::Cancel(transfer.id, transfer.source));
            } else if now.since(last) > late && peer.liveness == PeerLiveness::Responsive {
                peer.liveness = PeerLiveness::Suspected;
            }
        }
    }

    /// Chunks under way from hosts that are there.
    fn count_pulls(&self) -> usize {
        let pulls = self
            .transfers
            .iter()
            .filter(|transfer| self.is_source_responsive(transfer));
        pulls.count() - self.count_transfers(ChunkSource::Origin)
    }

    /// Whether nothing speaks against the source of `transfer`.
    pub(super) fn is_source_responsive(&self, transfer: &ChunkTransfer) -> bool {
        match transfer.source {
            ChunkSource::Peer(key) => !self.is_peer_unavailable(key),
            ChunkSource::Origin => true,
        }
    }

    /// Whether the host at `key` does not answer while others do. Where nobody answers, this host's own link
    /// is slow: more pulls over it would wait behind each other, and live requests behind them.
    fn is_peer_unavailable(&self, key: PeerKey) -> bool {
        let peer = self.peers.get(key);
        let is_unanswered = match peer.liveness {
            PeerLiveness::Responsive => false,
            PeerLiveness::Suspected => peer.is_query_pending,
            PeerLiveness::Unresponsive => true,
        };
        is_unanswered && self.last_answered_query_at >= peer.queried_at
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
            steps.push(self.start_transfer(index, ChunkSource::Peer(key), now));
        }
    }

    /// The rarest chunk that somebody who has room holds, from whoever has most room. What this host
    /// has to bring into its data centre goes first: others wait for it. Then come the preferred ones.
    fn choose_pull(&mut self, now: ClockTime) -> Option<(u32, PeerKey)> {
        let count = self.held.count();
        let first = self.rng.random_range(0..count);
        let mut best: Option<((bool, bool, u16), u32)> = None;
        for index in (first..count).chain(0..first) {
            let copy_count = self.peers.copy_count(index);
            let is_wanted = copy_count > 0 && !self.held.contains(index);
            if !is_wanted || self.is_in_transfer(index) {
                continue;
            }
            let is_other = !self.preferred.contains(&index);
            let rank = (self.is_held_in_data_centre(index), is_other, copy_count);
            let is_better = best.is_none_or(|best| rank < best.0);
            if is_better && self.has_serving_peer(index, now) {
                best = Some((rank, index));
            }
        }
        let (_, index) = best?;
        let key = self.choose_serving_peer(index, now)?;
        Some((index, key))
    }

    /// Whether a host of this data centre said that it holds chunk `index`.
    fn is_held_in_data_centre(&self, index: u32) -> bool {
        let mut listed = self.peers.listed();
        listed.any(|(key, peer)| peer.holds(index) && self.peers.is_local(key))
    }

    /// In the endgame, a second source for the chunk that is the latest. Bounded, so that the last
    /// chunks of many hosts do not flood the links.
    fn choose_hedge(&mut self, now: ClockTime) -> Option<(u32, PeerKey)> {
        let is_hedge = |transfer: &&ChunkTransfer| self.transfers_of(transfer.index).count() > 1;
        if self.transfers.iter().filter(is_hedge).count() >= HEDGES_MAX * TRANSFERS_PER_CHUNK {
            return None;
        }
        let late = self.late_threshold();
        let mut lates: Vec<&ChunkTransfer> = self
            .transfers
            .iter()
            .filter(|transfer| now.since(transfer.since) > late)
            .filter(|transfer| self.transfers_of(transfer.index).count() < TRANSFERS_PER_CHUNK)
            .collect();
        lates.sort_by_key(|transfer| transfer.since);
        let indexes: Vec<u32> = lates.iter().map(|transfer| transfer.index).collect();
        indexes.into_iter().find_map(|index| {
            let key = self.choose_serving_peer(index, now)?;
            let is_same = |transfer: &ChunkTransfer| transfer.source == ChunkSource::Peer(key);
            (!self.transfers_of(index).any(is_same)).then_some((index, key))
        })
    }

    /// How long a pull may take, or its host say nothing, before that is a sign of silence.
    pub(super) fn late_threshold(&self) -> Duration {
        (self.typical_duration * LATE_FACTOR).max(LATE_THRESHOLD_MIN)
    }

    fn has_serving_peer(&mut self, index: u32, now: ClockTime) -> bool {
        let may_import = self.may_import(index, now);
        self.peers.listed().any(|(key, _)| {
            self.can_serve(key, index, now) && (may_import || self.peers.is_local(key))
        })
    }

    /// Whether chunk `index` may be pulled from another data centre: nobody of this one holds it,
    /// and it is this host's turn to bring it in.
    fn may_import(&mut self, index: u32, now: ClockTime) -> bool {
        !self.is_held_in_data_centre(index) && self.import_schedule.may_import(index, now)
    }

    fn can_serve(&self, key: PeerKey, index: u32, now: ClockTime) -> bool {
        let peer = self.peers.get(key);
        peer.holds(index)
            && peer.liveness == PeerLiveness::Responsive
            && peer.pulls < self.limits.pulls_per_peer
            && peer.retry_at <= now
            && peer.busy_until <= now
    }

    fn choose_serving_peer(&mut self, index: u32, now: ClockTime) -> Option<PeerKey> {
        let may_import = self.may_import(index, now);
        let holders = self.peers.listed().map(|(key, _)| key);
        let holders = holders.filter(|key| may_import || self.peers.is_local(*key));
        let holders = holders.filter(|key| self.can_serve(*key, index, now));
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
        if now < self.import_sources_due {
            return;
        }
        self.import_sources_due = now + IMPORT_SOURCES_INTERVAL;
        let unresponsive = self.peers.unresponsive();
        let span = now.since(self.started_at);
        let mut sources: Vec<PeerKey> = Vec::new();
        for index in 0..self.held.count() {
            if self.held.contains(index) || self.is_held_in_data_centre(index) {
                continue;
            }
            let reader = if self.import_schedule.searches_for(index, span) {
                self.origin_schedule.reader(index, &unresponsive)
            } else {
                None
            };
            let importer = self
                .import_schedule
                .importer_to_query(index, &unresponsive, now);
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
    pub(super) fn plan_queries(&mut self, now: ClockTime, steps: &mut Vec<FetchStep>) {
        self.choose_import_sources(now);
        let is_starved = self.count_pulls() < self.limits.pulls_max;
        let doubted = |(_, peer): (_, &PeerRecord)| peer.liveness == PeerLiveness::Suspected;
        let is_in_doubt = self.peers.listed().any(doubted);
        let every = if is_starved {
            self.query_interval
        } else if is_in_doubt {
            self.late_threshold().min(QUERY_INTERVAL_SATURATED)
        } else {
            QUERY_INTERVAL_SATURATED
        };
        let keys: Vec<PeerKey> = self
            .peers
            .listed()
            .filter(|(key, peer)| {
                let is_asked = peer.is_neighbour || self.is_import_source(*key);
                is_asked || peer.liveness == PeerLiveness::Suspected
            })
            .map(|(key, _)| key)
            .collect();
        for key in keys
            .into_iter()
            .chain(self.origin_schedule.take_pending_queries())
        {
            let is_source = self.peers.is_local(key) || self.is_import_source(key);
            let pace = if is_source { 1 } else { REMOTE_QUERY_FACTOR };
            let jitter = (every * pace).mul_f64(self.rng.random_range(0.75..1.25));
            let peer = self.peers.get_mut(key);
            let last = peer.last_heard_at.max(peer.queried_at);
            let is_time = last.is_none_or(|last| now.since(last) >= jitter);
            let is_due = is_time && peer.retry_at <= now;
            let is_doubted = peer.liveness == PeerLiveness::Suspected;
            if (is_doubted || is_due) && !peer.is_query_pending {
                peer.is_query_pending = true;
                peer.queried_at = Some(now);
                steps.push(FetchStep::Query(key));
            }
        }
    }
}
