//! One data centre's entry hosts follow the operator's table as one, and what becomes of it when those that
//! read it fail. A document has to be in force three seconds after it was accepted.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::restarts::EntryProcess;
use super::store_gate::{GateHarm, StoreGate};
use crate::catalog::CatalogVersion;
use crate::platform::samples::{backend_sample, document_sample};
use crate::platform::{FakeStore, TableName};
use crate::sync::read_order::place_of;
use crate::sync::{ControlSnapshot, EntryRecord, SyncSettings};
use crate::test_support::unused_address;

const ENTRIES: usize = 6;
/// Within this a document is in force everywhere, whatever became of the readers.
const BOUND: Duration = Duration::from_secs(3);
/// Those that started before their readers were there ask these again behind a rest of 2 s.
const SETTLE: Duration = Duration::from_millis(2600);

/// The entry hosts of a data centre, the first in the order first, each with its own way to the store.
struct TestHall {
    store: FakeStore,
    gates: Vec<StoreGate>,
    processes: Vec<Option<EntryProcess>>,
    version: u64,
}

impl TestHall {
    async fn start() -> Self {
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
        records.sort_unstable_by_key(|record| std::cmp::Reverse(place_of(&record.host)));
        let mut hall = Self {
            store,
            gates: Vec::new(),
            processes: Vec::new(),
            version: 0,
        };
        hall.put_document();
        for me in records {
            let gate = StoreGate::start(hall.store.address).await;
            let settings = SyncSettings {
                me,
                store_address: gate.address,
                seeds: Vec::new(),
            };
            hall.gates.push(gate);
            hall.processes
                .push(Some(EntryProcess::start_with(settings)));
        }
        hall.all_have_it(BOUND).await;
        sleep(SETTLE).await;
        hall
    }

    fn put_document(&mut self) {
        self.version += 1;
        let (key, text) = document_sample(self.version);
        self.store.put(TableName::Operator, key, &text);
    }

    /// All that live, whatever became of their ways, have the newest document within `bound`.
    async fn all_have_it(&self, bound: Duration) {
        let version = CatalogVersion(self.version);
        let has_it = |snapshot: &ControlSnapshot| {
            let catalog = snapshot.catalog.as_ref();
            catalog.is_some_and(|catalog| catalog.version >= version)
        };
        self.all_believe(has_it, bound).await;
    }

    /// All that live, whatever became of their ways, know `count` backend servers within `bound`.
    async fn all_know(&self, count: usize, bound: Duration) {
        let know = |snapshot: &ControlSnapshot| snapshot.fleet.backends.len() == count;
        self.all_believe(know, bound).await;
    }

    async fn all_believe(&self, is_there: impl Fn(&ControlSnapshot) -> bool, bound: Duration) {
        let until = Instant::now() + bound;
        for (place, process) in self.processes.iter().enumerate() {
            let Some(process) = process else { continue };
            let waited = timeout_at(until, process.believes(&is_there)).await;
            assert!(waited.is_ok(), "{place} does not know it within {bound:?}");
        }
    }

    fn harm(&self, places: std::ops::Range<usize>, harm: GateHarm) {
        for gate in &self.gates[places] {
            gate.set(harm);
        }
    }

    fn end(self) {
        for process in self.processes.into_iter().flatten() {
            process.lose_power();
        }
    }
}

/// Far entry hosts had documents 2.5 s late, and then none for 11 s: each read every document itself, and
/// the link between two regions was asked for one and a half times what it carries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_is_read_by_two_and_reaches_all() {
    let mut hall = TestHall::start().await;
    let before = hall.store.rows_sent(TableName::Operator);
    for _ in 0..5 {
        hall.put_document();
        hall.all_have_it(Duration::from_millis(500)).await;
    }
    let told = hall.store.rows_sent(TableName::Operator) - before;
    assert!(told <= 10, "five documents were told {told} times");
    hall.end();
}

