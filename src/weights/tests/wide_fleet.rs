//! A version that spreads over the hosts of several data centres, each with its own plan.

use std::time::Duration;

use crate::documents::SpreadObjective;
use crate::errors::ErrorKind;
use crate::time::ClockTime;
use crate::weights::{
    ChunkAnnouncement, ChunkMap, ChunkSource, FetchLimits, FetchPlan, FetchStep, HostLocation,
    PeerHost, PeerKey, TransferId, WeightsDigest,
};

const START: ClockTime = ClockTime::from_millis(100_000);
/// How often each plan is looked at and hears of what came.
const TICK: Duration = Duration::from_millis(40);
/// The same for hosts that act on what comes at once.
const SHORT_TICK: Duration = Duration::from_millis(20);
const CHUNKS: u32 = 96;
const SEED: u64 = 7;
/// A chunk on the origin's link of 4.38 Mbit/s, and on a host's of 7.3 Mbit/s.
const ORIGIN_SPAN: Duration = Duration::from_millis(45);
const HOST_SPAN: Duration = Duration::from_millis(27);
/// Connections that the origin takes; it resets those beyond.
const ORIGIN_CONNECTIONS: usize = 48;
const ANSWER_SPAN: Duration = Duration::from_millis(10);
/// How long a chunk waits for its sender's link before it is turned away.
const BACKLOG_MAX: Duration = Duration::from_millis(120);
/// When the last hosts hear of the version.
const HEARD_WITHIN: Duration = Duration::from_millis(500);
/// How much longer the last host may take than the origin's link needs for one copy.
const OVER_ORIGIN: f64 = 1.25;

enum News {
    Word(PeerKey, ChunkAnnouncement),
    Empty(PeerKey),
    Chunk(TransferId, Option<ChunkAnnouncement>),
    Busy(TransferId, Duration),
    Reset(TransferId),
}

struct FleetHost {
    host: PeerHost,
    plan: FetchPlan,
    begun: ClockTime,
    uplink_until: ClockTime,
    downlink_until: ClockTime,
    arrivals: Vec<(ClockTime, News)>,
    whole_at: Option<ClockTime>,
}

struct Fleet {
    tick: Duration,
    now: ClockTime,
    hosts: Vec<FleetHost>,
    /// Reads under way at the origin, which share its link: host, flight, and what is left to send.
    origin_reads: Vec<(usize, TransferId, Duration)>,
    origin_copies: u32,
    /// Chunks that crossed between two data centres.
    crossings: u32,
    questions: u32,
}

fn plan_host(centre: usize, number: usize) -> PeerHost {
    let [centre, number] = [centre, number].map(|jitter| u8::try_from(jitter).expect("small"));
    PeerHost {
        location: HostLocation {
            host: format!("10.{centre}.0.{number}").into(),
            data_centre: format!("hall-{centre}").into(),
            region: "all".into(),
        },
        address: ([10, centre, 0, number], 7300).into(),
    }
}

impl Fleet {
    fn new(centres: usize, hosts: usize, tick: Duration) -> Self {
        let all: Vec<PeerHost> = (0..centres)
            .flat_map(|centre| (0..hosts).map(move |number| plan_host(centre, number)))
            .collect();
        let limits = FetchLimits {
            pulls_max: 6,
            takeover_delay: Duration::from_millis(300),
            origin_reads_max: 1,
            origin_read_timeout: Duration::from_millis(2500),
            ..FetchLimits::default()
        };
        let started = (0_u32..).zip(&all).map(|(at, host)| {
            let begun = START + HEARD_WITHIN.mul_f64(f64::from(at % 7) / 7.0);
            let mut plan = FetchPlan::new(
                host.location.clone(),
                (WeightsDigest::of(b"m/2"), SpreadObjective::OriginBytes),
                ChunkMap::empty(CHUNKS),
                limits,
                (HOST_SPAN, SEED + u64::from(at)),
                begun,
            );
            plan.set_hosts(&all);
            FleetHost {
                host: host.clone(),
                plan,
                begun,
                uplink_until: START,
                downlink_until: START,
                arrivals: Vec::new(),
                whole_at: None,
            }
        });
        Self {
            tick,
            now: START,
            hosts: started.collect::<Vec<FleetHost>>(),
            origin_reads: Vec::new(),
            origin_copies: 0,
            crossings: 0,
            questions: 0,
        }
    }

