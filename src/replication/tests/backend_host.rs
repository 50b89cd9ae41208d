//! Fixture: a host's daemon with a stand-in for its engine, which tests can stop and restart.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use tokio::time::{sleep, timeout};

use crate::capacity::{ProcessLimits, SharedAccount};
use crate::daemon::DrainState;
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::placement::RegionMap;
use crate::platform::samples::target_sample;
use crate::platform::{
    FakeEngine, FakeOrigin, FakeStore, PlatformBounds, PlatformSettings, StartTimeField, TableName,
};
use crate::replication::chunk_messages::{ChunkQuery, HAVE_PATH};
use crate::replication::run_backend_host;
use crate::sync::{EntryRecord, SyncSettings, start_sync};
use crate::test_support::unused_address;
use crate::time::test_clock;
use crate::transport::{ClientLimits, PeerClient};
use crate::weights::ChunkAnnouncement;

/// Far longer than a host needs for anything here, and shorter than the nine seconds for which it
/// waits for the end of a load.
pub(super) const WAIT_MAX: Duration = Duration::from_secs(6);
/// Number of reports after which the host has acted on the first. The fourth query is sent 0.2
/// seconds after the third, and the second may have been sent by the other task.
const REPORTS_MIN: usize = 4;
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Below the ephemeral port range.
const PEER_PORT: u16 = 7700;
/// Link rate that never delays anything.
const LINK_BYTES_PER_S: f64 = 1e9;

/// A host with its engine, the origin, and the store that contains the target version.
pub(super) struct BackendHost {
    pub(super) engine: FakeEngine,
    pub(super) origin: FakeOrigin,
    store: FakeStore,
    peers: SocketAddr,
    runtime: Runtime,
}

impl BackendHost {
    /// Starts a host whose engine holds nothing. The target is version 1.
    pub(super) async fn start(birth: StartTimeField) -> Self {
        Self::start_among(birth, &[]).await
    }

    /// Like [`Self::start`], with the entry hosts `entries` in the store.
    pub(super) async fn start_among(birth: StartTimeField, entries: &[EntryRecord]) -> Self {
        Self::start_beside(FakeEngine::start(birth).await, entries).await
    }

    /// Like [`Self::start_among`], beside a running `engine`.
    pub(super) async fn start_beside(engine: FakeEngine, entries: &[EntryRecord]) -> Self {
        let origin = FakeOrigin::start().await;
        let store = FakeStore::start().await;
        store.put(TableName::Operator, "config", &origin.document());
        for entry in entries {
            let text = serde_json::to_string(entry).expect("it encodes");
            store.put(TableName::System, &entry.host, &text);
        }
        let peers = unique_address();
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a thread is available");
        runtime.spawn(run_backend_host(settings(&engine, &store, peers)));
        Self {
            engine,
            origin,
            store,
            peers,
            runtime,
        }
    }

    /// Starts an entry host that follows the store and answers the host's queries.
    pub(super) async fn start_entry(&self) {
        let control = unused_address().await;
        let settings = SyncSettings {
            own_entry: EntryRecord {
                host: "e".into(),
                data_centre: "a".into(),
                control,
                reports: control,
            },
            store_address: self.store.address,
            seeds: Vec::new(),
        };
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        let deployment_state = start_sync(settings, SharedAccount::default(), drain);
        let is_there =
            || !deployment_state.read(|deployment_state| deployment_state.entries().is_empty());
        self.await_that("the entry host is listed", is_there).await;
    }

    /// Returns a function that stalls all tasks of the host for `span`, and returns once they are.
    pub(super) fn stall(&self, span: Duration) -> impl FnOnce() + Send + use<> {
        self.block(move || thread::sleep(span))
    }

    /// Like [`Self::stall`], for a suspension: the host's clock stands still.
    pub(super) fn suspend(&self, span: Duration) -> impl FnOnce() + Send + use<> {
        self.block(move || test_clock::suspend(span))
    }

