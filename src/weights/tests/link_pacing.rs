//! Tests of the link pacer.

use std::time::Duration;

use crate::test_support::run_cases;
use crate::time::ClockTime;
use crate::weights::link_pacer::{LinkBucket, LinkPacer};

const RATE: u64 = 1_000_000;
const CHUNK: u64 = 1_000;
const CHUNK_SPAN: Duration = Duration::from_millis(1);

/// Guards against weights exceeding their rate when chunks are sent or received in bursts after
/// pauses, because idle time counted as credit.
#[test]
fn link_carries_at_most_its_rate_plus_one_chunk() {
    run_cases(100, 256, |u| {
        let mut bucket = LinkBucket::new(RATE);
        let mut now = ClockTime(0);
        let mut done_at = Vec::new();
        for _ in 0..30 {
            now = now + Duration::from_micros(u.int_in_range(0..=3_000)?);
            done_at.push(if u.arbitrary()? {
                bucket.reserve(CHUNK, now)
            } else {
                bucket.record_arrival(CHUNK, now)
            });
        }
        for pair in done_at.windows(2) {
            assert!(
                pair[1].since(pair[0]) >= CHUNK_SPAN,
                "two chunks overlap on the link"
            );
        }
        Ok(())
    });
}

#[test]
fn weights_wait_for_live_traffic() {
    let now = ClockTime::from_millis(10);
    let mut bucket = LinkBucket::new(RATE);
    bucket.record_live(5 * CHUNK, now);
    assert_eq!(bucket.backlog(now), 5 * CHUNK_SPAN);
    assert_eq!(bucket.reserve(CHUNK, now), now + 6 * CHUNK_SPAN);
}

/// Guards against requests that reach an engine a second late while weights spread: the link of its
/// host had become eight times narrower, and weights were still sent at the configured rate.
#[test]
fn slow_link_reduces_the_rate() {
    let pacer = LinkPacer::new(1_000_000);
    let full = pacer.transfer_time(24_000);
    for _ in 0..3 {
        pacer.slow_down();
    }
    assert_eq!(pacer.transfer_time(24_000), full * 8);
    assert_eq!(pacer.concurrent_chunks(6), 1);
    for _ in 0..20 {
        pacer.slow_down();
    }
    assert_eq!(pacer.transfer_time(24_000), full * 16);
    for _ in 0..20 {
        pacer.speed_up();
    }
    assert_eq!(pacer.transfer_time(24_000), full);
    assert_eq!(pacer.concurrent_chunks(6), 6);
}
