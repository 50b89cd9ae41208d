//! What is left of what processes knew when all of them start again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use tokio::time::{sleep, timeout};

use super::{START, at_once, found_at, named, new_book, set_clock, store_time, told_at};
use crate::daemon::DrainState;
use crate::fleet::{ModelVersion, NamingCertainty, WeightsVersion};
use crate::platform::samples::{document_sample, naming_sample};
use crate::platform::{FakeStore, StoreClient, TableName, WriteOutcome};
use crate::sync::naming_time::NamingKnowledge;
use crate::sync::own_rows::VersionRecord;
use crate::sync::peer_messages::PeerQuery;
use crate::sync::sync_thread::run_sync;
use crate::sync::{
    ControlSnapshot, ControlState, EntryRecord, OwnRows, SharedControlState, SyncSettings,
    TargetUpdateTime,
};
use crate::time::ClockTime;
use crate::transport::{ClientLimits, PeerClient};

const WAIT_MAX: Duration = Duration::from_secs(10);

/// An entry host's control thread, which can lose power.
pub(super) struct EntryProcess {
    runtime: Runtime,
    pub(super) book: SharedControlState,
}

impl EntryProcess {
    pub(super) fn start(name: &'static str, store: &FakeStore) -> Self {
        Self::start_beside(name, store, Vec::new())
    }

    /// The same, beside entry hosts that listen at `seeds`.
    pub(super) fn start_beside(
        name: &'static str,
        store: &FakeStore,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = SyncSettings {
            me: EntryRecord {
                host: name.into(),
                data_centre: "a".into(),
                control: local,
                reports: local,
            },
            store_address: store.address,
            seeds,
        };
        Self::start_with(settings)
    }

    pub(super) fn start_with(settings: SyncSettings) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a thread can be had");
        let book = SharedControlState::default();
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        runtime.spawn(run_sync(settings, book.clone(), drain));
        Self { runtime, book }
    }

    /// It does nothing for `span`, and then goes on.
    pub(super) fn freeze(&self, span: Duration) {
        self.runtime.spawn(async move { std::thread::sleep(span) });
    }

    /// Nothing of it is left, and nothing is said on the way.
    pub(super) fn lose_power(self) {
        self.runtime.shutdown_background();
    }

    /// What it believes as soon as `is_there` holds.
    pub(super) async fn believes(
        &self,
        is_there: impl Fn(&ControlSnapshot) -> bool,
    ) -> Arc<ControlSnapshot> {
        let mut changes = self.book.changes();
        let waiting = async {
            loop {
                let snapshot = self.book.snapshot().load();
                if is_there(&snapshot) {
                    return snapshot;
                }
                changes.changed().await.expect("the book is held here");
            }
        };
        let waited = timeout(WAIT_MAX, waiting).await;
        waited.expect("the process learns it from the store")
    }
}

fn newest(snapshot: &ControlSnapshot) -> Option<WeightsVersion> {
    let wanted = snapshot.newest_version("m");
    wanted.map(|wanted| wanted.target.version)
}

fn name_version(store: &FakeStore, version: u64) {
    let (key, text) = naming_sample(version);
    store.put(TableName::Operator, key, &text);
}

fn put_document(store: &FakeStore, version: u64) {
    let (key, text) = document_sample(version);
    store.put(TableName::Operator, key, &text);
}

/// Waits until the store keeps that `version` was named.
pub(super) async fn await_record(store: &FakeStore, version: u64) {
    let is_kept = || {
        let text = store.text_of(TableName::Own, "weights/m");
        let kept = text.and_then(|text| serde_json::from_str::<ModelVersion>(&text).ok());
        kept.is_some_and(|kept| kept.version >= WeightsVersion(version))
    };
    let kept = async {
        while !is_kept() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = timeout(WAIT_MAX, kept).await;
    waited.expect("the version is recorded");
}

/// What a process believes that starts beside `store`, as soon as it could take requests.
async fn belief_of_new(store: &FakeStore) -> Arc<ControlSnapshot> {
    let process = EntryProcess::start("new", store);
    let snapshot = process.believes(|snapshot| snapshot.catalog.is_some());
    let snapshot = snapshot.await;
    process.lose_power();
    snapshot
}

/// All hosts lost power, and from then on requests began on weights that had been replaced half a minute
/// before. The naming of version 2 had got no answer; the store did it late, over the naming of version 3.
/// Processes that lived stayed with version 3 and told `[1111] … version=2 known=3 from=store/75`. Those
/// that started afterwards knew only the store's row, told `[1102] … version=2 from=store/75
/// certainty=Assumed`, and 24 engines were loaded with version 2.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_named_version_outlives_a_late_older_naming_and_a_restart_of_all() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    name_version(&store, 2);
    let first = EntryProcess::start("first", &store);
    first.believes(|snapshot| newest(snapshot).is_some()).await;
    name_version(&store, 3);
    let is_third = |snapshot: &ControlSnapshot| newest(snapshot) == Some(WeightsVersion(3));
    first.believes(is_third).await;
    await_record(&store, 3).await;
    name_version(&store, 2);
    first.lose_power();
    let second = EntryProcess::start("second", &store);
    let snapshot = second.believes(|snapshot| snapshot.catalog.is_some()).await;
    assert_eq!(newest(&snapshot), Some(WeightsVersion(3)));
    second.lose_power();
}

