//! Words that are long on their way: when a version of weights was named is not when it was heard of.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::restarts::EntryProcess;
use super::{START, new_book};
use crate::daemon::DrainState;
use crate::fleet::{ModelVersion, NamingCertainty, WantedWeights, WeightsVersion};
use crate::platform::samples::{document_sample, naming_sample};
use crate::platform::{FakeStore, TableName};
use crate::sync::naming_time::TargetUpdateTime;
use crate::sync::peer_messages::TargetAnnouncement;
use crate::sync::peer_routes::peer_routes;
use crate::sync::{ControlSnapshot, ControlState};
use crate::time::{ClockTime, StoreTime, clock_now};
use crate::transport::{HttpServer, bind_listener};

/// How long a word is on its way. Requests that wait at an engine are taken back a quarter of a second
/// before the bound.
const ON_WAY: Duration = Duration::from_millis(340);
/// How long a process follows the store before a version is named.
const FOLLOWED: Duration = Duration::from_millis(600);

pub(super) fn put_document(store: &FakeStore, version: u64) {
    let (key, text) = document_sample(version);
    store.put(TableName::Operator, key, &text);
}

/// Names version 2; returns a moment at which the store has it already.
pub(super) fn name_version(store: &FakeStore) -> ClockTime {
    let (key, text) = naming_sample(2);
    store.put(TableName::Operator, key, &text);
    clock_now()
}

pub(super) fn second(snapshot: &ControlSnapshot) -> Option<&WantedWeights> {
    let mut wanted = snapshot.targets.iter();
    wanted.find(|wanted| wanted.target.version == WeightsVersion(2))
}

/// What `process` believes of version 2 as soon as it knows it.
pub(super) async fn belief(process: &EntryProcess) -> WantedWeights {
    let snapshot = process.believes(|snapshot| second(snapshot).is_some());
    let snapshot = snapshot.await;
    second(&snapshot).expect("it was waited for").clone()
}

/// An entry host that has followed the store for a while.
pub(super) async fn follower(store: &FakeStore) -> EntryProcess {
    put_document(store, 1);
    let process = EntryProcess::start("e1", store);
    process
        .believes(|snapshot| snapshot.catalog.is_some())
        .await;
    sleep(FOLLOWED).await;
    process
}

/// Passes connections on to `target`; what comes back takes `on_way`.
async fn start_slow_way(target: SocketAddr, on_way: Duration) -> SocketAddr {
    let listener = TcpListener::bind((target.ip(), 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(pass_slowly(near, target, on_way));
        }
    });
    address
}

async fn pass_slowly(near: TcpStream, target: SocketAddr, on_way: Duration) {
    let far = TcpStream::connect(target).await;
    let (mut far_reader, mut far_writer) = far.expect("the target listens").into_split();
    let (mut near_reader, mut near_writer) = near.into_split();
    let forth = tokio::spawn(async move {
        // The connection's end is the end of this task, not a failure.
        let _ = tokio::io::copy(&mut near_reader, &mut far_writer).await;
    });
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(read @ 1..) = far_reader.read(&mut buffer).await {
        sleep(on_way).await;
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
async fn a_version_was_not_named_when_a_slow_answer_of_the_store_arrives() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.slow_watches(ON_WAY);
    let named_by = name_version(&store);
    let wanted = belief(&process).await;
    assert_eq!(wanted.certainty, NamingCertainty::Witnessed);
    let late = wanted.named_at.since(named_by);
    assert!(late.is_zero(), "named {late:?} later than it was");
    process.lose_power();
}

/// The same, where the change waits in the store while the answer before it is on its way. The store
/// answers the next question at once, so that the change looks new, and is as old as that way was long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_that_was_named_between_two_questions_is_as_old_as_the_first_answer() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.slow_watches(ON_WAY);
    put_document(&store, 2);
    // The watch has its answer, which is on its way.
    sleep(ON_WAY / 4).await;
    let named_by = name_version(&store);
    let wanted = belief(&process).await;
    let late = wanted.named_at.since(named_by);
    assert!(late.is_zero(), "named {late:?} later than it was");
    process.lose_power();
}

