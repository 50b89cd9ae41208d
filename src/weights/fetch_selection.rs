//! The choices of the fetch plan: the next chunk, its source, and the peers to query.

use std::time::Duration;

use rand::RngExt;

use super::fetch_plan::{ChunkSource, ChunkTransfer, FetchPlan, FetchStep};
use super::peer_table::{PeerKey, PeerLiveness, PeerRecord};
use crate::documents::SpreadObjective;
use crate::time::ClockTime;

/// A pull counts as late after this many times the typical duration.
const LATE_FACTOR: u32 = 3;
const LATE_THRESHOLD_MIN: Duration = Duration::from_millis(300);
const HEDGES_MAX: usize = 2;
const TRANSFERS_PER_CHUNK: usize = 2;
const QUERY_INTERVAL_SATURATED: Duration = Duration::from_millis(1500);
/// Factor by which peers in other data centres are queried less often. Only chunks that no host in
/// the local data centre holds are pulled from there.
const REMOTE_QUERY_FACTOR: u32 = 3;
/// How often the sources of imports are computed.
const IMPORT_SOURCES_INTERVAL: Duration = Duration::from_millis(200);

impl FetchPlan {
    pub(super) fn plan_origin_reads(&mut self, now: ClockTime, steps: &mut Vec<FetchStep>) {
        let active_reads = self.count_transfers(ChunkSource::Origin);
        let mut free_slots = self.limits.origin_reads_max.saturating_sub(active_reads);
        while free_slots > 0 && self.origin_schedule.may_read(now) {
            let Some(index) = self.choose_origin_read(now) else {
                return;
            };
            steps.push(self.start_transfer(index, ChunkSource::Origin, now));
            free_slots -= 1;
        }
    }

