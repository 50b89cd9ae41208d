//! The list of backend servers as a reader tells it to those that ask.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use super::{START, ids, new_book, store_time, view};
use crate::fleet::BackendPhase;
use crate::platform::StoreRow;
use crate::platform::samples::entry_sample;
use crate::sync::backend_follow::{ListAsking, ListMatch};
use crate::sync::{ControlState, SharedControlState};
use crate::test_support::run_cases;
use crate::time::ClockTime;

const CASES: u32 = 400;
const CASE_BYTES: u32 = 512;
const STEPS: u32 = 40;
/// Questions until a list that differs is the reader's: one that finds it out, one for the whole.
const QUESTIONS: u32 = 2;

fn entry(id: &str, revision: u64, told: u64, phase: BackendPhase) -> StoreRow {
    super::row(id, revision, Some(&entry_sample(Some(1), told, phase)))
}

/// One question of `follower` at `reader`, and what it led to.
fn query(
    follower: &SharedControlState,
    reader: &SharedControlState,
    asking: &mut ListAsking,
    now: ClockTime,
) -> ListMatch {
    let mut query = follower.read(ControlState::query);
    query.follows = true;
    asking.complete(&mut query, follower.read(ControlState::backends_digest));
    let answer = reader.read(|book| book.answer(&query, Duration::ZERO, now));
    assert!(answer.backends.is_none());
    let changes = answer.backend_changes.expect("the reader has a list");
    let mut found = ListMatch::Older;
    follower.change(|book| found = book.take_backend_changes(changes, now));
    asking.note(found);
    found
}

fn reader_with(rows: Vec<StoreRow>, revision: u64) -> SharedControlState {
    let reader = new_book();
    reader.change(|book| {
        book.note_store(START);
        book.set_backends(&view(rows, revision), START);
        book.note_backends(store_time(START));
    });
    reader
}

#[test]
fn a_process_that_starts_is_told_the_whole_list_and_then_what_changed() {
    let rows = ["a", "b", "c"].map(|id| entry(id, 5, 1, BackendPhase::Serving));
    let reader = reader_with(rows.to_vec(), 9);
    let follower = new_book();
    let mut asking = ListAsking::default();
    assert_eq!(
        query(&follower, &reader, &mut asking, START),
        ListMatch::Same
    );
    assert_eq!(ids(&follower), ["a", "b", "c"]);
    assert!(follower.read(|book| book.is_told_backends(START)));
    let later = START + Duration::from_secs(4);
    let changed = vec![entry("b", 10, 2, BackendPhase::Leaving)];
    reader.change(|book| book.change_backends(&view(changed, 11), later));
    let mut question = follower.read(ControlState::query);
    question.follows = true;
    let answer = reader.read(|book| book.answer(&question, Duration::ZERO, later));
    let told = answer.backend_changes.expect("there is a list").entries;
    assert_eq!(told.len(), 1, "only the one that changed");
}

/// A backend server that leaves may get nothing three seconds later.
#[test]
fn a_change_of_who_takes_requests_is_told_at_once_and_a_heartbeat_is_not() {
    let reader = reader_with(vec![entry("a", 5, 1, BackendPhase::Serving)], 9);
    let follower = new_book();
    let mut asking = ListAsking::default();
    query(&follower, &reader, &mut asking, START);
    let is_news = || {
        let mut question = follower.read(ControlState::query);
        question.follows = true;
        asking.complete(&mut question, follower.read(ControlState::backends_digest));
        reader.read(|book| book.has_urgent_news(&question))
    };
    let tell = |row: StoreRow, revision: u64| {
        reader.change(|book| book.change_backends(&view(vec![row], revision), START));
    };
    tell(entry("a", 10, 2, BackendPhase::Serving), 10);
    assert!(!is_news(), "a heartbeat");
    tell(entry("a", 11, 3, BackendPhase::Leaving), 11);
    assert!(is_news(), "it leaves");
}

