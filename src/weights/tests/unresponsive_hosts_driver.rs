//! Random test of one host's plan among hosts that become unresponsive and return at random times.

use std::time::Duration;

use arbitrary::{Result, Unstructured};

use crate::documents::SpreadObjective;
use crate::errors::ErrorKind;
use crate::test_support::run_cases;
use crate::time::ClockTime;
use crate::weights::{
    ChunkAnnouncement, ChunkMap, ChunkSource, FetchLimits, FetchPlan, FetchStep, HostLocation,
    PeerHost, PeerKey, TransferId, WeightsDigest,
};

const HOSTS_MAX: usize = 9;
const CHUNKS: u32 = 24;
const TICK: Duration = Duration::from_millis(20);
const RUN_SPAN: Duration = Duration::from_secs(20);
const RESPONSE_DELAY: Duration = Duration::from_millis(20);
/// Time after which a query to an unresponsive host fails.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time without a request for a chunk that the same live host, or the origin, can serve
/// throughout.
const REQUEST_GAP_MAX: Duration = Duration::from_secs(4);

/// Another host. While it is not live it answers nothing, and transfers from it never finish.
struct SimulatedHost {
    host: PeerHost,
    is_live: bool,
    /// Changes whenever the host fails or returns.
    incarnation: u32,
    held: ChunkMap,
    /// Since when it has held each chunk.
    held_since: Vec<ClockTime>,
}

enum NetworkEvent {
    Queried(PeerKey),
    Chunk(TransferId),
}

/// An event from `source` (the origin if `None`), which is lost if the source fails before `at`.
struct Arrival {
    at: ClockTime,
    source: Option<(usize, u32)>,
    event: NetworkEvent,
}

struct Simulation {
    now: ClockTime,
    plan: FetchPlan,
    started_at: ClockTime,
    limits: FetchLimits,
    chunk_span: Duration,
    has_origin: bool,
    others: Vec<SimulatedHost>,
    arrivals: Vec<Arrival>,
    /// When each chunk was last requested from a live source.
    requested_at: Vec<ClockTime>,
}

fn plan_host(index: usize) -> PeerHost {
    let data_centre = if index.is_multiple_of(2) {
        "here"
    } else {
        "there"
    };
    PeerHost {
        location: HostLocation {
            host: format!("host-{index}").into(),
            data_centre: data_centre.into(),
            region: "all".into(),
        },
        address: ([127, 0, 0, 1], u16::try_from(index).unwrap_or(0)).into(),
    }
}

fn new_plan(limits: FetchLimits, span: Duration, seed: u64, now: ClockTime) -> FetchPlan {
    FetchPlan::new(
        plan_host(0).location,
        (WeightsDigest::of(b"v2"), SpreadObjective::OriginBytes),
        ChunkMap::empty(CHUNKS),
        limits,
        (span, seed),
        now,
    )
}