    /// Returns a function that lets `blocking` occupy the only thread of the host, and returns once
    /// it does.
    fn block<F>(&self, blocking: F) -> impl FnOnce() + Send + use<F>
    where
        F: FnOnce() + Send + 'static,
    {
        let runtime = self.runtime.handle().clone();
        move || {
            let (stalled, await_stalled) = mpsc::channel();
            runtime.spawn(async move {
                stalled.send(()).expect("the other end waits");
                blocking();
            });
            await_stalled.recv().expect("the task runs");
        }
    }

    /// Address on which the host answers other processes.
    pub(super) const fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Sets `version` as target.
    pub(super) fn set_target(&self, version: u64) {
        let (key, text) = target_sample(version);
        self.store.put(TableName::Operator, key, &text);
    }

    /// Waits until the engine holds `version` and the host knows it.
    pub(super) async fn await_served(&self, version: u64) {
        self.await_held(version).await;
        self.await_reports().await;
    }

    /// Waits until the host has processed the engine's state.
    pub(super) async fn await_reports(&self) {
        let has_reported = || self.engine.reports() >= REPORTS_MIN;
        self.await_that("the host knows it", has_reported).await;
    }

    /// Waits until the engine holds `version`.
    pub(super) async fn await_held(&self, version: u64) {
        let held = || self.engine.held() == Some(WeightsVersion(version));
        self.await_that("the engine holds the version", held).await;
    }

    /// Waits until `is_so` returns true.
    pub(super) async fn await_that(&self, what: &str, is_so: impl Fn() -> bool) {
        let waiting = async {
            while !is_so() {
                sleep(CHECK_INTERVAL).await;
            }
        };
        let waited = timeout(WAIT_MAX, waiting).await;
        assert!(waited.is_ok(), "timed out after {WAIT_MAX:?}: {what}");
    }

    /// Numbers of chunks read from the origin, chunks staged and orders accepted.
    pub(super) fn work_done(&self) -> (usize, usize, usize) {
        let (engine, origin) = (&self.engine, &self.origin);
        (
            origin.chunks_served(),
            engine.chunks_staged(),
            engine.orders_started(),
        )
    }

    /// What the host announces about `version` to other hosts.
    pub(super) async fn announcement(&self, version: u64) -> Option<ChunkAnnouncement> {
        let client = PeerClient::new(ClientLimits::default());
        let target = ModelVersion {
            model: "m".into(),
            version: WeightsVersion(version),
        };
        let query = ChunkQuery {
            target,
            index: None,
        };
        let called = client.call(self.peers, HAVE_PATH, &query, WAIT_MAX);
        called.await.ok()
    }

    /// Checks that no corrupt chunk was loaded, and stops the host.
    pub(super) fn end(self) {
        assert_eq!(self.engine.bad_loads(), 0, "the engine loaded bad chunks");
        self.stop();
    }

    /// Stops the host.
    pub(super) fn stop(self) {
        self.runtime.shutdown_background();
    }
}

fn settings(engine: &FakeEngine, store: &FakeStore, peers: SocketAddr) -> PlatformSettings {
    PlatformSettings {
        host: "h".into(),
        ip: peers.ip(),
        data_centre: "a".into(),
        regions: RegionMap::default(),
        caller_address: None,
        ready_address: None,
        control_address: None,
        metrics_address: None,
        peer_port: peers.port(),
        seeds: Vec::new(),
        backend_address: Some(engine.address),
        backend_service: Some("s".into()),
        store_address: store.address,
        limits: ProcessLimits::default(),
        link_bytes_per_s: LINK_BYTES_PER_S,
        bounds: PlatformBounds {
            shutdown_grace: Duration::ZERO,
            weights_deadline: Duration::from_secs(8),
            retry_ratio: 0.1,
            retry_extra: 20.0,
            retry_window: Duration::from_secs(10),
            cold_overshoot: None,
        },
    }
}

/// A loopback address that is used by no other test and by no concurrent test run. A port that was
/// free a moment ago could by now be the local port of another test's connection.
fn unique_address() -> SocketAddr {
    static HOSTS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high, low, HOSTS.fetch_add(1, Ordering::Relaxed));
    SocketAddr::new(ip.into(), PEER_PORT)
}
