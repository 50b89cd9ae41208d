//! Engines that restart under the same name while the host's process keeps running.

use std::time::Duration;

use tokio::time::sleep;

use super::backend_host::BackendHost;
use crate::fleet::WeightsVersion;
use crate::platform::{EngineCall, StagedAfterRestart, StartTimeField};
use crate::weights::ChunkAnnouncement;

/// Longer than the host needs to notice that its engine is unresponsive.
const OUTAGE: Duration = Duration::from_millis(500);

/// Failure: a third of the engines crashed and restarted 1.5 seconds later under the same names.
/// Each host logged `[1302] the engine answers: holdings=EngineHoldings { models: [], layers: [] }`
/// and nothing else for the rest of the day: no `[1303]`, no `[1308]`. The host considered the
/// version present because all of its chunks were staged, but it only ordered loads of versions in
/// its own memory. Since every chunk is still staged, none needs to be fetched again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_engine_loads_what_is_still_staged() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.await_served(1).await;
    let read = host.origin.chunks_served();
    host.engine.crash();
    sleep(OUTAGE).await;
    host.engine.restart(StagedAfterRestart::Kept);
    host.await_held(1).await;
    assert_eq!(host.origin.chunks_served(), read, "all chunks were staged");
    host.end();
}

/// As above, but nothing was staged any more. Failure: the host logged `[1302]` with empty
/// holdings, kept announcing to other hosts that it held every chunk, and fetched none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_engine_with_nothing_staged_gets_its_weights_again() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.await_served(1).await;
    let read = host.origin.chunks_served();
    host.engine.crash();
    sleep(OUTAGE).await;
    host.engine.restart(StagedAfterRestart::Lost);
    host.await_held(1).await;
    assert_eq!(host.origin.chunks_served(), 2 * read, "no chunk was left");
    host.end();
}

/// Staged chunks survive a crash, but some are corrupt. If they were loaded unchecked, the engine
/// would generate tokens from corrupt weights. Only the corrupt ones are fetched again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunks_corrupted_by_a_crash_are_fetched_again() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.await_served(1).await;
    let read = host.origin.chunks_served();
    host.engine.restart(StagedAfterRestart::HalfCorrupt);
    host.await_held(1).await;
    assert_eq!(host.origin.chunks_served(), read + read / 2);
    host.end();
}

/// The engine restarts before the host queries it again, so that no query fails, and does not
/// report its start time. Its empty holdings reveal that it has lost its state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quick_restart_without_a_start_time_is_detected_by_its_holdings() {
    let host = BackendHost::start(StartTimeField::Absent).await;
    host.await_served(1).await;
    host.engine.restart(StagedAfterRestart::Lost);
    host.await_held(1).await;
    host.end();
}

/// Failure: a host whose engine had lost its staged chunks announced all of them. Other hosts
/// requested chunks that it could not provide, and waited.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_hosts_see_at_once_that_nothing_is_held_any_more() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.await_served(1).await;
    let held = |announcement: Option<ChunkAnnouncement>| {
        announcement.map(|announcement| announcement.held.len())
    };
    let all = host.origin.chunks_served();
    assert_eq!(
        held(host.announcement(1).await).map(usize::try_from),
        Some(Ok(all))
    );
    host.origin.limit_chunks(all);
    host.engine.restart(StagedAfterRestart::Lost);
    host.await_reports().await;
    assert_eq!(held(host.announcement(1).await), Some(0));
    host.end();
}

/// A stalled engine resumes with the weights that it held. Nothing may be fetched, staged or
/// ordered again, since each of these would cost the engine the requests in progress.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_was_only_unresponsive_keeps_its_weights() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.await_served(1).await;
    let before = host.work_done();
    host.engine.crash();
    sleep(OUTAGE).await;
    host.engine.resume();
    sleep(OUTAGE).await;
    assert_eq!(host.work_done(), before);
    assert_eq!(host.engine.held(), Some(WeightsVersion(1)));
    host.end();
}

/// The engine restarts when half of the chunks are present. The chunks in the host's memory stay,
/// and the rest is fetched.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fetch_continues_after_a_restart() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.origin.limit_chunks(3);
    let has_part = || host.origin.chunks_served() == 3;
    host.await_that("half of the chunks are read", has_part)
        .await;
    sleep(OUTAGE).await;
    host.engine.restart(StagedAfterRestart::Lost);
    sleep(OUTAGE).await;
    host.origin.limit_chunks(usize::MAX);
    host.await_held(1).await;
    assert_eq!(host.origin.chunks_served(), 6, "no chunk was read twice");
    host.end();
}

/// The engine restarts and loses its chunks while they are being staged. If those staged before the
/// restart still counted, they would be missing from the load.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restart_during_staging_stages_all_chunks_again() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.engine
        .restart_on(EngineCall::Stage, 3, StagedAfterRestart::Lost);
    host.await_held(1).await;
    host.end();
}

/// The engine restarts between the last query and the order. The order contains the order count of
/// the former incarnation and is refused; repeated unchanged, it would be refused forever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_refused_by_a_new_incarnation_is_created_anew() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.await_served(1).await;
    host.engine
        .restart_on(EngineCall::Order, 0, StagedAfterRestart::Lost);
    host.set_target(2);
    host.await_held(2).await;
    host.end();
}

/// Failure: the engine accepted the order and restarted before it had finished, too quickly for a
/// query to fail. The host waited nine seconds for a version that could not come: `[1308]`, and no
/// `[1310]` after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wait_for_the_end_of_a_load_ends_with_the_incarnation() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.engine.stall_orders();
    host.await_that("an order is accepted", || host.engine.orders_started() == 1)
        .await;
    sleep(OUTAGE).await;
    host.engine.restart(StagedAfterRestart::Kept);
    host.await_held(1).await;
    host.end();
}

/// A response of the former incarnation arrives after one of the new incarnation. If it counted as
/// another restart, the chunks that were just staged and loaded would be discarded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_delayed_report_of_the_former_incarnation_is_ignored() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.await_served(1).await;
    host.engine.restart(StagedAfterRestart::Lost);
    host.await_served(1).await;
    let before = host.work_done();
    host.engine.report_stale(2);
    sleep(2 * OUTAGE).await;
    assert_eq!(host.work_done(), before);
    host.end();
}