impl Simulation {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let now = ClockTime::from_millis(100_000);
        let limits = FetchLimits {
            pulls_max: u.int_in_range(1..=6)?,
            takeover_delay: Duration::from_millis(300),
            origin_reads_max: 1,
            origin_read_timeout: Duration::from_millis(2500),
            ..FetchLimits::default()
        };
        let chunk_span = Duration::from_millis(u.int_in_range(5..=60)?);
        let others = (1..=u.int_in_range(1..=HOSTS_MAX)?).map(|index| SimulatedHost {
            host: plan_host(index),
            is_live: true,
            incarnation: 0,
            held: ChunkMap::empty(CHUNKS),
            held_since: vec![now; 24],
        });
        let mut simulation = Self {
            now,
            plan: new_plan(limits, chunk_span, u.arbitrary()?, now),
            started_at: now,
            limits,
            chunk_span,
            has_origin: u.arbitrary()?,
            others: others.collect(),
            arrivals: Vec::new(),
            requested_at: vec![now; 24],
        };
        simulation.list_hosts();
        Ok(simulation)
    }

    /// Lists all hosts, including unresponsive ones.
    fn list_hosts(&mut self) {
        let hosts: Vec<PeerHost> = self.others.iter().map(|other| other.host.clone()).collect();
        self.plan.set_hosts(&hosts);
    }

    fn disturb(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let now = self.now;
        for other in self.others.iter_mut().filter(|other| other.is_live) {
            let index = u.int_in_range(0..=CHUNKS - 1)?;
            if u.ratio(1, 2)? && !other.held.contains(index) {
                other.held.insert(index);
                other.held_since[to_usize(index)] = now;
            }
        }
        if u.ratio(1, 100)? {
            // Several hosts at once, as when a rack loses power.
            for other in &mut self.others {
                if u.ratio(1, 3)? {
                    other.is_live = !other.is_live;
                    other.incarnation += 1;
                    other.held = ChunkMap::empty(CHUNKS);
                }
            }
        }
        Ok(())
    }

    fn find(&self, key: PeerKey) -> usize {
        let name = &self.plan.peers().get(key).host.location.host;
        let found = self
            .others
            .iter()
            .position(|other| other.host.location.host == *name);
        found.expect("the host is listed")
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, pending) = std::mem::take(&mut self.arrivals)
            .into_iter()
            .partition(|arrival| arrival.at <= now);
        self.arrivals = pending;
        let due: Vec<Arrival> = due;
        for arrival in due {
            let is_alive = arrival.source.is_none_or(|(index, incarnation)| {
                self.others[index].is_live && self.others[index].incarnation == incarnation
            });
            match (arrival.event, arrival.source) {
                (NetworkEvent::Queried(key), Some((index, _))) if is_alive => {
                    self.plan.on_announcement(&self.announcement_of(index), now);
                    self.plan.on_queried(key, None, now);
                }
                (NetworkEvent::Queried(key), Some(_)) => {
                    self.plan.on_queried(key, Some(ErrorKind::PeerSilent), now);
                }
                (NetworkEvent::Chunk(transfer), None) if !self.has_origin => {
                    let kind = ErrorKind::OriginUnavailable;
                    self.plan.on_failed(transfer, kind, None, now);
                }
                (NetworkEvent::Chunk(transfer), _) if is_alive => {
                    self.plan.on_delivered(transfer, now);
                }
                _ => {}
            }
        }
    }

    fn announcement_of(&self, index: usize) -> ChunkAnnouncement {
        ChunkAnnouncement {
            host: self.others[index].host.location.host.clone(),
            held: self.others[index].held.clone(),
            claimed: ChunkMap::empty(CHUNKS),
            backlog_ms: 0,
        }
    }

    fn carry_out(&mut self, step: FetchStep) {
        match step {
            FetchStep::Query(key) => {
                let index = self.find(key);
                let other = &self.others[index];
                let span = if other.is_live {
                    RESPONSE_DELAY
                } else {
                    QUERY_TIMEOUT
                };
                self.schedule(span, Some(index), NetworkEvent::Queried(key));
            }
            FetchStep::Fetch {
                transfer,
                index,
                source,
            } => {
                let source = match source {
                    ChunkSource::Peer(key) => Some(self.find(key)),
                    ChunkSource::Origin => None,
                };
                let is_alive = source.map_or(self.has_origin, |at| self.others[at].is_live);
                if is_alive {
                    self.requested_at[to_usize(index)] = self.now;
                }
                self.schedule(self.chunk_span, source, NetworkEvent::Chunk(transfer));
            }
            FetchStep::Cancel(transfer, _) => self.arrivals.retain(
                |arrival| !matches!(arrival.event, NetworkEvent::Chunk(id) if id == transfer),
            ),
        }
    }

    fn schedule(&mut self, span: Duration, source: Option<usize>, event: NetworkEvent) {
        let source = source.map(|index| (index, self.others[index].incarnation));
        let at = self.now + span;
        self.arrivals.push(Arrival { at, source, event });
    }

    /// Checks that each chunk that the same live host, or the origin, could serve throughout was
    /// requested.
    fn check(&self) {
        for index in (0..CHUNKS).filter(|index| !self.plan.held().contains(*index)) {
            let live = self.others.iter().filter(|other| other.is_live);
            let holders = live.filter(|other| other.held.contains(index));
            let since = holders.map(|other| other.held_since[to_usize(index)]);
            let Some(since) = since
                .chain(self.has_origin.then_some(self.started_at))
                .min()
            else {
                continue;
            };
            let waited = self.now.since(
                since
                    .max(self.started_at)
                    .max(self.requested_at[to_usize(index)]),
            );
            assert!(
                waited <= REQUEST_GAP_MAX,
                "chunk {index} was not requested from a live source for {waited:?}"
            );
        }
    }
}

fn to_usize(index: u32) -> usize {
    usize::try_from(index).unwrap_or(usize::MAX)
}

fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut simulation = Simulation::new(u)?;
    let ends = simulation.now + RUN_SPAN;
    while simulation.now < ends && !u.is_empty() {
        simulation.disturb(u)?;
        simulation.deliver();
        let now = simulation.now;
        for step in simulation.plan.next_steps(now) {
            simulation.carry_out(step);
        }
        simulation.check();
        if simulation.plan.held().is_full() {
            // A new process on this host starts without chunks.
            simulation.plan = new_plan(
                simulation.limits,
                simulation.chunk_span,
                u.arbitrary()?,
                now,
            );
            simulation.started_at = now;
            simulation.arrivals.clear();
            simulation.list_hosts();
        }
        simulation.now = now + TICK;
    }
    Ok(())
}

/// Guards against a running host that waits for weights which a peer or the origin could serve.
/// Hosts become unresponsive during pulls, stay listed and return without chunks. Nothing that
/// belongs to an unresponsive host may hold up the plan: pull slots, takeover delays, chunks that
/// it announced, or back-offs that outlast its failure.
#[test]
fn servable_chunks_are_requested_soon() {
    run_cases(120, 64 * 1024, run_case);
}
