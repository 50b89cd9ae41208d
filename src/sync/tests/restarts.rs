//! What remains known after all processes have restarted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use tokio::time::{sleep, timeout};

use super::{START, at_once, found_at, new_state, set_clock, store_time, target_row, witnessed_at};
use crate::capacity::SharedAccount;
use crate::daemon::DrainState;
use crate::fleet::{ModelVersion, TargetTimeCertainty, WeightsVersion};
use crate::platform::samples::{document_sample, target_sample};
use crate::platform::{FakeStore, StoreClient, TableName, WriteOutcome};
use crate::sync::own_rows::VersionRecord;
use crate::sync::peer_messages::PeerQuery;
use crate::sync::sync_thread::run_sync;
use crate::sync::target_update_time::FollowState;
use crate::sync::{
    DeploymentSnapshot, DeploymentState, EntryRecord, OwnRows, SharedDeploymentState, SyncSettings,
    TargetUpdateTime,
};
use crate::time::{ClockTime, clock_now};
use crate::transport::{ClientLimits, PeerClient};

const WAIT_MAX: Duration = Duration::from_secs(10);

/// An entry host's control thread, which can be stopped abruptly.
pub(super) struct EntryProcess {
    runtime: Runtime,
    pub(super) state: SharedDeploymentState,
}

impl EntryProcess {
    pub(super) fn start(name: &'static str, store: &FakeStore) -> Self {
        Self::start_with_seeds(name, store, Vec::new())
    }

    /// The same, with the addresses of other entry hosts.
    pub(super) fn start_with_seeds(
        name: &'static str,
        store: &FakeStore,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = SyncSettings {
            own_entry: EntryRecord {
                host: name.into(),
                data_centre: "a".into(),
                control: local,
                reports: local,
            },
            store_address: store.address,
            seeds,
        };
        Self::start_with(settings)
    }

    pub(super) fn start_with(settings: SyncSettings) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("the runtime starts");
        let state = SharedDeploymentState::default();
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        runtime.spawn(run_sync(
            settings,
            state.clone(),
            SharedAccount::default(),
            drain,
        ));
        Self { runtime, state }
    }

    /// Stalls the process for `span`.
    pub(super) fn stall(&self, span: Duration) {
        self.runtime.spawn(async move { std::thread::sleep(span) });
    }

    /// Stops the process without any last message.
    pub(super) fn stop_abruptly(self) {
        self.runtime.shutdown_background();
    }

    /// Waits for a snapshot for which `is_ready` holds.
    pub(super) async fn wait_for(
        &self,
        is_ready: impl Fn(&DeploymentSnapshot) -> bool,
    ) -> Arc<DeploymentSnapshot> {
        let mut changes = self.state.changes();
        let waiting = async {
            loop {
                let snapshot = self.state.snapshot().load();
                if is_ready(&snapshot) {
                    return snapshot;
                }
                changes
                    .changed()
                    .await
                    .expect("the state has not been dropped");
            }
        };
        let waited = timeout(WAIT_MAX, waiting).await;
        waited.expect("the process reaches the expected state")
    }
}

fn newest(snapshot: &DeploymentSnapshot) -> Option<WeightsVersion> {
    let weights = snapshot.newest_version("m");
    weights.map(|weights| weights.target.version)
}

fn set_target_version(store: &FakeStore, version: u64) {
    let (key, text) = target_sample(version);
    store.put(TableName::Operator, key, &text);
}

fn put_document(store: &FakeStore, version: u64) {
    let (key, text) = document_sample(version);
    store.put(TableName::Operator, key, &text);
}

