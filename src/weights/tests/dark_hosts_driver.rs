//! One host's plan among hosts that go dark and come back at random moments.

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
const ANSWER_SPAN: Duration = Duration::from_millis(20);
/// How long a question to a dark host is open.
const ASK_WITHIN: Duration = Duration::from_millis(500);
/// How long a chunk may go unasked for while the same live host, or the origin, could serve it.
const ASKED_WITHIN: Duration = Duration::from_secs(4);

/// Another host. A dark one answers nothing, and what was under way from it never comes.
struct Other {
    host: PeerHost,
    is_live: bool,
    /// Counts its times of being up.
    life: u32,
    held: ChunkMap,
    /// Since when it has held each chunk.
    held_since: Vec<ClockTime>,
}

enum News {
    Asked(PeerKey),
    Chunk(TransferId),
}

/// What comes from `source` (the origin if none), if it lives on until then.
struct Arrival {
    at: ClockTime,
    source: Option<(usize, u32)>,
    news: News,
}

struct World {
    now: ClockTime,
    plan: FetchPlan,
    begun: ClockTime,
    limits: FetchLimits,
    chunk_span: Duration,
    has_origin: bool,
    others: Vec<Other>,
    arrivals: Vec<Arrival>,
    /// When each chunk was last asked of a source that is there.
    asked_at: Vec<ClockTime>,
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

impl World {
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
        let others = (1..=u.int_in_range(1..=HOSTS_MAX)?).map(|index| Other {
            host: plan_host(index),
            is_live: true,
            life: 0,
            held: ChunkMap::empty(CHUNKS),
            held_since: vec![now; 24],
        });
        let mut world = Self {
            now,
            plan: new_plan(limits, chunk_span, u.arbitrary()?, now),
            begun: now,
            limits,
            chunk_span,
            has_origin: u.arbitrary()?,
            others: others.collect(),
            arrivals: Vec::new(),
            asked_at: vec![now; 24],
        };
        world.show_hosts();
        Ok(world)
    }

    /// Dark hosts stay listed.
    fn show_hosts(&mut self) {
        let hosts: Vec<PeerHost> = self.others.iter().map(|other| other.host.clone()).collect();
        self.plan.set_hosts(&hosts);
    }

    fn disturb(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let now = self.now;
        for other in self.others.iter_mut().filter(|other| other.is_live) {
            let index = u.int_in_range(0..=CHUNKS - 1)?;
            if u.ratio(1, 2)? && !other.held.contains(index) {
                other.held.insert(index);
                other.held_since[at(index)] = now;
            }
        }
        if u.ratio(1, 100)? {
            // Several at once, as when a rack loses power.
            for other in &mut self.others {
                if u.ratio(1, 3)? {
                    other.is_live = !other.is_live;
                    other.life += 1;
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
        found.expect("it is listed")
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.arrivals)
            .into_iter()
            .partition(|arrival| arrival.at <= now);
        self.arrivals = rest;
        let due: Vec<Arrival> = due;
        for arrival in due {
            let is_there = arrival.source.is_none_or(|(index, life)| {
                self.others[index].is_live && self.others[index].life == life
            });
            match (arrival.news, arrival.source) {
                (News::Asked(key), Some((index, _))) if is_there => {
                    self.plan.on_announcement(&self.word_of(index), now);
                    self.plan.on_queried(key, None, now);
                }
                (News::Asked(key), Some(_)) => {
                    self.plan.on_queried(key, Some(ErrorKind::PeerSilent), now);
                }
                (News::Chunk(transfer), None) if !self.has_origin => {
                    let kind = ErrorKind::OriginUnavailable;
                    self.plan.on_failed(transfer, kind, None, now);
                }
                (News::Chunk(transfer), _) if is_there => {
                    self.plan.on_delivered(transfer, now);
                }
                _ => {}
            }
        }
    }

    fn word_of(&self, index: usize) -> ChunkAnnouncement {
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
                    ANSWER_SPAN
                } else {
                    ASK_WITHIN
                };
                self.post(span, Some(index), News::Asked(key));
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
                let is_there = source.map_or(self.has_origin, |at| self.others[at].is_live);
                if is_there {
                    self.asked_at[at(index)] = self.now;
                }
                self.post(self.chunk_span, source, News::Chunk(transfer));
            }
            FetchStep::Cancel(transfer, _) => self
                .arrivals
                .retain(|arrival| !matches!(arrival.news, News::Chunk(known) if known == transfer)),
        }
    }

    fn post(&mut self, span: Duration, source: Option<usize>, news: News) {
        let source = source.map(|index| (index, self.others[index].life));
        let at = self.now + span;
        self.arrivals.push(Arrival { at, source, news });
    }

    /// Each chunk that the same live host, or the origin, could have served all the while was asked for.
    fn check(&self) {
        for index in (0..CHUNKS).filter(|index| !self.plan.held().contains(*index)) {
            let live = self.others.iter().filter(|other| other.is_live);
            let holders = live.filter(|other| other.held.contains(index));
            let since = holders.map(|other| other.held_since[at(index)]);
            let Some(since) = since.chain(self.has_origin.then_some(self.begun)).min() else {
                continue;
            };
            let waited = self
                .now
                .since(since.max(self.begun).max(self.asked_at[at(index)]));
            assert!(
                waited <= ASKED_WITHIN,
                "chunk {index} was not asked of a source that is there for {waited:?}"
            );
        }
    }
}

fn at(index: u32) -> usize {
    usize::try_from(index).unwrap_or(usize::MAX)
}

fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut world = World::new(u)?;
    let ends = world.now + RUN_SPAN;
    while world.now < ends && !u.is_empty() {
        world.disturb(u)?;
        world.deliver();
        let now = world.now;
        for step in world.plan.next_steps(now) {
            world.carry_out(step);
        }
        world.check();
        if world.plan.held().is_full() {
            // A new process on this host begins with nothing.
            world.plan = new_plan(world.limits, world.chunk_span, u.arbitrary()?, now);
            world.begun = now;
            world.arrivals.clear();
            world.show_hosts();
        }
        world.now = now + TICK;
    }
    Ok(())
}

/// Symptom: a host that is up waits for weights beside others, or an origin, that could give them.
/// Events: hosts go dark with pulls under way from them, stay listed, and come back with nothing.
/// Cause: anything that a dark host keeps: places, turns, copies that it held, rests that outlast it.
#[test]
fn whatever_somebody_could_serve_is_asked_for_soon() {
    run_cases(120, 64 * 1024, run_case);
}
