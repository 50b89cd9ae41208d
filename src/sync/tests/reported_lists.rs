//! The list of backend servers as a reader reports it to followers.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use super::{START, ids, new_state, store_time, view};
use crate::fleet::BackendPhase;
use crate::platform::StoreRow;
use crate::platform::samples::entry_sample;
use crate::sync::backend_follow::{ListMatch, ListQueryState};
use crate::sync::backend_list::LAPSE_GRACE;
use crate::sync::{DeploymentState, SharedDeploymentState};
use crate::test_support::run_cases;
use crate::time::ClockTime;

const CASES: u32 = 400;
const CASE_BYTES: u32 = 512;
const STEPS: u32 = 40;
/// Queries until a differing list equals the reader's: one that detects the difference, one for the
/// full list.
const QUERIES_MAX: u32 = 2;

fn entry(id: &str, revision: u64, number: u64, phase: BackendPhase) -> StoreRow {
    super::row(id, revision, Some(&entry_sample(Some(1), number, phase)))
}

/// Sends one query from `follower` to `reader` and returns how the lists compare afterwards.
fn query(
    follower: &SharedDeploymentState,
    reader: &SharedDeploymentState,
    query_state: &mut ListQueryState,
    now: ClockTime,
) -> ListMatch {
    let mut query = follower.read(DeploymentState::query);
    query.follows = true;
    query_state.complete(&mut query, follower.read(DeploymentState::backends_digest));
    let answer = reader.read(|state| state.answer(&query, Duration::ZERO, now));
    assert!(answer.backends.is_none());
    let changes = answer.backend_changes.expect("the reader has a list");
    let mut found = ListMatch::Older;
    follower.change(|state| found = state.merge_backend_changes(changes, now));
    query_state.note(found);
    found
}

fn reader_with(rows: Vec<StoreRow>, revision: u64) -> SharedDeploymentState {
    let reader = new_state();
    reader.change(|state| {
        state.note_store(START);
        state.set_backends(&view(rows, revision), START);
        state.note_backends_answer(store_time(START));
    });
    reader
}

#[test]
fn a_starting_process_receives_the_full_list_and_then_changes() {
    let rows = ["a", "b", "c"].map(|id| entry(id, 5, 1, BackendPhase::Serving));
    let reader = reader_with(rows.to_vec(), 9);
    let follower = new_state();
    let mut query_state = ListQueryState::default();
    assert_eq!(
        query(&follower, &reader, &mut query_state, START),
        ListMatch::Same
    );
    assert_eq!(ids(&follower), ["a", "b", "c"]);
    assert!(follower.read(|state| state.is_list_reported(START)));
    let later = START + Duration::from_secs(4);
    let changed = vec![entry("b", 10, 2, BackendPhase::Leaving)];
    reader.change(|state| state.change_backends(&view(changed, 11), later));
    let mut query = follower.read(DeploymentState::query);
    query.follows = true;
    let answer = reader.read(|state| state.answer(&query, Duration::ZERO, later));
    let entries = answer.backend_changes.expect("there is a list").entries;
    assert_eq!(entries.len(), 1, "only the one that changed");
}

/// A leaving backend server may get no request three seconds later.
#[test]
fn phase_changes_are_reported_at_once_and_heartbeats_are_not() {
    let reader = reader_with(vec![entry("a", 5, 1, BackendPhase::Serving)], 9);
    let follower = new_state();
    let mut query_state = ListQueryState::default();
    query(&follower, &reader, &mut query_state, START);
    let has_changes = || {
        let mut query = follower.read(DeploymentState::query);
        query.follows = true;
        query_state.complete(&mut query, follower.read(DeploymentState::backends_digest));
        reader.read(|state| state.has_urgent_changes(&query))
    };
    let change = |row: StoreRow, revision: u64| {
        reader.change(|state| state.change_backends(&view(vec![row], revision), START));
    };
    change(entry("a", 10, 2, BackendPhase::Serving), 10);
    assert!(!has_changes(), "a heartbeat");
    change(entry("a", 11, 3, BackendPhase::Leaving), 11);
    assert!(has_changes(), "it is leaving");
}

/// Two readers are queried in turn. If one lags, its response changes nothing.
#[test]
fn an_outdated_reader_changes_nothing() {
    let first = reader_with(vec![entry("a", 5, 1, BackendPhase::Serving)], 9);
    let second = reader_with(
        vec![
            entry("a", 5, 1, BackendPhase::Serving),
            entry("b", 20, 1, BackendPhase::Serving),
        ],
        20,
    );
    let follower = new_state();
    let mut query_state = ListQueryState::default();
    assert_eq!(
        query(&follower, &second, &mut query_state, START),
        ListMatch::Same
    );
    assert_eq!(
        query(&follower, &first, &mut query_state, START),
        ListMatch::Older
    );
    assert_eq!(ids(&follower), ["a", "b"]);
    assert!(!first.read(|state| {
        let mut query = follower.read(DeploymentState::query);
        query.follows = true;
        query.backends_digest = Some(follower.read(DeploymentState::backends_digest));
        state.has_urgent_changes(&query)
    }));
}