/// Waits until the store has the record of `version`.
pub(super) async fn await_record(store: &FakeStore, version: u64) {
    let is_kept = || {
        let text = store.text_of(TableName::System, "weights/m");
        let kept = text.and_then(|text| serde_json::from_str::<ModelVersion>(&text).ok());
        kept.is_some_and(|kept| kept.version >= WeightsVersion(version))
    };
    let kept = async {
        while !is_kept() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = timeout(WAIT_MAX, kept).await;
    waited.expect("the version is recorded");
}

/// The first usable snapshot of a process that starts now.
async fn state_of_new_process(store: &FakeStore) -> Arc<DeploymentSnapshot> {
    let process = EntryProcess::start("new", store);
    let snapshot = process.wait_for(|snapshot| snapshot.catalog.is_some());
    let snapshot = snapshot.await;
    process.stop_abruptly();
    snapshot
}

/// Guards against losing a target version when all hosts lose power. The update to version 2 had
/// got no answer, and the store executed it after the update to version 3. Running processes kept
/// version 3 and logged `[1111] … version=2 known=3 from=store/75`. Those that started afterwards
/// knew only the store's row and logged `[1102] … version=2 from=store/75 certainty=Assumed`; 24
/// engines were loaded with version 2, replaced half a minute before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_version_survives_a_late_older_update_and_a_full_restart() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    set_target_version(&store, 2);
    let first = EntryProcess::start("first", &store);
    first.wait_for(|snapshot| newest(snapshot).is_some()).await;
    set_target_version(&store, 3);
    let is_third = |snapshot: &DeploymentSnapshot| newest(snapshot) == Some(WeightsVersion(3));
    first.wait_for(is_third).await;
    await_record(&store, 3).await;
    set_target_version(&store, 2);
    first.stop_abruptly();
    let second = EntryProcess::start("second", &store);
    let snapshot = second.wait_for(|snapshot| snapshot.catalog.is_some()).await;
    assert_eq!(newest(&snapshot), Some(WeightsVersion(3)));
    second.stop_abruptly();
}

/// Guards against two faults with an unreadable record. A version set meanwhile would be lost when
/// all processes end; and a check after each change of the deployment state, if each check caused a
/// change, would never end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreadable_record_is_overwritten_once() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    store.put(TableName::System, "weights/m", "{\"model\":7}");
    store.put(TableName::System, "another", "no entry of an entry host");
    set_target_version(&store, 3);
    let first = EntryProcess::start("first", &store);
    first.wait_for(|snapshot| newest(snapshot).is_some()).await;
    await_record(&store, 3).await;
    sleep(Duration::from_millis(300)).await;
    // The entry, a record assuming that no row exists, and one that overwrites the row.
    assert!(store.change_calls() <= 4, "{}", store.change_calls());
    assert_eq!(store.changes_done(), 2, "its entry and one record");
    set_target_version(&store, 2);
    first.stop_abruptly();
    let second = EntryProcess::start("second", &store);
    let snapshot = second.wait_for(|snapshot| snapshot.catalog.is_some()).await;
    assert_eq!(newest(&snapshot), Some(WeightsVersion(3)));
    second.stop_abruptly();
}

/// Guards against losing a version when all entry hosts restart while hosts of backend servers keep
/// running and know it. New hosts then received the older version.
#[test]
fn an_entry_host_takes_a_version_from_a_query() {
    let witness = new_state();
    witness.change(|state| state.change_operator_rows(&[target_row(3)], witnessed_at(START)));
    let later = START + Duration::from_secs(20);
    let announcements = witness.read(DeploymentState::query).targets;
    let started = new_state();
    assert!(started.read(|state| state.is_updated_by(&announcements)));
    started.change(|state| state.merge_targets(&announcements, later));
    assert!(!started.read(|state| state.is_updated_by(&announcements)));
    let snapshot = started.snapshot().load();
    assert_eq!(newest(&snapshot), Some(WeightsVersion(3)));
    let weights = snapshot.newest_version("m").expect("the version is known");
    assert_eq!(weights.target_set_at, START);
}

fn target_set_at(snapshot: &DeploymentSnapshot) -> ClockTime {
    let weights = snapshot.newest_version("m");
    weights.expect("a target version is known").target_set_at
}

