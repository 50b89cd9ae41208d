//! A store that returns from a copy some seconds old: what was written since is lost, and revisions
//! are assigned again.

use std::time::Duration;

use tokio::time::sleep;

use super::readers::TestDataCentre;
use crate::fleet::BackendPhase;
use crate::platform::TableName;
use crate::platform::samples::entry_sample;
use crate::sync::DeploymentSnapshot;

/// Within this time all entry hosts know what the store has confirmed.
const CHANGE_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Writes that are lost with the return from the copy.
const LOST_WRITES: u64 = 300;
const START_TIME: Option<u64> = Some(1);
const BACKENDS: usize = 3;

/// Writes the entries of all backend servers.
fn put_entries(data_centre: &TestDataCentre, sequence: u64) {
    for number in 0..BACKENDS {
        put_entry(data_centre, number, sequence, BackendPhase::Serving);
    }
}

fn put_entry(data_centre: &TestDataCentre, number: usize, sequence: u64, phase: BackendPhase) {
    let id = format!("i-{number}");
    let text = entry_sample(START_TIME, sequence, phase);
    data_centre.store.put(TableName::Backends, &id, &text);
}

/// Whether the entry of `i-0` says that it is leaving.
fn is_leaving(snapshot: &DeploymentSnapshot) -> bool {
    let mut backends = snapshot.fleet.backends.iter();
    backends.any(|facts| &*facts.id == "i-0" && facts.phase == BackendPhase::Leaving)
}

/// Starts entry hosts that know all backend servers, and lets the store lose writes.
async fn start_with_lost_writes() -> TestDataCentre {
    let data_centre = TestDataCentre::start().await;
    put_entries(&data_centre, 1);
    data_centre
        .wait_for_backends(BACKENDS, CHANGE_TIME_LIMIT)
        .await;
    data_centre.store.take_copy();
    for sequence in 2..2 + LOST_WRITES / 3 {
        put_entries(&data_centre, sequence);
    }
    // Readers hear of the last revision within a watch and the pause after it.
    sleep(CHANGE_TIME_LIMIT).await;
    data_centre.store.return_from_copy();
    data_centre
}

/// Guards against not hearing of a leaving backend server until the store's revisions have caught up
/// with those from before it returned from a copy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_is_heard_of_in_time_after_the_store_returned_from_a_copy() {
    let data_centre = start_with_lost_writes().await;
    put_entry(&data_centre, 0, 1000, BackendPhase::Leaving);
    data_centre
        .wait_for_all(is_leaving, CHANGE_TIME_LIMIT)
        .await;
    data_centre.end();
}
