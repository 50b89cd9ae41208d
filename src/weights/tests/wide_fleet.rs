//! Simulation of a version that spreads over the hosts of several data centres, each with its own
//! plan.

use std::ops::Range;
use std::time::Duration;

use crate::documents::SpreadObjective;
use crate::errors::ErrorKind;
use crate::time::ClockTime;
use crate::weights::{
    ChunkAnnouncement, ChunkMap, ChunkSource, FetchLimits, FetchPlan, FetchStep, HostLocation,
    PeerHost, PeerKey, TransferId, WeightsDigest,
};

const START: ClockTime = ClockTime::from_millis(100_000);
/// How often each plan is run and receives events.
const TICK: Duration = Duration::from_millis(40);
/// The same for hosts that react to events at once.
const SHORT_TICK: Duration = Duration::from_millis(20);
const CHUNKS: u32 = 96;
const SEED: u64 = 7;
/// Time of a chunk on the origin's link of 4.38 Mbit/s, and on a host's link of 7.3 Mbit/s.
const ORIGIN_SPAN: Duration = Duration::from_millis(45);
const HOST_SPAN: Duration = Duration::from_millis(27);
/// Maximum number of connections to the origin; it resets any others.
const ORIGIN_CONNECTIONS: usize = 48;
const RESPONSE_DELAY: Duration = Duration::from_millis(10);
/// A pull is refused if the sender's link is busy for longer than this.
const BACKLOG_MAX: Duration = Duration::from_millis(120);
/// The hosts are notified of the version at different times within this span.
const START_SPREAD: Duration = Duration::from_millis(500);
/// The last host may take this many times as long as the origin's link needs for one copy.
const ORIGIN_TIME_FACTOR: f64 = 1.25;

enum Event {
    Announcement(PeerKey, ChunkAnnouncement),
    Empty(PeerKey),
    Chunk(TransferId, Option<ChunkAnnouncement>),
    Busy(TransferId, Duration),
    Reset(TransferId),
}

struct FleetHost {
    host: PeerHost,
    plan: FetchPlan,
    started_at: ClockTime,
    uplink_until: ClockTime,
    downlink_until: ClockTime,
    arrivals: Vec<(ClockTime, Event)>,
    complete_at: Option<ClockTime>,
}

struct Fleet {
    tick: Duration,
    now: ClockTime,
    hosts: Vec<FleetHost>,
    /// Reads in progress at the origin, which share its link: host, transfer, and link time left.
    origin_reads: Vec<(usize, TransferId, Duration)>,
    origin_copies: u32,
    /// When the origin refuses connections, since the start.
    outage: Range<Duration>,
    /// Transfers of chunks between data centres.
    crossings: u32,
    queries: u32,
}

fn plan_host(data_centre: usize, number: usize) -> PeerHost {
    let [data_centre, number] =
        [data_centre, number].map(|value| u8::try_from(value).expect("small"));
    PeerHost {
        location: HostLocation {
            host: format!("10.{data_centre}.0.{number}").into(),
            data_centre: format!("hall-{data_centre}").into(),
            region: "all".into(),
        },
        address: ([10, data_centre, 0, number], 7300).into(),
    }
}

impl Fleet {
    fn new(data_centres: usize, hosts: usize, tick: Duration) -> Self {
        let all: Vec<PeerHost> = (0..data_centres)
            .flat_map(|data_centre| (0..hosts).map(move |number| plan_host(data_centre, number)))
            .collect();
        let limits = FetchLimits {
            pulls_max: 6,
            takeover_delay: Duration::from_millis(300),
            origin_reads_max: 1,
            origin_read_timeout: Duration::from_millis(2500),
            ..FetchLimits::default()
        };
        let started = (0_u32..).zip(&all).map(|(index, host)| {
            let started_at = START + START_SPREAD.mul_f64(f64::from(index % 7) / 7.0);
            let mut plan = FetchPlan::new(
                host.location.clone(),
                (WeightsDigest::of(b"m/2"), SpreadObjective::OriginBytes),
                ChunkMap::empty(CHUNKS),
                limits,
                (HOST_SPAN, SEED + u64::from(index)),
                started_at,
            );
            plan.set_hosts(&all);
            FleetHost {
                host: host.clone(),
                plan,
                started_at,
                uplink_until: START,
                downlink_until: START,
                arrivals: Vec::new(),
                complete_at: None,
            }
        });
        Self {
            tick,
            now: START,
            hosts: started.collect::<Vec<FleetHost>>(),
            origin_reads: Vec::new(),
            origin_copies: 0,
            outage: Duration::ZERO..Duration::ZERO,
            crossings: 0,
            queries: 0,
        }
    }

