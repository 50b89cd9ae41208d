mod clock;
mod crashes;
mod delayed_messages;
mod delayed_process;
mod delayed_simulation;
mod document_bursts;
mod driver;
mod driver_simulation;
mod entry_lists;
mod evacuations;
mod full_links;
mod incarnations;
mod late_messages;
mod messages;
mod odd_entries;
mod read_orders;
mod readers;
mod reported_lists;
mod restarts;
mod retry_shares;
mod store_calls;
mod store_eras;
mod store_proxy;
mod unreadable;

use std::time::Duration;

use bytes::Bytes;

use crate::fleet::{TargetTimeCertainty, WeightsVersion};
use crate::platform::samples::{backend_sample, document_sample, target_sample};
use crate::platform::{StoreRow, TableView};
use crate::sync::store_clock::{ClockBounds, QuerySpan};
use crate::sync::target_update_time::{FollowState, TargetUpdateTime};
use crate::sync::{DeploymentState, PeerView, SharedDeploymentState};
use crate::time::{ClockTime, StoreTime};

const START: ClockTime = ClockTime::from_millis(100_000);
const DEADLINE_SPAN: Duration = Duration::from_secs(8);

/// A process whose clock equals the store's.
fn new_state() -> SharedDeploymentState {
    let state = SharedDeploymentState::default();
    set_clock(&state, START);
    state
}

/// Reports the store's clock to `state` at `now`.
fn set_clock(state: &SharedDeploymentState, now: ClockTime) {
    let moment = store_time(now);
    let view = PeerView {
        clock: Some(ClockBounds {
            least: moment,
            most: moment,
        }),
        ..PeerView::default()
    };
    state.change(|state| state.merge(view, at_once(now)));
}

/// The store's clock at `now`.
const fn store_time(now: ClockTime) -> StoreTime {
    StoreTime(now.0)
}

/// A query that is answered without delay.
const fn at_once(now: ClockTime) -> QuerySpan {
    QuerySpan {
        sent_at: now,
        received_at: now,
    }
}

fn witnessed_at(at: ClockTime) -> TargetUpdateTime {
    TargetUpdateTime::guessed(store_time(at), TargetTimeCertainty::Witnessed)
}

