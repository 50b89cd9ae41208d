//! Bursts over fake networks.

use crate::documents::SpreadObjective;
use crate::lab::soak::weights;
use crate::test_support::run_cases;

/// Symptom: a host that never comes to the whole, or comes to other bytes. Events: chunks lost,
/// late, corrupt, short, over-long, of another version; hosts that die, come back empty, see
/// different lists; data centres and the origin cut off. Cause: any source that is waited for
/// without end, or trusted.
#[test]
fn every_live_host_ends_with_the_whole() {
    run_cases(120, 16 * 1024, weights::run_case);
}

const QUICK: u64 = 20;
/// Longer than the first turns: the second in line looks after chunks that the first still reads.
const SLOW: u64 = 9_000;

/// Symptom: an origin that is asked for many copies. Events: it is slow, and those who are next in
/// line take the slow reader for a dead one. Cause: a turn that passes by time alone.
#[test]
fn each_region_reads_one_copy_when_the_origin_is_dear() {
    for (hosts, regions) in [(1, 1), (2, 1), (3, 2), (6, 2), (12, 2)] {
        for origin_millis in [QUICK, SLOW] {
            let objective = SpreadObjective::OriginBytes;
            let (chunks, reads) = weights::run_clean(hosts, objective, origin_millis);
            assert!(
                reads <= chunks * regions,
                "{hosts} hosts in {regions} regions read {reads} chunks of {chunks}"
            );
        }
    }
}

#[test]
fn a_burst_that_saves_time_ends_too() {
    let (chunks, reads) = weights::run_clean(12, SpreadObjective::Time, QUICK);
    assert!(reads >= chunks, "less than one copy was read");
}
