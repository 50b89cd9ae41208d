//! Tests with hosts that announced chunks and were replaced.

use std::time::Duration;

use crate::documents::SpreadObjective;
use crate::errors::ErrorKind;
use crate::time::ClockTime;
use crate::weights::{
    ChunkAnnouncement, ChunkMap, ChunkSource, FetchLimits, FetchPlan, FetchStep, HostLocation,
    PeerHost, PeerKey, WeightsDigest,
};

const START: ClockTime = ClockTime::from_millis(100_000);
const CHUNKS: u32 = 4;

fn location(host: &str, data_centre: &str) -> HostLocation {
    HostLocation {
        host: host.into(),
        data_centre: data_centre.into(),
        region: "all".into(),
    }
}

fn plan_host(host: &str, data_centre: &str, port: u16) -> PeerHost {
    PeerHost {
        location: location(host, data_centre),
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn holds_all(host: &str) -> ChunkAnnouncement {
    ChunkAnnouncement {
        host: host.into(),
        held: ChunkMap::full(CHUNKS),
        claimed: ChunkMap::empty(CHUNKS),
        backlog_ms: 0,
    }
}

fn new_plan(limits: FetchLimits) -> FetchPlan {
    let mut plan = FetchPlan::new(
        location("me", "here"),
        (WeightsDigest::of(b"v2"), SpreadObjective::OriginBytes),
        ChunkMap::empty(CHUNKS),
        limits,
        (Duration::from_millis(27), 1),
        START,
    );
    plan.set_hosts(&[plan_host("far", "there", 1), plan_host("near", "here", 2)]);
    plan.on_announcement(&holds_all("near"), START);
    plan.on_announcement(&holds_all("far"), START);
    plan
}

/// The peers that the plan pulls from at `now`; its other steps are ignored.
fn pulls(plan: &mut FetchPlan, now: ClockTime) -> Vec<PeerKey> {
    let steps = plan.next_steps(now);
    let sources = steps.iter().filter_map(|step| match step {
        FetchStep::Fetch {
            source: ChunkSource::Peer(key),
            ..
        } => Some(*key),
        _ => None,
    });
    sources.collect()
}

/// Guards against data centres that wait for the chunks of a host that no longer exists. The host
/// had imported some chunks, announced them and was replaced; its address stayed listed and did not
/// respond. Its announcement kept the other hosts from importing the chunks again, so that two data
/// centres got no weights for thirteen seconds while the third held them completely.
#[test]
fn chunks_of_a_replaced_host_are_imported_again() {
    let mut plan = new_plan(FetchLimits::default());
    let local_peer = plan.peers().find("near").expect("the host is listed");
    let remote_peer = plan.peers().find("far").expect("the host is listed");
    let first = pulls(&mut plan, START);
    assert!(!first.is_empty() && first.iter().all(|key| *key == local_peer));
    // The pulls hang, and so does the query that follows.
    let mut now = START + Duration::from_secs(2);
    let _ = pulls(&mut plan, now);
    plan.on_queried(local_peer, Some(ErrorKind::PeerSilent), now);
    now = now + Duration::from_secs(2);
    let second = pulls(&mut plan, now);
    assert!(
        second.contains(&remote_peer),
        "{second:?}: nothing is imported from the other data centre"
    );
    // Once the host sends messages again, its chunks count again.
    plan.on_announcement(&holds_all("near"), now);
    assert_eq!(plan.peers().copy_count(0), 2);
}

/// A host that is not queried regularly is queried once a pull from it has failed.
#[test]
fn failed_pull_triggers_a_query() {
    let limits = FetchLimits {
        neighbours: 0,
        ..FetchLimits::default()
    };
    let mut plan = new_plan(limits);
    let local_peer = plan.peers().find("near").expect("the host is listed");
    let _ = plan.next_steps(START);
    // The query comes with the step that cancels the pull, not after a back-off.
    let steps = plan.next_steps(START + Duration::from_secs(2));
    assert!(steps.contains(&FetchStep::Query(local_peer)), "{steps:?}");
}
