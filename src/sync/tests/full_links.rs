//! Saturated links, lost history and repeated writes around a target update: whatever a process
//! finds, and however late, it must not date the version later than it was set.

use std::time::Duration;

use tokio::time::sleep;

use super::late_messages::{follower, put_document, second, set_target_version, wait_for_second};
use super::restarts::EntryProcess;
use super::{START, at_once, document, new_state, set_clock, store_time, target_row};
use crate::fleet::{ModelVersion, TargetTimeCertainty, WeightsVersion};
use crate::platform::{FakeStore, StoreRow, TableName};
use crate::sync::peer_messages::TargetAnnouncement;
use crate::sync::target_update_time::{FollowState, TargetUpdateTime};
use crate::sync::{DeploymentState, SharedDeploymentState};
use crate::time::{ClockTime, StoreTime};

/// Longer than the time limit of a watch's answer.
const TOO_SLOW: Duration = Duration::from_secs(3);

/// Checks that `process` dates the version at `set_by` or earlier, some seconds after it first knew
/// it.
async fn check_late(process: &EntryProcess, set_by: ClockTime) {
    wait_for_second(process).await;
    sleep(Duration::from_secs(3)).await;
    let weights = wait_for_second(process).await;
    let late = weights.target_set_at.since(set_by);
    assert!(late.is_zero(), "dated {late:?} too late");
}

/// Guards against dating a version by the system's own rows as found after an outage. In a region
/// with a saturated link, the watch of the operator's table failed while these rows arrived, in
/// which a host near the store had recorded the version. All running processes counted the version
/// as new, 1.7 s late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_record_read_before_the_watch_answer_does_not_postdate_a_version() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.slow_watches(TOO_SLOW);
    let set_by = set_target_version(&store);
    let record = "{\"model\":\"m\",\"version\":2}";
    store.put(TableName::System, "weights/m", record);
    check_late(&process, set_by).await;
    process.stop_abruptly();
}

/// Guards against dating by an outage a version that was set 0.9 s after it. The operator's table,
/// full of documents, arrived two seconds after that, and everything in it counted as found after
/// the outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_set_after_the_store_returned_is_not_dated_by_the_outage() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.set_down(true);
    sleep(Duration::from_millis(2600)).await;
    store.slow_watches(TOO_SLOW);
    put_document(&store, 2);
    store.set_down(false);
    sleep(Duration::from_millis(900)).await;
    let set_by = set_target_version(&store);
    check_late(&process, set_by).await;
    process.stop_abruptly();
}

/// Guards against dating a version by a lost history. The store lost it while an answer was in
/// transit; the full read that followed counted as found after an outage, 0.6 s too late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_history_does_not_postdate_a_version() {
    let store = FakeStore::start().await;
    let process = follower(&store).await;
    store.slow_watches(Duration::from_millis(800));
    put_document(&store, 2);
    sleep(Duration::from_millis(100)).await;
    let set_by = set_target_version(&store);
    store.forget_history();
    check_late(&process, set_by).await;
    process.stop_abruptly();
}

fn target_row_at(version: u64, revision: u64) -> StoreRow {
    StoreRow {
        revision,
        ..target_row(version)
    }
}

fn at(millis: u64) -> ClockTime {
    START + Duration::from_millis(millis)
}

/// Records that the store reported at `now` that `revision` is its newest.
fn note_revision(state: &SharedDeploymentState, revision: u64, now: ClockTime) {
    state.change(|state| state.note_store_answer(revision, store_time(now), at_once(now)));
}

