//! Entry hosts share through the store which requests crash backend servers.

use std::net::SocketAddr;
use std::ops::Deref;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::restarts::EntryProcess;
use super::store_proxy::{ProxyFault, StoreProxy};
use crate::platform::samples::{backend_sample, document_sample};
use crate::platform::{FakeStore, TableName};
use crate::quarantine::{BackendIncarnation, CrashSuspect};
use crate::sync::crash_rows::{crash_key, crash_value};
use crate::sync::{DeploymentSnapshot, EntryRecord, SyncSettings};
use crate::test_support::{digest_of, unused_address};
use crate::time::{ClockTime, clock_now};

/// Within this time every entry host knows what one of them saw.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Within this time after an outage an entry host knows and has reported everything.
const CONTACT_SPAN: Duration = Duration::from_secs(3);
/// Time after which each entry host has a query to a neighbour open, which is held until there is a
/// change.
const SETTLE_SPAN: Duration = Duration::from_secs(3);

async fn populated_store() -> FakeStore {
    let store = FakeStore::start().await;
    let (key, text) = document_sample(1);
    store.put(TableName::Operator, key, &text);
    store.put(TableName::Backends, "i-1", &backend_sample());
    store
}

/// An entry host's process that ends with the test.
struct TestEntry(Option<EntryProcess>);

impl Deref for TestEntry {
    type Target = EntryProcess;

    fn deref(&self) -> &EntryProcess {
        self.0.as_ref().expect("the process is running")
    }
}

impl Drop for TestEntry {
    fn drop(&mut self) {
        self.0
            .take()
            .into_iter()
            .for_each(EntryProcess::stop_abruptly);
    }
}

async fn start_entry(name: &str, store: &FakeStore) -> TestEntry {
    start_entry_at(name, "a", store.address).await
}

/// Starts an entry host of `data_centre` that reaches the store at `store`.
async fn start_entry_at(name: &str, data_centre: &'static str, store: SocketAddr) -> TestEntry {
    let control = unused_address().await;
    let process = EntryProcess::start_with(SyncSettings {
        own_entry: EntryRecord {
            host: name.into(),
            data_centre: data_centre.into(),
            control,
            reports: control,
        },
        store_address: store,
        seeds: Vec::new(),
    });
    process
        .wait_for(|snapshot| snapshot.catalog.is_some())
        .await;
    TestEntry(Some(process))
}

fn note_crash_at(process: &EntryProcess, backend: u64, body: &[u8]) {
    let (backend, now) = (BackendIncarnation(backend), clock_now());
    process.state.change(|state| {
        let suspect = CrashSuspect::of_request(digest_of(body));
        state.note_crash(backend, &[suspect], now);
    });
}

fn has_quarantined(snapshot: &DeploymentSnapshot, body: &[u8]) -> bool {
    let left = snapshot.crashes.quarantine(digest_of(body), clock_now());
    left.is_some()
}

async fn wait_for_quarantine(process: &EntryProcess, body: &[u8]) {
    let quarantined = process.wait_for(|snapshot| has_quarantined(snapshot, body));
    timeout(PROPAGATION_LIMIT, quarantined)
        .await
        .expect("the change arrives in time");
}

/// Guards against entry hosts that each see one crash, so that none of them counts enough.
#[tokio::test]
async fn crashes_seen_by_different_entry_hosts_add_up() {
    let store = populated_store().await;
    let mut processes = Vec::new();
    for name in ["e1", "e2", "e3", "e4", "e5"] {
        processes.push(start_entry(name, &store).await);
    }
    sleep(SETTLE_SPAN).await;
    for (backend, process) in (1..=3).zip(&processes) {
        note_crash_at(process, backend, b"deadly");
        note_crash_at(process, backend, &backend.to_be_bytes());
    }
    for process in &processes {
        wait_for_quarantine(process, b"deadly").await;
        let snapshot = process.state.snapshot().load();
        assert!(!has_quarantined(&snapshot, &1_u64.to_be_bytes()));
    }
}

/// Guards against sending a request again after all processes have restarted.
#[tokio::test]
async fn quarantine_survives_a_restart_of_all_processes() {
    let store = populated_store().await;
    let process = start_entry("e1", &store).await;
    for backend in 1..=3 {
        note_crash_at(&process, backend, b"deadly");
    }
    let other = start_entry("e2", &store).await;
    wait_for_quarantine(&other, b"deadly").await;
    drop(other);
    drop(process);
    let process = start_entry("e3", &store).await;
    // A process accepts requests as soon as it has a document.
    assert!(has_quarantined(&process.state.snapshot().load(), b"deadly"));
}

