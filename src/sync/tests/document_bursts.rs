//! Documents that come in quick succession, over links that carry few of them.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::restarts::EntryProcess;
use super::{START, document, new_state, target_row, witnessed_at};
use crate::catalog::CatalogVersion;
use crate::fleet::{ModelVersion, NamingCertainty, WeightsVersion};
use crate::platform::samples::{document_sample, naming_sample};
use crate::platform::{FakeStore, TableName};
use crate::sync::past_targets::is_final_read;
use crate::sync::peer_messages::{PeerQuery, TargetAnnouncement};
use crate::sync::{ControlSnapshot, ControlState, TargetUpdateTime};
use crate::time::clock_now;

/// Versions of the document in one storm.
const BURST: u64 = 40;
/// How long one of them takes over the link: ten of them, the shortest look back, take longer than the
/// store is given for an answer, and the whole storm longer than a watch is held open.
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

/// Symptom: an entry host that had been killed answered 404, seconds behind the store's word, for routes
/// that its neighbours served. Events: it started amid a storm of large documents and looked into the
/// store's history, whose answer holds each of them; the link between the regions could not carry it in
/// the time that the store is given; it asked for the same history again, which grew meanwhile. Cause:
/// the table was followed only behind a look that had succeeded.
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
    // One look that fails, and the bound of documents.
    let within = Duration::from_secs(3);
    let followed = timeout(within, followed).await;
    assert!(followed.is_ok(), "it does not follow within {within:?}");
    process.stop_abruptly();
}

/// Symptom: every engine was loaded with older weights behind a loss of power of all. Events: version 3 was
/// named while no process lived, and an older naming was done late over it; 40 documents of 20 KB followed;
/// an entry host that started looked back through 300 KB of history and found neither. Cause: the look ended
/// by its bytes also where the way to the store is wide.
#[test]
fn only_a_slow_large_history_read_is_final() {
    let (quick, slow) = (Duration::from_millis(20), Duration::from_millis(200));
    let (many, few) = (2_000_000, 20_000);
    assert!(is_final_read(many, slow));
    assert!(!is_final_read(many, quick), "the way is wide");
    assert!(!is_final_read(few, slow), "the store is slow");
}

/// Symptom and cause as in the first of these, for an entry host that lives and was cut off: its watch goes on where it
/// had stopped, and the answer to it holds all documents since, more with each try.
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

/// Symptom: every request was refused for four seconds behind an outage of the store. Events: a version was
/// named during the outage; an entry host that started meanwhile took it for six seconds old and told its
/// neighbours; these, which had lived through the outage, read the table instead of going on with their
/// watch, and a read does not tell that the version is new. Cause: a watch that fails because the store is
/// down was taken for one whose answer does not arrive.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_watch_resumes_after_an_outage_and_dates_a_version_as_new() {
    let store = FakeStore::start().await;
    put_documents(&store, 1..=1);
    let process = EntryProcess::start("e1", &store);
    wait_for_document(&process, 1).await;
    // A watch that is held open ends by itself after 1.4 s.
    store.set_down(true);
    sleep(Duration::from_millis(3500)).await;
    let (key, text) = naming_sample(2);
    store.put(TableName::Operator, key, &text);
    let now = clock_now();
    let answer = |state: &ControlState| state.answer(&PeerQuery::default(), Duration::ZERO, now);
    let clock = process.state.read(answer).clock;
    let known_at = clock.expect("the store has answered").most;
    let announcement = TargetAnnouncement {
        target: ModelVersion {
            model: "m".into(),
            version: WeightsVersion(2),
        },
        set_at: TargetUpdateTime::guessed(
            known_at - Duration::from_secs(6),
            NamingCertainty::Assumed,
        ),
    };
    process
        .state
        .change(|state| state.merge_targets(&[announcement], now));
    store.set_down(false);
    let is_resumed = |snapshot: &ControlSnapshot| {
        let mut weights = snapshot.targets.iter();
        weights.any(|weights| {
            weights.certainty == NamingCertainty::Resumed && weights.named_at >= now - ROW_DELAY
        })
    };
    process.wait_for(is_resumed).await;
    process.stop_abruptly();
}

/// Symptom: new weights reached the hosts of engines 1.5 s later than their links allow, and no engine could
/// answer meanwhile. Events: an operator's tool wrote a document of 460 routes ten times a second; each
/// host's question was answered with each of them at once, over the link on which the chunks came. Cause:
/// a host got every document as urgently as an entry host.
#[test]
fn a_host_with_a_document_gets_no_response_for_each_newer_one() {
    let state = new_state();
    let mut query = state.read(ControlState::query);
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
        "a version is told at once"
    );
}
