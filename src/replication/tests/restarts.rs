//! An engine that starts again under its name beside a host whose process lives on.

use std::time::Duration;

use tokio::time::sleep;

use super::backend_host::BackendHost;
use crate::fleet::WeightsVersion;
use crate::platform::{BirthWord, EngineCall, StagedRest};
use crate::weights::HaveWord;

/// Longer than the host needs to see that its engine is silent.
const OUTAGE: Duration = Duration::from_millis(500);

/// A third of the engines crashed and were back 1.5 seconds later under their names. Each host told
/// `[1302] the engine answers: holdings=EngineHoldings { models: [], layers: [] }` and then nothing
/// for the rest of the day: no `[1303]`, no `[1308]`. The host took the version for here, since all
/// of its chunks lay staged, but ordered the engine to load only what was in its own memory. Every
/// chunk was still staged, so that nothing needs to be brought again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_starts_again_loads_what_is_still_staged() {
    let host = BackendHost::start(BirthWord::Told).await;
    host.await_served(1).await;
    let read = host.origin.chunks_read();
    host.engine.crash();
    sleep(OUTAGE).await;
    host.engine.restart(StagedRest::Kept);
    host.await_held(1).await;
    assert_eq!(host.origin.chunks_read(), read, "all chunks were staged");
    host.end();
}

/// As above, but nothing was staged any more. The host told `[1302]` with empty holdings; it went on
/// telling other hosts that it held every chunk, and brought none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_starts_again_with_nothing_staged_gets_its_weights_anew() {
    let host = BackendHost::start(BirthWord::Told).await;
    host.await_served(1).await;
    let read = host.origin.chunks_read();
    host.engine.crash();
    sleep(OUTAGE).await;
    host.engine.restart(StagedRest::Gone);
    host.await_held(1).await;
    assert_eq!(host.origin.chunks_read(), 2 * read, "no chunk was left");
    host.end();
}

/// Staged chunks survive a crash, but some had gone bad. Loaded as they lay, they would have made
/// tokens of spoiled weights. Only the bad ones are brought again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunks_that_went_bad_in_a_crash_are_brought_again() {
    let host = BackendHost::start(BirthWord::Told).await;
    host.await_served(1).await;
    let read = host.origin.chunks_read();
    host.engine.restart(StagedRest::HalfSpoiled);
    host.await_held(1).await;
    assert_eq!(host.origin.chunks_read(), read + read / 2);
    host.end();
}

/// The engine was back before the host asked again, so that no report failed; and it says nothing of
/// its start. Its empty holdings tell that it knows nothing of before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quick_restart_without_a_time_of_start_is_seen_by_what_is_held() {
    let host = BackendHost::start(BirthWord::Untold).await;
    host.await_served(1).await;
    host.engine.restart(StagedRest::Gone);
    host.await_held(1).await;
    host.end();
}

/// A host whose engine had lost its staged chunks told others that it held all of them; these asked
/// it for chunks that it could not give, and waited.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_hosts_are_told_at_once_that_nothing_is_held_any_more() {
    let host = BackendHost::start(BirthWord::Told).await;
    host.await_served(1).await;
    let held =
        |announcement: Option<HaveWord>| announcement.map(|announcement| announcement.held.len());
    let all = host.origin.chunks_read();
    assert_eq!(
        held(host.announcement(1).await).map(usize::try_from),
        Some(Ok(all))
    );
    host.origin.hand_out_only(all);
    host.engine.restart(StagedRest::Gone);
    host.await_reports().await;
    assert_eq!(held(host.announcement(1).await), Some(0));
    host.end();
}

/// An engine that froze answers again with what it held. Nothing is brought, staged or ordered anew:
/// each would cost the engine the requests that it works on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_was_only_silent_keeps_what_it_has() {
    let host = BackendHost::start(BirthWord::Told).await;
    host.await_served(1).await;
    let before = host.work_done();
    host.engine.crash();
    sleep(OUTAGE).await;
    host.engine.thaw();
    sleep(OUTAGE).await;
    assert_eq!(host.work_done(), before);
    assert_eq!(host.engine.held(), Some(WeightsVersion(1)));
    host.end();
}

/// The engine started again while half of the chunks were here. What the host itself holds stays, and
/// the rest is fetched.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fetch_goes_on_over_a_restart() {
    let host = BackendHost::start(BirthWord::Told).await;
    host.origin.hand_out_only(3);
    let has_part = || host.origin.chunks_read() == 3;
    host.await_that("half of the chunks are read", has_part)
        .await;
    sleep(OUTAGE).await;
    host.engine.restart(StagedRest::Gone);
    sleep(OUTAGE).await;
    host.origin.hand_out_only(usize::MAX);
    host.await_held(1).await;
    assert_eq!(host.origin.chunks_read(), 6, "no chunk was read twice");
    host.end();
}

/// The engine started again and lost the chunks of which some had just been staged. Those staged
/// before and counted as such would have been missing in the load.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restart_in_the_middle_of_staging_stages_all_again() {
    let host = BackendHost::start(BirthWord::Told).await;
    host.engine
        .restart_at(EngineCall::Stage, 3, StagedRest::Gone);
    host.await_held(1).await;
    host.end();
}

/// The engine started again between the last look at it and the order, which counts on the orders of
/// the former incarnation and is refused. Given again unchanged it would be refused for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_that_meets_a_new_incarnation_is_made_out_anew() {
    let host = BackendHost::start(BirthWord::Told).await;
    host.await_served(1).await;
    host.engine
        .restart_at(EngineCall::Order, 0, StagedRest::Gone);
    host.set_target(2);
    host.await_held(2).await;
    host.end();
}

/// The engine took the order and started again before its end, sooner than a report could fail. The
/// host waited nine seconds for a version that could not come: `[1308]`, and no `[1310]` behind it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_wait_for_the_end_of_an_order_ends_with_the_incarnation() {
    let host = BackendHost::start(BirthWord::Told).await;
    host.engine.hold_orders();
    host.await_that("an order is begun", || host.engine.orders_begun() == 1)
        .await;
    sleep(OUTAGE).await;
    host.engine.restart(StagedRest::Kept);
    host.await_held(1).await;
    host.end();
}

/// An answer of the former incarnation came after one of the new. Taken for a further restart it
/// would have thrown away what had just been staged and loaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_report_of_the_former_incarnation_changes_nothing() {
    let host = BackendHost::start(BirthWord::Told).await;
    host.await_served(1).await;
    host.engine.restart(StagedRest::Gone);
    host.await_served(1).await;
    let before = host.work_done();
    host.engine.report_late(2);
    sleep(2 * OUTAGE).await;
    assert_eq!(host.work_done(), before);
    host.end();
}
