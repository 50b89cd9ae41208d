//! Delayed messages: the time when a version was set as target is not the time when it was
//! received.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::restarts::EntryProcess;
use super::{START, found_at, new_state, store_time, target_row};
use crate::daemon::DrainState;
use crate::fleet::{ModelVersion, TargetTimeCertainty, TargetWeights, WeightsVersion};
use crate::platform::samples::{document_sample, target_sample};
use crate::platform::{FakeStore, TableName};
use crate::sync::peer_messages::TargetAnnouncement;
use crate::sync::peer_routes::peer_routes;
use crate::sync::target_update_time::{FollowState, TargetUpdateTime};
use crate::sync::{DeploymentSnapshot, DeploymentState};
use crate::time::{ClockTime, StoreTime, clock_now};
use crate::transport::{HttpServer, bind_listener};

/// Delay of a message. Requests that wait at an engine are withdrawn a quarter of a second before
/// the deadline.
const DELAY: Duration = Duration::from_millis(340);
/// How long a process follows the store before a version is set.
const FOLLOWED: Duration = Duration::from_millis(600);

pub(super) fn put_document(store: &FakeStore, version: u64) {
    let (key, text) = document_sample(version);
    store.put(TableName::Operator, key, &text);
}

/// Sets version 2; returns a time at which the store already has it.
pub(super) fn set_target_version(store: &FakeStore) -> ClockTime {
    let (key, text) = target_sample(2);
    store.put(TableName::Operator, key, &text);
    clock_now()
}

pub(super) fn second(snapshot: &DeploymentSnapshot) -> Option<&TargetWeights> {
    let mut weights = snapshot.targets.iter();
    weights.find(|weights| weights.target.version == WeightsVersion(2))
}

/// The target version 2 of `process`, as soon as it knows it.
pub(super) async fn wait_for_second(process: &EntryProcess) -> TargetWeights {
    let snapshot = process.wait_for(|snapshot| second(snapshot).is_some());
    let snapshot = snapshot.await;
    second(&snapshot)
        .expect("the snapshot was waited for")
        .clone()
}

/// An entry host that has followed the store for a while.
pub(super) async fn follower(store: &FakeStore) -> EntryProcess {
    put_document(store, 1);
    let process = EntryProcess::start("e1", store);
    process
        .wait_for(|snapshot| snapshot.catalog.is_some())
        .await;
    sleep(FOLLOWED).await;
    process
}

/// Forwards connections to `target`; each answer is delayed by `delay`.
async fn start_slow_proxy(target: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind((target.ip(), 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(forward_slowly(near, target, delay));
        }
    });
    address
}

async fn forward_slowly(near: TcpStream, target: SocketAddr, delay: Duration) {
    let far = TcpStream::connect(target).await;
    let (mut far_reader, mut far_writer) = far.expect("the target listens").into_split();
    let (mut near_reader, mut near_writer) = near.into_split();
    let forth = tokio::spawn(async move {
        // An error only means that the connection has ended.
        let _ = tokio::io::copy(&mut near_reader, &mut far_writer).await;
    });
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(read @ 1..) = far_reader.read(&mut buffer).await {
        sleep(delay).await;
        if near_writer.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    forth.abort();
}

/// Guards against dating a version a tenth of a second before the store's answer arrives, whatever
/// its delay. Documents in quick succession saturated the links between regions, and the change
/// that set a version took seconds. A version was set at 18.01 s: hosts near the store logged
/// `[1102] … version=2 from=store/… certainty=Witnessed` within 5 ms and dated it 17.92 s. Those of
/// two other regions logged it 2.7 to 3.2 s later, and all dated it 19.38 s until the deadline. No
/// request was withdrawn in time, and 405 requests began on previous versions after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_store_answer_does_not_postdate_a_version() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.slow_watches(DELAY);
    let set_by = set_target_version(&store);
    let weights = wait_for_second(&process).await;
    assert_eq!(weights.certainty, TargetTimeCertainty::Witnessed);
    let late = weights.target_set_at.since(set_by);
    assert!(late.is_zero(), "dated {late:?} too late");
    process.stop_abruptly();
}

/// The same for a change that waits in the store while the previous answer is in transit. The store
/// answers the next call at once, so the change looks new, but is as old as that transit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_set_between_two_watches_dates_from_the_first_answer() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.slow_watches(DELAY);
    put_document(&store, 2);
    // The watch has received its answer, which is in transit.
    sleep(DELAY / 4).await;
    let set_by = set_target_version(&store);
    let weights = wait_for_second(&process).await;
    let late = weights.target_set_at.since(set_by);
    assert!(late.is_zero(), "dated {late:?} too late");
    process.stop_abruptly();
}

