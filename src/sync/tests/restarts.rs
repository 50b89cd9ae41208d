//! What is left of what processes knew when all of them start again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use tokio::time::{sleep, timeout};

use crate::daemon::DrainState;
use crate::fleet::{NamingCertainty, WeightsVersion};
use crate::platform::samples::{document_sample, naming_sample};
use crate::platform::{FakeStore, StoreRow, TableName};
use crate::sync::sync_thread::run_sync;
use crate::sync::{ControlSnapshot, EntryRecord, NamingTime, SharedBook, SyncSettings};
use crate::time::ClockTime;

const WAIT_MAX: Duration = Duration::from_secs(10);
const START: ClockTime = ClockTime::from_millis(100_000);

/// An entry host's control thread, which can lose power.
pub(super) struct EntryProcess {
    runtime: Runtime,
    pub(super) book: SharedBook,
}

impl EntryProcess {
    pub(super) fn start(name: &'static str, store: &FakeStore) -> Self {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = SyncSettings {
            me: EntryRecord {
                host: name.into(),
                data_centre: "a".into(),
                control: local,
                reports: local,
            },
            store_address: store.address,
            seeds: Vec::new(),
        };
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a thread can be had");
        let book = SharedBook::default();
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        runtime.spawn(run_sync(settings, book.clone(), drain));
        Self { runtime, book }
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

/// Gives a process the time to write what it wants to outlive it.
async fn await_transactions(store: &FakeStore, count: usize) {
    let written = async {
        while store.transactions_done() < count {
            sleep(Duration::from_millis(5)).await;
        }
    };
    // A process that writes less is judged by what the next one believes.
    let _ = timeout(Duration::from_secs(3), written).await;
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
    // Its own entry, and what it writes of the two versions.
    await_transactions(&store, 3).await;
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
    await_transactions(&store, 2).await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(store.transactions_done(), 2, "its entry and one record");
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
    let lived = SharedBook::default();
    let told = |at| NamingTime {
        at,
        certainty: NamingCertainty::Witnessed,
    };
    let (key, text) = naming_sample(3);
    let row = StoreRow {
        key: key.to_owned(),
        revision: 1,
        value: Some(text.into()),
    };
    lived.change(|book| book.take_operator_rows(&[row], told(START)));
    let later = START + Duration::from_secs(20);
    let words = lived.read(|book| book.ask(later)).wanted;
    let started = SharedBook::default();
    assert!(started.read(|book| book.learns_from(&words)));
    started.change(|book| book.take_words(&words, later));
    assert!(!started.read(|book| book.learns_from(&words)));
    let snapshot = started.snapshot().load();
    assert_eq!(newest(&snapshot), Some(WeightsVersion(3)));
    let wanted = snapshot.newest_version("m").expect("it was told");
    assert_eq!(wanted.named_at, START);
}
