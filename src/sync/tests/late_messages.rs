//! Words that are long on their way: when a version of weights was named is not when it was heard of.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::restarts::EntryProcess;
use super::{START, new_state};
use crate::daemon::DrainState;
use crate::fleet::{ModelVersion, NamingCertainty, WantedWeights, WeightsVersion};
use crate::platform::samples::{document_sample, naming_sample};
use crate::platform::{FakeStore, TableName};
use crate::sync::peer_messages::TargetAnnouncement;
use crate::sync::peer_routes::peer_routes;
use crate::sync::target_update_time::TargetUpdateTime;
use crate::sync::{ControlSnapshot, ControlState};
use crate::time::{ClockTime, StoreTime, clock_now};
use crate::transport::{HttpServer, bind_listener};

/// How long a word is on its way. Requests that wait at an engine are taken back a quarter of a second
/// before the bound.
const DELAY: Duration = Duration::from_millis(340);
/// How long a process follows the store before a version is named.
const FOLLOWED: Duration = Duration::from_millis(600);

pub(super) fn put_document(store: &FakeStore, version: u64) {
    let (key, text) = document_sample(version);
    store.put(TableName::Operator, key, &text);
}

/// Names version 2; returns a moment at which the store has it already.
pub(super) fn set_target_version(store: &FakeStore) -> ClockTime {
    let (key, text) = naming_sample(2);
    store.put(TableName::Operator, key, &text);
    clock_now()
}

pub(super) fn second(snapshot: &ControlSnapshot) -> Option<&WantedWeights> {
    let mut weights = snapshot.targets.iter();
    weights.find(|weights| weights.target.version == WeightsVersion(2))
}

/// What `process` believes of version 2 as soon as it knows it.
pub(super) async fn wait_for_second(process: &EntryProcess) -> WantedWeights {
    let snapshot = process.wait_for(|snapshot| second(snapshot).is_some());
    let snapshot = snapshot.await;
    second(&snapshot).expect("it was waited for").clone()
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

/// Passes connections on to `target`; what comes back takes `delay`.
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
        // The connection's end is the end of this task, not a failure.
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

/// Entry hosts far from the store let requests begin on older weights behind their bound. Documents in
/// quick succession filled the links between the regions, and the change that named a version took
/// seconds to arrive. It was taken for a tenth of a second old: of a version named at 18.01 s, hosts near
/// the store told `[1102] … version=2 from=store/… certainty=Witnessed` within 5 ms and took 17.92 s for its
/// moment; those of the two other regions told it 2.7 to 3.2 s later, and all took 19.38 s for it until the
/// bound. Nothing was taken back in time, and 405 requests began behind it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_store_answer_does_not_postdate_a_version() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.slow_watches(DELAY);
    let set_by = set_target_version(&store);
    let weights = wait_for_second(&process).await;
    assert_eq!(weights.certainty, NamingCertainty::Witnessed);
    let late = weights.named_at.since(set_by);
    assert!(late.is_zero(), "named {late:?} later than it was");
    process.stop_abruptly();
}

/// The same, where the change waits in the store while the answer before it is on its way. The store
/// answers the next question at once, so that the change looks new, and is as old as that way was long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_set_between_two_watches_dates_from_the_first_answer() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.slow_watches(DELAY);
    put_document(&store, 2);
    // The watch has its answer, which is on its way.
    sleep(DELAY / 4).await;
    let set_by = set_target_version(&store);
    let weights = wait_for_second(&process).await;
    let late = weights.named_at.since(set_by);
    assert!(late.is_zero(), "named {late:?} later than it was");
    process.stop_abruptly();
}

/// Two requests began on older weights 40 and 86 ms behind their bound, sent by hosts far from the store.
/// All hosts of their region took the version for named 0.4 s later than it was, for up to eleven seconds,
/// and told each other so; what waits at an engine is taken back a quarter of a second before the bound.
/// They had it from neighbours near the store, whose answers were that long on the full links between the
/// regions: `[1119] … from=neighbour certainty=Witnessed age_ms=…` put the moment at 18.40 s on host after
/// host, and at 17.92 s once an answer came quickly. An age was told, and counted from the answer's arrival.
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
    assert_eq!(weights.certainty, NamingCertainty::Witnessed);
    let late = weights.named_at.since(set_by);
    assert!(late.is_zero(), "named {late:?} later than it was");
    near.stop_abruptly();
    far.stop_abruptly();
}

/// Every host of a region took a version for new that had been named five seconds before. Documents in quick
/// succession kept the answers to their watches of the operator's table from arriving at all, and each
/// believed itself cut off from the store, which answered all their other questions meanwhile: what is
/// found behind a cut counts as new.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_answers_about_other_tables_is_not_cut_off() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    // Longer than a watch and its answer may take together.
    store.slow_watches(Duration::from_secs(3));
    let set_by = set_target_version(&store);
    let weights = wait_for_second(&process).await;
    let late = weights.named_at.since(set_by);
    assert!(late.is_zero(), "named {late:?} later than it was");
    process.stop_abruptly();
}

/// Hosts of engines that had been told quickly could not tell an entry host, which they asked, that a version
/// had been named earlier than it took it for: of words that are equally certain the first one stayed.
#[test]
fn witnessed_times_are_combined() {
    let witnessed = |at, by| TargetUpdateTime {
        earliest: StoreTime::from_millis(at),
        latest: StoreTime::from_millis(by),
        certainty: NamingCertainty::Witnessed,
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
    // One that surely errs does not put the moment behind what another saw.
    let wrong = [announcement(witnessed(80_000, 95_000))];
    entry.change(|state| state.merge_targets(&wrong, now));
    let known = entry.read(ControlState::query).targets;
    assert_eq!(known[0].set_at, witnessed(70_000, 70_000));
    let first = [announcement(witnessed(50_000, 70_000))];
    let other = new_state();
    other.change(|state| state.merge_targets(&better, now));
    other.change(|state| state.merge_targets(&[announcement(witnessed(50_000, 90_000))], now));
    assert_eq!(other.read(ControlState::query).targets, first);
}
