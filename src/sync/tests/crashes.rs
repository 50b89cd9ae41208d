//! Entry hosts tell each other, through the store, which requests crash backend servers.

use std::net::SocketAddr;
use std::ops::Deref;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::restarts::EntryProcess;
use super::store_gate::{GateHarm, StoreGate};
use crate::platform::samples::{backend_sample, document_sample};
use crate::platform::{FakeStore, TableName};
use crate::quarantine::BackendStart;
use crate::sync::crash_rows::{crash_key, crash_text};
use crate::sync::{ControlSnapshot, EntryRecord, SyncSettings};
use crate::test_support::{digest_of, unused_address};
use crate::time::clock_now;

/// Within this every entry host knows what one of them saw.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);
/// Within this behind a cut an entry host knows and tells everything.
const CONTACT_SPAN: Duration = Duration::from_secs(3);
/// Requests of an entry host that asks a neighbour, which is held open until there is news.
const SETTLE_SPAN: Duration = Duration::from_secs(3);

async fn store_in_use() -> FakeStore {
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
        self.0.as_ref().expect("it runs")
    }
}

impl Drop for TestEntry {
    fn drop(&mut self) {
        self.0.take().into_iter().for_each(EntryProcess::lose_power);
    }
}

async fn start_entry(name: &str, store: &FakeStore) -> TestEntry {
    start_entry_at(name, "a", store.address).await
}

/// Starts an entry host of `data_centre` that reaches the store at `store`.
async fn start_entry_at(name: &str, data_centre: &'static str, store: SocketAddr) -> TestEntry {
    let control = unused_address().await;
    let process = EntryProcess::start_with(SyncSettings {
        me: EntryRecord {
            host: name.into(),
            data_centre: data_centre.into(),
            control,
            reports: control,
        },
        store_address: store,
        seeds: Vec::new(),
    });
    process
        .believes(|snapshot| snapshot.catalog.is_some())
        .await;
    TestEntry(Some(process))
}

fn see_crash(process: &EntryProcess, backend: u64, body: &[u8]) {
    let (backend, now) = (BackendStart(backend), clock_now());
    process
        .book
        .change(|book| book.note_crash(backend, &[digest_of(body)], now));
}

fn has_quarantined(snapshot: &ControlSnapshot, body: &[u8]) -> bool {
    let left = snapshot.crashes.quarantine(digest_of(body), clock_now());
    left.is_some()
}

async fn learns(process: &EntryProcess, body: &[u8]) {
    let learning = process.believes(|snapshot| has_quarantined(snapshot, body));
    timeout(KNOWN_WITHIN, learning).await.expect("it learns");
}

/// Guards against entry hosts that each see one crash, so that none of them ever sees enough.
#[tokio::test]
async fn entry_hosts_that_see_one_crash_each_quarantine_together() {
    let store = store_in_use().await;
    let mut processes = Vec::new();
    for name in ["e1", "e2", "e3", "e4", "e5"] {
        processes.push(start_entry(name, &store).await);
    }
    sleep(SETTLE_SPAN).await;
    for (backend, process) in (1..=3).zip(&processes) {
        see_crash(process, backend, b"deadly");
        see_crash(process, backend, &backend.to_be_bytes());
    }
    for process in &processes {
        learns(process, b"deadly").await;
        let snapshot = process.book.snapshot().load();
        assert!(!has_quarantined(&snapshot, &1_u64.to_be_bytes()));
    }
}

/// Guards against processes that have all started again and send the request once more.
#[tokio::test]
async fn what_is_quarantined_outlives_all_processes() {
    let store = store_in_use().await;
    let process = start_entry("e1", &store).await;
    for backend in 1..=3 {
        see_crash(&process, backend, b"deadly");
    }
    let other = start_entry("e2", &store).await;
    learns(&other, b"deadly").await;
    drop(other);
    drop(process);
    let process = start_entry("e3", &store).await;
    // It takes requests as soon as it has a document.
    assert!(has_quarantined(&process.book.snapshot().load(), b"deadly"));
}

/// Guards against crashes that nobody hears of because the store was away when they were seen.
#[tokio::test]
async fn crashes_of_an_outage_are_told_behind_it() {
    let store = store_in_use().await;
    let first = start_entry("e1", &store).await;
    let second = start_entry("e2", &store).await;
    store.set_down(true);
    see_crash(&first, 1, b"deadly");
    see_crash(&second, 2, b"deadly");
    sleep(Duration::from_millis(500)).await;
    see_crash(&first, 3, b"deadly");
    store.set_down(false);
    for process in [&first, &second] {
        learns(process, b"deadly").await;
    }
}