/// Guards against dating a version by a second write of its row. An update was repeated, and the
/// row in a full read had the revision of the second write: 2.5 s too late.
#[test]
fn a_rewritten_row_does_not_postdate_its_version() {
    let state = new_state();
    note_revision(&state, 10, at(0));
    let followed = FollowState::Followed(store_time(at(0)));
    // Set at 0.5 s with revision 11, and again at 3.5 s with revision 30.
    for (revision, millis) in [(15, 1000), (20, 2000), (25, 3000), (35, 4000)] {
        note_revision(&state, revision, at(millis));
    }
    let reported = store_time(at(4000));
    let time = followed
        .after_failure(Some(store_time(at(0))))
        .update_time(reported, reported);
    let rows = [document(2), target_row_at(2, 30)];
    state.change(|state| state.set_operator_rows(&rows, time));
    let snapshot = state.snapshot().load();
    let weights = second(&snapshot).expect("the version is known");
    assert!(
        weights.target_set_at <= at(500),
        "{:?}",
        weights.target_set_at
    );
}

/// Guards against versions that are dated after an answer which already counted their revision.
/// After an outage the operator's table arrived late, and every host dated a version four seconds
/// after the store's return, although an answer about another table had included the change at the
/// return.
#[test]
fn an_answer_about_another_table_bounds_the_time_after_an_outage() {
    let state = new_state();
    note_revision(&state, 10, at(0));
    // The outage ends at 3 s.
    note_revision(&state, 12, at(3000));
    note_revision(&state, 20, at(7000));
    let reported = store_time(at(7000));
    let time = FollowState::Interrupted.update_time(reported, reported);
    state.change(|state| state.change_operator_rows(&[target_row_at(2, 11)], time));
    let snapshot = state.snapshot().load();
    let weights = second(&snapshot).expect("the version is known");
    assert!(
        weights.target_set_at <= at(3000),
        "{:?}",
        weights.target_set_at
    );
    assert!(weights.target_set_at >= at(2800), "dated too early");
}

fn announcement(version: u64, at: u64, by: u64) -> TargetAnnouncement {
    TargetAnnouncement {
        target: ModelVersion {
            model: "m".into(),
            version: WeightsVersion(version),
        },
        set_at: TargetUpdateTime {
            earliest: StoreTime::from_millis(at),
            latest: StoreTime::from_millis(by),
            certainty: TargetTimeCertainty::Witnessed,
        },
    }
}

/// Guards against losing the deadline of a dropped version. Nine versions were set in quick
/// succession, the oldest was dropped and its update time passed to the next one, until a host
/// without the ninth version announced that one's own time. Requests could then begin on the oldest
/// weights after their deadline.
#[test]
fn a_dropped_version_passes_its_deadline_to_the_next_one() {
    let set_ms = |version: u64| START.0 / 1000 + version * 1000;
    let announcements =
        (2..=10).map(|version| announcement(version, set_ms(version), set_ms(version) + 5));
    let announcements: Vec<TargetAnnouncement> = announcements.collect();
    let state = new_state();
    let later = at(12_000);
    state.change(|state| state.merge_targets(&announcements, later));
    state.change(|state| state.merge_targets(&announcements[..8], later));
    let oldest = &state.read(DeploymentState::query).targets[0];
    assert_eq!(oldest.set_at.earliest, StoreTime::from_millis(set_ms(2)));
}

/// Guards against update times that are used before the store's clock is known. A process then
/// refused all previous versions at the first query with a version, or let them answer forever.
#[test]
fn announcements_are_ignored_until_the_store_clock_is_known() {
    let set_ms = START.0 / 1000;
    for reported in [set_ms, set_ms + 900_000_000] {
        let state = SharedDeploymentState::default();
        let announcements = [announcement(2, reported, reported)];
        assert!(!state.read(|state| state.is_updated_by(&announcements)));
        state.change(|state| state.merge_targets(&announcements, START));
        assert!(second(&state.snapshot().load()).is_none());
        set_clock(&state, START);
        assert!(state.read(|state| state.is_updated_by(&announcements)));
        state.change(|state| state.merge_targets(&announcements, START));
        let snapshot = state.snapshot().load();
        let weights = second(&snapshot).expect("the version is known");
        assert!(weights.target_set_at <= START);
    }
}
