mod clock;
mod crashes;
mod delayed_process;
mod delayed_words;
mod delayed_world;
mod driver;
mod driver_world;
mod full_links;
mod incarnations;
mod late_words;
mod messages;
mod read_orders;
mod readers;
mod restarts;
mod store_calls;
mod store_gate;
mod storms;
mod told_lists;
mod unreadable;

use std::time::Duration;

use bytes::Bytes;

use crate::fleet::{NamingCertainty, WeightsVersion};
use crate::platform::samples::{backend_sample, document_sample, naming_sample};
use crate::platform::{StoreRow, TableView};
use crate::sync::naming_time::{NamingKnowledge, TargetUpdateTime};
use crate::sync::store_clock::{ClockBounds, QuerySpan};
use crate::sync::{ControlState, PeerView, SharedControlState};
use crate::time::{ClockTime, StoreTime};

const START: ClockTime = ClockTime::from_millis(100_000);
const GRACE: Duration = Duration::from_secs(8);

/// A process whose clock shows the same as the store's.
fn new_book() -> SharedControlState {
    let book = SharedControlState::default();
    set_clock(&book, START);
    book
}

/// `book` hears at `now` what the store's clock shows.
fn set_clock(book: &SharedControlState, now: ClockTime) {
    let moment = store_time(now);
    let view = PeerView {
        clock: Some(ClockBounds {
            least: moment,
            most: moment,
        }),
        ..PeerView::default()
    };
    book.change(|book| book.merge(view, at_once(now)));
}

/// What the store's clock shows at `now`.
const fn store_time(now: ClockTime) -> StoreTime {
    StoreTime(now.0)
}

/// A question that is answered as it is asked.
const fn at_once(now: ClockTime) -> QuerySpan {
    QuerySpan {
        sent_at: now,
        received_at: now,
    }
}

fn told_at(at: ClockTime) -> TargetUpdateTime {
    TargetUpdateTime::guessed(store_time(at), NamingCertainty::Witnessed)
}

/// What is taken for the naming of a version that the store tells of at `now`.
fn found_at(knowledge: NamingKnowledge, now: ClockTime) -> TargetUpdateTime {
    knowledge.naming_time(store_time(now), store_time(now))
}

fn row(key: &str, revision: u64, value: Option<&str>) -> StoreRow {
    StoreRow {
        key: key.to_owned(),
        revision,
        value: value.map(|text| Bytes::from(text.to_owned())),
    }
}

fn document(version: u64) -> StoreRow {
    let (key, text) = document_sample(version);
    row(key, version, Some(&text))
}

fn named(version: u64) -> StoreRow {
    let (key, text) = naming_sample(version);
    row(key, version, Some(&text))
}

fn backend(id: &str) -> StoreRow {
    row(id, 1, Some(&backend_sample()))
}

fn view(rows: Vec<StoreRow>, revision: u64) -> TableView {
    TableView {
        rows,
        revision,
        told_at: store_time(START),
    }
}

fn ids(book: &SharedControlState) -> Vec<String> {
    let snapshot = book.snapshot().load();
    let backends = snapshot.fleet.backends.iter();
    backends.map(|facts| facts.id.to_string()).collect()
}

fn version_of(book: &SharedControlState) -> u64 {
    let catalog = book.snapshot().load().catalog.clone();
    catalog.map_or(0, |catalog| catalog.version.0)
}

/// Symptom: a route that had been taken away answered again. The store forgot its history, the table
/// was read as a whole from a copy that was seconds behind, and the older document replaced the
/// newer one.
#[test]
fn a_document_never_goes_back_whoever_brings_it() {
    let book = new_book();
    let take = |book: &SharedControlState, rows: &[StoreRow]| {
        book.change(|book| book.change_operator_rows(rows, told_at(START)));
    };
    take(&book, &[document(7)]);
    take(&book, &[document(5)]);
    assert_eq!(version_of(&book), 7);
    let neighbour = new_book();
    take(&neighbour, &[document(6)]);
    let query = book.read(ControlState::query);
    let older = neighbour.read(|neighbour| neighbour.answer(&query, Duration::ZERO, START));
    assert!(older.document.is_none());
    take(&neighbour, &[document(9)]);
    let newer = neighbour.read(|neighbour| neighbour.answer(&query, Duration::ZERO, START));
    book.change(|book| book.merge(newer, at_once(START)));
    assert_eq!(version_of(&book), 9);
}

