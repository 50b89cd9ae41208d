//! Which entry of a backend server the deployment state uses: incarnations, and late entries.

use std::time::Duration;

use super::{START, at_once, ids, new_state, row, view};
use crate::fleet::BackendPhase;
use crate::platform::samples::entry_sample;
use crate::platform::{StoreRow, TableView};
use crate::sync::{DeploymentState, SharedDeploymentState};

const SERVING: BackendPhase = BackendPhase::Serving;
const LEAVING: BackendPhase = BackendPhase::Leaving;

fn entry(start_time: Option<u64>, number: u64, phase: BackendPhase, revision: u64) -> StoreRow {
    row(
        "a",
        revision,
        Some(&entry_sample(start_time, number, phase)),
    )
}

fn state_with(first: StoreRow) -> SharedDeploymentState {
    let state = new_state();
    let revision = first.revision;
    state.change(|state| {
        state.note_store(START);
        state.set_backends(&view(vec![first], revision), START);
    });
    state
}

fn take(state: &SharedDeploymentState, later: StoreRow) {
    let revision = later.revision;
    let now = START + Duration::from_secs(10);
    let changed: TableView = view(vec![later], revision);
    state.change(|state| state.change_backends(&changed, now));
}

fn known(state: &SharedDeploymentState) -> (Option<u64>, BackendPhase) {
    let snapshot = state.snapshot().load();
    let facts = snapshot.fleet.backends.first().expect("it is listed");
    (facts.start_time.map(|start_time| start_time.0), facts.phase)
}

/// Guards against a late entry that revives a leaving backend server. An earlier entry had got no
/// answer, and the store executed it after the one that announced the end; a request reached the
/// backend server seconds after that.
#[test]
fn a_late_earlier_entry_does_not_revive_a_leaving_backend() {
    for start_time in [None, Some(7)] {
        let state = state_with(entry(start_time, 11, LEAVING, 20));
        take(&state, entry(start_time, 10, SERVING, 21));
        assert_eq!(
            known(&state).1,
            BackendPhase::Leaving,
            "born {start_time:?}"
        );
        take(&state, entry(start_time, 12, LEAVING, 22));
        assert_eq!(
            known(&state).1,
            BackendPhase::Leaving,
            "born {start_time:?}"
        );
    }
}

/// Guards against a late entry that revives a removed backend server. It had ended and its entry
/// was removed; an entry written before was executed late and revived it for three heartbeats.
#[test]
fn a_late_entry_does_not_revive_a_removed_backend() {
    for start_time in [None, Some(7)] {
        let state = state_with(entry(start_time, 11, SERVING, 20));
        take(&state, row("a", 21, None));
        assert!(ids(&state).is_empty());
        take(&state, entry(start_time, 10, SERVING, 22));
        assert!(ids(&state).is_empty(), "born {start_time:?}");
        // It is running after all: its entry had lapsed.
        take(&state, entry(start_time, 12, SERVING, 23));
        assert_eq!(ids(&state), ["a"], "born {start_time:?}");
    }
}

/// A backend server that restarts under the same id numbers its entries anew. Treated as late, they
/// would exclude it for as long as the former incarnation had run.
#[test]
fn late_entries_of_a_former_incarnation_are_ignored() {
    let state = state_with(entry(Some(7), 500, LEAVING, 20));
    take(&state, entry(Some(9), 1, SERVING, 21));
    assert_eq!(known(&state), (Some(9), BackendPhase::Serving));
    take(&state, entry(Some(7), 501, LEAVING, 22));
    assert_eq!(known(&state), (Some(9), BackendPhase::Serving));
    take(&state, row("a", 23, None));
    take(&state, entry(Some(7), 502, SERVING, 24));
    assert!(
        ids(&state).is_empty(),
        "the former incarnation is not revived"
    );
    take(&state, entry(Some(12), 1, SERVING, 25));
    assert_eq!(known(&state), (Some(12), BackendPhase::Serving));
}

/// Neighbours forward entries. An outdated neighbour must not revive a former incarnation.
#[test]
fn a_neighbour_with_a_former_incarnation_changes_nothing() {
    let state = state_with(entry(Some(9), 1, SERVING, 20));
    let outdated = state_with(entry(Some(7), 500, LEAVING, 30));
    let query = state.read(DeploymentState::query);
    let view = outdated.read(|outdated| outdated.answer(&query, Duration::ZERO, START));
    state.change(|state| state.merge(view, at_once(START)));
    assert_eq!(known(&state), (Some(9), BackendPhase::Serving));
}
