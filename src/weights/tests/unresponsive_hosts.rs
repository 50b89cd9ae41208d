//! Hosts that go dark in a spread: they stay listed, and whoever asks them hears nothing.

use std::time::Duration;

use crate::documents::SpreadObjective;
use crate::errors::ErrorKind;
use crate::time::ClockTime;
use crate::weights::{
    ChunkAnnouncement, ChunkMap, ChunkSource, FetchLimits, FetchPlan, FetchStep, HostLocation,
    PeerHost, PeerKey, WeightsDigest,
};

const START: ClockTime = ClockTime::from_millis(100_000);
const CHUNKS: u32 = 40;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a question to a dark host is open.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a question to a live host is open.
const RESPONSE_DELAY: Duration = Duration::from_millis(20);

fn plan_host(host: &str, port: u16) -> PeerHost {
    PeerHost {
        location: HostLocation {
            host: host.into(),
            data_centre: "here".into(),
            region: "all".into(),
        },
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn plan_among(others: &[&str], neighbours: usize) -> FetchPlan {
    let limits = FetchLimits {
        pulls_max: 6,
        neighbours,
        takeover_delay: Duration::from_millis(300),
        origin_reads_max: 1,
        origin_read_timeout: Duration::from_millis(2500),
        ..FetchLimits::default()
    };
    let hosts: Vec<PeerHost> = (1..)
        .zip(others)
        .map(|(port, host)| plan_host(host, port))
        .collect();
    let mut plan = FetchPlan::new(
        plan_host("me", 100).location,
        (WeightsDigest::of(b"v2"), SpreadObjective::OriginBytes),
        ChunkMap::empty(CHUNKS),
        limits,
        (Duration::from_millis(27), 1),
        START,
    );
    plan.set_hosts(&hosts);
    plan
}

fn holds_all(host: &str) -> ChunkAnnouncement {
    ChunkAnnouncement {
        host: host.into(),
        held: ChunkMap::full(CHUNKS),
        claimed: ChunkMap::empty(CHUNKS),
        backlog_ms: 0,
    }
}

/// One host's plan, and what became of its questions: hosts in `live` answer that they hold all, the
/// others nothing.
struct PlanFixture<'a> {
    plan: FetchPlan,
    live: &'a [&'a str],
    now: ClockTime,
    queries: Vec<(ClockTime, PeerKey)>,
}

impl PlanFixture<'_> {
    /// A look at the plan: the chunks that it asks for.
    fn poll(&mut self) -> Vec<(u32, ChunkSource)> {
        let now = self.now;
        let queries = std::mem::take(&mut self.queries);
        for (at, key) in queries {
            if at > now {
                self.queries.push((at, key));
                continue;
            }
            let host = self.plan.peers().get(key).host.location.host.clone();
            if self.live.contains(&&*host) {
                self.plan.on_announcement(&holds_all(&host), now);
                self.plan.on_queried(key, None, now);
            } else {
                self.plan.on_queried(key, Some(ErrorKind::PeerSilent), now);
            }
        }
        let mut fetches = Vec::new();
        for step in self.plan.next_steps(now) {
            match step {
                FetchStep::Query(key) => {
                    let host = &*self.plan.peers().get(key).host.location.host;
                    let is_live = self.live.contains(&host);
                    let span = if is_live {
                        RESPONSE_DELAY
                    } else {
                        QUERY_TIMEOUT
                    };
                    self.queries.push((now + span, key));
                }
                FetchStep::Fetch {
                    transfer,
                    index,
                    source,
                } => {
                    if source == ChunkSource::Origin {
                        self.plan.on_delivered(transfer, now);
                    }
                    fetches.push((index, source));
                }
                FetchStep::Cancel(..) => {}
            }
        }
        self.now = now + POLL_INTERVAL;
        fetches
    }
}

