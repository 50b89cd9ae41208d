//! Which word of a backend server the control state believes: incarnations, and entries that come late.

use std::time::Duration;

use super::{START, at_once, ids, new_book, row, view};
use crate::fleet::BackendPhase;
use crate::platform::samples::entry_sample;
use crate::platform::{StoreRow, TableView};
use crate::sync::{ControlState, SharedControlState};

const SERVING: BackendPhase = BackendPhase::Serving;
const LEAVING: BackendPhase = BackendPhase::Leaving;

fn entry(born: Option<u64>, told: u64, phase: BackendPhase, revision: u64) -> StoreRow {
    row("a", revision, Some(&entry_sample(born, told, phase)))
}

fn book_of(first: StoreRow) -> SharedControlState {
    let book = new_book();
    let revision = first.revision;
    book.change(|book| {
        book.note_store(START);
        book.set_backends(&view(vec![first], revision), START);
    });
    book
}

fn take(book: &SharedControlState, later: StoreRow) {
    let revision = later.revision;
    let now = START + Duration::from_secs(10);
    let changed: TableView = view(vec![later], revision);
    book.change(|book| book.change_backends(&changed, now));
}

fn known(book: &SharedControlState) -> (Option<u64>, BackendPhase) {
    let snapshot = book.snapshot().load();
    let facts = snapshot.fleet.backends.first().expect("it is listed");
    (facts.born.map(|born| born.0), facts.phase)
}

/// A request reached a backend server seconds after it had said that it leaves. An earlier entry of its
/// own had got no answer, and the store did it late, over the one that said so.
#[test]
fn an_earlier_entry_that_is_done_late_does_not_bring_a_leaving_one_back() {
    for born in [None, Some(7)] {
        let book = book_of(entry(born, 11, LEAVING, 20));
        take(&book, entry(born, 10, SERVING, 21));
        assert_eq!(known(&book).1, BackendPhase::Leaving, "born {born:?}");
        take(&book, entry(born, 12, LEAVING, 22));
        assert_eq!(known(&book).1, BackendPhase::Leaving, "born {born:?}");
    }
}

/// A backend server had ended and its entry was gone. An entry that it had written before was done late
/// and brought it back for three heartbeats.
#[test]
fn an_entry_that_is_done_late_does_not_bring_one_back_that_is_gone() {
    for born in [None, Some(7)] {
        let book = book_of(entry(born, 11, SERVING, 20));
        take(&book, row("a", 21, None));
        assert!(ids(&book).is_empty());
        take(&book, entry(born, 10, SERVING, 22));
        assert!(ids(&book).is_empty(), "born {born:?}");
        // It lives after all: its entry had lapsed.
        take(&book, entry(born, 12, SERVING, 23));
        assert_eq!(ids(&book), ["a"], "born {born:?}");
    }
}

/// A backend server that starts again under its name counts its entries anew. Taken for late, they would
/// leave it out for as long as the former one had lived.
#[test]
fn the_first_entry_of_a_new_incarnation_counts_and_late_ones_of_the_former_do_not() {
    let book = book_of(entry(Some(7), 500, LEAVING, 20));
    take(&book, entry(Some(9), 1, SERVING, 21));
    assert_eq!(known(&book), (Some(9), BackendPhase::Serving));
    take(&book, entry(Some(7), 501, LEAVING, 22));
    assert_eq!(known(&book), (Some(9), BackendPhase::Serving));
    take(&book, row("a", 23, None));
    take(&book, entry(Some(7), 502, SERVING, 24));
    assert!(ids(&book).is_empty(), "the former one is not back");
    take(&book, entry(Some(12), 1, SERVING, 25));
    assert_eq!(known(&book), (Some(12), BackendPhase::Serving));
}

/// Neighbours pass entries on. One that lies behind must not bring a former incarnation back.
#[test]
fn a_neighbour_that_knows_a_former_incarnation_changes_nothing() {
    let book = book_of(entry(Some(9), 1, SERVING, 20));
    let behind = book_of(entry(Some(7), 500, LEAVING, 30));
    let query = book.read(ControlState::query);
    let told = behind.read(|behind| behind.answer(&query, Duration::ZERO, START));
    book.change(|book| book.merge(told, at_once(START)));
    assert_eq!(known(&book), (Some(9), BackendPhase::Serving));
}