/// Guards against ages that don't include their transit. Hosts far from the store got the version
/// from neighbours near it, over links between regions that delayed responses by 0.4 s. The
/// response stated an age, which was counted from its arrival: `[1119] … from=neighbour
/// certainty=Witnessed age_ms=…` gave 18.40 s on host after host, and 17.92 s once a response came
/// quickly. All hosts of the region dated the version 0.4 s late for up to eleven seconds and
/// announced that to each other. Requests that wait at an engine are withdrawn a quarter of a
/// second before the deadline, and two began on previous versions 40 and 86 ms after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_neighbours_update_time_does_not_depend_on_transit() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    let near = EntryProcess::start("near", &store);
    near.wait_for(|snapshot| snapshot.catalog.is_some()).await;
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind_listener(local).await.expect("a free port");
    let proxied = listener.local_addr().expect("it is bound");
    let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
    tokio::spawn(HttpServer::on(listener, peer_routes(&near.state)).run(drain));
    let neighbour = start_slow_proxy(proxied, DELAY).await;

    let unreachable = FakeStore::start().await;
    unreachable.set_down(true);
    let far = EntryProcess::start_with_seeds("far", &unreachable, vec![neighbour]);
    far.wait_for(|snapshot| snapshot.catalog.is_some()).await;
    let set_by = set_target_version(&store);
    let weights = wait_for_second(&far).await;
    assert_eq!(weights.certainty, TargetTimeCertainty::Witnessed);
    let late = weights.target_set_at.since(set_by);
    assert!(late.is_zero(), "dated {late:?} too late");
    near.stop_abruptly();
    far.stop_abruptly();
}

/// Guards against treating a failed watch as an outage. Documents in quick succession kept the
/// answers to the watches of the operator's table from arriving; each host of a region assumed that
/// it was cut off from the store, which answered all its other calls. Versions found after an
/// outage count as new, and one was dated five seconds late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_answers_about_other_tables_is_not_cut_off() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    // Longer than a watch and its answer may take together.
    store.slow_watches(Duration::from_secs(3));
    let set_by = set_target_version(&store);
    let weights = wait_for_second(&process).await;
    let late = weights.target_set_at.since(set_by);
    assert!(late.is_zero(), "dated {late:?} too late");
    process.stop_abruptly();
}

/// Guards against keeping the first of two equally certain times. Hosts of engines that had
/// received a version quickly could not correct the later time of an entry host in their queries.
#[test]
fn witnessed_times_are_combined() {
    let witnessed = |at, by| TargetUpdateTime {
        earliest: StoreTime::from_millis(at),
        latest: StoreTime::from_millis(by),
        certainty: TargetTimeCertainty::Witnessed,
    };
    let announcement = |set_at| TargetAnnouncement {
        target: ModelVersion {
            model: "m".into(),
            version: WeightsVersion(2),
        },
        set_at,
    };
    let entry = new_state();
    let now = START;
    entry.change(|state| state.merge_targets(&[announcement(witnessed(50_000, 90_000))], now));
    let better = [announcement(witnessed(40_000, 70_000))];
    assert!(entry.read(|state| state.is_updated_by(&better)));
    entry.change(|state| state.merge_targets(&better, now));
    assert!(!entry.read(|state| state.is_updated_by(&better)));
    // A wrong time does not move the result after the bounds that another process observed.
    let wrong = [announcement(witnessed(80_000, 95_000))];
    entry.change(|state| state.merge_targets(&wrong, now));
    let known = entry.read(DeploymentState::query).targets;
    assert_eq!(known[0].set_at, witnessed(70_000, 70_000));
    let first = [announcement(witnessed(50_000, 70_000))];
    let other = new_state();
    other.change(|state| state.merge_targets(&better, now));
    other.change(|state| state.merge_targets(&[announcement(witnessed(50_000, 90_000))], now));
    assert_eq!(other.read(DeploymentState::query).targets, first);
}

/// Guards against a history that is read late, after an outage, and dates a new version as one from
/// before the start. All engines took it as overdue at once.
#[test]
fn the_history_does_not_date_versions_that_the_watch_will_report() {
    let state = new_state();
    state.change(|state| state.operator_mut().note_read(2, store_time(START), START));
    let assumed = found_at(FollowState::Started, START);
    state.change(|state| state.take_past_targets(&[target_row(2), target_row(3)], assumed));
    let known = state.read(DeploymentState::query).targets;
    let versions: Vec<u64> = known.iter().map(|known| known.target.version.0).collect();
    assert_eq!(versions, [2]);
}
