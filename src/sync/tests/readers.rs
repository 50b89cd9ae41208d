//! Entry hosts of one data centre share the reading of the operator's table, and handle failures of
//! the readers. A document has to be in force three seconds after it was accepted.

use std::ops::Range;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::late_messages::{second, set_target_version};
use super::restarts::EntryProcess;
use super::store_proxy::{ProxyFault, StoreProxy};
use crate::catalog::CatalogVersion;
use crate::platform::samples::{backend_sample, document_sample};
use crate::platform::{FakeStore, TableName};
use crate::sync::read_order::rank_of;
use crate::sync::{DeploymentSnapshot, DeploymentState, EntryRecord, SyncSettings};
use crate::test_support::unused_address;

const ENTRIES: usize = 6;
/// Within this time a document is in force everywhere, whatever happens to the readers.
const DOCUMENT_TIME_LIMIT: Duration = Duration::from_secs(3);
/// Entry hosts that started before their readers query them again after an exclusion of 2 s.
const SETTLE_SPAN: Duration = Duration::from_millis(2600);

/// The entry hosts of a data centre, highest rank first, each with its own proxy to the store.
pub(super) struct TestDataCentre {
    pub(super) store: FakeStore,
    proxies: Vec<StoreProxy>,
    settings: Vec<SyncSettings>,
    processes: Vec<Option<EntryProcess>>,
    version: u64,
}

impl TestDataCentre {
    pub(super) async fn start() -> Self {
        let data_centre = Self::start_from(0).await;
        data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
        sleep(SETTLE_SPAN).await;
        data_centre
    }

    /// Starts only the processes from `first` on. The others are registered, but not running.
    async fn start_from(first: usize) -> Self {
        let store = FakeStore::start().await;
        let mut records = Vec::new();
        for number in 0..ENTRIES {
            let control = unused_address().await;
            let record = EntryRecord {
                host: format!("e{number}").into(),
                data_centre: "a".into(),
                control,
                reports: control,
            };
            let text = serde_json::to_string(&record).expect("it encodes");
            store.put(TableName::System, &record.host, &text);
            records.push(record);
        }
        records.sort_unstable_by_key(|record| std::cmp::Reverse(rank_of(&record.host)));
        let mut data_centre = Self {
            store,
            proxies: Vec::new(),
            settings: Vec::new(),
            processes: Vec::new(),
            version: 0,
        };
        data_centre.put_document();
        for (index, own_entry) in records.into_iter().enumerate() {
            let proxy = StoreProxy::start(data_centre.store.address).await;
            let settings = SyncSettings {
                own_entry,
                store_address: proxy.address,
                seeds: Vec::new(),
            };
            data_centre.proxies.push(proxy);
            data_centre.settings.push(settings.clone());
            data_centre
                .processes
                .push((index >= first).then(|| EntryProcess::start_with(settings)));
        }
        data_centre
    }

    /// Starts the first two processes, which read, after the others.
    fn start_readers(&mut self) {
        for index in 0..2 {
            let settings = self.settings[index].clone();
            self.processes[index] = Some(EntryProcess::start_with(settings));
        }
    }

    fn process(&self, index: usize) -> &EntryProcess {
        self.processes[index]
            .as_ref()
            .expect("the process is running")
    }

    /// The name of a host, by its index.
    pub(super) fn host(&self, index: usize) -> String {
        self.settings[index].own_entry.host.to_string()
    }

    fn put_document(&mut self) {
        self.version += 1;
        let (key, text) = document_sample(self.version);
        self.store.put(TableName::Operator, key, &text);
    }

    /// Waits until all running processes have the newest document, within `time_limit`.
    async fn wait_for_document(&self, time_limit: Duration) {
        let version = CatalogVersion(self.version);
        let is_current = |snapshot: &DeploymentSnapshot| {
            let catalog = snapshot.catalog.as_ref();
            catalog.is_some_and(|catalog| catalog.version >= version)
        };
        self.wait_for_all(is_current, time_limit).await;
    }