    fn run(&mut self, span: Duration) {
        while self.now.since(START) < span
            && self.hosts.iter().any(|host| host.complete_at.is_none())
        {
            self.now = self.now + self.tick;
            if self.is_origin_down() {
                self.reset_origin_reads();
            }
            self.send_from_origin();
            for index in 0..self.hosts.len() {
                self.deliver(index);
                if self.hosts[index].started_at > self.now {
                    continue;
                }
                let now = self.now;
                for step in self.hosts[index].plan.next_steps(now) {
                    self.carry_out(index, step);
                }
                let host = &mut self.hosts[index];
                if host.plan.held().is_full() {
                    host.complete_at.get_or_insert(now);
                }
            }
        }
    }

    fn deliver(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let (due, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut host.arrivals)
            .into_iter()
            .partition(|(due, _)| *due <= now);
        host.arrivals = pending;
        for (_, event) in due {
            match event {
                Event::Announcement(key, announcement) => {
                    host.plan.on_announcement(&announcement, now);
                    host.plan.on_queried(key, None, now);
                }
                Event::Empty(key) => host
                    .plan
                    .on_queried(key, Some(ErrorKind::ChunkMissing), now),
                Event::Chunk(transfer, announcement) => {
                    if let Some(announcement) = &announcement {
                        host.plan.on_announcement(announcement, now);
                    }
                    host.plan.on_delivered(transfer, now);
                }
                Event::Reset(transfer) => {
                    host.plan
                        .on_failed(transfer, ErrorKind::OriginUnavailable, None, now);
                }
                Event::Busy(transfer, wait) => {
                    host.plan
                        .on_failed(transfer, ErrorKind::UploadBusy, Some(wait), now);
                }
            }
        }
    }

    fn is_origin_down(&self) -> bool {
        self.outage.contains(&self.now.since(START))
    }

    fn reset_origin_reads(&mut self) {
        for (host, transfer, _) in std::mem::take(&mut self.origin_reads) {
            let event = Event::Reset(transfer);
            self.hosts[host].arrivals.push((self.now, event));
        }
    }

    /// Sends data of the origin for one tick, in equal parts to all reads.
    fn send_from_origin(&mut self) {
        let mut budget = self.tick;
        while !budget.is_zero() && !self.origin_reads.is_empty() {
            let reads = u32::try_from(self.origin_reads.len()).expect("small");
            let least = self
                .origin_reads
                .iter()
                .map(|(.., remaining)| *remaining)
                .min();
            let sent = least.unwrap_or_default().min(budget / reads);
            budget = budget.saturating_sub((sent * reads).max(Duration::from_micros(1)));
            let due = self.now + RESPONSE_DELAY;
            for (host, transfer, remaining) in &mut self.origin_reads {
                *remaining = remaining.saturating_sub(sent);
                if remaining.is_zero() {
                    let event = Event::Chunk(*transfer, None);
                    self.hosts[*host].arrivals.push((due, event));
                    self.origin_copies += 1;
                }
            }
            self.origin_reads
                .retain(|(.., remaining)| !remaining.is_zero());
        }
    }

    fn find(&self, index: usize, key: PeerKey) -> usize {
        let address = self.hosts[index].plan.peers().get(key).host.address;
        let found = self
            .hosts
            .iter()
            .position(|host| host.host.address == address);
        found.expect("the host is listed")
    }

    fn announcement(&self, index: usize) -> ChunkAnnouncement {
        let host = &self.hosts[index];
        let backlog = host.uplink_until.since(self.now);
        ChunkAnnouncement {
            host: host.host.location.host.clone(),
            held: host.plan.held().clone(),
            claimed: host.plan.claimed(),
            backlog_ms: u64::try_from(backlog.as_millis()).expect("small"),
        }
    }

    fn carry_out(&mut self, index: usize, step: FetchStep) {
        let answered = self.now + RESPONSE_DELAY;
        match step {
            FetchStep::Query(key) => {
                self.queries += 1;
                let other = self.find(index, key);
                let event = if self.hosts[other].started_at <= self.now {
                    Event::Announcement(key, self.announcement(other))
                } else {
                    Event::Empty(key)
                };
                self.hosts[index].arrivals.push((answered, event));
            }
            FetchStep::Fetch {
                transfer,
                source: ChunkSource::Origin,
                ..
            } => {
                if self.is_origin_down() || self.origin_reads.len() >= ORIGIN_CONNECTIONS {
                    self.hosts[index]
                        .arrivals
                        .push((answered, Event::Reset(transfer)));
                } else {
                    self.origin_reads.push((index, transfer, ORIGIN_SPAN));
                }
            }
            FetchStep::Fetch {
                transfer,
                source: ChunkSource::Peer(key),
                ..
            } => self.pull(index, transfer, key),
            FetchStep::Cancel(transfer, _) => {
                self.origin_reads
                    .retain(|(host, id, _)| (*host, *id) != (index, transfer));
                self.hosts[index].arrivals.retain(|(_, event)| {
                    !matches!(event, Event::Chunk(id, _) | Event::Busy(id, _) if *id == transfer)
                });
            }
        }
    }

