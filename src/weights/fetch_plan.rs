//! Plans the fetch of one version: which chunk to request from which source, and how to react to
//! results and time-outs.
//!
//! A host pulls the rarest chunk that a peer holds. A chunk that no known peer holds is read from
//! the origin by the host that the chunk's [`HostRanking`](super::host_ranking::HostRanking) puts
//! first. The plan does no I/O and reads no clock: its caller carries out the steps and reports
//! their results.

use std::ops::Range;
use std::time::Duration;

use macro_rules_attribute::apply;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::chunk_map::ChunkMap;
use super::digest::WeightsDigest;
use super::host_ranking::HostLocation;
use super::import_schedule::ImportSchedule;
use super::messages::ChunkAnnouncement;
use super::origin_schedule::OriginSchedule;
use super::peer_table::{PeerHost, PeerKey, PeerLiveness, PeerTable};
use crate::derives::key;
use crate::documents::SpreadObjective;
use crate::errors::ErrorKind;
use crate::time::ClockTime;

/// A pull counts as stalled after this many times the typical duration.
const STALL_FACTOR: u32 = 10;
const STALL_TIMEOUT_MIN: Duration = Duration::from_millis(1500);
const QUERY_INTERVAL_MIN: Duration = Duration::from_millis(80);
const QUERY_INTERVAL_MAX: Duration = Duration::from_millis(500);
const BUSY_WAIT_MIN: Duration = Duration::from_millis(10);

/// Limits of a fetch plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchLimits {
    /// Maximum concurrent pulls from peers.
    pub(crate) pulls_max: usize,
    /// Maximum concurrent pulls from one peer.
    pub(crate) pulls_per_peer: u32,
    /// Maximum concurrent reads from the origin.
    pub(crate) origin_reads_max: usize,
    /// Number of neighbours, the peers that are queried regularly.
    pub(crate) neighbours: usize,
    /// How long each host waits for the one ranked before it before it takes over the read of a
    /// chunk.
    pub(crate) takeover_delay: Duration,
    /// Time-out of a read from the origin.
    pub(crate) origin_read_timeout: Duration,
}

impl Default for FetchLimits {
    fn default() -> Self {
        Self {
            pulls_max: 5,
            pulls_per_peer: 2,
            origin_reads_max: 2,
            neighbours: 12,
            takeover_delay: Duration::from_secs(2),
            origin_read_timeout: Duration::from_secs(15),
        }
    }
}

/// Identifies a chunk transfer in progress.
#[apply(key!)]
pub(crate) struct TransferId(u64);

/// Source of a chunk.
#[apply(key!)]
pub(crate) enum ChunkSource {
    /// Another host.
    Peer(PeerKey),
    /// The origin of weights.
    Origin,
}

/// What the caller has to do.
#[apply(key!)]
pub(crate) enum FetchStep {
    /// Query which chunks a peer holds.
    Query(PeerKey),
    /// Fetch a chunk.
    Fetch {
        /// Identifies the transfer in later reports.
        transfer: TransferId,
        /// Index of the chunk.
        index: u32,
        /// Where to fetch it from.
        source: ChunkSource,
    },
    /// Cancel a transfer.
    Cancel(TransferId, ChunkSource),
}

#[derive(Clone, Copy, Debug)]
pub(super) struct ChunkTransfer {
    pub(super) id: TransferId,
    pub(super) index: u32,
    pub(super) source: ChunkSource,
    pub(super) started_at: ClockTime,
    stalls_at: ClockTime,
}