    fn run(&mut self, span: Duration) {
        while self.now.since(START) < span && self.hosts.iter().any(|host| host.whole_at.is_none())
        {
            self.now = self.now + self.tick;
            self.send_from_origin();
            for at in 0..self.hosts.len() {
                self.deliver(at);
                if self.hosts[at].begun > self.now {
                    continue;
                }
                let now = self.now;
                for step in self.hosts[at].plan.next_steps(now) {
                    self.carry_out(at, step);
                }
                let host = &mut self.hosts[at];
                if host.plan.held().is_full() {
                    host.whole_at.get_or_insert(now);
                }
            }
        }
    }

    fn deliver(&mut self, at: usize) {
        let now = self.now;
        let host = &mut self.hosts[at];
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut host.arrivals)
            .into_iter()
            .partition(|(due, _)| *due <= now);
        host.arrivals = rest;
        for (_, news) in due {
            match news {
                News::Word(key, word) => {
                    host.plan.on_announcement(&word, now);
                    host.plan.on_queried(key, None, now);
                }
                News::Empty(key) => host
                    .plan
                    .on_queried(key, Some(ErrorKind::ChunkMissing), now),
                News::Chunk(transfer, word) => {
                    if let Some(word) = &word {
                        host.plan.on_announcement(word, now);
                    }
                    host.plan.on_delivered(transfer, now);
                }
                News::Reset(transfer) => {
                    host.plan
                        .on_failed(transfer, ErrorKind::OriginUnavailable, None, now);
                }
                News::Busy(transfer, wait) => {
                    host.plan
                        .on_failed(transfer, ErrorKind::UploadBusy, Some(wait), now);
                }
            }
        }
    }

    /// What the origin sends in a tick, in even parts to all that read.
    fn send_from_origin(&mut self) {
        let mut left = self.tick;
        while !left.is_zero() && !self.origin_reads.is_empty() {
            let reads = u32::try_from(self.origin_reads.len()).expect("small");
            let least = self.origin_reads.iter().map(|(.., rest)| *rest).min();
            let sent = least.unwrap_or_default().min(left / reads);
            left = left.saturating_sub((sent * reads).max(Duration::from_micros(1)));
            let due = self.now + ANSWER_SPAN;
            for (host, transfer, rest) in &mut self.origin_reads {
                *rest = rest.saturating_sub(sent);
                if rest.is_zero() {
                    let news = News::Chunk(*transfer, None);
                    self.hosts[*host].arrivals.push((due, news));
                    self.origin_copies += 1;
                }
            }
            self.origin_reads.retain(|(.., rest)| !rest.is_zero());
        }
    }

    fn find(&self, at: usize, key: PeerKey) -> usize {
        let address = self.hosts[at].plan.peers().get(key).host.address;
        let found = self
            .hosts
            .iter()
            .position(|host| host.host.address == address);
        found.expect("it is listed")
    }

    fn word(&self, at: usize) -> ChunkAnnouncement {
        let host = &self.hosts[at];
        let backlog = host.uplink_until.since(self.now);
        ChunkAnnouncement {
            host: host.host.location.host.clone(),
            held: host.plan.held().clone(),
            claimed: host.plan.claimed(),
            backlog_ms: u64::try_from(backlog.as_millis()).expect("small"),
        }
    }

    fn carry_out(&mut self, at: usize, step: FetchStep) {
        let answered = self.now + ANSWER_SPAN;
        match step {
            FetchStep::Query(key) => {
                self.questions += 1;
                let other = self.find(at, key);
                let news = if self.hosts[other].begun <= self.now {
                    News::Word(key, self.word(other))
                } else {
                    News::Empty(key)
                };
                self.hosts[at].arrivals.push((answered, news));
            }
            FetchStep::Fetch {
                transfer,
                source: ChunkSource::Origin,
                ..
            } => {
                if self.origin_reads.len() >= ORIGIN_CONNECTIONS {
                    self.hosts[at]
                        .arrivals
                        .push((answered, News::Reset(transfer)));
                } else {
                    self.origin_reads.push((at, transfer, ORIGIN_SPAN));
                }
            }
            FetchStep::Fetch {
                transfer,
                source: ChunkSource::Peer(key),
                ..
            } => self.pull(at, transfer, key),
            FetchStep::Cancel(transfer, _) => {
                self.origin_reads
                    .retain(|(host, known, _)| (*host, *known) != (at, transfer));
                self.hosts[at].arrivals.retain(|(_, news)| {
                    !matches!(news, News::Chunk(known, _) | News::Busy(known, _) if *known == transfer)
                });
            }
        }
    }

    fn pull(&mut self, at: usize, transfer: TransferId, key: PeerKey) {
        let other = self.find(at, key);
        let backlog = self.hosts[other].uplink_until.since(self.now);
        if backlog > BACKLOG_MAX {
            let due = self.now + ANSWER_SPAN;
            self.hosts[at]
                .arrivals
                .push((due, News::Busy(transfer, backlog)));
            return;
        }
        let sent = self.hosts[other].uplink_until.max(self.now) + HOST_SPAN;
        self.hosts[other].uplink_until = sent;
        let word = self.word(other);
        if self.hosts[other].host.location.data_centre != self.hosts[at].host.location.data_centre {
            self.crossings += 1;
        }
        let host = &mut self.hosts[at];
        let taken = sent.max(host.downlink_until + HOST_SPAN);
        host.downlink_until = taken;
        let due = taken + ANSWER_SPAN;
        host.arrivals.push((due, News::Chunk(transfer, Some(word))));
    }

    fn slowest(&self) -> Option<Duration> {
        let spans = self
            .hosts
            .iter()
            .map(|host| host.whole_at.map(|at| at.since(START)));
        spans.collect::<Option<Vec<Duration>>>()?.into_iter().max()
    }
}

