//! Calls to the store as a deployment grows.

use std::time::Duration;

use crate::sync::store_watch::entries_pause;
use crate::sync::version_recorder::record_delay;

/// Reads of the entry hosts' table per second, by all entry hosts of five data centres.
fn reads_per_s(count: usize) -> f64 {
    let readers = 10;
    let pauses = (0..count).map(|rank| entries_pause(rank < readers, count));
    pauses.map(|pause| 1.0 / pause.as_secs_f64()).sum()
}

/// Guards against calls to the store that grow with the number of entry hosts.
#[test]
fn reads_of_the_entry_table_do_not_grow_with_entry_hosts() {
    assert!(reads_per_s(400) <= reads_per_s(98) * 1.1);
    assert_eq!(entries_pause(false, 6), Duration::from_secs(10));
}

/// Guards against one conditional write per entry host for each target version.
#[test]
fn a_version_is_recorded_by_a_few_entry_hosts_at_a_time() {
    let reads_within = |span: f64| {
        let ranks = 0..400;
        let later = ranks.filter(|rank| record_delay(*rank).is_none_or(|later| later.start < span));
        later.count()
    };
    assert_eq!(reads_within(0.0), 3);
    assert!(
        reads_within(4.0) <= 9 && reads_within(8.0) <= 15,
        "{}",
        reads_within(8.0)
    );
    // The first ones may be cut off from the store, so others follow before a version's deadline.
    assert!(reads_within(4.0) > 6);
}
