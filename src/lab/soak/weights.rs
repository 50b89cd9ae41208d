//! Drives the fetch plans of several hosts that fetch the same weights over a simulated network.
//! The network loses, delays, reorders, corrupts and truncates messages. Hosts fail, data centres
//! are isolated, the host lists of the hosts differ, and the origin becomes unavailable.

use std::time::Duration;

use arbitrary::{Result, Unstructured};
use bytes::Bytes;

use crate::documents::SpreadObjective;
use crate::errors::ErrorKind;
use crate::time::ClockTime;
use crate::weights::{
    ChunkAnnouncement, ChunkMap, ChunkSource, FetchLimits, FetchPlan, FetchStep, HostLocation,
    PeerHost, PeerKey, StagedVersion, TransferId, VersionManifest, WeightsDigest,
};

const HOSTS_MAX: usize = 7;
const CHUNKS_MAX: usize = 20;
const CHUNK_BYTES: usize = 16;
const TICK: Duration = Duration::from_millis(50);
/// Duration of the phase with faults.
const FAULT_PHASE_MS: u64 = 8_000;
/// Time without faults within which every live host must hold the complete version.
const RECOVERY_LIMIT_MS: u64 = 240_000;
/// Time after which a query without a response fails.
const QUERY_TIMEOUT_MS: u64 = 1_000;
/// Delay of a message on a network without faults.
const FAULTLESS_DELAY_MS: u64 = 20;

/// State of one case.
struct FetchCase {
    now: ClockTime,
    version: VersionManifest,
    data: Vec<Bytes>,
    hosts: Vec<FakeHost>,
    scheduled_events: Vec<ScheduledEvent>,
    is_origin_available: bool,
    /// The data centre that is isolated from the others, and whether the origin is reachable from
    /// it only (true) or from the others only (false).
    isolated_centre: Option<(usize, bool)>,
    /// Whether random faults are injected.
    has_faults: bool,
    /// Number of chunk reads that the origin served.
    origin_reads: usize,
    /// Duration of a read from the origin on a network without faults.
    origin_read_ms: u64,
}

struct FakeHost {
    location: HostLocation,
    plan: FetchPlan,
    staged: StagedVersion,
    is_alive: bool,
    data_centre_index: usize,
}

/// An event that reaches a host at a given time.
struct ScheduledEvent {
    at: ClockTime,
    host: usize,
    event: HostEvent,
}

enum HostEvent {
    /// The response to a query, or the error that ended it.
    QueryResponse(PeerKey, std::result::Result<ChunkAnnouncement, ErrorKind>),
    /// The bytes of a chunk transfer, or the error that ended it.
    Chunk(TransferId, u32, std::result::Result<Bytes, ErrorKind>),
}

/// Runs one random case.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut case = FetchCase::new(u)?;
    while case.now < ClockTime::from_millis(FAULT_PHASE_MS) {
        case.inject_fault(u)?;
        case.step(u)?;
    }
    case.end_faults(u)?;
    let deadline = case.now + Duration::from_millis(RECOVERY_LIMIT_MS);
    while !case.is_done() {
        assert!(
            case.now < deadline,
            "a live host did not complete the version although sources remain"
        );
        case.step(u)?;
    }
    for host in case.hosts.iter().filter(|host| host.is_alive) {
        host.staged
            .verify()
            .expect("all chunks matched the manifest");
        let all_bytes = host
            .staged
            .all_bytes()
            .expect("the verified version is sealed");
        assert_eq!(
            all_bytes, case.data,
            "a host completed the version with wrong bytes"
        );
    }
    Ok(())
}

/// Runs a fetch by `hosts` hosts without faults, in which a read from the origin takes
/// `origin_read_ms` milliseconds. Returns the number of chunks and the number of reads from the
/// origin.
#[cfg(test)]
pub(crate) fn run_without_faults(
    hosts: usize,
    objective: SpreadObjective,
    origin_read_ms: u64,
) -> (usize, usize) {
    let mut u = Unstructured::new(&[]);
    let mut case = FetchCase::with_size(hosts, CHUNKS_MAX, objective, 1);
    case.has_faults = false;
    case.origin_read_ms = origin_read_ms;
    while !case.is_done() {
        assert!(
            case.now < ClockTime::from_millis(RECOVERY_LIMIT_MS),
            "the fetch did not finish in time"
        );
        case.step(&mut u)
            .expect("a run without faults needs no random bytes");
    }
    (case.data.len(), case.origin_reads)
}

