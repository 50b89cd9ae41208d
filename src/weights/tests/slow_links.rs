//! Tests with hosts whose own link is slow.

use std::time::Duration;

use crate::documents::SpreadObjective;
use crate::time::ClockTime;
use crate::weights::{
    ChunkAnnouncement, ChunkMap, ChunkSource, FetchLimits, FetchPlan, FetchStep, HostLocation,
    PeerHost, WeightsDigest,
};

const START: ClockTime = ClockTime::from_millis(100_000);
const CHUNKS: u32 = 48;
const LATE: Duration = Duration::from_millis(700);

fn location(host: &str) -> HostLocation {
    HostLocation {
        host: host.into(),
        data_centre: "here".into(),
        region: "all".into(),
    }
}

/// A plan with `hosts` as peers that hold all chunks.
fn plan_with_full_peers(hosts: &[&str]) -> FetchPlan {
    let mut plan = FetchPlan::new(
        location("me"),
        (WeightsDigest::of(b"v2"), SpreadObjective::OriginBytes),
        ChunkMap::empty(CHUNKS),
        FetchLimits::default(),
        (Duration::from_millis(42), 1),
        START,
    );
    let listed: Vec<PeerHost> = (1..)
        .zip(hosts)
        .map(|(port, host)| PeerHost {
            location: location(host),
            address: ([127, 0, 0, 1], port).into(),
        })
        .collect();
    plan.set_hosts(&listed);
    for host in hosts {
        let announcement = ChunkAnnouncement {
            host: (*host).into(),
            held: ChunkMap::full(CHUNKS),
            claimed: ChunkMap::empty(CHUNKS),
            backlog_ms: 0,
        };
        plan.on_announcement(&announcement, START);
    }
    plan
}

fn pulled(plan: &mut FetchPlan) -> Vec<u32> {
    let steps = plan.next_steps(START);
    let pulls = steps.iter().filter_map(|step| match step {
        FetchStep::Fetch {
            index,
            source: ChunkSource::Peer(_),
            ..
        } => Some(*index),
        _ => None,
    });
    pulls.collect()
}

/// Guards against a host on a slow link that holds some chunks of every layer but no complete
/// layer.
#[test]
fn preferred_chunks_are_pulled_first() {
    let mut plan = plan_with_full_peers(&["a", "b"]);
    plan.set_pulls_max(3);
    plan.prefer(30..33);
    let mut first = pulled(&mut plan);
    first.sort_unstable();
    assert_eq!(first, [30, 31, 32]);
}

/// Guards against transfers that fill a narrow link for seconds before the first chunk arrives.
#[test]
fn late_pulls_from_two_hosts_indicate_a_slow_link() {
    let mut plan = plan_with_full_peers(&["a", "b"]);
    assert!(pulled(&mut plan).len() > 2);
    assert_eq!(plan.late_source_count(LATE, START + LATE), 0);
    let later = START + LATE + Duration::from_millis(1);
    assert_eq!(plan.late_source_count(LATE, later), 2);
    // A single late peer may itself be slow.
    let mut plan = plan_with_full_peers(&["a"]);
    assert!(!pulled(&mut plan).is_empty());
    assert_eq!(plan.late_source_count(LATE, later), 1);
}