    fn pull(&mut self, index: usize, transfer: TransferId, key: PeerKey) {
        let other = self.find(index, key);
        let backlog = self.hosts[other].uplink_until.since(self.now);
        if backlog > BACKLOG_MAX {
            let due = self.now + RESPONSE_DELAY;
            self.hosts[index]
                .arrivals
                .push((due, Event::Busy(transfer, backlog)));
            return;
        }
        let sent = self.hosts[other].uplink_until.max(self.now) + HOST_SPAN;
        self.hosts[other].uplink_until = sent;
        let announcement = self.announcement(other);
        if self.hosts[other].host.location.data_centre
            != self.hosts[index].host.location.data_centre
        {
            self.crossings += 1;
        }
        let host = &mut self.hosts[index];
        let taken = sent.max(host.downlink_until + HOST_SPAN);
        host.downlink_until = taken;
        let due = taken + RESPONSE_DELAY;
        host.arrivals
            .push((due, Event::Chunk(transfer, Some(announcement))));
    }

    fn slowest(&self) -> Option<Duration> {
        let spans = self
            .hosts
            .iter()
            .map(|host| host.complete_at.map(|complete_at| complete_at.since(START)));
        spans.collect::<Option<Vec<Duration>>>()?.into_iter().max()
    }
}

fn check_spread(data_centres: usize, hosts: usize, tick: Duration) {
    let mut fleet = Fleet::new(data_centres, hosts, tick);
    let expected_span = START_SPREAD + (ORIGIN_SPAN * CHUNKS).mul_f64(ORIGIN_TIME_FACTOR);
    fleet.run(expected_span * 2);
    let complete_hosts = fleet.hosts.iter().filter(|host| host.complete_at.is_some());
    let figures = format!(
        "{} of {} hosts complete, the last after {:?}; {} origin reads, {} crossings, {} queries",
        complete_hosts.count(),
        fleet.hosts.len(),
        fleet.slowest(),
        fleet.origin_copies,
        fleet.crossings,
        fleet.queries
    );
    println!("{figures}");
    assert!(
        fleet
            .slowest()
            .is_some_and(|slowest| slowest <= expected_span),
        "{figures}"
    );
    // Each chunk is transferred once into each other data centre, and the origin sends it once.
    assert!(fleet.origin_copies <= CHUNKS + CHUNKS / 8, "{figures}");
    let data_centres = u32::try_from(data_centres).expect("small");
    assert!(fleet.crossings <= CHUNKS * data_centres, "{figures}");
}

/// Guards against a version that does not reach the hosts in time if each host queries only few of
/// the others: the hosts that had to import a chunk did not find the one that had read it.
#[test]
fn a_version_reaches_hundreds_of_hosts_in_five_data_centres_in_time() {
    check_spread(5, 28, TICK);
}

/// Guards against a change that speeds up a large fleet and slows down a small one.
#[test]
fn a_version_reaches_a_small_fleet_in_time() {
    check_spread(3, 6, TICK);
}

/// Guards against the same failure with hosts that react to events at once.
#[test]
fn a_version_reaches_hundreds_of_quick_hosts_in_time() {
    check_spread(5, 28, SHORT_TICK);
}

/// Guards against an origin that is read by all hosts at once when it returns. While it was away,
/// every host had taken over every chunk from those ranked before it. Their reads shared its link,
/// so that most took longer than their time limit, and each chunk was sent twice.
#[test]
fn an_origin_that_returns_sends_each_chunk_once() {
    const OUTAGE: Range<Duration> = Duration::from_millis(2500)..Duration::from_millis(8500);
    /// Time until a host notices that the origin is back.
    const NOTICE_SPAN: Duration = Duration::from_millis(800);
    for tick in [TICK, SHORT_TICK] {
        let mut fleet = Fleet::new(3, 22, tick);
        fleet.outage = OUTAGE;
        fleet.run(OUTAGE.end * 3);
        let sent_before = OUTAGE.start.saturating_sub(START_SPREAD);
        let left = (ORIGIN_SPAN * CHUNKS).saturating_sub(sent_before);
        let expected = OUTAGE.end + NOTICE_SPAN + left.mul_f64(ORIGIN_TIME_FACTOR) + START_SPREAD;
        let figures = format!(
            "the last host complete after {:?} of {expected:?}; {} origin reads",
            fleet.slowest(),
            fleet.origin_copies
        );
        println!("{figures}");
        assert!(
            fleet.slowest().is_some_and(|slowest| slowest <= expected),
            "{figures}"
        );
        assert!(fleet.origin_copies <= CHUNKS + CHUNKS / 8, "{figures}");
    }
}
