//! Random bursts of weights: several hosts' fetch plans over a network that loses, delays, corrupts,
//! shortens and crosses what it carries, with hosts that die, data centres that are cut off, views
//! that differ and an origin that goes away.

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
/// How long the network does its worst.
const WILD_MILLIS: u64 = 8_000;
/// How long every live host then has to come to the whole.
const CALM_MILLIS: u64 = 240_000;
const ASK_MILLIS: u64 = 1_000;
const CALM_DELAY: u64 = 20;

/// What one case is about.
struct Burst {
    now: ClockTime,
    version: VersionManifest,
    data: Vec<Bytes>,
    hosts: Vec<FakeHost>,
    arrivals: Vec<Arrival>,
    origin_is_up: bool,
    /// The data centre that is cut off from the others, and whether the origin is on its side.
    cut: Option<(usize, bool)>,
    is_wild: bool,
    /// Reads from the origin that delivered.
    origin_reads: usize,
    /// How long a read from the origin takes on a calm network.
    origin_millis: u64,
}

struct FakeHost {
    location: HostLocation,
    plan: FetchPlan,
    staged: StagedVersion,
    is_alive: bool,
    centre: usize,
}

struct Arrival {
    at: ClockTime,
    host: usize,
    news: News,
}

enum News {
    Asked(PeerKey, std::result::Result<ChunkAnnouncement, ErrorKind>),
    Chunk(TransferId, u32, std::result::Result<Bytes, ErrorKind>),
}

/// Runs one case.
pub(crate) fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut burst = Burst::new(u)?;
    while burst.now < ClockTime::from_millis(WILD_MILLIS) {
        burst.disturb(u)?;
        burst.step(u)?;
    }
    burst.calm_down(u)?;
    let ends = burst.now + Duration::from_millis(CALM_MILLIS);
    while !burst.is_done() {
        assert!(
            burst.now < ends,
            "a live host did not come to the whole while a source was left"
        );
        burst.step(u)?;
    }
    for host in burst.hosts.iter().filter(|host| host.is_alive) {
        host.staged
            .verify()
            .expect("all chunks matched the manifest");
        let all_bytes = host.staged.all_bytes().expect("it is sealed");
        assert_eq!(all_bytes, burst.data, "a host ended with other bytes");
    }
    Ok(())
}

/// Runs a burst without faults, in which a read from the origin takes `origin_millis`, and returns
/// how many chunks there were and how many reads from the origin it took.
#[cfg(test)]
pub(crate) fn run_without_faults(
    hosts: usize,
    objective: SpreadObjective,
    origin_millis: u64,
) -> (usize, usize) {
    let mut u = Unstructured::new(&[]);
    let mut burst = Burst::of(hosts, CHUNKS_MAX, objective, 1);
    burst.is_wild = false;
    burst.origin_millis = origin_millis;
    while !burst.is_done() {
        assert!(
            burst.now < ClockTime::from_millis(CALM_MILLIS),
            "it does not end"
        );
        burst.step(&mut u).expect("nothing is drawn");
    }
    (burst.data.len(), burst.origin_reads)
}

