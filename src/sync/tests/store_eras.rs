//! A store that returns from a copy some seconds old: what was written since is lost, and revisions
//! are assigned again.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::readers::TestDataCentre;
use super::restarts::await_record;
use crate::fleet::BackendPhase;
use crate::platform::TableName;
use crate::platform::samples::{entry_sample, target_sample};
use crate::sync::DeploymentSnapshot;

/// Within this time all entry hosts know what the store has confirmed.
const CHANGE_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Writes that are lost with the return from the copy.
const LOST_WRITES: u64 = 300;
/// The most calls for tables in the time limit for changes: with their pauses, two readers of three
/// tables make some 50 each while every watch fails.
const CALLS_MAX: usize = 120;
/// Within this time an entry host that reads its own row has written it again.
const ENTRY_TIME_LIMIT: Duration = Duration::from_secs(22);
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
    start_with_lost_writes_of(true).await
}

/// Like `start_with_lost_writes`, with a store that reports its era or not.
async fn start_with_lost_writes_of(reports_era: bool) -> TestDataCentre {
    let data_centre = TestDataCentre::start().await;
    data_centre.store.set_reports_era(reports_era);
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
    drop(data_centre.store.return_from_copy());
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

/// Guards against taking changes of a new era for those after a revision of the former one, whose
/// number the store has assigned again meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_is_heard_of_although_the_revisions_have_caught_up() {
    let data_centre = start_with_lost_writes().await;
    put_entry(&data_centre, 0, 1000, BackendPhase::Leaving);
    for number in 0..2 * LOST_WRITES {
        let (key, text) = target_sample(1);
        data_centre.store.put(TableName::Operator, key, &text);
        if number % 50 == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    }
    data_centre
        .wait_for_all(is_leaving, CHANGE_TIME_LIMIT)
        .await;
    data_centre.end();
}

/// Guards against missing changes when the store returns from a copy twice within a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_is_heard_of_after_two_returns_in_a_row() {
    let data_centre = start_with_lost_writes().await;
    put_entries(&data_centre, 500);
    sleep(Duration::from_millis(300)).await;
    drop(data_centre.store.return_from_copy());
    put_entry(&data_centre, 0, 1000, BackendPhase::Leaving);
    data_centre
        .wait_for_all(is_leaving, CHANGE_TIME_LIMIT)
        .await;
    data_centre.end();
}

/// Guards against sending requests to a backend server again that the copy still lists as ready,
/// although the store had confirmed that it leaves or is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_older_copy_does_not_undo_what_entry_hosts_know() {
    let data_centre = TestDataCentre::start().await;
    put_entries(&data_centre, 1);
    data_centre
        .wait_for_backends(BACKENDS, CHANGE_TIME_LIMIT)
        .await;
    data_centre.store.take_copy();
    put_entry(&data_centre, 0, 2, BackendPhase::Leaving);
    data_centre.store.remove(TableName::Backends, "i-1");
    let is_known = |snapshot: &DeploymentSnapshot| {
        let count = snapshot.fleet.backends.len();
        is_leaving(snapshot) && count == BACKENDS - 1
    };
    data_centre.wait_for_all(is_known, CHANGE_TIME_LIMIT).await;
    drop(data_centre.store.return_from_copy());
    for _ in 0..20 {
        sleep(CHANGE_TIME_LIMIT / 20).await;
        data_centre.wait_for_all(is_known, Duration::ZERO).await;
    }
    data_centre.end();
}

/// Guards against removing backend servers whose first entry was lost with the copy, before they
/// have written it again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_backend_server_that_the_copy_lacks_stays_in_use_until_it_writes_again() {
    let data_centre = TestDataCentre::start().await;
    data_centre.store.take_copy();
    put_entries(&data_centre, 1);
    let is_complete = |snapshot: &DeploymentSnapshot| snapshot.fleet.backends.len() == BACKENDS;
    data_centre
        .wait_for_all(is_complete, CHANGE_TIME_LIMIT)
        .await;
    drop(data_centre.store.return_from_copy());
    let heartbeat = Duration::from_secs(1);
    for sequence in 2..5 {
        for _ in 0..20 {
            sleep(heartbeat / 20).await;
            data_centre.wait_for_all(is_complete, Duration::ZERO).await;
        }
        put_entries(&data_centre, sequence);
    }
    data_centre.end();
}

/// Guards against reading tables without a pause while the store has older revisions than before.
/// Two readers made more than a thousand calls a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_with_older_revisions_is_not_read_without_a_pause() {
    for reports_era in [true, false] {
        let data_centre = start_with_lost_writes_of(reports_era).await;
        let before = data_centre.store.read_calls();
        sleep(CHANGE_TIME_LIMIT).await;
        let calls = data_centre.store.read_calls() - before;
        assert!(
            calls <= CALLS_MAX,
            "{calls} calls, era reported: {reports_era}"
        );
        data_centre.end();
    }
}

/// Guards against losing the system's own rows for good: an entry host that the copy lacks, and the
/// recorded version of weights.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_rows_that_were_lost_are_written_again() {
    let data_centre = TestDataCentre::start().await;
    let store = &data_centre.store;
    let host = data_centre.host(0);
    let text = store.text_of(TableName::System, &host);
    let text = text.expect("the entry host has registered itself");
    store.remove(TableName::System, &host);
    store.take_copy();
    store.put(TableName::System, &host, &text);
    let (key, target) = target_sample(2);
    store.put(TableName::Operator, key, &target);
    await_record(store, 2).await;
    drop(store.return_from_copy());
    assert_eq!(store.text_of(TableName::System, &host), None);
    assert_eq!(store.text_of(TableName::System, "weights/m"), None);
    await_record(store, 2).await;
    let is_written = async {
        while store.text_of(TableName::System, &host).is_none() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    let is_written = timeout(ENTRY_TIME_LIMIT, is_written).await;
    assert!(is_written.is_ok(), "not within {ENTRY_TIME_LIMIT:?}");
    data_centre.end();
}