/// A version that was named while the row of its record held what somebody else had written would be
/// lost again with all processes; and a look for it after each change of the view, each of which is
/// one, would keep the thread and the store busy for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_record_that_does_not_read_is_written_over_once() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    store.put(TableName::Own, "weights/m", "{\"model\":7}");
    store.put(TableName::Own, "another", "no entry of an entry host");
    name_version(&store, 3);
    let first = EntryProcess::start("first", &store);
    first.believes(|snapshot| newest(snapshot).is_some()).await;
    await_record(&store, 3).await;
    sleep(Duration::from_millis(300)).await;
    // Its entry, a record where none was known, and one over what stood there.
    assert!(store.change_calls() <= 4, "{}", store.change_calls());
    assert_eq!(store.changes_done(), 2, "its entry and one record");
    name_version(&store, 2);
    first.lose_power();
    let second = EntryProcess::start("second", &store);
    let snapshot = second.believes(|snapshot| snapshot.catalog.is_some()).await;
    assert_eq!(newest(&snapshot), Some(WeightsVersion(3)));
    second.lose_power();
}

/// All entry hosts were started again beside hosts of backend servers that lived on, and did not know
/// the version that these had been told: a host that came new was told the older one.
#[test]
fn an_entry_host_learns_a_version_from_whoever_asks_it() {
    let lived = new_book();
    lived.change(|book| book.change_operator_rows(&[named(3)], told_at(START)));
    let later = START + Duration::from_secs(20);
    let words = lived.read(ControlState::query).targets;
    let started = new_book();
    assert!(started.read(|book| book.learns_from(&words)));
    started.change(|book| book.take_words(&words, later));
    assert!(!started.read(|book| book.learns_from(&words)));
    let snapshot = started.snapshot().load();
    assert_eq!(newest(&snapshot), Some(WeightsVersion(3)));
    let wanted = snapshot.newest_version("m").expect("it was told");
    assert_eq!(wanted.named_at, START);
}

fn named_at(snapshot: &ControlSnapshot) -> ClockTime {
    let wanted = snapshot.newest_version("m");
    wanted.expect("a version is wanted").named_at
}

/// Requests would begin on older weights up to six seconds behind the bound: a process that started took
/// the version that it found for old, and then, when it read the system's own rows once more, for one
/// that had been named that moment.
#[test]
fn a_record_that_is_read_again_does_not_make_a_version_new() {
    let book = new_book();
    let record = |revision| {
        OwnRows::with_record(VersionRecord {
            target: ModelVersion {
                model: "m".into(),
                version: WeightsVersion(2),
            },
            revision,
        })
    };
    let found = found_at(NamingKnowledge::Started, START);
    book.change(|book| book.take_own_rows(record(5), found));
    let later = START + Duration::from_secs(10);
    let again = found_at(NamingKnowledge::Interrupted, later);
    book.change(|book| book.take_own_rows(record(6), again));
    assert_eq!(store_time(named_at(&book.snapshot().load())), found.at);
}

/// The same by the operator's table: the store forgot its history soon after a start, the table was read
/// as a whole once more, and a version of before counted as one that the process had just been told.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_table_that_is_read_anew_does_not_make_a_version_new() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    name_version(&store, 2);
    let process = EntryProcess::start("first", &store);
    let is_there = |snapshot: &ControlSnapshot| snapshot.catalog.is_some();
    process.believes(is_there).await;
    let named = |process: &EntryProcess| process.book.read(ControlState::query).targets;
    let found = named(&process);
    store.forget_history();
    put_document(&store, 2);
    let has_second = |snapshot: &ControlSnapshot| {
        let catalog = snapshot.catalog.as_ref();
        catalog.is_some_and(|catalog| catalog.version.0 == 2)
    };
    process.believes(has_second).await;
    assert_eq!(named(&process), found);
    process.lose_power();
}

/// A version named while all entry hosts were killed would bind too late: the hosts of backend servers
/// beside them had been told when, the entry hosts that had started only assumed it.
#[test]
fn an_entry_host_learns_from_whoever_asks_it_when_a_version_was_named() {
    let lived = new_book();
    lived.change(|book| book.change_operator_rows(&[named(2)], told_at(START)));
    let later = START + Duration::from_secs(20);
    let started = new_book();
    let resumed = TargetUpdateTime::guessed(store_time(later), NamingCertainty::Resumed);
    started.change(|book| book.change_operator_rows(&[named(2)], resumed));
    let words = lived.read(ControlState::query).targets;
    assert!(started.read(|book| book.learns_from(&words)));
    started.change(|book| book.take_words(&words, later));
    assert!(!started.read(|book| book.learns_from(&words)));
    assert_eq!(named_at(&started.snapshot().load()), START);
}