/// Symptom: requests began on the first version long after the second had to be everywhere. A third
/// was named four seconds behind the second, and with it the time began anew.
#[test]
fn each_version_binds_from_its_own_naming() {
    let book = new_book();
    let name = |version: u64, at: ClockTime| {
        let rows = [named(version)];
        book.change(|book| book.change_operator_rows(&rows, told_at(at)));
    };
    name(2, START);
    name(3, START + Duration::from_secs(4));
    let snapshot = book.snapshot().load();
    let least = |seconds: u64| {
        let now = START + Duration::from_secs(seconds);
        snapshot.oldest_allowed_version("m", GRACE, now)
    };
    assert_eq!(least(7), None);
    assert_eq!(least(9), Some(WeightsVersion(2)));
    assert_eq!(least(12), Some(WeightsVersion(3)));
    let until = |held: u64| snapshot.usable_until("m", Some(WeightsVersion(held)), GRACE);
    assert_eq!(until(1), Some(START + GRACE), "the second ends the first");
    assert_eq!(until(2), Some(START + Duration::from_secs(12)));
    assert_eq!(until(3), None);
    let newest = snapshot
        .newest_version("m")
        .map(|wanted| wanted.target.version);
    assert_eq!(newest, Some(WeightsVersion(3)));
}

/// Symptom: every request was refused for six seconds after the store came back. Two versions had been
/// named while it was away; they were taken for as old as the outage, so that older weights counted as
/// overdue although nobody could have known of the new ones.
#[test]
fn a_version_that_is_found_behind_an_outage_is_taken_for_new() {
    let named_at = |knowledge: NamingKnowledge| found_at(knowledge, START).at;
    let age = |knowledge: NamingKnowledge| store_time(START).since(named_at(knowledge));
    assert!(age(NamingKnowledge::Interrupted) <= Duration::from_millis(100));
    let certainty = |knowledge: NamingKnowledge| found_at(knowledge, START).certainty;
    assert_eq!(
        certainty(NamingKnowledge::Interrupted),
        NamingCertainty::Resumed
    );
    assert!(age(NamingKnowledge::Started) >= Duration::from_secs(6));
    assert_eq!(
        certainty(NamingKnowledge::Followed(store_time(START))),
        NamingCertainty::Witnessed
    );
}

/// Symptom: every entry host refused all requests for five seconds. One of them had restarted and took
/// the version that it found for old; the others, which had been cut off from the store and knew no
/// moment either, took its assumption over.
#[test]
fn an_assumption_at_a_start_does_not_spread() {
    let back = START + Duration::from_secs(20);
    let resumed = new_book();
    let found = found_at(NamingKnowledge::Interrupted, back);
    resumed.change(|book| book.change_operator_rows(&[named(2)], found));
    let started = new_book();
    let assumed = found_at(NamingKnowledge::Started, back);
    started.change(|book| book.change_operator_rows(&[named(2)], assumed));
    let exchange = |asks: &SharedControlState, answers: &SharedControlState| {
        set_clock(answers, back);
        let query = asks.read(ControlState::query);
        let view = answers.read(|book| book.answer(&query, Duration::ZERO, back));
        asks.change(|book| book.merge(view, at_once(back)));
    };
    exchange(&resumed, &started);
    exchange(&started, &resumed);
    for book in [resumed, started] {
        let snapshot = book.snapshot().load();
        let wanted = snapshot.newest_version("m").expect("it was named");
        assert_eq!(store_time(wanted.named_at), found.at);
    }
}

#[test]
fn a_process_that_has_just_started_can_tell_a_time_before_its_start() {
    let now = crate::time::clock_now();
    let before = now - Duration::from_mins(10);
    assert_eq!(now.since(before), Duration::from_mins(10));
}