    /// Waits until all running processes know `count` backend servers, within `time_limit`.
    pub(super) async fn wait_for_backends(&self, count: usize, time_limit: Duration) {
        let is_complete = |snapshot: &DeploymentSnapshot| snapshot.fleet.backends.len() == count;
        self.wait_for_all(is_complete, time_limit).await;
    }

    pub(super) async fn wait_for_all(
        &self,
        is_ready: impl Fn(&DeploymentSnapshot) -> bool,
        time_limit: Duration,
    ) {
        let until = Instant::now() + time_limit;
        for (index, process) in self.processes.iter().enumerate() {
            let Some(process) = process else { continue };
            let waited = timeout_at(until, process.wait_for(&is_ready)).await;
            assert!(
                waited.is_ok(),
                "process {index} has not got it within {time_limit:?}"
            );
        }
    }

    fn fault(&self, indices: Range<usize>, fault: ProxyFault) {
        for proxy in &self.proxies[indices] {
            proxy.set(fault);
        }
    }

    /// Cuts the entry hosts that read the store off from it.
    pub(super) fn cut_off_readers(&self) {
        self.fault(0..2, ProxyFault::Unresponsive);
    }

    pub(super) fn end(self) {
        for process in self.processes.into_iter().flatten() {
            process.stop_abruptly();
        }
    }
}

/// Guards against each entry host reading every document itself. The link between two regions then
/// needed one and a half times its capacity, and distant entry hosts got documents 2.5 s late, and
/// then none for 11 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_is_read_by_two_and_reaches_all() {
    let mut data_centre = TestDataCentre::start().await;
    let before = data_centre.store.rows_sent(TableName::Operator);
    for _ in 0..5 {
        data_centre.put_document();
        data_centre
            .wait_for_document(Duration::from_millis(500))
            .await;
    }
    let reads = data_centre.store.rows_sent(TableName::Operator) - before;
    assert!(reads <= 10, "five documents were read {reads} times");
    data_centre.end();
}

/// Guards against more than one additional reader while a stalled reader is answering again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reader_that_stands_still_costs_one_more_reader() {
    let mut data_centre = TestDataCentre::start().await;
    let before = data_centre.store.rows_sent(TableName::Operator);
    let reader = data_centre.process(1);
    // Longer than the time limit of a query to it.
    reader.stall(Duration::from_millis(1200));
    sleep(Duration::from_millis(950)).await;
    for _ in 0..5 {
        data_centre.put_document();
        data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    }
    let reads = data_centre.store.rows_sent(TableName::Operator) - before;
    assert!(reads <= 15, "five documents were read {reads} times");
    data_centre.end();
}

/// Guards against a watch that is held longer than its process has to read. For up to 1.4 s after
/// the exclusion of a reader, each document crossed the link between two regions once more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_stops_reading_when_an_exclusion_ends() {
    let mut data_centre = TestDataCentre::start_from(2).await;
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    data_centre.start_readers();
    // The exclusion ends after 2 s. The second watch would end after 2.8 s.
    sleep(Duration::from_millis(2300)).await;
    let before = data_centre.store.rows_sent(TableName::Operator);
    data_centre.put_document();
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    let reads = data_centre.store.rows_sent(TableName::Operator) - before;
    assert!(reads <= 2, "a document was read {reads} times");
    data_centre.end();
}

/// Guards against a watch of the requests that crash backend servers that is held longer than its
/// process has to read. Each row crossed the link once more for up to 2.5 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_stops_reading_crashes_when_an_exclusion_ends() {
    let mut data_centre = TestDataCentre::start_from(2).await;
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    data_centre.start_readers();
    sleep(Duration::from_millis(2300)).await;
    let before = data_centre.store.rows_sent(TableName::Crashes);
    data_centre.store.put(TableName::Crashes, "r/1", "{}");
    sleep(Duration::from_millis(500)).await;
    let reads = data_centre.store.rows_sent(TableName::Crashes) - before;
    assert_eq!(reads, 2, "the row was read {reads} times");
    data_centre.end();
}