/// All entry hosts were without power when version 3 was named, and an older naming was done over it before
/// the first of them was back: `[1102] … version=2 from=store/78 certainty=Assumed` on every one. Nobody
/// had been told of version 3, so that nothing of the system's own recorded it. The store still knew each
/// change of the last seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_that_was_written_over_before_anybody_heard_is_found_in_the_history() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    name_version(&store, 2);
    name_version(&store, 3);
    name_version(&store, 2);
    for document in 2..80 {
        put_document(&store, document);
    }
    let snapshot = belief_of_new(&store).await;
    assert_eq!(newest(&snapshot), Some(WeightsVersion(3)));
}

/// A store that has forgotten its history tells what stands, and the process is ready with that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_starts_beside_a_store_that_has_forgotten_its_history() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    name_version(&store, 2);
    store.forget_history();
    let snapshot = belief_of_new(&store).await;
    assert_eq!(newest(&snapshot), Some(WeightsVersion(2)));
}

/// Entry hosts refused every stream for four seconds too long. They had started and found a version, which
/// they took for six seconds old; the hosts of engines had been told of the one before it only two seconds
/// before that start, so that the newer one could not be older.
#[test]
fn a_version_is_not_taken_for_older_than_the_one_before_it() {
    let lived = new_book();
    lived.change(|book| book.change_operator_rows(&[named(2)], told_at(START)));
    let now = START + Duration::from_secs(2);
    let found = found_at(NamingKnowledge::Started, now);
    let started = new_book();
    set_clock(&started, now);
    started.change(|book| book.set_operator_rows(&[named(3)], found));
    let words = lived.read(ControlState::query).targets;
    assert!(started.read(|book| book.learns_from(&words)));
    started.change(|book| book.take_words(&words, now));
    assert_eq!(named_at(&started.snapshot().load()), START);
    let view = started.read(|book| book.answer(&PeerQuery::default(), Duration::ZERO, now));
    lived.change(|book| book.merge(view, at_once(now)));
    assert_eq!(named_at(&lived.snapshot().load()), START);
}

/// A record of version 2 that a process had begun to write, and that the store did last, would bring the
/// older weights back at the next restart of all.
#[tokio::test]
async fn a_record_that_is_written_late_does_not_replace_a_newer_one() {
    let store = FakeStore::start().await;
    let third = "{\"model\":\"m\",\"version\":3}";
    store.put(TableName::Own, "weights/m", third);
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    let client = StoreClient::new(store.address, client);
    let second = b"{\"model\":\"m\",\"version\":2}";
    let writing = client.write_row_at(TableName::Own, ("weights/m", 0), second, WAIT_MAX);
    let outcome = writing.await.expect("the store answers").outcome;
    let WriteOutcome::Refused { row: Some(row) } = outcome else {
        panic!("it was done: {outcome:?}");
    };
    assert_eq!(row.value.as_deref(), Some(third.as_bytes()));
    let stands = store.text_of(TableName::Own, "weights/m");
    assert_eq!(stands.as_deref(), Some(third));
}

/// Every stream was refused for five seconds behind an outage of the store. A process that had started
/// meanwhile took the versions that it found at the store's return for six seconds old; the others heard of
/// them from it first, and their own watches, which had been cut, told no more of them.
#[test]
fn a_watch_that_was_cut_tells_more_than_an_assumption_that_was_heard_before() {
    let back = START + Duration::from_secs(20);
    let started = new_book();
    let assumed = found_at(NamingKnowledge::Started, back);
    started.change(|book| book.set_operator_rows(&[named(2)], assumed));
    let words = started.read(ControlState::query).targets;
    let cut = new_book();
    cut.change(|book| book.take_words(&words, back));
    let found = found_at(NamingKnowledge::Interrupted, back);
    // The process that had started has recorded it, which is read before the watch goes on.
    let record = OwnRows::with_record(VersionRecord {
        target: words[0].target.clone(),
        revision: 8,
    });
    cut.change(|book| book.take_own_rows(record, found));
    cut.change(|book| book.change_operator_rows(&[named(2)], found));
    assert_eq!(store_time(named_at(&cut.snapshot().load())), found.at);
    // The same row once more tells nothing.
    let later = back + Duration::from_secs(5);
    let followed = NamingKnowledge::Followed(store_time(back));
    let later = found_at(followed, later);
    cut.change(|book| book.change_operator_rows(&[named(2)], later));
    assert_eq!(store_time(named_at(&cut.snapshot().load())), found.at);
}