impl Burst {
    fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let hosts = u.int_in_range(1..=HOSTS_MAX)?;
        let chunks = u.int_in_range(1..=CHUNKS_MAX)?;
        let objective = if u.arbitrary()? {
            SpreadObjective::Time
        } else {
            SpreadObjective::OriginBytes
        };
        Ok(Self::of(hosts, chunks, objective, u.arbitrary()?))
    }

    fn of(hosts: usize, chunks: usize, objective: SpreadObjective, seed: u64) -> Self {
        let data: Vec<Bytes> = (0..chunks)
            .map(|chunk| {
                // The last chunk is shorter, as it may be.
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
            let location = line_of(index);
            let spans = (Duration::from_millis(20), seed ^ index as u64);
            let held = ChunkMap::empty(version.chunk_count());
            let wanted = (version.digest, objective);
            FakeHost {
                plan: FetchPlan::new(
                    location.clone(),
                    wanted,
                    held,
                    FetchLimits::default(),
                    spans,
                    now,
                ),
                location,
                staged: StagedVersion::new(version.clone()),
                is_alive: true,
                centre: index % 3,
            }
        });
        let mut burst = Self {
            now,
            hosts: hosts.collect(),
            data,
            version,
            arrivals: Vec::new(),
            origin_is_up: true,
            cut: None,
            is_wild: true,
            origin_reads: 0,
            origin_millis: CALM_DELAY,
        };
        burst.show_all_hosts();
        burst
    }

    fn is_done(&self) -> bool {
        let mut live = self.hosts.iter().filter(|host| host.is_alive);
        live.all(|host| host.plan.held().is_full())
    }

    fn show_all_hosts(&mut self) {
        let live: Vec<PeerHost> = (0..self.hosts.len())
            .filter(|index| self.hosts[*index].is_alive)
            .map(|index| self.plan_host(index))
            .collect();
        for host in &mut self.hosts {
            host.plan.set_hosts(&live);
        }
    }

    fn plan_host(&self, index: usize) -> PeerHost {
        PeerHost {
            location: self.hosts[index].location.clone(),
            address: ([127, 0, 0, 1], u16::try_from(index + 1).unwrap_or(0)).into(),
        }
    }

    /// Something goes wrong, or right again.
    fn disturb(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if !u.ratio(1, 12)? {
            return Ok(());
        }
        let index = u.choose_index(self.hosts.len())?;
        match u.int_in_range(0..=4)? {
            0 => self.origin_is_up = !self.origin_is_up,
            1 => {
                self.cut = match self.cut {
                    Some(_) => None,
                    None => Some((u.int_in_range(0..=2)?, u.arbitrary()?)),
                }
            }
            2 => self.kill(index),
            3 => self.restart(index),
            _ => self.show_some_hosts(u, index)?,
        }
        Ok(())
    }

    fn kill(&mut self, index: usize) {
        let alive = self.hosts.iter().filter(|host| host.is_alive).count();
        if alive > 1 {
            self.hosts[index].is_alive = false;
            self.arrivals.retain(|arrival| arrival.host != index);
        }
    }

    /// A new process on the host keeps nothing.
    fn restart(&mut self, index: usize) {
        self.arrivals.retain(|arrival| arrival.host != index);
        let count = self.version.chunk_count();
        let host = &mut self.hosts[index];
        host.is_alive = true;
        host.staged = StagedVersion::new(self.version.clone());
        let wanted = (self.version.digest, SpreadObjective::OriginBytes);
        host.plan = FetchPlan::new(
            host.location.clone(),
            wanted,
            ChunkMap::empty(count),
            FetchLimits::default(),
            (Duration::from_millis(20), self.now.0),
            self.now,
        );
        self.show_all_hosts();
    }

    /// One host's view loses some hosts and keeps some that are gone.
    fn show_some_hosts(&mut self, u: &mut Unstructured<'_>, index: usize) -> Result<()> {
        let mut view = Vec::new();
        for other in 0..self.hosts.len() {
            if u.ratio(2, 3)? {
                view.push(self.plan_host(other));
            }
        }
        self.hosts[index].plan.set_hosts(&view);
        Ok(())
    }

    /// From now on the network is honest, the cut is over and the views agree. The origin stays
    /// away for good if the live hosts have all chunks between them.
    fn calm_down(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.is_wild = false;
        self.cut = None;
        let held = |index: u32| {
            let mut live = self.hosts.iter().filter(|host| host.is_alive);
            live.any(|host| host.plan.held().contains(index))
        };
        let all_held = (0..self.version.chunk_count()).all(held);
        self.origin_is_up = !(all_held && u.arbitrary()?);
        self.show_all_hosts();
        Ok(())
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.deliver(u)?;
        for index in 0..self.hosts.len() {
            if !self.hosts[index].is_alive {
                continue;
            }
            let steps = self.hosts[index].plan.next_steps(self.now);
            for step in steps {
                self.carry_out(u, index, step)?;
            }
        }
        let next = self.arrivals.iter().map(|arrival| arrival.at).min();
        let tick = self.now + TICK;
        self.now = next.map_or(tick, |next| {
            next.clamp(self.now + Duration::from_millis(1), tick)
        });
        Ok(())
    }

    fn carry_out(&mut self, u: &mut Unstructured<'_>, host: usize, step: FetchStep) -> Result<()> {
        match step {
            FetchStep::Query(key) => {
                let asked = self.find_peer(host, key);
                let word = self.word_of(u, host, asked)?;
                let lost = self.is_wild && u.ratio(1, 6)?;
                let (answer, millis) = match word {
                    Some(word) if !lost => (Ok(word), self.delay(u)?),
                    _ => (Err(ErrorKind::PeerSilent), ASK_MILLIS),
                };
                if let Some(asked) = asked.filter(|_| answer.is_ok()) {
                    // The question itself says what its sender holds.
                    if let Some(word) = self.word_of(u, asked, Some(host))? {
                        let now = self.now;
                        self.hosts[asked].plan.on_announcement(&word, now);
                    }
                }
                self.post(host, millis, News::Asked(key, answer));
            }
            FetchStep::Fetch {
                transfer,
                index,
                source,
            } => {
                let answer = match source {
                    ChunkSource::Peer(key) => self.pull(u, host, key, index)?,
                    ChunkSource::Origin => self.read_origin(u, host, index)?,
                };
                // Some are never answered: the plan has to give them up itself.
                if !(self.is_wild && u.ratio(1, 10)?) {
                    let millis = match source {
                        ChunkSource::Origin if !self.is_wild => self.origin_millis,
                        _ => self.delay(u)?,
                    };
                    self.post(host, millis, News::Chunk(transfer, index, answer));
                }
            }
            FetchStep::Cancel(transfer, _) => self.arrivals.retain(|arrival| {
                let is_it = matches!(&arrival.news, News::Chunk(known, ..) if *known == transfer);
                arrival.host != host || !is_it
            }),
        }
        Ok(())
    }

    fn post(&mut self, host: usize, millis: u64, news: News) {
        let at = self.now + Duration::from_millis(millis);
        self.arrivals.push(Arrival { at, host, news });
    }

    fn delay(&self, u: &mut Unstructured<'_>) -> Result<u64> {
        if self.is_wild {
            u.int_in_range(1..=400)
        } else {
            Ok(CALM_DELAY)
        }
    }

    fn find_peer(&self, host: usize, key: PeerKey) -> Option<usize> {
        let name = &self.hosts[host].plan.peers().get(key).host.location.host;
        let found = self
            .hosts
            .iter()
            .position(|other| other.location.host == *name)?;
        self.reaches(host, found).then_some(found)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_split = |(centre, _): (usize, bool)| {
            (self.hosts[from].centre == centre) != (self.hosts[to].centre == centre)
        };
        self.hosts[to].is_alive && !self.cut.is_some_and(is_split)
    }

    /// What `asked` says of itself to host `to`; wild hosts may claim what they do not hold.
    fn word_of(
        &self,
        u: &mut Unstructured<'_>,
        to: usize,
        asked: Option<usize>,
    ) -> Result<Option<ChunkAnnouncement>> {
        let Some(asked) = asked.filter(|asked| self.reaches(to, *asked)) else {
            return Ok(None);
        };
        let host = &self.hosts[asked];
        let mut held = host.plan.held().clone();
        if self.is_wild && u.ratio(1, 20)? {
            held.insert(u.int_in_range(0..=self.version.chunk_count() - 1)?);
        }
        if self.is_wild && u.ratio(1, 40)? {
            held = ChunkMap::full(self.version.chunk_count() + 1);
        }
        Ok(Some(ChunkAnnouncement {
            host: host.location.host.clone(),
            held,
            claimed: host.plan.claimed(),
            backlog_ms: 0,
        }))
    }

    fn pull(
        &self,
        u: &mut Unstructured<'_>,
        host: usize,
        key: PeerKey,
        index: u32,
    ) -> Result<std::result::Result<Bytes, ErrorKind>> {
        let Some(peer) = self.find_peer(host, key) else {
            return Ok(Err(ErrorKind::ConnectFailed));
        };
        if self.is_wild && u.ratio(1, 8)? {
            return Ok(Err(ErrorKind::UploadBusy));
        }
        match self.hosts[peer].staged.chunk(index) {
            Some(bytes) => self.spoil(u, bytes).map(Ok),
            None => Ok(Err(ErrorKind::ChunkMissing)),
        }
    }

    fn read_origin(
        &mut self,
        u: &mut Unstructured<'_>,
        host: usize,
        index: u32,
    ) -> Result<std::result::Result<Bytes, ErrorKind>> {
        let centre = self.hosts[host].centre;
        let is_cut = self
            .cut
            .is_some_and(|(cut, has_origin)| (cut == centre) != has_origin);
        if !self.origin_is_up || is_cut {
            return Ok(Err(ErrorKind::OriginUnavailable));
        }
        if self.is_wild && u.ratio(1, 4)? {
            return Ok(Err(ErrorKind::OriginLimited));
        }
        self.origin_reads += 1;
        let at = usize::try_from(index).unwrap_or(usize::MAX);
        self.spoil(u, self.data[at].clone()).map(Ok)
    }

    /// What arrives of `bytes`.
    fn spoil(&self, u: &mut Unstructured<'_>, bytes: Bytes) -> Result<Bytes> {
        if !self.is_wild || !u.ratio(1, 8)? {
            return Ok(bytes);
        }
        let mut spoilt = bytes.to_vec();
        match u.int_in_range(0..=3)? {
            0 => spoilt[0] ^= 1,
            1 => spoilt.truncate(spoilt.len() - 1),
            2 => spoilt.push(0),
            // Another version's chunk, of the right length.
            _ => spoilt.fill(255),
        }
        Ok(spoilt.into())
    }

    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.arrivals)
            .into_iter()
            .partition(|arrival| arrival.at <= now);
        self.arrivals = rest;
        let mut due: Vec<Arrival> = due;
        while !due.is_empty() {
            let at = if self.is_wild {
                u.choose_index(due.len())?
            } else {
                0
            };
            let arrival = due.remove(at);
            self.hosts[arrival.host].take(arrival.news, now);
        }
        Ok(())
    }
}

impl FakeHost {
    fn take(&mut self, news: News, now: ClockTime) {
        match news {
            News::Asked(key, answer) => {
                if let Ok(word) = &answer {
                    self.plan.on_announcement(word, now);
                }
                self.plan.on_queried(key, answer.err(), now);
            }
            News::Chunk(transfer, index, answer) => {
                let kept = answer.and_then(|bytes| {
                    let kept = self.staged.store_chunk(index, bytes);
                    kept.map_err(|error| error.kind)
                });
                match kept {
                    Ok(()) => {
                        self.plan.on_delivered(transfer, now);
                    }
                    Err(kind) => self.plan.on_failed(transfer, kind, None, now),
                }
            }
        }
    }
}

fn line_of(index: usize) -> HostLocation {
    let centres = ["cusco-hall-a", "arequipa-hall-a", "lima-hall-a"];
    let regions = ["sierra", "sierra", "costa"];
    HostLocation {
        host: format!("host-{index}").into(),
        data_centre: centres[index % 3].into(),
        region: regions[index % 3].into(),
    }
}