/// Two readers are asked by turns, and one is a moment behind the other: what it tells changes nothing.
#[test]
fn a_reader_that_is_behind_changes_nothing() {
    let first = reader_with(vec![entry("a", 5, 1, BackendPhase::Serving)], 9);
    let second = reader_with(
        vec![
            entry("a", 5, 1, BackendPhase::Serving),
            entry("b", 20, 1, BackendPhase::Serving),
        ],
        20,
    );
    let follower = new_book();
    let mut asking = ListAsking::default();
    assert_eq!(
        query(&follower, &second, &mut asking, START),
        ListMatch::Same
    );
    assert_eq!(
        query(&follower, &first, &mut asking, START),
        ListMatch::Older
    );
    assert_eq!(ids(&follower), ["a", "b"]);
    assert!(!first.read(|book| {
        let mut question = follower.read(ControlState::query);
        question.follows = true;
        question.backends_digest = Some(follower.read(ControlState::backends_digest));
        book.has_urgent_news(&question)
    }));
}

/// An entry that somebody wrote over is dropped at once and leaves no trace in the list.
#[test]
fn what_neither_changed_nor_went_shows_in_the_digest() {
    let rows = ["a", "b"].map(|id| entry(id, 5, 1, BackendPhase::Serving));
    let reader = reader_with(rows.to_vec(), 9);
    let follower = new_book();
    let mut asking = ListAsking::default();
    query(&follower, &reader, &mut asking, START);
    let spoilt = super::row("a", 12, Some("no entry"));
    reader.change(|book| book.change_backends(&view(vec![spoilt], 12), START));
    assert_eq!(
        query(&follower, &reader, &mut asking, START),
        ListMatch::Differs
    );
    assert_eq!(
        query(&follower, &reader, &mut asking, START),
        ListMatch::Same
    );
    assert_eq!(ids(&follower), ["b"]);
}

/// The list of a process goes stale with its readers; then it reads for itself.
#[test]
fn a_list_that_nobody_told_for_a_while_is_read() {
    let reader = reader_with(vec![entry("a", 5, 1, BackendPhase::Serving)], 9);
    let follower = new_book();
    let mut asking = ListAsking::default();
    let told_at = START + Duration::from_millis(1500);
    query(&follower, &reader, &mut asking, told_at);
    let is_told = |at: ClockTime| follower.read(|book| book.is_told_backends(at));
    assert!(is_told(START + Duration::from_millis(2300)));
    assert!(!is_told(START + Duration::from_millis(2400)));
}

fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let reader = reader_with(Vec::new(), 1);
    let follower = new_book();
    let mut asking = ListAsking::default();
    let mut now = START;
    let mut revision = 1;
    for step in 0..STEPS {
        if u.is_empty() {
            break;
        }
        now = now + Duration::from_millis(u.int_in_range(0..=1500)?);
        let id = *u.choose(&["a", "b", "c", "d"])?;
        revision += 1;
        let told = u64::from(step);
        let row = match u.int_in_range(0..=4_u8)? {
            0 => super::row(id, revision, None),
            1 => super::row(id, revision, Some("no entry")),
            2 => entry(id, revision, told, BackendPhase::Leaving),
            _ => entry(id, revision, told, BackendPhase::Serving),
        };
        let is_away = u.ratio(1, 10)?;
        reader.change(|book| {
            if is_away {
                book.note_store_failure("away");
            } else {
                book.note_store(now);
            }
            book.change_backends(&view(vec![row], revision), now);
            book.note_backends(store_time(now));
            book.expire(now);
        });
        if u.ratio(2, 3)? {
            let mut found = ListMatch::Differs;
            for _ in 0..QUESTIONS {
                if found == ListMatch::Differs {
                    found = query(&follower, &reader, &mut asking, now);
                }
            }
            assert_eq!(found, ListMatch::Same);
            assert_eq!(ids(&follower), ids(&reader));
        }
    }
    Ok(())
}

#[test]
fn whatever_changes_a_list_that_is_told_is_the_readers() {
    run_cases(CASES, CASE_BYTES, run_case);
}