/// Guards against losing crashes that were seen while the store was unavailable.
#[tokio::test]
async fn crashes_during_an_outage_are_recorded_after_it() {
    let store = populated_store().await;
    let first = start_entry("e1", &store).await;
    let second = start_entry("e2", &store).await;
    store.set_down(true);
    note_crash_at(&first, 1, b"deadly");
    note_crash_at(&second, 2, b"deadly");
    sleep(Duration::from_millis(500)).await;
    note_crash_at(&first, 3, b"deadly");
    store.set_down(false);
    for process in [&first, &second] {
        wait_for_quarantine(process, b"deadly").await;
    }
}

/// Guards against an entry host whose connection to the store failed silently, and that receives or
/// reports nothing in the seconds after.
#[tokio::test]
async fn an_entry_host_that_was_cut_off_catches_up() {
    let store = populated_store().await;
    let proxy = StoreProxy::start(store.address).await;
    let near = start_entry("e1", &store).await;
    let far = start_entry_at("e2", "b", proxy.address).await;
    sleep(SETTLE_SPAN).await;
    proxy.set(ProxyFault::Unresponsive);
    sleep(SETTLE_SPAN).await;
    for backend in 1..=3 {
        note_crash_at(&near, backend, b"near");
        note_crash_at(&far, backend, b"far");
    }
    // Neighbours report it, whatever happens to its own connection.
    wait_for_quarantine(&far, b"near").await;
    proxy.set(ProxyFault::None);
    let quarantined = near.wait_for(|snapshot| has_quarantined(snapshot, b"far"));
    timeout(CONTACT_SPAN, quarantined)
        .await
        .expect("the change arrives in time");
}

/// Guards against a watch that ends for good when the store loses its history, and against rows of
/// other writers that hide those of entry hosts.
#[tokio::test]
async fn crashes_are_read_after_lost_history_and_despite_unreadable_rows() {
    let store = populated_store().await;
    let first = start_entry("e1", &store).await;
    let second = start_entry("e2", &store).await;
    for (key, text) in [("x", "{}"), ("0/0", "{\"verdict\":\"suspected\"}")] {
        store.put(TableName::Crashes, key, text);
    }
    store.forget_history();
    for backend in 1..=3 {
        note_crash_at(&first, backend, b"deadly");
    }
    wait_for_quarantine(&second, b"deadly").await;
}

/// Guards against a quarantine that continues at other entry hosts after the request was answered
/// completely.
#[tokio::test]
async fn a_cleared_request_is_cleared_on_all_entry_hosts() {
    let store = populated_store().await;
    let first = start_entry("e1", &store).await;
    let second = start_entry("e2", &store).await;
    for backend in 1..=3 {
        note_crash_at(&first, backend, b"body");
    }
    wait_for_quarantine(&second, b"body").await;
    first
        .state
        .change(|state| drop(state.clear_request(digest_of(b"body"))));
    let cleared = second.wait_for(|snapshot| !has_quarantined(snapshot, b"body"));
    timeout(PROPAGATION_LIMIT, cleared)
        .await
        .expect("the change arrives in time");
}

/// Guards against a request that is quarantined again after a start, because the store executed an
/// earlier write late, after the clearing.
#[tokio::test]
async fn a_clearing_overrides_a_late_suspicion() {
    let store = populated_store().await;
    let first = start_entry("e1", &store).await;
    for backend in 1..=3 {
        note_crash_at(&first, backend, b"body");
    }
    let records = first
        .state
        .read(|state| state.crashes.unstored(ClockTime(0)));
    let second = start_entry("e2", &store).await;
    wait_for_quarantine(&second, b"body").await;
    second
        .state
        .change(|state| drop(state.clear_request(digest_of(b"body"))));
    let cleared = first.wait_for(|snapshot| !has_quarantined(snapshot, b"body"));
    timeout(PROPAGATION_LIMIT, cleared)
        .await
        .expect("the change arrives in time");
    for record in records {
        let text = crash_value(&record).expect("it encodes");
        let text = String::from_utf8(text).expect("it is JSON");
        store.put(TableName::Crashes, &crash_key(&record), &text);
    }
    let third = start_entry("e3", &store).await;
    assert!(!has_quarantined(&third.state.snapshot().load(), b"body"));
}

/// Guards against rows under keys that no process reads.
#[tokio::test]
async fn a_crash_is_written_under_its_key() {
    let store = populated_store().await;
    let process = start_entry("e1", &store).await;
    note_crash_at(&process, 0xab, b"body");
    let record = process
        .state
        .read(|state| state.crashes.unstored(ClockTime(0))[0]);
    let expected = crash_value(&record).expect("it encodes");
    let key = crash_key(&record);
    assert!(key.ends_with("/00000000000000ab"), "{key}");
    let kept = async {
        while store.text_of(TableName::Crashes, &key).is_none() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PROPAGATION_LIMIT, kept)
        .await
        .expect("the row is written in time");
    let text = store.text_of(TableName::Crashes, &key);
    assert_eq!(text.map(String::into_bytes), Some(expected));
}
