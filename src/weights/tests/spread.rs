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

#[test]
fn each_region_reads_one_copy_when_the_origin_is_dear() {
    for hosts in [1, 2, 3, 6, 12] {
        let (chunks, reads) = weights::run_clean(hosts, SpreadObjective::OriginBytes);
        let regions = hosts.min(3) - usize::from(hosts >= 3) - usize::from(hosts == 2);
        assert!(
            reads <= chunks * regions.max(1),
            "{hosts} hosts in {regions} regions read {reads} chunks of {chunks}"
        );
    }
}

#[test]
fn a_burst_that_saves_time_ends_too() {
    let (chunks, reads) = weights::run_clean(12, SpreadObjective::Time);
    assert!(reads >= chunks, "less than one copy was read");
}
