//! Staged chunks that become corrupt between their check and the load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::backend_host::BackendHost;
use crate::fleet::WeightsVersion;
use crate::load_reports::ReportDatagram;
use crate::platform::{EngineCall, FakeEngine, StartTimeField};
use crate::sync::EntryRecord;
use crate::time::clock_now;
use crate::transport::decode_message;

const CHUNKS: u32 = 6;
/// Longer than an engine may load a chunk that has become corrupt.
const ORDER_DELAY: Duration = Duration::from_millis(3100);
/// Longer than `ORDER_DELAY`, so that the engine has answered a delayed order when a stall ends.
const STALL: Duration = Duration::from_millis(3800);
/// The duration of a load for another process. The host knows of it before it ends.
const LOAD_SPAN: Duration = Duration::from_millis(1500);
/// Longer than a host waits for the answer to an order.
const ANSWER_LOST: Duration = Duration::from_secs(1);
/// The first layer that does not need the first chunk.
const FIRST_INTACT_LAYER: u32 = 1;
/// Number of requests in progress for which a host waits before an order.
const MANY_REQUESTS: u32 = 16;

/// Runs `action` at the engine's response to the read-back `read` of the next staging.
fn at_read_back(
    engine: &FakeEngine,
    read: u32,
    action: impl FnOnce() -> Duration + Send + 'static,
) {
    let staged = engine.clone();
    engine.on_call(EngineCall::Stage, CHUNKS - 1, move || {
        staged.on_call(EngineCall::ReadBack, read, action);
        Duration::ZERO
    });
}

/// Makes a chunk that was read back corrupt, and stalls the host.
fn corrupt_and_stall(host: &BackendHost) -> impl FnOnce() -> Duration + Send + use<> {
    let (engine, stall) = (host.engine.clone(), host.stall(STALL));
    move || {
        engine.corrupt_staged(0, clock_now());
        stall();
        Duration::ZERO
    }
}

/// Guards against loading corrupt chunks because the host was stalled between their check and the
/// order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunks_corrupted_during_a_stall_before_the_order_are_not_loaded() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.await_served(1).await;
    host.engine.set_active(MANY_REQUESTS);
    let (engine, action) = (host.engine.clone(), corrupt_and_stall(&host));
    at_read_back(&host.engine, CHUNKS - 1, move || {
        engine.on_call(EngineCall::Report, 0, action);
        Duration::ZERO
    });
    host.set_target(2);
    sleep(STALL).await;
    host.await_held(2).await;
    host.end();
}

/// Guards against loading corrupt chunks because the host was stalled during the check itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunks_corrupted_during_a_stall_in_the_check_are_not_loaded() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.await_served(1).await;
    at_read_back(&host.engine, CHUNKS / 2, corrupt_and_stall(&host));
    host.set_target(2);
    sleep(STALL).await;
    host.await_held(2).await;
    host.end();
}

/// Guards against serving corrupt weights because the engine accepted the order long after it was
/// sent. No request may be sent to the engine before it has loaded the chunks again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn corrupt_chunks_loaded_by_a_delayed_order_are_not_served() {
    let engine = FakeEngine::start(StartTimeField::Present).await;
    let reports = ReportCheck::start(&engine).await;
    let host = BackendHost::start_beside(engine, &[reports.entry()]).await;
    host.await_served(1).await;
    let corrupt = corrupt_and_stall(&host);
    host.engine.on_call(EngineCall::Order, 0, move || {
        corrupt();
        ORDER_DELAY
    });
    host.set_target(2);
    sleep(STALL).await;
    await_intact(&host, 2).await;
    assert_eq!(host.engine.bad_loads(), 1, "the order was delayed");
    reports.end();
    host.stop();
}

/// Guards against serving a corrupt layer because the engine keeps one that it holds when all others
/// are released: each layer has a corrupt chunk.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn layers_that_are_all_corrupt_are_all_loaded_again() {
    let engine = FakeEngine::start(StartTimeField::Present).await;
    let reports = ReportCheck::start(&engine).await;
    let host = BackendHost::start_beside(engine, &[reports.entry()]).await;
    host.await_served(1).await;
    let (engine, stall) = (host.engine.clone(), host.stall(STALL));
    host.engine.on_call(EngineCall::Order, 0, move || {
        for index in 0..CHUNKS as usize {
            engine.corrupt_staged(index, clock_now());
        }
        stall();
        ORDER_DELAY
    });
    host.set_target(2);
    sleep(STALL).await;
    await_intact(&host, 2).await;
    reports.end();
    host.stop();
}