/// Guards against a watch that is held although its process reads only once. When two readers
/// failed, all their followers received the next document from the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_that_read_once_do_not_hold_a_watch() {
    let mut data_centre = TestDataCentre::start().await;
    // New readers then find no past versions, which would count as well.
    data_centre.store.forget_history();
    data_centre.put_document();
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    for index in 0..2 {
        data_centre.process(index).stall(Duration::from_secs(3));
    }
    // By then no follower has got a response from either of them, and the next two read.
    sleep(Duration::from_millis(2100)).await;
    let before = data_centre.store.rows_sent(TableName::Operator);
    data_centre.put_document();
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    let reads = data_centre.store.rows_sent(TableName::Operator) - before;
    // The stalled ones read it when they continue.
    assert!(reads <= 4, "a document was read {reads} times");
    data_centre.end();
}

/// Guards against a new reader whose knowledge stays that of the failed one until the end of its
/// first watch. Its followers excluded it as outdated, and some of them read as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_reader_knows_the_table_at_once() {
    let data_centre = TestDataCentre::start().await;
    for index in 0..2 {
        data_centre.process(index).stall(Duration::from_secs(3));
    }
    // A query is held open for 0.6 s and has a time limit of 0.9 s.
    sleep(Duration::from_millis(1300)).await;
    let reads = data_centre
        .process(2)
        .state
        .read(DeploymentState::reads_store);
    assert!(reads, "the store has not answered the next process yet");
    data_centre.end();
}

/// Guards against followers that read the store's history because they read once. When two readers
/// failed, each follower received all recent documents in addition to the newest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn followers_that_read_once_do_not_read_the_history() {
    let data_centre = TestDataCentre::start().await;
    let before = data_centre.store.rows_sent(TableName::Operator);
    for index in 0..2 {
        data_centre.process(index).stall(Duration::from_secs(4));
    }
    // The followers read after 1.8 s at the latest. One second later the two that have become
    // readers read the history, in two steps.
    sleep(Duration::from_millis(3400)).await;
    let reads = data_centre.store.rows_sent(TableName::Operator) - before;
    assert!(reads <= 4, "past documents were read {reads} times");
    data_centre.end();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_arrives_when_readers_are_killed() {
    let mut data_centre = TestDataCentre::start().await;
    for index in 0..2 {
        if let Some(process) = data_centre.processes[index].take() {
            process.stop_abruptly();
        }
    }
    data_centre.put_document();
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    data_centre.end();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_arrives_when_readers_stall() {
    let mut data_centre = TestDataCentre::start().await;
    let mut stalled = Vec::new();
    for index in 0..2 {
        let process = data_centre.processes[index]
            .take()
            .expect("the process is running");
        process.stall(DOCUMENT_TIME_LIMIT * 2);
        stalled.push(process);
    }
    data_centre.put_document();
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    data_centre.end();
    for process in stalled {
        process.stop_abruptly();
    }
}

/// The readers themselves get the document from their neighbours.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_arrives_when_the_store_refuses_readers() {
    for fault in [ProxyFault::Refused, ProxyFault::Reset] {
        let mut data_centre = TestDataCentre::start().await;
        data_centre.fault(0..2, fault);
        data_centre.put_document();
        data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
        data_centre.end();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_arrives_when_the_store_does_not_answer_readers() {
    let mut data_centre = TestDataCentre::start().await;
    data_centre.fault(0..2, ProxyFault::Unresponsive);
    data_centre.put_document();
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    data_centre.end();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_arrives_when_the_store_answers_readers_late() {
    let mut data_centre = TestDataCentre::start().await;
    data_centre.fault(0..2, ProxyFault::Slow(Duration::from_millis(700)));
    data_centre.put_document();
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    data_centre.end();
}

/// Guards against each entry host reading the list of backend servers itself, which took a sixth of
/// the link between two regions and more calls to the store than everything else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_backend_list_is_read_by_two_and_reaches_all() {
    let data_centre = TestDataCentre::start().await;
    let before = data_centre.store.rows_sent(TableName::Backends);
    for count in 1..=4 {
        let id = format!("b{count}");
        data_centre
            .store
            .put(TableName::Backends, &id, &backend_sample());
        data_centre
            .wait_for_backends(count, DOCUMENT_TIME_LIMIT)
            .await;
    }
    let reads = data_centre.store.rows_sent(TableName::Backends) - before;
    assert!(reads <= 8, "four entries were read {reads} times");
    data_centre.end();
}

/// A leaving backend server may get no request three seconds later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_backend_list_arrives_when_readers_fail() {
    for fault in [ProxyFault::Refused, ProxyFault::Unresponsive] {
        let data_centre = TestDataCentre::start().await;
        data_centre.fault(0..2, fault);
        data_centre
            .store
            .put(TableName::Backends, "b", &backend_sample());
        data_centre.wait_for_backends(1, DOCUMENT_TIME_LIMIT).await;
        data_centre.end();
    }
    let mut data_centre = TestDataCentre::start().await;
    for index in 0..2 {
        if let Some(process) = data_centre.processes[index].take() {
            process.stop_abruptly();
        }
    }
    data_centre
        .store
        .put(TableName::Backends, "b", &backend_sample());
    data_centre.wait_for_backends(1, DOCUMENT_TIME_LIMIT).await;
    data_centre.end();
}

/// Guards against all entry hosts acting as readers after an outage, and reading the newest
/// document at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_written_in_an_outage_arrives_after_it() {
    let mut data_centre = TestDataCentre::start().await;
    data_centre.fault(0..ENTRIES, ProxyFault::Refused);
    sleep(DOCUMENT_TIME_LIMIT).await;
    data_centre.put_document();
    sleep(Duration::from_millis(500)).await;
    data_centre.fault(0..ENTRIES, ProxyFault::None);
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    data_centre.end();
}