/// Two requests began on older weights 40 and 86 ms behind their bound, sent by hosts far from the store.
/// All hosts of their region took the version for named 0.4 s later than it was, for up to eleven seconds,
/// and told each other so; what waits at an engine is taken back a quarter of a second before the bound.
/// They had it from neighbours near the store, whose answers were that long on the full links between the
/// regions: `[1119] … from=neighbour certainty=Witnessed age_ms=…` put the moment at 18.40 s on host after
/// host, and at 17.92 s once an answer came quickly. An age was told, and counted from the answer's arrival.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_age_that_a_neighbour_tells_grows_on_its_way() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    let near = EntryProcess::start("near", &store);
    near.believes(|snapshot| snapshot.catalog.is_some()).await;
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind_listener(local).await.expect("a free port");
    let answers_at = listener.local_addr().expect("it is bound");
    let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
    tokio::spawn(HttpServer::on(listener, peer_routes(&near.book)).run(drain));
    let neighbour = start_slow_way(answers_at, ON_WAY).await;

    let unreachable = FakeStore::start().await;
    unreachable.set_down(true);
    let far = EntryProcess::start_beside("far", &unreachable, vec![neighbour]);
    far.believes(|snapshot| snapshot.catalog.is_some()).await;
    let named_by = name_version(&store);
    let wanted = belief(&far).await;
    assert_eq!(wanted.certainty, NamingCertainty::Witnessed);
    let late = wanted.named_at.since(named_by);
    assert!(late.is_zero(), "named {late:?} later than it was");
    near.lose_power();
    far.lose_power();
}

/// Every host of a region took a version for new that had been named five seconds before. Documents in quick
/// succession kept the answers to their watches of the operator's table from arriving at all, and each
/// believed itself cut off from the store, which answered all their other questions meanwhile: what is
/// found behind a cut counts as new.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_answers_other_questions_is_not_cut_off() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    // Longer than a watch and its answer may take together.
    store.slow_watches(Duration::from_secs(3));
    let named_by = name_version(&store);
    let wanted = belief(&process).await;
    let late = wanted.named_at.since(named_by);
    assert!(late.is_zero(), "named {late:?} later than it was");
    process.lose_power();
}

/// Hosts of engines that had been told quickly could not tell an entry host, which they asked, that a version
/// had been named earlier than it took it for: of words that are equally certain the first one stayed.
#[test]
fn what_two_have_seen_they_know_better_together() {
    let witnessed = |at, by| TargetUpdateTime {
        at: StoreTime::from_millis(at),
        by: StoreTime::from_millis(by),
        certainty: NamingCertainty::Witnessed,
    };
    let word = |named| TargetAnnouncement {
        target: ModelVersion {
            model: "m".into(),
            version: WeightsVersion(2),
        },
        named,
    };
    let entry = new_book();
    let now = START;
    entry.change(|book| book.take_words(&[word(witnessed(50_000, 90_000))], now));
    let better = [word(witnessed(40_000, 70_000))];
    assert!(entry.read(|book| book.learns_from(&better)));
    entry.change(|book| book.take_words(&better, now));
    assert!(!entry.read(|book| book.learns_from(&better)));
    // One that surely errs does not put the moment behind what another saw.
    let wrong = [word(witnessed(80_000, 95_000))];
    entry.change(|book| book.take_words(&wrong, now));
    let known = entry.read(ControlState::query).targets;
    assert_eq!(known[0].named, witnessed(70_000, 70_000));
    let first = [word(witnessed(50_000, 70_000))];
    let other = new_book();
    other.change(|book| book.take_words(&better, now));
    other.change(|book| book.take_words(&[word(witnessed(50_000, 90_000))], now));
    assert_eq!(other.read(ControlState::query).targets, first);
}