/// One host's plan for one version.
#[derive(Debug)]
pub(crate) struct FetchPlan {
    pub(super) limits: FetchLimits,
    pub(super) objective: SpreadObjective,
    pub(super) held: ChunkMap,
    /// Chunks that are pulled before rarer ones.
    pub(super) preferred: Range<u32>,
    /// The hosts of the last [`FetchPlan::set_hosts`].
    hosts: Vec<PeerHost>,
    pub(super) peers: PeerTable,
    pub(super) origin_schedule: OriginSchedule,
    pub(super) import_schedule: ImportSchedule,
    pub(super) transfers: Vec<ChunkTransfer>,
    next_transfer: u64,
    /// Moving average of the duration of a pull.
    pub(super) typical_duration: Duration,
    pub(super) started_at: ClockTime,
    /// Hosts that hold, or are about to hold, the chunks that this host imports into its data
    /// centre; sorted.
    pub(super) import_sources: Vec<PeerKey>,
    /// When `import_sources` is computed next.
    pub(super) import_sources_due: ClockTime,
    pub(super) query_interval: Duration,
    /// When the latest query that was answered had been sent.
    pub(super) last_answered_query_at: Option<ClockTime>,
    pub(super) rng: StdRng,
}

impl FetchPlan {
    /// Creates the plan of `local` for the version `digest`, of which it holds `held`. `chunk_time`
    /// is the time that a chunk takes on this host's idle link; `seed` initialises the random
    /// generator.
    pub(crate) fn new(
        local: HostLocation,
        (digest, objective): (WeightsDigest, SpreadObjective),
        held: ChunkMap,
        limits: FetchLimits,
        (chunk_time, seed): (Duration, u64),
        now: ClockTime,
    ) -> Self {
        let chunks = held.count();
        let typical_duration = (chunk_time * 4).max(Duration::from_millis(40));
        let initial_interval = (chunk_time * 2).clamp(QUERY_INTERVAL_MIN, QUERY_INTERVAL_MAX);
        Self {
            limits,
            objective,
            hosts: Vec::new(),
            peers: PeerTable::new(local.clone(), chunks),
            import_schedule: ImportSchedule::new(local.clone(), digest, chunks),
            origin_schedule: OriginSchedule::new(
                local,
                (digest, objective),
                chunks,
                limits.takeover_delay,
                now,
            ),
            held,
            preferred: 0..0,
            transfers: Vec::new(),
            next_transfer: 0,
            typical_duration,
            started_at: now,
            import_sources: Vec::new(),
            import_sources_due: now,
            query_interval: initial_interval,
            last_answered_query_at: None,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the live hosts that have the version as target.
    pub(crate) fn set_hosts(&mut self, hosts: &[PeerHost]) {
        if self.hosts == hosts {
            return;
        }
        self.hosts = hosts.to_vec();
        self.peers.set_hosts(hosts, self.limits.neighbours);
        self.origin_schedule.set_hosts(hosts);
        self.import_schedule.set_hosts(hosts);
        self.import_sources_due = ClockTime(0);
    }

    /// Pulls the chunks of `range` before rarer ones, because the host can use them independently
    /// of the rest.
    pub(crate) fn prefer(&mut self, range: Range<u32>) {
        self.preferred = range;
    }

    /// Limits the concurrent pulls from peers to `pulls_max`.
    pub(crate) const fn set_pulls_max(&mut self, pulls_max: usize) {
        self.limits.pulls_max = pulls_max;
    }

    /// The other hosts.
    pub(crate) const fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// The chunks that this host holds.
    pub(crate) const fn held(&self) -> &ChunkMap {
        &self.held
    }

    /// Number of chunks that this host or a known peer holds.
    pub(crate) fn known_chunk_count(&self) -> u32 {
        let is_known =
            |index: &u32| self.held.contains(*index) || self.peers.copy_count(*index) > 0;
        let known = (0..self.held.count()).filter(is_known);
        u32::try_from(known.count()).unwrap_or(u32::MAX)
    }

    /// The chunks that this host is about to read from the origin.
    pub(crate) fn claimed(&self) -> ChunkMap {
        let mut claimed = ChunkMap::empty(self.held.count());
        if self.origin_schedule.is_origin_unreachable() {
            return claimed;
        }
        for index in 0..self.held.count() {
            if !self.held.contains(index) && self.origin_schedule.is_first(index) {
                claimed.insert(index);
            }
        }
        for transfer in &self.transfers {
            if transfer.source == ChunkSource::Origin {
                claimed.insert(transfer.index);
            }
        }
        claimed
    }

    /// An announcement was received, unrequested or in a response.
    pub(crate) fn on_announcement(&mut self, announcement: &ChunkAnnouncement, now: ClockTime) {
        if self.peers.record_announcement(announcement, now) {
            let jitter = self.rng.random();
            self.origin_schedule.on_origin_available(jitter, now);
        }
    }

    /// The result of [`FetchStep::Query`]: `failure` is `None` if the query was answered.
    pub(crate) fn on_queried(&mut self, key: PeerKey, failure: Option<ErrorKind>, now: ClockTime) {
        let jitter = self.rng.random();
        let late_threshold = self.late_threshold();
        let peer = self.peers.get_mut(key);
        peer.is_query_pending = false;
        if matches!(failure, None | Some(ErrorKind::ChunkMissing)) {
            self.last_answered_query_at = self.last_answered_query_at.max(peer.queried_at);
        }
        // The query failed, but another message from the peer has arrived meanwhile.
        let is_live = peer
            .last_message_at
            .is_some_and(|at| now.since(at) <= late_threshold);
        match failure {
            None => self.peers.mark_responsive(key, now),
            // The peer is running and has not started to fetch this version yet.
            Some(ErrorKind::ChunkMissing) => self.peers.mark_empty(key, now),
            Some(_) if is_live => {}
            Some(_) => self.peers.mark_unresponsive(key, now, jitter),
        }
    }

    /// A chunk was received and verified. Returns the other transfers of the same chunk, which are
    /// to be cancelled.
    pub(crate) fn on_delivered(&mut self, id: TransferId, now: ClockTime) -> Vec<TransferId> {
        let Some(transfer) = self.end_transfer(id) else {
            return Vec::new();
        };
        self.held.insert(transfer.index);
        match transfer.source {
            ChunkSource::Peer(key) => {
                self.peers.get_mut(key).clear_failures();
                let span = now.since(transfer.started_at);
                self.typical_duration = (self.typical_duration * 7 + span) / 8;
            }
            ChunkSource::Origin => self.origin_schedule.on_delivered(now),
        }
        let duplicates = self
            .transfers
            .iter()
            .filter(|duplicate| duplicate.index == transfer.index);
        let duplicates: Vec<TransferId> = duplicates.map(|duplicate| duplicate.id).collect();
        for duplicate in &duplicates {
            self.end_transfer(*duplicate);
        }
        duplicates
    }

    /// A transfer failed, or its chunk did not match the manifest. `wait` is the delay that the
    /// source requested.
    pub(crate) fn on_failed(
        &mut self,
        id: TransferId,
        kind: ErrorKind,
        wait: Option<Duration>,
        now: ClockTime,
    ) {
        let Some(transfer) = self.end_transfer(id) else {
            return;
        };
        let jitter = self.rng.random();
        match (transfer.source, kind) {
            (ChunkSource::Origin, _) => self.origin_schedule.on_failed(kind, wait, jitter, now),
            (ChunkSource::Peer(key), ErrorKind::UploadBusy) => {
                let wait = wait.unwrap_or(BUSY_WAIT_MIN).max(BUSY_WAIT_MIN);
                self.peers.get_mut(key).busy_until = now + wait.mul_f64(0.5 + jitter);
                self.peers.mark_responsive(key, now);
            }
            (ChunkSource::Peer(key), ErrorKind::ChunkMissing) => {
                self.peers.forget_chunk(key, transfer.index);
                self.peers.mark_responsive(key, now);
            }
            (ChunkSource::Peer(key), _) => {
                // The next step queries whether the peer is still running.
                let peer = self.peers.get_mut(key);
                peer.record_failure(now, jitter);
                if peer.liveness == PeerLiveness::Responsive {
                    peer.liveness = PeerLiveness::Suspected;
                }
            }
        }
    }

    /// The steps to carry out at `now`.
    pub(crate) fn next_steps(&mut self, now: ClockTime) -> Vec<FetchStep> {
        let mut steps = Vec::new();
        if self.held.is_full() {
            return steps;
        }
        self.cancel_stalled(now, &mut steps);
        self.check_unresponsive_sources(now, &mut steps);
        if self.peers.take_liveness_change() {
            let unresponsive = self.peers.unresponsive();
            self.origin_schedule.skip_hosts(&unresponsive, now);
            self.import_schedule.skip_hosts(&unresponsive);
        }
        self.plan_origin_reads(now, &mut steps);
        self.plan_pulls(now, &mut steps);
        self.plan_queries(now, &mut steps);
        assert!(
            self.transfers
                .iter()
                .all(|transfer| !self.held.contains(transfer.index)),
            "a chunk that is held was in transfer again"
        );
        steps
    }

    fn cancel_stalled(&mut self, now: ClockTime, steps: &mut Vec<FetchStep>) {
        let stalled = self
            .transfers
            .iter()
            .filter(|transfer| transfer.stalls_at <= now);
        let stalled: Vec<ChunkTransfer> = stalled.copied().collect();
        for transfer in stalled {
            self.on_failed(transfer.id, ErrorKind::PeerSilent, None, now);
            steps.push(FetchStep::Cancel(transfer.id, transfer.source));
        }
    }

    pub(super) fn start_transfer(
        &mut self,
        index: u32,
        source: ChunkSource,
        now: ClockTime,
    ) -> FetchStep {
        let id = TransferId(self.next_transfer);
        self.next_transfer += 1;
        let timeout = match source {
            ChunkSource::Peer(key) => {
                self.peers.get_mut(key).pulls += 1;
                (self.typical_duration * STALL_FACTOR).max(STALL_TIMEOUT_MIN)
            }
            ChunkSource::Origin => self.limits.origin_read_timeout,
        };
        self.transfers.push(ChunkTransfer {
            id,
            index,
            source,
            started_at: now,
            stalls_at: now + timeout,
        });
        FetchStep::Fetch {
            transfer: id,
            index,
            source,
        }
    }

    pub(super) fn end_transfer(&mut self, id: TransferId) -> Option<ChunkTransfer> {
        let position = self
            .transfers
            .iter()
            .position(|transfer| transfer.id == id)?;
        let transfer = self.transfers.swap_remove(position);
        if let ChunkSource::Peer(key) = transfer.source {
            self.peers.get_mut(key).pulls -= 1;
        }
        Some(transfer)
    }

    pub(super) fn transfers_of(&self, index: u32) -> impl Iterator<Item = &ChunkTransfer> {
        self.transfers
            .iter()
            .filter(move |transfer| transfer.index == index)
    }

    /// Whether chunk `index` is in transfer from a responsive source.
    pub(super) fn is_in_transfer(&self, index: u32) -> bool {
        self.transfers_of(index)
            .any(|transfer| self.is_source_responsive(transfer))
    }

    /// Number of responsive peers with a transfer that has taken longer than `span` at `now`.
    pub(crate) fn late_source_count(&self, span: Duration, now: ClockTime) -> usize {
        let late_transfers = self.transfers.iter().filter(|transfer| {
            let is_peer = transfer.source != ChunkSource::Origin;
            is_peer && now.since(transfer.started_at) > span && self.is_source_responsive(transfer)
        });
        let mut sources: Vec<ChunkSource> =
            late_transfers.map(|transfer| transfer.source).collect();
        sources.sort_unstable();
        sources.dedup();
        sources.len()
    }

    pub(super) fn count_transfers(&self, source: ChunkSource) -> usize {
        self.transfers
            .iter()
            .filter(|transfer| transfer.source == source)
            .count()
    }
}