/// Guards against more than one further reader beside one that stands still and answers again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reader_that_stands_still_costs_one_more_reader() {
    let mut hall = TestHall::start().await;
    let before = hall.store.rows_sent(TableName::Operator);
    let reader = hall.processes[1].as_ref().expect("it lives");
    // Longer than a question to it may take.
    reader.freeze(Duration::from_millis(1200));
    sleep(Duration::from_millis(950)).await;
    for _ in 0..5 {
        hall.put_document();
        hall.all_have_it(BOUND).await;
    }
    let told = hall.store.rows_sent(TableName::Operator) - before;
    assert!(told <= 15, "five documents were told {told} times");
    hall.end();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_reaches_all_whose_readers_were_killed() {
    let mut hall = TestHall::start().await;
    for place in 0..2 {
        if let Some(process) = hall.processes[place].take() {
            process.lose_power();
        }
    }
    hall.put_document();
    hall.all_have_it(BOUND).await;
    hall.end();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_reaches_all_whose_readers_are_frozen() {
    let mut hall = TestHall::start().await;
    let mut frozen = Vec::new();
    for place in 0..2 {
        let process = hall.processes[place].take().expect("it lives");
        process.freeze(BOUND * 2);
        frozen.push(process);
    }
    hall.put_document();
    hall.all_have_it(BOUND).await;
    hall.end();
    for process in frozen {
        process.lose_power();
    }
}

/// The readers themselves have it from their neighbours.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_reaches_all_whose_readers_the_store_turns_away() {
    for harm in [GateHarm::Refused, GateHarm::Reset] {
        let mut hall = TestHall::start().await;
        hall.harm(0..2, harm);
        hall.put_document();
        hall.all_have_it(BOUND).await;
        hall.end();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_reaches_all_whose_readers_hear_nothing_of_the_store() {
    let mut hall = TestHall::start().await;
    hall.harm(0..2, GateHarm::Silent);
    hall.put_document();
    hall.all_have_it(BOUND).await;
    hall.end();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_reaches_all_whose_readers_hear_late_of_the_store() {
    let mut hall = TestHall::start().await;
    hall.harm(0..2, GateHarm::Slow(Duration::from_millis(700)));
    hall.put_document();
    hall.all_have_it(BOUND).await;
    hall.end();
}

/// Each entry host read the list of backend servers itself, which took a sixth of the link between two regions
/// and more calls to the store than all else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_list_of_backend_servers_is_read_by_two_and_reaches_all() {
    let hall = TestHall::start().await;
    let before = hall.store.rows_sent(TableName::Backends);
    for count in 1..=4 {
        let id = format!("b{count}");
        hall.store.put(TableName::Backends, &id, &backend_sample());
        hall.all_know(count, BOUND).await;
    }
    let told = hall.store.rows_sent(TableName::Backends) - before;
    assert!(told <= 8, "four entries were told {told} times");
    hall.end();
}

/// A backend server that leaves may get nothing three seconds later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_list_of_backend_servers_reaches_all_whose_readers_fail() {
    for harm in [GateHarm::Refused, GateHarm::Silent] {
        let hall = TestHall::start().await;
        hall.harm(0..2, harm);
        hall.store.put(TableName::Backends, "b", &backend_sample());
        hall.all_know(1, BOUND).await;
        hall.end();
    }
    let mut hall = TestHall::start().await;
    for place in 0..2 {
        if let Some(process) = hall.processes[place].take() {
            process.lose_power();
        }
    }
    hall.store.put(TableName::Backends, "b", &backend_sample());
    hall.all_know(1, BOUND).await;
    hall.end();
}

/// Behind an outage everybody had taken itself for a reader, and all read the newest document at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_of_an_outage_reaches_all_behind_it() {
    let mut hall = TestHall::start().await;
    hall.harm(0..ENTRIES, GateHarm::Refused);
    sleep(BOUND).await;
    hall.put_document();
    sleep(Duration::from_millis(500)).await;
    hall.harm(0..ENTRIES, GateHarm::None);
    hall.all_have_it(BOUND).await;
    hall.end();
}

/// The store forgot its history while the readers were cut off from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_document_reaches_all_behind_a_history_that_is_forgotten() {
    let mut hall = TestHall::start().await;
    hall.harm(0..2, GateHarm::Silent);
    hall.put_document();
    hall.store.forget_history();
    hall.all_have_it(BOUND).await;
    hall.harm(0..2, GateHarm::None);
    sleep(Duration::from_millis(100)).await;
    hall.put_document();
    hall.all_have_it(BOUND).await;
    hall.end();
}