/// Symptom: hosts that were up had their new weights eight seconds late, and callers were refused, while
/// a host beside them had the version whole. Events: half of the hosts lost power in a spread; those that
/// were left had just begun all pulls that they may have under way at hosts that were gone. Cause: each of
/// these pulls held its place until it stalled by itself, and nobody was asked meanwhile who is there.
#[test]
fn pulls_from_dark_hosts_leave_their_places_to_others() {
    let mut plan = plan_among(&["dark-1", "dark-2", "dark-3", "live"], 12);
    for host in ["dark-1", "dark-2", "dark-3"] {
        plan.on_announcement(&holds_all(host), START);
    }
    let live = plan.peers().find("live").expect("it is listed");
    plan.on_queried(live, Some(ErrorKind::ChunkMissing), START);
    let mut fixture = PlanFixture {
        plan,
        live: &["live"],
        now: START,
        queries: Vec::new(),
    };
    let first = fixture.poll();
    assert_eq!(first.len(), 6, "all places are taken at dark hosts");
    while fixture.now < START + Duration::from_secs(1) {
        if fixture
            .poll()
            .iter()
            .any(|(_, source)| *source == ChunkSource::Peer(live))
        {
            return;
        }
    }
    panic!("nothing was asked of the host that is there for a second");
}

/// Symptom and events as above; one pull stalled. Cause: what it said of its host counted for that pull
/// alone, and the place that it left went to the same host again.
#[test]
fn a_host_that_gave_a_sign_of_silence_gets_no_more_pulls() {
    let mut plan = plan_among(&["dark"], 0);
    plan.on_announcement(&holds_all("dark"), START);
    let mut fixture = PlanFixture {
        plan,
        live: &[],
        now: START,
        queries: Vec::new(),
    };
    assert!(!fixture.poll().is_empty());
    while fixture.now < START + Duration::from_secs(8) {
        let dark = |(_, source): &(u32, ChunkSource)| *source != ChunkSource::Origin;
        assert!(!fixture.poll().iter().any(dark), "it is pulled from again");
    }
}

/// Symptom: a host that was up read some chunks only ten seconds after it began, while the origin of
/// weights was idle. Events: most of the hosts lost power, all of them before it in the lines of these
/// chunks. Cause: it gave each of them its turn, though it knew that they do not answer.
#[test]
fn the_turns_of_dark_hosts_are_passed_over() {
    let dark: Vec<String> = (0..9).map(|index| format!("dark-{index}")).collect();
    let dark: Vec<&str> = dark.iter().map(|host| &**host).collect();
    let mut fixture = PlanFixture {
        plan: plan_among(&dark, 12),
        live: &[],
        now: START,
        queries: Vec::new(),
    };
    let mut read = 0;
    while fixture.now < START + Duration::from_secs(3) {
        read += fixture.poll().len();
    }
    assert_eq!(read, 40, "chunks were left to hosts that do not answer");
}

/// Symptom: requests waited seconds for a thin link and began on weights that were replaced meanwhile.
/// Events: a host's link fell to a tenth; chunks and answers came late over it. Cause: the host took all
/// others for gone and put more pulls on the link that was full.
#[test]
fn where_nobody_answers_nothing_more_is_put_on_the_link() {
    let late: Vec<String> = (0..9).map(|index| format!("late-{index}")).collect();
    let late: Vec<&str> = late.iter().map(|host| &**host).collect();
    let mut plan = plan_among(&late, 12);
    for host in &late {
        plan.on_announcement(&holds_all(host), START);
    }
    let mut fixture = PlanFixture {
        plan,
        live: &[],
        now: START,
        queries: Vec::new(),
    };
    assert_eq!(fixture.poll().len(), 6);
    while fixture.now < START + Duration::from_millis(1400) {
        let more = fixture.poll();
        let pulled = |(_, source): &(u32, ChunkSource)| *source != ChunkSource::Origin;
        assert!(!more.iter().any(pulled), "{more:?} on top of six");
    }
}