/// The store lost its history while the readers were cut off from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_arrives_after_lost_history() {
    let mut data_centre = TestDataCentre::start().await;
    data_centre.fault(0..2, ProxyFault::Unresponsive);
    data_centre.put_document();
    data_centre.store.forget_history();
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    data_centre.fault(0..2, ProxyFault::None);
    sleep(Duration::from_millis(100)).await;
    data_centre.put_document();
    data_centre.wait_for_document(DOCUMENT_TIME_LIMIT).await;
    data_centre.end();
}

/// Guards against a query to a reader without newer knowledge that ends an interruption. The first
/// version set after an outage was dated before it, and all engines took it as overdue at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_query_without_news_does_not_end_an_interruption() {
    let data_centre = TestDataCentre::start().await;
    data_centre.fault(0..ENTRIES, ProxyFault::Refused);
    // The exclusion of a reader that the store does not answer ends after 2 s.
    sleep(Duration::from_millis(1500)).await;
    // A process has just queried a reader if it does not count as a reader itself.
    let find_queried = || {
        (2..ENTRIES).find(|index| {
            let state = &data_centre.process(*index).state;
            !state.read(DeploymentState::reads_store)
        })
    };
    let found = timeout_at(Instant::now() + DOCUMENT_TIME_LIMIT, async {
        loop {
            if let Some(index) = find_queried() {
                return index;
            }
            sleep(Duration::from_millis(1)).await;
        }
    });
    let queried = found.await.expect("the exclusion ends");
    let set_by = set_target_version(&data_centre.store);
    data_centre.fault(queried..queried + 1, ProxyFault::None);
    let knows = |snapshot: &DeploymentSnapshot| second(snapshot).is_some();
    data_centre.wait_for_all(knows, DOCUMENT_TIME_LIMIT).await;
    sleep(DOCUMENT_TIME_LIMIT).await;
    for index in 0..ENTRIES {
        let snapshot = data_centre.process(index).state.snapshot().load();
        let weights = second(&snapshot).expect("it was waited for");
        let early = set_by.since(weights.target_set_at);
        assert!(
            early < Duration::from_millis(500),
            "process {index} dated it {early:?} too early, {:?}",
            weights.certainty
        );
    }
    data_centre.end();
}