/// An entry overwritten by another writer is dropped at once, and is neither a change nor a
/// removal.
#[test]
fn a_dropped_entry_shows_in_the_digest() {
    let rows = ["a", "b"].map(|id| entry(id, 5, 1, BackendPhase::Serving));
    let reader = reader_with(rows.to_vec(), 9);
    let follower = new_state();
    let mut query_state = ListQueryState::default();
    query(&follower, &reader, &mut query_state, START);
    let unreadable = super::row("a", 12, Some("no entry"));
    reader.change(|state| state.change_backends(&view(vec![unreadable], 12), START));
    assert_eq!(
        query(&follower, &reader, &mut query_state, START),
        ListMatch::Differs
    );
    assert_eq!(
        query(&follower, &reader, &mut query_state, START),
        ListMatch::Same
    );
    assert_eq!(ids(&follower), ["b"]);
}

/// The list becomes outdated together with its readers; then the process reads it itself.
#[test]
fn a_list_not_reported_for_a_while_is_read() {
    let reader = reader_with(vec![entry("a", 5, 1, BackendPhase::Serving)], 9);
    let follower = new_state();
    let mut query_state = ListQueryState::default();
    let answered_at = START + Duration::from_millis(1500);
    query(&follower, &reader, &mut query_state, answered_at);
    let is_reported = |at: ClockTime| follower.read(|state| state.is_list_reported(at));
    assert!(is_reported(START + Duration::from_millis(2300)));
    assert!(!is_reported(START + Duration::from_millis(2400)));
}

fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let reader = reader_with(Vec::new(), 1);
    let follower = new_state();
    let mut query_state = ListQueryState::default();
    let mut now = START;
    let mut revision = 1;
    for step in 0..STEPS {
        if u.is_empty() {
            break;
        }
        now = now + Duration::from_millis(u.int_in_range(0..=1500)?);
        let id = *u.choose(&["a", "b", "c", "d"])?;
        revision += 1;
        let number = u64::from(step);
        let row = match u.int_in_range(0..=4_u8)? {
            0 => super::row(id, revision, None),
            1 => super::row(id, revision, Some("no entry")),
            2 => entry(id, revision, number, BackendPhase::Leaving),
            _ => entry(id, revision, number, BackendPhase::Serving),
        };
        let is_unavailable = u.ratio(1, 10)?;
        reader.change(|state| {
            if is_unavailable {
                state.note_store_failure("away");
            } else {
                state.note_store(now);
            }
            state.change_backends(&view(vec![row], revision), now);
            state.note_backends_answer(store_time(now));
            state.expire(now);
        });
        if u.ratio(2, 3)? {
            let mut found = ListMatch::Differs;
            for _ in 0..QUERIES_MAX {
                if found == ListMatch::Differs {
                    found = query(&follower, &reader, &mut query_state, now);
                }
            }
            assert_eq!(found, ListMatch::Same);
            assert_eq!(ids(&follower), ids(&reader));
        }
    }
    Ok(())
}

#[test]
fn a_reported_list_always_matches_the_reader() {
    run_cases(CASES, CASE_BYTES, run_case);
}

/// Guards against a follower that becomes a reader and never learns of a removal. It took over the
/// revision of its reader, which still kept the backend server for its grace period, and the watch
/// of the store from that revision on does not report the removal again. Requests went to a backend
/// server that had left up to eight seconds before.
#[test]
fn a_follower_learns_of_a_removal_during_the_grace_period() {
    let rows = ["a", "b"].map(|id| entry(id, 5, 1, BackendPhase::Serving));
    let reader = reader_with(rows.to_vec(), 9);
    let follower = new_state();
    let mut query_state = ListQueryState::default();
    query(&follower, &reader, &mut query_state, START);
    // Too soon after the store returned for a removal to take effect at once.
    let removed_at = START + Duration::from_millis(500);
    let removal = super::row("b", 10, None);
    reader.change(|state| state.change_backends(&view(vec![removal], 11), removed_at));
    assert_eq!(ids(&reader), ["a", "b"]);
    query(&follower, &reader, &mut query_state, removed_at);
    let expired_at = removed_at + LAPSE_GRACE;
    follower.change(|state| state.expire(expired_at));
    assert_eq!(ids(&follower), ["a"]);
}