/// Symptom: a request began on older weights behind the bound, sent by an entry host that had just
/// started. It had found the version in the store and had counted from its own start.
#[test]
fn a_process_that_starts_learns_from_a_neighbour_when_a_version_was_named() {
    let witness = new_book();
    witness.change(|book| book.change_operator_rows(&[named(2)], told_at(START)));
    let started_at = START + Duration::from_secs(7);
    set_clock(&witness, started_at);
    for assumed in [1, 6, 30] {
        let book = new_book();
        let named_at = TargetUpdateTime::guessed(
            store_time(started_at - Duration::from_secs(assumed)),
            NamingCertainty::Assumed,
        );
        book.change(|book| book.change_operator_rows(&[named(2)], named_at));
        let query = book.read(ControlState::query);
        let view = witness.read(|witness| witness.answer(&query, Duration::ZERO, started_at));
        book.change(|book| book.merge(view, at_once(started_at)));
        let snapshot = book.snapshot().load();
        let wanted = snapshot.newest_version("m").expect("it was named");
        assert_eq!(wanted.named_at, START, "assumed {assumed} s");
    }
}

/// Symptom: all requests were refused for two seconds after the store came back. Every backend
/// server's entry had lapsed while it was away, although all of them lived.
#[test]
fn entries_that_lapsed_in_an_outage_have_time_to_come_back() {
    let book = new_book();
    book.change(|book| {
        book.note_store(START);
        book.set_backends(&view(vec![backend("a"), backend("b")], 5), START);
        book.note_store_failure("silent");
    });
    let back = START + Duration::from_secs(20);
    book.change(|book| {
        book.note_store(back);
        book.set_backends(&view(Vec::new(), 9), back);
        book.expire(back);
    });
    assert_eq!(ids(&book), ["a", "b"]);
    let later = back + Duration::from_secs(1);
    book.change(|book| {
        book.change_backends(&view(vec![backend("a")], 10), later);
        book.expire(back + Duration::from_secs(2));
    });
    assert_eq!(ids(&book), ["a"]);
}

/// Symptom: requests reached a backend server more than two seconds after its entry had gone. The
/// process had been cut off from the store until three seconds before; the entry's end was taken for
/// one that had lapsed in the outage, and its backend server was kept for a while.
#[test]
fn an_entry_that_goes_soon_after_an_outage_counts_once_lapsed_ones_are_back() {
    let book = new_book();
    let back = START + Duration::from_secs(20);
    book.change(|book| {
        book.note_store(START);
        book.set_backends(&view(vec![backend("a"), backend("b")], 5), START);
        book.note_store_failure("cut off");
        book.note_store(back);
    });
    let soon = back + Duration::from_secs(1);
    book.change(|book| book.change_backends(&view(vec![row("a", 6, None)], 6), soon));
    assert_eq!(ids(&book), ["a", "b"]);
    let settled = back + Duration::from_millis(2200);
    book.change(|book| {
        assert!(book.has_expired(settled));
        book.expire(settled);
    });
    assert_eq!(ids(&book), ["b"]);
    let later = back + Duration::from_millis(2900);
    book.change(|book| book.change_backends(&view(vec![row("b", 7, None)], 7), later));
    assert!(ids(&book).is_empty());
}

#[test]
fn an_entry_that_goes_while_the_store_is_steady_counts_at_once() {
    let book = new_book();
    let later = START + Duration::from_secs(10);
    book.change(|book| {
        book.note_store(START);
        book.set_backends(&view(vec![backend("a")], 5), START);
        book.change_backends(&view(vec![row("a", 6, None)], 6), later);
    });
    assert!(ids(&book).is_empty());
}

#[test]
fn an_older_read_of_the_whole_table_changes_nothing() {
    let book = new_book();
    book.change(|book| {
        book.note_store(START);
        book.set_backends(&view(vec![backend("a")], 50), START);
        book.set_backends(&view(Vec::new(), 40), START + Duration::from_secs(10));
    });
    assert_eq!(ids(&book), ["a"]);
}