/// Guards against an entry host whose way to the store went silent and that learns nothing, or tells nothing, in
/// the seconds behind it.
#[tokio::test]
async fn an_entry_host_that_was_cut_off_catches_up() {
    let store = store_in_use().await;
    let gate = StoreGate::start(store.address).await;
    let near = start_entry("e1", &store).await;
    let far = start_entry_at("e2", "b", gate.address).await;
    sleep(SETTLE_SPAN).await;
    gate.set(GateHarm::Silent);
    sleep(SETTLE_SPAN).await;
    for backend in 1..=3 {
        see_crash(&near, backend, b"near");
        see_crash(&far, backend, b"far");
    }
    // Its neighbours tell it, whatever becomes of its own way.
    learns(&far, b"near").await;
    gate.set(GateHarm::None);
    let learning = near.believes(|snapshot| has_quarantined(snapshot, b"far"));
    timeout(CONTACT_SPAN, learning).await.expect("it learns");
}

/// Guards against a watch that stops for good where the store forgets its history, and against rows of other
/// writers that hide those of entry hosts.
#[tokio::test]
async fn crashes_are_read_behind_a_forgotten_history_and_beside_rows_that_do_not_read() {
    let store = store_in_use().await;
    let first = start_entry("e1", &store).await;
    let second = start_entry("e2", &store).await;
    for (key, text) in [("x", "{}"), ("0/0", "{\"verdict\":\"suspected\"}")] {
        store.put(TableName::Crashes, key, text);
    }
    store.forget_history();
    for backend in 1..=3 {
        see_crash(&first, backend, b"deadly");
    }
    learns(&second, b"deadly").await;
}

/// Guards against a quarantine that goes on at other entry hosts when the request was answered whole.
#[tokio::test]
async fn a_request_that_is_cleared_is_cleared_everywhere() {
    let store = store_in_use().await;
    let first = start_entry("e1", &store).await;
    let second = start_entry("e2", &store).await;
    for backend in 1..=3 {
        see_crash(&first, backend, b"body");
    }
    learns(&second, b"body").await;
    first
        .book
        .change(|book| book.clear_request(digest_of(b"body")));
    let cleared = second.believes(|snapshot| !has_quarantined(snapshot, b"body"));
    timeout(KNOWN_WITHIN, cleared).await.expect("it learns");
}

/// Guards against a request that is quarantined once more at a start, because the store did an earlier write late,
/// behind the clearing.
#[tokio::test]
async fn a_clearing_outlives_a_late_suspicion() {
    let store = store_in_use().await;
    let first = start_entry("e1", &store).await;
    for backend in 1..=3 {
        see_crash(&first, backend, b"body");
    }
    let records = first.book.read(|book| book.crashes.unkept());
    let second = start_entry("e2", &store).await;
    learns(&second, b"body").await;
    second
        .book
        .change(|book| book.clear_request(digest_of(b"body")));
    let cleared = first.believes(|snapshot| !has_quarantined(snapshot, b"body"));
    timeout(KNOWN_WITHIN, cleared).await.expect("it learns");
    for record in records {
        let text = crash_text(&record).expect("it encodes");
        let text = String::from_utf8(text).expect("it is JSON");
        store.put(TableName::Crashes, &crash_key(&record), &text);
    }
    let third = start_entry("e3", &store).await;
    assert!(!has_quarantined(&third.book.snapshot().load(), b"body"));
}

/// Guards against rows under keys that nobody looks for.
#[tokio::test]
async fn a_crash_stands_under_its_key() {
    let store = store_in_use().await;
    let process = start_entry("e1", &store).await;
    see_crash(&process, 0xab, b"body");
    let record = process.book.read(|book| book.crashes.unkept()[0]);
    let expected = crash_text(&record).expect("it encodes");
    let key = crash_key(&record);
    assert!(key.ends_with("/00000000000000ab"), "{key}");
    let kept = async {
        while store.text_of(TableName::Crashes, &key).is_none() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(KNOWN_WITHIN, kept).await.expect("it is written");
    let text = store.text_of(TableName::Crashes, &key);
    assert_eq!(text.map(String::into_bytes), Some(expected));
}