/// Guards against serving corrupt chunks because the host was suspended between their check and the
/// order, and its clock did not count that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunks_corrupted_during_a_suspension_before_the_order_are_not_served() {
    let engine = FakeEngine::start(StartTimeField::Present).await;
    let reports = ReportCheck::start(&engine).await;
    let host = BackendHost::start_beside(engine, &[reports.entry()]).await;
    host.await_served(1).await;
    let (engine, suspend) = (host.engine.clone(), host.suspend(STALL));
    let queried = host.engine.clone();
    at_read_back(&host.engine, CHUNKS - 1, move || {
        queried.on_call(EngineCall::Report, 0, move || {
            engine.corrupt_staged(0, clock_now());
            suspend();
            Duration::ZERO
        });
        Duration::ZERO
    });
    host.set_target(2);
    sleep(STALL).await;
    await_intact(&host, 2).await;
    reports.end();
    host.stop();
}

/// Guards against trusting a load whose order was sent by a process that has ended since.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn corrupt_chunks_loaded_for_a_former_process_are_not_served() {
    let engine = FakeEngine::start(StartTimeField::Present).await;
    let reports = ReportCheck::start(&engine).await;
    engine.load_for_other(1, &[0, 3], LOAD_SPAN);
    let host = BackendHost::start_beside(engine, &[reports.entry()]).await;
    sleep(LOAD_SPAN).await;
    await_intact(&host, 1).await;
    reports.end();
    host.stop();
}

/// Guards against trusting a load that ended before a new process started, after the process that
/// had sent its order was killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn corrupt_chunks_loaded_while_no_process_ran_are_not_served() {
    let engine = FakeEngine::start(StartTimeField::Present).await;
    let reports = ReportCheck::start(&engine).await;
    engine.load_for_other(1, &[0, 3], Duration::ZERO);
    let host = BackendHost::start_beside(engine, &[reports.entry()]).await;
    await_intact(&host, 1).await;
    reports.end();
    host.stop();
}

/// Guards against loading intact weights again whenever a process of a host starts during a load.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn intact_chunks_loaded_for_a_former_process_are_served() {
    let engine = FakeEngine::start(StartTimeField::Present).await;
    engine.load_for_other(1, &[], LOAD_SPAN);
    let host = BackendHost::start_beside(engine, &[]).await;
    host.await_served(1).await;
    assert_eq!(host.engine.orders_started(), 1);
    host.end();
}

/// Guards against loading intact weights again whenever a process of a host starts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn intact_chunks_loaded_while_no_process_ran_are_served() {
    let engine = FakeEngine::start(StartTimeField::Present).await;
    engine.load_for_other(1, &[], Duration::ZERO);
    let host = BackendHost::start_beside(engine, &[]).await;
    host.await_served(1).await;
    sleep(LOAD_SPAN).await;
    assert_eq!(host.engine.orders_started(), 1);
    host.end();
}

/// Guards against taking an engine out of service until it has loaded a newer version, because the
/// digests of the one that it serves are not known after the start of a process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_intact_previous_version_is_served_after_a_process_started() {
    let engine = FakeEngine::start(StartTimeField::Present).await;
    let reports = ReportCheck::start(&engine).await;
    engine.load_for_other(1, &[], Duration::ZERO);
    let host = BackendHost::start_beside(engine, &[reports.entry()]).await;
    host.origin.limit_chunks(0);
    host.set_target(2);
    let is_offered = || reports.offered.load(Ordering::Relaxed) > 0;
    host.await_that("the engine is offered", is_offered).await;
    assert_eq!(host.engine.held(), Some(WeightsVersion(1)));
    reports.end();
    host.end();
}

/// Guards against taking every engine out of service when all hosts start at once while the origin
/// does not answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_is_served_after_a_process_started_although_no_digests_are_known() {
    let engine = FakeEngine::start(StartTimeField::Present).await;
    let reports = ReportCheck::start(&engine).await;
    engine.load_for_other(1, &[], Duration::ZERO);
    let host = BackendHost::start_beside(engine, &[reports.entry()]).await;
    host.origin.refuse_digests();
    let is_offered = || reports.offered.load(Ordering::Relaxed) > 0;
    host.await_that("the engine is offered", is_offered).await;
    assert_eq!(host.engine.orders_started(), 1);
    reports.end();
    host.end();
}

