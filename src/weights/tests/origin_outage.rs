//! Tests with an origin that is unavailable for some seconds.

use std::time::Duration;

use crate::documents::SpreadObjective;
use crate::errors::ErrorKind;
use crate::time::ClockTime;
use crate::weights::{
    ChunkAnnouncement, ChunkMap, ChunkSource, FetchLimits, FetchPlan, FetchStep, HostLocation,
    PeerHost, TransferId, WeightsDigest,
};

const START: ClockTime = ClockTime::from_millis(100_000);
const CHUNKS: u32 = 4;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const OUTAGE: Duration = Duration::from_secs(6);

fn location(host: &str) -> HostLocation {
    HostLocation {
        host: host.into(),
        data_centre: "here".into(),
        region: "all".into(),
    }
}

fn single_host_plan(seed: u64) -> FetchPlan {
    FetchPlan::new(
        location("me"),
        (WeightsDigest::of(b"v2"), SpreadObjective::OriginBytes),
        ChunkMap::empty(CHUNKS),
        FetchLimits::default(),
        (Duration::from_millis(27), seed),
        START,
    )
}

fn origin_reads(plan: &mut FetchPlan, now: ClockTime) -> Vec<TransferId> {
    let steps = plan.next_steps(now);
    let reads = steps.iter().filter_map(|step| match step {
        FetchStep::Fetch {
            transfer,
            source: ChunkSource::Origin,
            ..
        } => Some(*transfer),
        _ => None,
    });
    reads.collect()
}

/// Lets the origin refuse every connection for [`OUTAGE`]. Returns the end of the outage.
fn run_outage(plan: &mut FetchPlan) -> ClockTime {
    let mut now = START;
    while now < START + OUTAGE {
        for transfer in origin_reads(plan, now) {
            plan.on_failed(transfer, ErrorKind::OriginUnavailable, None, now);
        }
        now = now + POLL_INTERVAL;
    }
    now
}

fn first_read(plan: &mut FetchPlan, mut now: ClockTime) -> ClockTime {
    while origin_reads(plan, now).is_empty() {
        now = now + POLL_INTERVAL;
        assert!(
            now < START + Duration::from_mins(1),
            "the origin is never read again"
        );
    }
    now
}

/// Guards against an origin that is not read for 1.5 s after its return, while no engine may serve
/// because the deadline of the previous weights has passed. The origin refused all connections for
/// six seconds, and each host backed off for up to three seconds, which suits an overloaded origin
/// but not an unavailable one.
#[test]
fn returned_origin_is_read_within_a_second() {
    for seed in 0..40 {
        let mut plan = single_host_plan(seed);
        let outage_end = run_outage(&mut plan);
        let waited = first_read(&mut plan, outage_end).since(outage_end);
        assert!(waited <= Duration::from_millis(800), "{waited:?}");
    }
}

/// Guards against the same failure when another host has already read a chunk and announced it. A
/// chunk that no host held before shows that the origin has returned, but the other hosts stayed in
/// their back-off.
#[test]
fn new_chunk_ends_the_back_off_from_the_origin() {
    for seed in 0..40 {
        let mut plan = single_host_plan(seed);
        plan.set_hosts(&[PeerHost {
            location: location("other"),
            address: ([127, 0, 0, 1], 1).into(),
        }]);
        let outage_end = run_outage(&mut plan);
        let mut held = ChunkMap::empty(CHUNKS);
        held.insert(0);
        let announcement = ChunkAnnouncement {
            host: "other".into(),
            held,
            claimed: ChunkMap::empty(CHUNKS),
            backlog_ms: 0,
        };
        plan.on_announcement(&announcement, outage_end);
        let waited = first_read(&mut plan, outage_end).since(outage_end);
        assert!(waited <= Duration::from_millis(110), "{waited:?}");
    }
}