    fn choose_origin_read(&mut self, now: ClockTime) -> Option<u32> {
        if self.objective == SpreadObjective::OriginBytes && self.is_in_initial_wait(now) {
            return None;
        }
        let is_missing = |index: &u32| !self.held.contains(*index) && !self.is_in_transfer(*index);
        let is_unheld = |index: &u32| is_missing(index) && self.peers.copy_count(*index) == 0;
        let own = (0..self.held.count())
            .filter(|index| self.origin_schedule.is_first(*index))
            .find(is_unheld);
        if own.is_some() {
            return own;
        }
        let may_take_over = self.origin_schedule.may_take_over(now);
        let due: Vec<u32> = (0..self.held.count())
            .filter(is_unheld)
            .filter(|index| may_take_over && self.origin_schedule.is_due(*index, now))
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

    /// With the objective `time`, a host that finds no peer to pull from reads a chunk that other
    /// hosts already hold, so that the capacity of the origin is used fully. It does so only once
    /// every chunk is held by some host: the first copy of each chunk has precedence over any
    /// second copy.
    fn choose_redundant_read(&mut self) -> Option<u32> {
        let has_free_slots = self.count_pulls() < self.limits.pulls_max;
        if self.objective != SpreadObjective::Time || !has_free_slots {
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
        let start = self.rng.random_range(0..missing.len().max(1));
        let order = missing[start.min(missing.len())..]
            .iter()
            .chain(&missing[..start]);
        order
            .copied()
            .min_by_key(|index| self.peers.copy_count(*index))
    }

    /// Whether the neighbours have not had time to answer yet. Without this wait, a host that joins
    /// late would read chunks from the origin that its neighbours hold.
    fn is_in_initial_wait(&self, now: ClockTime) -> bool {
        let mut neighbours = self.peers.listed().filter(|(_, peer)| peer.is_neighbour);
        !self.origin_schedule.is_initial_wait_over(now)
            && neighbours.any(|(_, peer)| {
                peer.last_message_at.is_none() && peer.liveness != PeerLiveness::Unresponsive
            })
    }

    /// Cancels pulls from unresponsive hosts and marks hosts without recent traffic as suspected.
    ///
    /// Otherwise pulls from failed hosts occupy all pull slots until each of them stalls, and a
    /// running host receives nothing although other peers hold all chunks. One sign that a host
    /// does not respond therefore frees the slots of all pulls from it.
    pub(super) fn check_unresponsive_sources(
        &mut self,
        now: ClockTime,
        steps: &mut Vec<FetchStep>,
    ) {
        let late_threshold = self.late_threshold();
        for transfer in self.transfers.clone() {
            let ChunkSource::Peer(key) = transfer.source else {
                continue;
            };
            let is_peer_unavailable = self.is_peer_unavailable(key);
            let peer = self.peers.get_mut(key);
            let last_sign_at = peer
                .last_message_at
                .max(Some(transfer.started_at))
                .unwrap_or(now);
            // A host that no longer holds the chunk has restarted and has lost the pull.
            let has_restarted = last_sign_at > transfer.started_at && !peer.holds(transfer.index);
            if has_restarted || (is_peer_unavailable && peer.liveness == PeerLiveness::Unresponsive)
            {
                self.end_transfer(transfer.id);
                steps.push(FetchStep::Cancel(transfer.id, transfer.source));
            } else if now.since(last_sign_at) > late_threshold
                && peer.liveness == PeerLiveness::Responsive
            {
                peer.liveness = PeerLiveness::Suspected;
            }
        }
    }

    /// Number of pulls from responsive hosts.
    fn count_pulls(&self) -> usize {
        let pulls = self
            .transfers
            .iter()
            .filter(|transfer| self.is_source_responsive(transfer));
        pulls.count() - self.count_transfers(ChunkSource::Origin)
    }

    /// Whether the source of `transfer` counts as responsive.
    pub(super) fn is_source_responsive(&self, transfer: &ChunkTransfer) -> bool {
        match transfer.source {
            ChunkSource::Peer(key) => !self.is_peer_unavailable(key),
            ChunkSource::Origin => true,
        }
    }

    /// Whether the host at `key` does not answer while others do. If no host answers, this host's
    /// own link is slow: further pulls would queue on it and delay live requests.
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

    /// The rarest chunk that a peer with a free slot holds, and the peer with the fewest pulls.
    /// Chunks that this host has to import into its data centre come first because other hosts wait
    /// for them, then the preferred chunks.
    fn choose_pull(&mut self, now: ClockTime) -> Option<(u32, PeerKey)> {
        let count = self.held.count();
        let start = self.rng.random_range(0..count);
        let mut best: Option<((bool, bool, u16), u32)> = None;
        for index in (start..count).chain(0..start) {
            let copy_count = self.peers.copy_count(index);
            let is_candidate = copy_count > 0 && !self.held.contains(index);
            if !is_candidate || self.is_in_transfer(index) {
                continue;
            }
            let is_not_preferred = !self.preferred.contains(&index);
            let rank = (
                self.is_held_in_data_centre(index),
                is_not_preferred,
                copy_count,
            );
            let is_better = best.is_none_or(|best| rank < best.0);
            if is_better && self.has_serving_peer(index, now) {
                best = Some((rank, index));
            }
        }
        let (_, index) = best?;
        let key = self.choose_serving_peer(index, now)?;
        Some((index, key))
    }

    /// Whether a host of this data centre announced that it holds chunk `index`.
    fn is_held_in_data_centre(&self, index: u32) -> bool {
        let mut listed = self.peers.listed();
        listed.any(|(key, peer)| peer.holds(index) && self.peers.is_local(key))
    }

    /// A second source for the transfer that has been late for the longest time. The number of such
    /// hedges is limited, so that the last chunks of many hosts do not flood the links.
    fn choose_hedge(&mut self, now: ClockTime) -> Option<(u32, PeerKey)> {
        let is_hedge = |transfer: &&ChunkTransfer| self.transfers_of(transfer.index).count() > 1;
        if self.transfers.iter().filter(is_hedge).count() >= HEDGES_MAX * TRANSFERS_PER_CHUNK {
            return None;
        }
        let late_threshold = self.late_threshold();
        let mut late_transfers: Vec<&ChunkTransfer> = self
            .transfers
            .iter()
            .filter(|transfer| now.since(transfer.started_at) > late_threshold)
            .filter(|transfer| self.transfers_of(transfer.index).count() < TRANSFERS_PER_CHUNK)
            .collect();
        late_transfers.sort_by_key(|transfer| transfer.started_at);
        let indexes: Vec<u32> = late_transfers
            .iter()
            .map(|transfer| transfer.index)
            .collect();
        indexes.into_iter().find_map(|index| {
            let key = self.choose_serving_peer(index, now)?;
            let is_same = |transfer: &ChunkTransfer| transfer.source == ChunkSource::Peer(key);
            (!self.transfers_of(index).any(is_same)).then_some((index, key))
        })
    }

    /// How long a pull may take, or a host may send nothing, before the host is suspected.
    pub(super) fn late_threshold(&self) -> Duration {
        (self.typical_duration * LATE_FACTOR).max(LATE_THRESHOLD_MIN)
    }

    fn has_serving_peer(&mut self, index: u32, now: ClockTime) -> bool {
        let may_import = self.may_import(index, now);
        self.peers.listed().any(|(key, _)| {
            self.can_serve(key, index, now) && (may_import || self.peers.is_local(key))
        })
    }

    /// Whether chunk `index` may be pulled from another data centre: no host of this one holds it,
    /// and this host is the one to import it.
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
        let position = self.rng.random_range(0..choices.len());
        Some(choices[position])
    }

    /// Computes which hosts to query for the chunks that this host imports into its data centre.
    ///
    /// A chunk is first held by a single host. Among hundreds of hosts, queries to randomly chosen
    /// peers seldom reach that host, but every host can compute which one it is.
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

    /// Queries peers without recent messages: often while this host has free pull slots, less often
    /// while all are in use.
    pub(super) fn plan_queries(&mut self, now: ClockTime, steps: &mut Vec<FetchStep>) {
        self.choose_import_sources(now);
        let has_free_slots = self.count_pulls() < self.limits.pulls_max;
        let suspected = |(_, peer): (_, &PeerRecord)| peer.liveness == PeerLiveness::Suspected;
        let has_suspected_peer = self.peers.listed().any(suspected);
        let interval = if has_free_slots {
            self.query_interval
        } else if has_suspected_peer {
            self.late_threshold().min(QUERY_INTERVAL_SATURATED)
        } else {
            QUERY_INTERVAL_SATURATED
        };
        let keys: Vec<PeerKey> = self
            .peers
            .listed()
            .filter(|(key, peer)| {
                let is_relevant = peer.is_neighbour || self.is_import_source(*key);
                is_relevant || peer.liveness == PeerLiveness::Suspected
            })
            .map(|(key, _)| key)
            .collect();
        for key in keys
            .into_iter()
            .chain(self.origin_schedule.take_pending_queries())
        {
            let is_source = self.peers.is_local(key) || self.is_import_source(key);
            let factor = if is_source { 1 } else { REMOTE_QUERY_FACTOR };
            let jitter = (interval * factor).mul_f64(self.rng.random_range(0.75..1.25));
            let peer = self.peers.get_mut(key);
            let last_sign_at = peer.last_message_at.max(peer.queried_at);
            let is_interval_over =
                last_sign_at.is_none_or(|last_sign_at| now.since(last_sign_at) >= jitter);
            let is_due = is_interval_over && peer.retry_at <= now;
            let is_suspected = peer.liveness == PeerLiveness::Suspected;
            if (is_suspected || is_due) && !peer.is_query_pending {
                peer.is_query_pending = true;
                peer.queried_at = Some(now);
                steps.push(FetchStep::Query(key));
            }
        }
    }
}