/// Guards against dating a version as new when a record is read again. A starting process assumed
/// at first that the version was old; requests then began on previous versions up to six seconds
/// after the deadline.
#[test]
fn a_record_read_again_does_not_postdate_a_version() {
    let state = new_state();
    let record = |revision| {
        OwnRows::with_record(VersionRecord {
            target: ModelVersion {
                model: "m".into(),
                version: WeightsVersion(2),
            },
            revision,
        })
    };
    let found = found_at(FollowState::Started, START);
    state.change(|state| state.take_own_rows(record(5), found));
    let later = START + Duration::from_secs(10);
    let again = found_at(FollowState::Interrupted, later);
    state.change(|state| state.take_own_rows(record(6), again));
    assert_eq!(
        store_time(target_set_at(&state.snapshot().load())),
        found.earliest
    );
}

/// The same for the operator's table: the store lost its history soon after a start, and the second
/// full read dated an earlier version as new.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_table_read_again_does_not_postdate_a_version() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    set_target_version(&store, 2);
    let process = EntryProcess::start("first", &store);
    let is_ready = |snapshot: &DeploymentSnapshot| snapshot.catalog.is_some();
    process.wait_for(is_ready).await;
    let targets_of = |process: &EntryProcess| process.state.read(DeploymentState::query).targets;
    let found = targets_of(&process);
    store.forget_history();
    put_document(&store, 2);
    let has_second = |snapshot: &DeploymentSnapshot| {
        let catalog = snapshot.catalog.as_ref();
        catalog.is_some_and(|catalog| catalog.version.0 == 2)
    };
    process.wait_for(has_second).await;
    assert_eq!(targets_of(&process), found);
    process.stop_abruptly();
}

/// Guards against dating a version too late that was set while all entry hosts were down. The hosts
/// of backend servers knew the time; the restarted entry hosts only assumed it.
#[test]
fn an_entry_host_takes_the_update_time_from_a_query() {
    let witness = new_state();
    witness.change(|state| state.change_operator_rows(&[target_row(2)], witnessed_at(START)));
    let later = START + Duration::from_secs(20);
    let started = new_state();
    let resumed = TargetUpdateTime::guessed(store_time(later), TargetTimeCertainty::Resumed);
    started.change(|state| state.change_operator_rows(&[target_row(2)], resumed));
    let announcements = witness.read(DeploymentState::query).targets;
    assert!(started.read(|state| state.is_updated_by(&announcements)));
    started.change(|state| state.merge_targets(&announcements, later));
    assert!(!started.read(|state| state.is_updated_by(&announcements)));
    assert_eq!(target_set_at(&started.snapshot().load()), START);
}

/// Guards against losing a version that no process received. All entry hosts were without power
/// when version 3 was set, and an older update was executed after it before the first of them
/// returned: all logged `[1102] … version=2 from=store/78 certainty=Assumed`. The own rows did not
/// record version 3, but the store still had the changes of the last seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_overwritten_version_is_found_in_the_store_history() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    set_target_version(&store, 2);
    set_target_version(&store, 3);
    set_target_version(&store, 2);
    for document in 2..80 {
        put_document(&store, document);
    }
    let snapshot = state_of_new_process(&store).await;
    assert_eq!(newest(&snapshot), Some(WeightsVersion(3)));
}

/// If the store has lost its history, the process becomes ready with the current rows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_starts_when_the_store_has_lost_its_history() {
    let store = FakeStore::start().await;
    put_document(&store, 1);
    set_target_version(&store, 2);
    store.forget_history();
    let snapshot = state_of_new_process(&store).await;
    assert_eq!(newest(&snapshot), Some(WeightsVersion(2)));
}

/// Guards against dating a version before its predecessor. Entry hosts had restarted and assumed
/// that the version they found was six seconds old, but the hosts of engines had received its
/// predecessor only two seconds before that. Every stream was refused for four seconds too long.
#[test]
fn a_version_is_not_dated_before_its_predecessor() {
    let witness = new_state();
    witness.change(|state| state.change_operator_rows(&[target_row(2)], witnessed_at(START)));
    let now = START + Duration::from_secs(2);
    let found = found_at(FollowState::Started, now);
    let started = new_state();
    set_clock(&started, now);
    started.change(|state| state.set_operator_rows(&[target_row(3)], found));
    let announcements = witness.read(DeploymentState::query).targets;
    assert!(started.read(|state| state.is_updated_by(&announcements)));
    started.change(|state| state.merge_targets(&announcements, now));
    assert_eq!(target_set_at(&started.snapshot().load()), START);
    let view = started.read(|state| state.answer(&PeerQuery::default(), Duration::ZERO, now));
    witness.change(|state| state.merge(view, at_once(now)));
    assert_eq!(target_set_at(&witness.snapshot().load()), START);
}

