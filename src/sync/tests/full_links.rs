//! Full links, forgotten history and repeated writes around the naming of a version: whatever a process finds,
//! and however late, it does not take a version for named later than it was.

use std::time::Duration;

use tokio::time::sleep;

use super::late_words::{belief, follower, name_version, put_document, second};
use super::restarts::EntryProcess;
use super::{START, at_once, document, named, new_book, set_clock, store_time};
use crate::fleet::{ModelVersion, NamingCertainty, WeightsVersion};
use crate::platform::{FakeStore, StoreRow, TableName};
use crate::sync::naming_time::{NamingKnowledge, TargetUpdateTime};
use crate::sync::peer_messages::TargetAnnouncement;
use crate::sync::{ControlState, SharedControlState};
use crate::time::{ClockTime, StoreTime};

/// How long a watch's answer with rows takes that does not come in time.
const TOO_SLOW: Duration = Duration::from_secs(3);

/// Some seconds behind its first word of it, `process` takes the version for named at `named_by` or before.
async fn check_late(process: &EntryProcess, named_by: ClockTime) {
    belief(process).await;
    sleep(Duration::from_secs(3)).await;
    let wanted = belief(process).await;
    let late = wanted.named_at.since(named_by);
    assert!(late.is_zero(), "named {late:?} later than it was");
}

/// A region behind a full link took a version for new that had been named 1.7 s before. The watch of the
/// operator's table did not come through; the system's own rows did, and told the version, which a host near
/// the store had recorded. What they tell was taken for found behind a cut, in every process that lived.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_record_that_is_read_before_the_watch_comes_does_not_make_a_version_new() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.slow_watches(TOO_SLOW);
    let named_by = name_version(&store);
    let record = "{\"model\":\"m\",\"version\":2}";
    store.put(TableName::Own, "weights/m", record);
    check_late(&process, named_by).await;
    process.lose_power();
}

/// The store was away and came back; 0.9 s later a version was named. The operator's table, full of
/// documents, came through two seconds behind that, and all in it counted as found behind the cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_that_is_named_behind_the_stores_return_is_not_found_behind_a_cut() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.set_down(true);
    sleep(Duration::from_millis(2600)).await;
    store.slow_watches(TOO_SLOW);
    put_document(&store, 2);
    store.set_down(false);
    sleep(Duration::from_millis(900)).await;
    let named_by = name_version(&store);
    check_late(&process, named_by).await;
    process.lose_power();
}

/// The store forgot its history while an answer was on its way. What was then read as a whole counted as found
/// behind a cut, 0.6 s too late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_forgotten_history_does_not_make_a_version_new() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.slow_watches(Duration::from_millis(800));
    put_document(&store, 2);
    sleep(Duration::from_millis(100)).await;
    let named_by = name_version(&store);
    store.forget_history();
    check_late(&process, named_by).await;
    process.lose_power();
}

fn naming_row(version: u64, revision: u64) -> StoreRow {
    StoreRow {
        revision,
        ..named(version)
    }
}

fn at(millis: u64) -> ClockTime {
    START + Duration::from_millis(millis)
}

/// The store tells at `now` that `revision` is its newest.
fn mark(book: &SharedControlState, revision: u64, now: ClockTime) {
    book.change(|book| book.note_store_answer(revision, store_time(now), at_once(now)));
}

/// A version counted as named 2.5 s later than it was: its naming was repeated, and the row that a whole read
/// showed had the revision of the second write.
#[test]
fn a_row_that_was_written_again_tells_nothing_of_the_first_time() {
    let book = new_book();
    mark(&book, 10, at(0));
    let followed = NamingKnowledge::Followed(store_time(at(0)));
    // Named at 0.5 s with revision 11, and again at 3.5 s with revision 30.
    for (revision, millis) in [(15, 1000), (20, 2000), (25, 3000), (35, 4000)] {
        mark(&book, revision, at(millis));
    }
    let told = store_time(at(4000));
    let time = followed
        .behind_failure(Some(store_time(at(0))))
        .naming_time(told, told);
    let rows = [document(2), naming_row(2, 30)];
    book.change(|book| book.set_operator_rows(&rows, time));
    let snapshot = book.snapshot().load();
    let wanted = second(&snapshot).expect("it was read");
    assert!(wanted.named_at <= at(500), "{:?}", wanted.named_at);
}

/// Every host took a version that it found behind a cut for named four seconds after the store's return: the
/// operator's table came late, while an answer of another table had counted the change at the return.
#[test]
fn what_is_found_behind_a_cut_is_not_newer_than_an_answer_that_counted_it() {
    let book = new_book();
    mark(&book, 10, at(0));
    // The cut ends at 3 s.
    mark(&book, 12, at(3000));
    mark(&book, 20, at(7000));
    let told = store_time(at(7000));
    let time = NamingKnowledge::Interrupted.naming_time(told, told);
    book.change(|book| book.change_operator_rows(&[naming_row(2, 11)], time));
    let snapshot = book.snapshot().load();
    let wanted = second(&snapshot).expect("it was told");
    assert!(wanted.named_at <= at(3000), "{:?}", wanted.named_at);
    assert!(wanted.named_at >= at(2800), "it is taken for new");
}

fn word(version: u64, at: u64, by: u64) -> TargetAnnouncement {
    TargetAnnouncement {
        target: ModelVersion {
            model: "m".into(),
            version: WeightsVersion(version),
        },
        named: TargetUpdateTime {
            at: StoreTime::from_millis(at),
            by: StoreTime::from_millis(by),
            certainty: NamingCertainty::Witnessed,
        },
    }
}

/// Requests could begin on the oldest weights behind their bound: nine versions were named in quick succession,
/// the eldest was forgotten and its time went over to the next, until a host that had not heard of the ninth
/// told that one's own.
#[test]
fn a_forgotten_naming_binds_on_whoever_tells_the_next() {
    let named_ms = |version: u64| START.0 / 1000 + version * 1000;
    let words = (2..=10).map(|version| word(version, named_ms(version), named_ms(version) + 5));
    let words: Vec<TargetAnnouncement> = words.collect();
    let book = new_book();
    let later = at(12_000);
    book.change(|book| book.take_words(&words, later));
    book.change(|book| book.take_words(&words[..8], later));
    let oldest = &book.read(ControlState::query).targets[0];
    assert_eq!(oldest.named.at, StoreTime::from_millis(named_ms(2)));
}

/// A process that knows nothing of the store's clock yet cannot tell when anything was: it refused all older
/// weights at the first question that named a version, or let them answer for good.
#[test]
fn words_wait_until_the_stores_clock_is_known() {
    let named_ms = START.0 / 1000;
    for told in [named_ms, named_ms + 900_000_000] {
        let book = SharedControlState::default();
        let words = [word(2, told, told)];
        assert!(!book.read(|book| book.learns_from(&words)));
        book.change(|book| book.take_words(&words, START));
        assert!(second(&book.snapshot().load()).is_none());
        set_clock(&book, START);
        assert!(book.read(|book| book.learns_from(&words)));
        book.change(|book| book.take_words(&words, START));
        let snapshot = book.snapshot().load();
        let wanted = second(&snapshot).expect("it was told");
        assert!(wanted.named_at <= START);
    }
}
