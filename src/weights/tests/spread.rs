//! Tests of complete fetches by several hosts over a simulated network.

use crate::documents::SpreadObjective;
use crate::lab::soak::weights;
use crate::test_support::run_cases;

/// Guards against a host that never completes the version, or completes it with other bytes. Chunks
/// are lost, late, corrupt, truncated, too long or of another version; hosts fail, return without
/// data and see different host lists; data centres and the origin are cut off. Such faults come
/// from waiting for a source without a limit, or from trusting it.
#[test]
fn every_live_host_completes_the_version() {
    run_cases(120, 16 * 1024, weights::run_case);
}

const QUICK: u64 = 20;
/// Longer than the first takeover delays: the host ranked second considers reading chunks that the
/// first is still reading.
const SLOW: u64 = 9_000;

/// Guards against an origin that has to send many copies. If the origin is slow, the hosts ranked
/// next must not mistake the slow reader for a failed one and take over merely because time has
/// passed.
#[test]
fn each_region_reads_one_copy_from_the_origin() {
    for (hosts, regions) in [(1, 1), (2, 1), (3, 2), (6, 2), (12, 2)] {
        for origin_millis in [QUICK, SLOW] {
            let objective = SpreadObjective::OriginBytes;
            let (chunks, reads) = weights::run_without_faults(hosts, objective, origin_millis);
            assert!(
                reads <= chunks * regions,
                "{hosts} hosts in {regions} regions read {reads} chunks of {chunks}"
            );
        }
    }
}

#[test]
fn fetches_with_the_time_objective_finish() {
    let (chunks, reads) = weights::run_without_faults(12, SpreadObjective::Time, QUICK);
    assert!(
        reads >= chunks,
        "less than one copy was read from the origin"
    );
}
