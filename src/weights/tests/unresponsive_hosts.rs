//! Tests with hosts that become unresponsive during a fetch: they stay listed and answer nothing.

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
/// Time after which a query to an unresponsive host fails.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a query to a live host is answered.
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

/// One host's plan and its open queries. Hosts in `live` answer that they hold all chunks; the
/// others do not answer.
struct PlanFixture<'a> {
    plan: FetchPlan,
    live: &'a [&'a str],
    now: ClockTime,
    queries: Vec<(ClockTime, PeerKey)>,
}

impl PlanFixture<'_> {
    /// Carries out the plan's next steps and returns the chunks that it requested.
    fn poll(&mut self) -> Vec<(u32, ChunkSource)> {
        let now = self.now;
        let queries = std::mem::take(&mut self.queries);
        for (due, key) in queries {
            if due > now {
                self.queries.push((due, key));
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

/// Guards against pulls that occupy their slots until each of them stalls. Half of the hosts lost
/// power while the remaining ones had all their pull slots in use for the failed hosts, and no host
/// was queried meanwhile. Running hosts got their new weights eight seconds late and callers were
/// refused, although a host in the same data centre had the complete version.
#[test]
fn pulls_from_unresponsive_hosts_free_their_slots() {
    let mut plan = plan_among(&["dark-1", "dark-2", "dark-3", "live"], 12);
    for host in ["dark-1", "dark-2", "dark-3"] {
        plan.on_announcement(&holds_all(host), START);
    }
    let live = plan.peers().find("live").expect("the host is listed");
    plan.on_queried(live, Some(ErrorKind::ChunkMissing), START);
    let mut fixture = PlanFixture {
        plan,
        live: &["live"],
        now: START,
        queries: Vec::new(),
    };
    let first = fixture.poll();
    assert_eq!(
        first.len(),
        6,
        "all pull slots are used for unresponsive hosts"
    );
    while fixture.now < START + Duration::from_secs(1) {
        if fixture
            .poll()
            .iter()
            .any(|(_, source)| *source == ChunkSource::Peer(live))
        {
            return;
        }
    }
    panic!("nothing was requested from the live host for a second");
}

/// Guards against the same failure after one pull has stalled: the stall was counted for that pull
/// only, and its slot was used for the same unresponsive host again.
#[test]
fn suspected_host_gets_no_more_pulls() {
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
        let from_peer = |(_, source): &(u32, ChunkSource)| *source != ChunkSource::Origin;
        assert!(
            !fixture.poll().iter().any(from_peer),
            "the unresponsive host is pulled from again"
        );
    }
}

/// Guards against takeover delays for hosts that are known to be unresponsive. Most of the hosts
/// lost power, and all of them were ranked before the remaining host, which waited for each of them
/// and read some chunks only ten seconds after its start while the origin was idle.
#[test]
fn unresponsive_hosts_are_skipped_in_origin_reads() {
    let unresponsive: Vec<String> = (0..9).map(|index| format!("dark-{index}")).collect();
    let unresponsive: Vec<&str> = unresponsive.iter().map(|host| &**host).collect();
    let mut fixture = PlanFixture {
        plan: plan_among(&unresponsive, 12),
        live: &[],
        now: START,
        queries: Vec::new(),
    };
    let mut read = 0;
    while fixture.now < START + Duration::from_secs(3) {
        read += fixture.poll().len();
    }
    assert_eq!(read, 40, "chunks were left to unresponsive hosts");
}

/// Guards against additional pulls on a link that is already full. The link of a host fell to a
/// tenth, and chunks and responses came late. The host took all others for failed and started more
/// pulls, so that requests waited for seconds and started on weights that had been replaced
/// meanwhile.
#[test]
fn no_further_pulls_while_no_host_answers() {
    let late_hosts: Vec<String> = (0..9).map(|index| format!("late-{index}")).collect();
    let late_hosts: Vec<&str> = late_hosts.iter().map(|host| &**host).collect();
    let mut plan = plan_among(&late_hosts, 12);
    for host in &late_hosts {
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
        let requests = fixture.poll();
        let from_peer = |(_, source): &(u32, ChunkSource)| *source != ChunkSource::Origin;
        assert!(
            !requests.iter().any(from_peer),
            "{requests:?} in addition to six pulls"
        );
    }
}