impl FetchCase {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let hosts = u.int_in_range(1..=HOSTS_MAX)?;
        let chunks = u.int_in_range(1..=CHUNKS_MAX)?;
        let objective = if u.arbitrary()? {
            SpreadObjective::Time
        } else {
            SpreadObjective::OriginBytes
        };
        Ok(Self::with_size(hosts, chunks, objective, u.arbitrary()?))
    }

    fn with_size(hosts: usize, chunks: usize, objective: SpreadObjective, seed: u64) -> Self {
        let data: Vec<Bytes> = (0..chunks)
            .map(|chunk| {
                // The last chunk may be shorter than the others.
                let length = if chunk + 1 == chunks {
                    CHUNK_BYTES / 2
                } else {
                    CHUNK_BYTES
                };
                Bytes::from(vec![u8::try_from(chunk).unwrap_or(0); length])
            })
            .collect();
        let all_bytes: Vec<u8> = data.concat();
        let version = VersionManifest {
            name: "weights".into(),
            size: all_bytes.len() as u64,
            chunk_size: CHUNK_BYTES as u64,
            chunks: data.iter().map(|chunk| WeightsDigest::of(chunk)).collect(),
            digest: WeightsDigest::of(&all_bytes),
        };
        let now = ClockTime(0);
        let hosts = (0..hosts).map(|index| {
            let location = location_of(index);
            let chunk_time_and_seed = (Duration::from_millis(20), seed ^ index as u64);
            let held = ChunkMap::empty(version.chunk_count());
            let target = (version.digest, objective);
            FakeHost {
                plan: FetchPlan::new(
                    location.clone(),
                    target,
                    held,
                    FetchLimits::default(),
                    chunk_time_and_seed,
                    now,
                ),
                location,
                staged: StagedVersion::new(version.clone()),
                is_alive: true,
                data_centre_index: index % 3,
            }
        });
        let mut case = Self {
            now,
            hosts: hosts.collect(),
            data,
            version,
            scheduled_events: Vec::new(),
            is_origin_available: true,
            isolated_centre: None,
            has_faults: true,
            origin_reads: 0,
            origin_read_ms: FAULTLESS_DELAY_MS,
        };
        case.set_full_host_lists();
        case
    }

    /// Returns whether every live host holds all chunks.
    fn is_done(&self) -> bool {
        let mut live = self.hosts.iter().filter(|host| host.is_alive);
        live.all(|host| host.plan.held().is_full())
    }

    /// Gives every host the full list of live hosts.
    fn set_full_host_lists(&mut self) {
        let live: Vec<PeerHost> = (0..self.hosts.len())
            .filter(|index| self.hosts[*index].is_alive)
            .map(|index| self.peer_host(index))
            .collect();
        for host in &mut self.hosts {
            host.plan.set_hosts(&live);
        }
    }

    fn peer_host(&self, index: usize) -> PeerHost {
        PeerHost {
            location: self.hosts[index].location.clone(),
            address: ([127, 0, 0, 1], u16::try_from(index + 1).unwrap_or(0)).into(),
        }
    }

    /// Injects or ends a fault at random.
    fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !u.ratio(1, 12)? {
            return Ok(());
        }
        let index = u.choose_index(self.hosts.len())?;
        match u.int_in_range(0..=4)? {
            0 => self.is_origin_available = !self.is_origin_available,
            1 => {
                self.isolated_centre = match self.isolated_centre {
                    Some(_) => None,
                    None => Some((u.int_in_range(0..=2)?, u.arbitrary()?)),
                }
            }
            2 => self.stop_host(index),
            3 => self.restart_host(index),
            _ => self.set_partial_host_list(u, index)?,
        }
        Ok(())
    }

    /// Stops a host and drops the events on their way to it, unless it is the last live host.
    fn stop_host(&mut self, index: usize) {
        let alive = self.hosts.iter().filter(|host| host.is_alive).count();
        if alive > 1 {
            self.hosts[index].is_alive = false;
            self.scheduled_events
                .retain(|scheduled| scheduled.host != index);
        }
    }

    /// Starts a new process on the host, which has no chunks.
    fn restart_host(&mut self, index: usize) {
        self.scheduled_events
            .retain(|scheduled| scheduled.host != index);
        let count = self.version.chunk_count();
        let host = &mut self.hosts[index];
        host.is_alive = true;
        host.staged = StagedVersion::new(self.version.clone());
        let target = (self.version.digest, SpreadObjective::OriginBytes);
        host.plan = FetchPlan::new(
            host.location.clone(),
            target,
            ChunkMap::empty(count),
            FetchLimits::default(),
            (Duration::from_millis(20), self.now.0),
            self.now,
        );
        self.set_full_host_lists();
    }

    /// Gives a host a list that lacks some live hosts and may contain failed ones.
    fn set_partial_host_list(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let mut visible_hosts = Vec::new();
        for other in 0..self.hosts.len() {
            if u.ratio(2, 3)? {
                visible_hosts.push(self.peer_host(other));
            }
        }
        self.hosts[index].plan.set_hosts(&visible_hosts);
        Ok(())
    }

    /// Ends all network faults and gives every host the full list. If the live hosts together hold
    /// all chunks, the origin may stay unavailable for the rest of the case.
    fn end_faults(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.has_faults = false;
        self.isolated_centre = None;
        let is_held = |index: u32| {
            let mut live = self.hosts.iter().filter(|host| host.is_alive);
            live.any(|host| host.plan.held().contains(index))
        };
        let all_held = (0..self.version.chunk_count()).all(is_held);
        self.is_origin_available = !(all_held && u.arbitrary()?);
        self.set_full_host_lists();
        Ok(())
    }

    /// Delivers the events that are due, carries out the steps of the live hosts, and advances the
    /// clock to the next event, by at least 1 ms and at most one tick.
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.deliver(u)?;
        for index in 0..self.hosts.len() {
            if !self.hosts[index].is_alive {
                continue;
            }
            let steps = self.hosts[index].plan.next_steps(self.now);
            for step in steps {
                self.carry_out_step(u, index, step)?;
            }
        }
        let next = self
            .scheduled_events
            .iter()
            .map(|scheduled| scheduled.at)
            .min();
        let tick = self.now + TICK;
        self.now = next.map_or(tick, |next| {
            next.clamp(self.now + Duration::from_millis(1), tick)
        });
        Ok(())
    }

    fn carry_out_step(
        &mut self,
        u: &mut Unstructured<'_>,
        host: usize,
        step: FetchStep,
    ) -> Result<()> {
        match step {
            FetchStep::Query(key) => {
                let peer = self.find_peer(host, key);
                let announcement = self.announcement_of(u, host, peer)?;
                let is_lost = self.has_faults && u.ratio(1, 6)?;
                let (response, delay_ms) = match announcement {
                    Some(announcement) if !is_lost => (Ok(announcement), self.delay(u)?),
                    _ => (Err(ErrorKind::PeerSilent), QUERY_TIMEOUT_MS),
                };
                if let Some(peer) = peer.filter(|_| response.is_ok()) {
                    // A query also carries the announcement of its sender.
                    if let Some(announcement) = self.announcement_of(u, peer, Some(host))? {
                        let now = self.now;
                        self.hosts[peer].plan.on_announcement(&announcement, now);
                    }
                }
                self.schedule(host, delay_ms, HostEvent::QueryResponse(key, response));
            }
            FetchStep::Fetch {
                transfer,
                index,
                source,
            } => {
                let response = match source {
                    ChunkSource::Peer(key) => self.pull_chunk(u, host, key, index)?,
                    ChunkSource::Origin => self.read_origin(u, host, index)?,
                };
                // Some transfers get no response, so that the plan has to abandon them itself.
                if !(self.has_faults && u.ratio(1, 10)?) {
                    let delay_ms = match source {
                        ChunkSource::Origin if !self.has_faults => self.origin_read_ms,
                        _ => self.delay(u)?,
                    };
                    self.schedule(host, delay_ms, HostEvent::Chunk(transfer, index, response));
                }
            }
            FetchStep::Cancel(transfer, _) => self.scheduled_events.retain(|scheduled| {
                let is_cancelled = matches!(
                    &scheduled.event,
                    HostEvent::Chunk(id, ..) if *id == transfer
                );
                scheduled.host != host || !is_cancelled
            }),
        }
        Ok(())
    }

    fn schedule(&mut self, host: usize, delay_ms: u64, event: HostEvent) {
        let at = self.now + Duration::from_millis(delay_ms);
        self.scheduled_events
            .push(ScheduledEvent { at, host, event });
    }

    fn delay(&self, u: &mut Unstructured<'_>) -> Result<u64> {
        if self.has_faults {
            u.int_in_range(1..=400)
        } else {
            Ok(FAULTLESS_DELAY_MS)
        }
    }

    fn find_peer(&self, host: usize, key: PeerKey) -> Option<usize> {
        let name = &self.hosts[host].plan.peers().get(key).host.location.host;
        let found = self
            .hosts
            .iter()
            .position(|other| other.location.host == *name)?;
        self.can_reach(host, found).then_some(found)
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let is_separated = |(data_centre_index, _): (usize, bool)| {
            (self.hosts[from].data_centre_index == data_centre_index)
                != (self.hosts[to].data_centre_index == data_centre_index)
        };
        self.hosts[to].is_alive && !self.isolated_centre.is_some_and(is_separated)
    }

    /// Returns the announcement of the host `peer` to the host `to`, or `None` if it cannot be
    /// reached. While faults are injected, it may list chunks that the host does not hold, or a
    /// wrong count.
    fn announcement_of(
        &self,
        u: &mut Unstructured<'_>,
        to: usize,
        peer: Option<usize>,
    ) -> Result<Option<ChunkAnnouncement>> {
        let Some(peer) = peer.filter(|peer| self.can_reach(to, *peer)) else {
            return Ok(None);
        };
        let host = &self.hosts[peer];
        let mut held = host.plan.held().clone();
        if self.has_faults && u.ratio(1, 20)? {
            held.insert(u.int_in_range(0..=self.version.chunk_count() - 1)?);
        }
        if self.has_faults && u.ratio(1, 40)? {
            held = ChunkMap::full(self.version.chunk_count() + 1);
        }
        Ok(Some(ChunkAnnouncement {
            host: host.location.host.clone(),
            held,
            claimed: host.plan.claimed(),
            backlog_ms: 0,
        }))
    }

    fn pull_chunk(
        &self,
        u: &mut Unstructured<'_>,
        host: usize,
        key: PeerKey,
        index: u32,
    ) -> Result<std::result::Result<Bytes, ErrorKind>> {
        let Some(peer) = self.find_peer(host, key) else {
            return Ok(Err(ErrorKind::ConnectFailed));
        };
        if self.has_faults && u.ratio(1, 8)? {
            return Ok(Err(ErrorKind::UploadBusy));
        }
        match self.hosts[peer].staged.chunk(index) {
            Some(bytes) => self.corrupt(u, bytes).map(Ok),
            None => Ok(Err(ErrorKind::ChunkMissing)),
        }
    }

    fn read_origin(
        &mut self,
        u: &mut Unstructured<'_>,
        host: usize,
        index: u32,
    ) -> Result<std::result::Result<Bytes, ErrorKind>> {
        let data_centre_index = self.hosts[host].data_centre_index;
        let is_origin_cut_off =
            self.isolated_centre
                .is_some_and(|(isolated_centre, has_origin)| {
                    (isolated_centre == data_centre_index) != has_origin
                });
        if !self.is_origin_available || is_origin_cut_off {
            return Ok(Err(ErrorKind::OriginUnavailable));
        }
        if self.has_faults && u.ratio(1, 4)? {
            return Ok(Err(ErrorKind::OriginLimited));
        }
        self.origin_reads += 1;
        let position = usize::try_from(index).unwrap_or(usize::MAX);
        self.corrupt(u, self.data[position].clone()).map(Ok)
    }

    /// Returns `bytes` as they arrive: unchanged or, while faults are injected, sometimes
    /// corrupted.
    fn corrupt(&self, u: &mut Unstructured<'_>, bytes: Bytes) -> Result<Bytes> {
        if !self.has_faults || !u.ratio(1, 8)? {
            return Ok(bytes);
        }
        let mut corrupted = bytes.to_vec();
        match u.int_in_range(0..=3)? {
            0 => corrupted[0] ^= 1,
            1 => corrupted.truncate(corrupted.len() - 1),
            2 => corrupted.push(0),
            // A chunk of another version, of the expected length.
            _ => corrupted.fill(255),
        }
        Ok(corrupted.into())
    }

    /// Passes the events that are due to their hosts, in random order while faults are injected.
    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.scheduled_events)
            .into_iter()
            .partition(|scheduled| scheduled.at <= now);
        self.scheduled_events = rest;
        let mut due: Vec<ScheduledEvent> = due;
        while !due.is_empty() {
            let position = if self.has_faults {
                u.choose_index(due.len())?
            } else {
                0
            };
            let scheduled = due.remove(position);
            self.hosts[scheduled.host].handle(scheduled.event, now);
        }
        Ok(())
    }
}

impl FakeHost {
    fn handle(&mut self, event: HostEvent, now: ClockTime) {
        match event {
            HostEvent::QueryResponse(key, response) => {
                if let Ok(announcement) = &response {
                    self.plan.on_announcement(announcement, now);
                }
                self.plan.on_queried(key, response.err(), now);
            }
            HostEvent::Chunk(transfer, index, response) => {
                let stored = response.and_then(|bytes| {
                    let stored = self.staged.store_chunk(index, bytes);
                    stored.map_err(|error| error.kind)
                });
                match stored {
                    Ok(()) => {
                        self.plan.on_delivered(transfer, now);
                    }
                    Err(kind) => self.plan.on_failed(transfer, kind, None, now),
                }
            }
        }
    }
}

fn location_of(index: usize) -> HostLocation {
    let centres = ["cusco-hall-a", "arequipa-hall-a", "lima-hall-a"];
    let regions = ["sierra", "sierra", "costa"];
    HostLocation {
        host: format!("host-{index}").into(),
        data_centre: centres[index % 3].into(),
        region: regions[index % 3].into(),
    }
}