/// Guards against a record of version 2 that is executed last and would bring the previous version
/// back when all processes restart.
#[tokio::test]
async fn a_late_record_does_not_replace_a_newer_one() {
    let store = FakeStore::start().await;
    let third = "{\"model\":\"m\",\"version\":3}";
    store.put(TableName::System, "weights/m", third);
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    let client = StoreClient::new(store.address, client);
    let second = b"{\"model\":\"m\",\"version\":2}";
    let writing = client.write_row_at(TableName::System, ("weights/m", 0), second, WAIT_MAX);
    let outcome = writing.await.expect("the store answers").outcome;
    let WriteOutcome::Refused { row: Some(row) } = outcome else {
        panic!("the write was executed: {outcome:?}");
    };
    assert_eq!(row.value.as_deref(), Some(third.as_bytes()));
    let stored = store.text_of(TableName::System, "weights/m");
    assert_eq!(stored.as_deref(), Some(third));
}

/// Guards against an assumed time that hides a better one. During an outage a process had
/// restarted; at the store's return it assumed that the versions were six seconds old and announced
/// them first, before the others' interrupted watches returned. Every stream was refused for five
/// seconds.
#[test]
fn an_interrupted_watch_overrides_an_assumed_time() {
    let back = START + Duration::from_secs(20);
    let started = new_state();
    let assumed = found_at(FollowState::Started, back);
    started.change(|state| state.set_operator_rows(&[target_row(2)], assumed));
    let announcements = started.read(DeploymentState::query).targets;
    let interrupted = new_state();
    interrupted.change(|state| state.merge_targets(&announcements, back));
    let found = found_at(FollowState::Interrupted, back);
    // The restarted process has recorded the version, and the record is read before the watch
    // continues.
    let record = OwnRows::with_record(VersionRecord {
        target: announcements[0].target.clone(),
        revision: 8,
    });
    interrupted.change(|state| state.take_own_rows(record, found));
    interrupted.change(|state| state.change_operator_rows(&[target_row(2)], found));
    assert_eq!(
        store_time(target_set_at(&interrupted.snapshot().load())),
        found.earliest
    );
    // The same row again changes nothing.
    let later = back + Duration::from_secs(5);
    let followed = FollowState::Followed(store_time(back));
    let later = found_at(followed, later);
    interrupted.change(|state| state.change_operator_rows(&[target_row(2)], later));
    assert_eq!(
        store_time(target_set_at(&interrupted.snapshot().load())),
        found.earliest
    );
}

/// Guards against a restarted entry host that spends retries which its earlier process has spent.
#[tokio::test]
async fn an_entry_host_that_restarts_is_counted_anew() {
    let store = FakeStore::start().await;
    let first_started_at = clock_now();
    let first = EntryProcess::start("e", &store);
    let counted = |snapshot: &DeploymentSnapshot| snapshot.entry_sharing.counted_since.is_some();
    let counted_at_first = first.wait_for(counted).await.entry_sharing.counted_since;
    first.stop_abruptly();
    let restarted_at = clock_now();
    let second = EntryProcess::start("e", &store);
    let snapshot = second.wait_for(counted).await;
    let sharing = snapshot.entry_sharing;
    assert_eq!(sharing.entries, 1);
    assert!(sharing.counted_since >= Some(restarted_at), "{sharing:?}");
    assert!(
        counted_at_first < Some(first_started_at),
        "{counted_at_first:?}"
    );
    second.stop_abruptly();
}
