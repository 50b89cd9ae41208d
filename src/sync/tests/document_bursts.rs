//! Bursts of documents over links that carry few of them.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::restarts::EntryProcess;
use super::{START, document, new_state, target_row, witnessed_at};
use crate::catalog::CatalogVersion;
use crate::fleet::{ModelVersion, TargetTimeCertainty, WeightsVersion};
use crate::platform::samples::{document_sample, target_sample};
use crate::platform::{FakeStore, TableName};
use crate::sync::past_targets::is_final_read;
use crate::sync::peer_messages::{PeerQuery, TargetAnnouncement};
use crate::sync::{DeploymentSnapshot, DeploymentState, TargetUpdateTime};
use crate::time::clock_now;

/// Versions of the document in one burst.
const BURST: u64 = 40;
/// Time that one document takes on the link. Ten of them, the shortest history read, exceed the
/// time limit of the store, and the whole burst takes longer than a watch is held open.
const ROW_DELAY: Duration = Duration::from_millis(150);

fn put_documents(store: &FakeStore, versions: std::ops::RangeInclusive<u64>) {
    for version in versions {
        let (key, text) = document_sample(version);
        store.put(TableName::Operator, key, &text);
    }
}

async fn wait_for_document(process: &EntryProcess, version: u64) {
    let version = CatalogVersion(version);
    let is_ready = |catalog: &crate::catalog::ServiceCatalog| catalog.version >= version;
    process
        .wait_for(|snapshot| snapshot.catalog.as_deref().is_some_and(is_ready))
        .await;
}

/// Guards against a start that waits for the store's history. An entry host restarted during a
/// burst of large documents and read the history, which contains each of them; the link between
/// regions could not carry it within the time limit, and the host repeated the call while the
/// history grew. The table was followed only after that read, so that the host answered 404 for
/// routes that its neighbours had served for seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_follows_the_table_when_the_history_does_not_arrive() {
    let store = FakeStore::start().await;
    put_documents(&store, 1..=BURST);
    store.slow_watches(ROW_DELAY);
    let process = EntryProcess::start("e1", &store);
    let followed = async {
        wait_for_document(&process, BURST).await;
        put_documents(&store, BURST + 1..=BURST + 1);
        wait_for_document(&process, BURST + 1).await;
    };
    // One failed read, and the time limit of documents.
    let time_limit = Duration::from_secs(3);
    let followed = timeout(time_limit, followed).await;
    assert!(followed.is_ok(), "not followed within {time_limit:?}");
    process.stop_abruptly();
}

/// Guards against ending the history reads by their size on a wide link. Version 3 was set while no
/// process was running, an older update was executed after it, and 40 documents of 20 KB followed;
/// a starting entry host read 300 KB of history and found neither. All engines were loaded with
/// previous versions after a loss of power of all hosts.
#[test]
fn only_a_slow_large_history_read_is_final() {
    let (quick, slow) = (Duration::from_millis(20), Duration::from_millis(200));
    let (many, few) = (2_000_000, 20_000);
    assert!(is_final_read(many, slow));
    assert!(!is_final_read(many, quick), "the link is wide");
    assert!(!is_final_read(few, slow), "the store is slow");
}

/// As the first test of this file, for a running entry host that was cut off: its watch continues
/// from the last known revision, and the answer contains all documents since, more with each retry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_watch_that_cannot_catch_up_reads_the_table_instead() {
    let store = FakeStore::start().await;
    put_documents(&store, 1..=1);
    let process = EntryProcess::start("e1", &store);
    wait_for_document(&process, 1).await;
    store.slow_watches(ROW_DELAY);
    put_documents(&store, 2..=BURST);
    wait_for_document(&process, BURST).await;
    process.stop_abruptly();
}

/// Guards against treating a watch that fails in an outage as one whose answer does not arrive. A
/// version was set during an outage; an entry host that started meanwhile assumed that it was six
/// seconds old and announced it. The running ones read the table instead of continuing the watch,
/// and a read does not show that a version is new. Every request was refused for four seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_watch_resumes_after_an_outage_and_dates_a_version_as_new() {
    let store = FakeStore::start().await;
    put_documents(&store, 1..=1);
    let process = EntryProcess::start("e1", &store);
    wait_for_document(&process, 1).await;
    // A watch that is held open ends by itself after 1.4 s.
    store.set_down(true);
    sleep(Duration::from_millis(3500)).await;
    let (key, text) = target_sample(2);
    store.put(TableName::Operator, key, &text);
    let now = clock_now();
    let answer = |state: &DeploymentState| state.answer(&PeerQuery::default(), Duration::ZERO, now);
    let clock = process.state.read(answer).clock;
    let known_at = clock.expect("the store has answered").most;
    let announcement = TargetAnnouncement {
        target: ModelVersion {
            model: "m".into(),
            version: WeightsVersion(2),
        },
        set_at: TargetUpdateTime::guessed(
            known_at - Duration::from_secs(6),
            TargetTimeCertainty::Assumed,
        ),
    };
    process
        .state
        .change(|state| state.merge_targets(&[announcement], now));
    store.set_down(false);
    let is_resumed = |snapshot: &DeploymentSnapshot| {
        let mut weights = snapshot.targets.iter();
        weights.any(|weights| {
            weights.certainty == TargetTimeCertainty::Resumed
                && weights.target_set_at >= now - ROW_DELAY
        })
    };
    process.wait_for(is_resumed).await;
    process.stop_abruptly();
}

/// Guards against responses to hosts for each document. An operator's tool wrote a document of 460
/// routes ten times a second, and each held query was answered with each of them over the link that
/// carried the chunks. New weights reached the hosts 1.5 s later than their links allow, and no
/// engine could answer meanwhile.
#[test]
fn a_host_with_a_document_gets_no_response_for_each_newer_one() {
    let state = new_state();
    let mut query = state.read(DeploymentState::query);
    state.change(|state| state.change_operator_rows(&[document(7)], witnessed_at(START)));
    assert!(state.read(|state| state.has_urgent_changes(&query)));
    query.can_wait_for_document = true;
    assert!(!state.read(|state| state.has_urgent_changes(&query)));
    assert!(
        state
            .read(|state| state.answer(&query, Duration::ZERO, START))
            .document
            .is_none()
    );
    state.change(|state| state.change_operator_rows(&[target_row(2)], witnessed_at(START)));
    assert!(
        state.read(|state| state.has_urgent_changes(&query)),
        "a target version is reported at once"
    );
}