/// Guards against keeping a corrupt layer, whose chunks were staged again, because the process that
/// was about to release it was killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_corrupt_layer_loaded_while_no_process_ran_is_not_served() {
    let engine = FakeEngine::start(StartTimeField::Present).await;
    let reports = ReportCheck::start(&engine).await;
    engine.load_layer_for_other(1, 0, &[0]);
    let host = BackendHost::start_beside(engine, &[reports.entry()]).await;
    await_intact(&host, 1).await;
    reports.end();
    host.stop();
}

/// Guards against repeating forever the order by which an engine releases corrupt layers, because
/// its answer was lost and the order is in effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_serves_again_after_the_answer_to_a_release_was_lost() {
    let host = BackendHost::start(StartTimeField::Present).await;
    host.await_served(1).await;
    let corrupt = corrupt_and_stall(&host);
    let engine = host.engine.clone();
    host.engine.on_call(EngineCall::Order, 0, move || {
        corrupt();
        let released = engine.clone();
        engine.on_call(EngineCall::Order, 0, move || {
            released.accept_layer(2, FIRST_INTACT_LAYER);
            ANSWER_LOST
        });
        ORDER_DELAY
    });
    host.set_target(2);
    sleep(STALL).await;
    await_intact(&host, 2).await;
    host.stop();
}

/// Guards against trusting a load whose order came from another process while this one ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn corrupt_chunks_loaded_for_another_process_are_not_served() {
    let engine = FakeEngine::start(StartTimeField::Present).await;
    let reports = ReportCheck::start(&engine).await;
    let host = BackendHost::start_beside(engine, &[reports.entry()]).await;
    host.await_served(1).await;
    host.origin.limit_chunks(CHUNKS as usize);
    host.set_target(2);
    host.engine.load_for_other(2, &[4], LOAD_SPAN);
    sleep(LOAD_SPAN).await;
    host.origin.limit_chunks(usize::MAX);
    await_intact(&host, 2).await;
    reports.end();
    host.stop();
}

/// Waits until the engine serves intact weights of `version`, and the host has reported it.
async fn await_intact(host: &BackendHost, version: u64) {
    let is_intact = || {
        let held = host.engine.held();
        held == Some(WeightsVersion(version)) && !host.engine.serves_bad_layers()
    };
    host.await_that("intact weights are served", is_intact)
        .await;
    host.await_reports().await;
    assert!(is_intact(), "the weights are intact");
}

/// Receives the reports of a host as an entry host, and counts those that offer its engine while it
/// serves bad layers.
struct ReportCheck {
    address: SocketAddr,
    wrong: Arc<AtomicUsize>,
    received: Arc<AtomicUsize>,
    /// Those that offer the engine.
    offered: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl ReportCheck {
    async fn start(engine: &FakeEngine) -> Self {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = socket.local_addr().expect("it is bound");
        let (wrong, received, offered) = (Arc::default(), Arc::default(), Arc::default());
        let counts = (
            Arc::clone(&wrong),
            Arc::clone(&received),
            Arc::clone(&offered),
        );
        let task = tokio::spawn(count_reports(socket, engine.clone(), counts));
        Self {
            address,
            wrong,
            received,
            offered,
            task,
        }
    }

    /// The entry host that receives the reports.
    fn entry(&self) -> EntryRecord {
        EntryRecord {
            host: "a0".into(),
            data_centre: "a".into(),
            control: ([127, 0, 0, 1], 1).into(),
            reports: self.address,
        }
    }

    /// Checks that reports came and none was wrong.
    fn end(self) {
        self.task.abort();
        assert_ne!(self.received.load(Ordering::Relaxed), 0, "no report came");
        assert_eq!(self.wrong.load(Ordering::Relaxed), 0, "bad layers offered");
    }
}

/// Counts the reports that offer `engine` to entry hosts while it serves bad layers, and all.
async fn count_reports(
    socket: UdpSocket,
    engine: FakeEngine,
    (wrong, received, offered): (Arc<AtomicUsize>, Arc<AtomicUsize>, Arc<AtomicUsize>),
) {
    let mut buffer = [0; 2048];
    while let Ok(length) = socket.recv(&mut buffer).await {
        let datagram = decode_message(&buffer[..length]).expect("a report");
        if let ReportDatagram::Report(report) = datagram {
            received.fetch_add(1, Ordering::Relaxed);
            offered.fetch_add(usize::from(!report.is_loading), Ordering::Relaxed);
            if !report.is_loading && engine.serves_bad_layers() {
                wrong.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