/// The update time that is assumed for a version which the store reports at `now`.
fn found_at(follow_state: FollowState, now: ClockTime) -> TargetUpdateTime {
    follow_state.update_time(store_time(now), store_time(now))
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

fn target_row(version: u64) -> StoreRow {
    let (key, text) = target_sample(version);
    row(key, version, Some(&text))
}

fn backend(id: &str) -> StoreRow {
    row(id, 1, Some(&backend_sample()))
}

fn view(rows: Vec<StoreRow>, revision: u64) -> TableView {
    TableView {
        rows,
        revision,
        store_time: store_time(START),
    }
}

fn ids(state: &SharedDeploymentState) -> Vec<String> {
    let snapshot = state.snapshot().load();
    let backends = snapshot.fleet.backends.iter();
    backends.map(|facts| facts.id.to_string()).collect()
}

fn version_of(state: &SharedDeploymentState) -> u64 {
    let catalog = state.snapshot().load().catalog.clone();
    catalog.map_or(0, |catalog| catalog.version.0)
}

/// Guards against an older document that replaces a newer one. The store lost its history, the full
/// table was read from a replica that lagged by seconds, and a removed route answered again.
#[test]
fn an_older_document_never_replaces_a_newer_one() {
    let state = new_state();
    let take = |state: &SharedDeploymentState, rows: &[StoreRow]| {
        state.change(|state| state.change_operator_rows(rows, witnessed_at(START)));
    };
    take(&state, &[document(7)]);
    take(&state, &[document(5)]);
    assert_eq!(version_of(&state), 7);
    let neighbour = new_state();
    take(&neighbour, &[document(6)]);
    let query = state.read(DeploymentState::query);
    let older = neighbour.read(|neighbour| neighbour.answer(&query, Duration::ZERO, START));
    assert!(older.document.is_none());
    take(&neighbour, &[document(9)]);
    let newer = neighbour.read(|neighbour| neighbour.answer(&query, Duration::ZERO, START));
    state.change(|state| state.merge(newer, at_once(START)));
    assert_eq!(version_of(&state), 9);
}

/// Guards against a deadline that starts anew with each version. A third version was set four
/// seconds after the second, and requests began on the first long after the second had to be in
/// force everywhere.
#[test]
fn each_version_has_its_own_deadline() {
    let state = new_state();
    let set_target = |version: u64, at: ClockTime| {
        let rows = [target_row(version)];
        state.change(|state| state.change_operator_rows(&rows, witnessed_at(at)));
    };
    set_target(2, START);
    set_target(3, START + Duration::from_secs(4));
    let snapshot = state.snapshot().load();
    let least = |seconds: u64| {
        let now = START + Duration::from_secs(seconds);
        snapshot.oldest_allowed_version("m", DEADLINE_SPAN, now)
    };
    assert_eq!(least(7), None);
    assert_eq!(least(9), Some(WeightsVersion(2)));
    assert_eq!(least(12), Some(WeightsVersion(3)));
    let until = |held: u64| snapshot.usable_until("m", Some(WeightsVersion(held)), DEADLINE_SPAN);
    assert_eq!(
        until(1),
        Some(START + DEADLINE_SPAN),
        "version 2 replaces version 1"
    );
    assert_eq!(until(2), Some(START + Duration::from_secs(12)));
    assert_eq!(until(3), None);
    let newest = snapshot
        .newest_version("m")
        .map(|weights| weights.target.version);
    assert_eq!(newest, Some(WeightsVersion(3)));
}

/// Guards against dating versions back by the length of an outage. Two versions were set during it;
/// previous versions counted as overdue although no process could have known of the new ones, and
/// every request was refused for six seconds.
#[test]
fn a_version_found_after_an_outage_counts_as_new() {
    let target_set_at = |follow_state: FollowState| found_at(follow_state, START).earliest;
    let age = |follow_state: FollowState| store_time(START).since(target_set_at(follow_state));
    assert!(age(FollowState::Interrupted) <= Duration::from_millis(100));
    let certainty = |follow_state: FollowState| found_at(follow_state, START).certainty;
    assert_eq!(
        certainty(FollowState::Interrupted),
        TargetTimeCertainty::Resumed
    );
    assert!(age(FollowState::Started) >= Duration::from_secs(6));
    assert_eq!(
        certainty(FollowState::Followed(store_time(START))),
        TargetTimeCertainty::Witnessed
    );
}

/// Guards against an assumed time that replaces a better one at other processes. A restarted entry
/// host assumed that a version was old; the others, which had been cut off from the store and knew
/// no time either, took that over, and all requests were refused for five seconds.
#[test]
fn an_assumed_update_time_does_not_spread() {
    let back = START + Duration::from_secs(20);
    let resumed = new_state();
    let found = found_at(FollowState::Interrupted, back);
    resumed.change(|state| state.change_operator_rows(&[target_row(2)], found));
    let started = new_state();
    let assumed = found_at(FollowState::Started, back);
    started.change(|state| state.change_operator_rows(&[target_row(2)], assumed));
    let exchange = |requester: &SharedDeploymentState, responder: &SharedDeploymentState| {
        set_clock(responder, back);
        let query = requester.read(DeploymentState::query);
        let view = responder.read(|state| state.answer(&query, Duration::ZERO, back));
        requester.change(|state| state.merge(view, at_once(back)));
    };
    exchange(&resumed, &started);
    exchange(&started, &resumed);
    for state in [resumed, started] {
        let snapshot = state.snapshot().load();
        let weights = snapshot.newest_version("m").expect("the version is known");
        assert_eq!(store_time(weights.target_set_at), found.earliest);
    }
}

#[test]
fn clock_times_reach_back_before_process_start() {
    let now = crate::time::clock_now();
    let before = now - Duration::from_mins(10);
    assert_eq!(now.since(before), Duration::from_mins(10));
}

/// Guards against counting the deadline from a process's start. An entry host had just started and
/// found the version in the store; a request began on previous versions after the deadline.
#[test]
fn a_starting_process_takes_the_update_time_from_a_neighbour() {
    let witness = new_state();
    witness.change(|state| state.change_operator_rows(&[target_row(2)], witnessed_at(START)));
    let started_at = START + Duration::from_secs(7);
    set_clock(&witness, started_at);
    for assumed in [1, 6, 30] {
        let state = new_state();
        let target_set_at = TargetUpdateTime::guessed(
            store_time(started_at - Duration::from_secs(assumed)),
            TargetTimeCertainty::Assumed,
        );
        state.change(|state| state.change_operator_rows(&[target_row(2)], target_set_at));
        let query = state.read(DeploymentState::query);
        let view = witness.read(|witness| witness.answer(&query, Duration::ZERO, started_at));
        state.change(|state| state.merge(view, at_once(started_at)));
        let snapshot = state.snapshot().load();
        let weights = snapshot.newest_version("m").expect("the version is known");
        assert_eq!(weights.target_set_at, START, "assumed {assumed} s");
    }
}

/// Guards against removing all backend servers after an outage of the store, in which their entries
/// lapsed although they were running. All requests were refused for two seconds.
#[test]
fn entries_lapsed_in_an_outage_may_return() {
    let state = new_state();
    state.change(|state| {
        state.note_store(START);
        state.set_backends(&view(vec![backend("a"), backend("b")], 5), START);
        state.note_store_failure("no answer");
    });
    let back = START + Duration::from_secs(20);
    state.change(|state| {
        state.note_store(back);
        state.set_backends(&view(Vec::new(), 9), back);
        state.expire(back);
    });
    assert_eq!(ids(&state), ["a", "b"]);
    let later = back + Duration::from_secs(1);
    state.change(|state| {
        state.change_backends(&view(vec![backend("a")], 10), later);
        state.expire(back + Duration::from_secs(2));
    });
    assert_eq!(ids(&state), ["a"]);
}

/// Guards against a grace period that lasts too long after an outage. A process had been cut off
/// from the store until three seconds before; the removal of an entry counted as a lapse, and
/// requests reached the backend server for more than two seconds.
#[test]
fn an_entry_removed_soon_after_an_outage_counts_after_the_grace_period() {
    let state = new_state();
    let back = START + Duration::from_secs(20);
    state.change(|state| {
        state.note_store(START);
        state.set_backends(&view(vec![backend("a"), backend("b")], 5), START);
        state.note_store_failure("cut off");
        state.note_store(back);
    });
    let soon = back + Duration::from_secs(1);
    state.change(|state| state.change_backends(&view(vec![row("a", 6, None)], 6), soon));
    assert_eq!(ids(&state), ["a", "b"]);
    let settled = back + Duration::from_millis(2200);
    state.change(|state| {
        assert!(state.has_expired(settled));
        state.expire(settled);
    });
    assert_eq!(ids(&state), ["b"]);
    let later = back + Duration::from_millis(2900);
    state.change(|state| state.change_backends(&view(vec![row("b", 7, None)], 7), later));
    assert!(ids(&state).is_empty());
}

#[test]
fn an_entry_removed_while_the_store_is_available_counts_at_once() {
    let state = new_state();
    let later = START + Duration::from_secs(10);
    state.change(|state| {
        state.note_store(START);
        state.set_backends(&view(vec![backend("a")], 5), START);
        state.change_backends(&view(vec![row("a", 6, None)], 6), later);
    });
    assert!(ids(&state).is_empty());
}

#[test]
fn a_stale_full_read_changes_nothing() {
    let state = new_state();
    state.change(|state| {
        state.note_store(START);
        state.set_backends(&view(vec![backend("a")], 50), START);
        state.set_backends(&view(Vec::new(), 40), START + Duration::from_secs(10));
    });
    assert_eq!(ids(&state), ["a"]);
}