fn check_spread(centres: usize, hosts: usize, tick: Duration) {
    let mut fleet = Fleet::new(centres, hosts, tick);
    let within = HEARD_WITHIN + (ORIGIN_SPAN * CHUNKS).mul_f64(OVER_ORIGIN);
    fleet.run(within * 2);
    let all_bytes = fleet.hosts.iter().filter(|host| host.whole_at.is_some());
    let figures = format!(
        "{} of {} whole, the last after {:?}; {} origin reads, {} crossings, {} questions",
        all_bytes.count(),
        fleet.hosts.len(),
        fleet.slowest(),
        fleet.origin_copies,
        fleet.crossings,
        fleet.questions
    );
    println!("{figures}");
    assert!(
        fleet.slowest().is_some_and(|slowest| slowest <= within),
        "{figures}"
    );
    // A chunk crosses once into each other data centre, and the origin sends it once.
    assert!(fleet.origin_copies <= CHUNKS + CHUNKS / 8, "{figures}");
    let centres = u32::try_from(centres).expect("small");
    assert!(fleet.crossings <= CHUNKS * centres, "{figures}");
}

/// Guards against a version that reaches no host in time where hosts know few of the others: chunks that
/// one host had read were not found by those that had to bring them into their data centres.
#[test]
fn a_version_reaches_hundreds_of_hosts_in_five_data_centres_in_time() {
    check_spread(5, 28, TICK);
}

/// Guards against a spread that serves a wide fleet and harms a small one.
#[test]
fn a_version_reaches_a_small_fleet_in_time() {
    check_spread(3, 6, TICK);
}

/// Guards against the same where hosts act on what comes at once.
#[test]
fn a_version_reaches_hundreds_of_quick_hosts_in_time() {
    check_spread(5, 28, SHORT_TICK);
}
