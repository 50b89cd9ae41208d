//! The daemon beside a stand-in of an engine, for tests that end it and start it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use tokio::time::{sleep, timeout};

use crate::daemon::DrainState;
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::samples::target_sample;
use crate::platform::{
    FakeEngine, FakeOrigin, FakeStore, PlatformBounds, PlatformSettings, StartTimeField, TableName,
};
use crate::replication::chunk_messages::{ChunkAsk, HAVE_PATH};
use crate::replication::run_backend_host;
use crate::sync::{EntryRecord, SyncSettings, start_sync};
use crate::test_support::unused_address;
use crate::transport::{ClientLimits, PeerClient};
use crate::weights::HaveWord;

/// Far longer than a host needs for anything here, and shorter than the nine seconds for which it
/// waits for the end of an order.
pub(super) const WAIT_MAX: Duration = Duration::from_secs(6);
/// A host that asks for the fourth time, 0.2 seconds after the third, has done what follows from the
/// answer to the first, or to the second if its other task asked first.
const REPORTS_MIN: usize = 4;
const LOOK_PAUSE: Duration = Duration::from_millis(10);
/// Below the ports that connections are opened from.
const PEER_PORT: u16 = 7700;
/// A link that never holds anything up.
const LINK_BYTES_PER_S: f64 = 1e9;

/// A host with its engine, the origin and the store that tells what is wanted.
pub(super) struct BackendHost {
    pub(super) engine: FakeEngine,
    pub(super) origin: FakeOrigin,
    store: FakeStore,
    peers: SocketAddr,
    runtime: Runtime,
}

impl BackendHost {
    /// Starts a host beside an engine that holds nothing; version 1 is wanted.
    pub(super) async fn start(birth: StartTimeField) -> Self {
        Self::start_among(birth, &[]).await
    }

    /// The same, where the store names `entries` as entry hosts.
    pub(super) async fn start_among(birth: StartTimeField, entries: &[EntryRecord]) -> Self {
        let engine = FakeEngine::start(birth).await;
        let origin = FakeOrigin::start().await;
        let store = FakeStore::start().await;
        store.put(TableName::Operator, "config", &origin.document());
        for entry in entries {
            let text = serde_json::to_string(entry).expect("it encodes");
            store.put(TableName::System, &entry.host, &text);
        }
        let peers = own_address();
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a thread can be had");
        runtime.spawn(run_backend_host(settings(&engine, &store, peers)));
        Self {
            engine,
            origin,
            store,
            peers,
            runtime,
        }
    }

    /// An entry host follows the store from now on, and tells the host of it.
    pub(super) async fn start_entry(&self) {
        let control = unused_address().await;
        let settings = SyncSettings {
            me: EntryRecord {
                host: "e".into(),
                data_centre: "a".into(),
                control,
                reports: control,
            },
            store_address: self.store.address,
            seeds: Vec::new(),
        };
        let book = start_sync(settings, DrainState::new(Duration::ZERO, Duration::ZERO));
        let is_there = || !book.read(|book| book.entries().is_empty());
        self.await_that("the entry host is entered", is_there).await;
    }

    /// Where it answers other processes.
    pub(super) const fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Version `version` is wanted from now on.
    pub(super) fn name_version(&self, version: u64) {
        let (key, text) = target_sample(version);
        self.store.put(TableName::Operator, key, &text);
    }

    /// Waits until the engine holds `version` and the host has heard so.
    pub(super) async fn await_served(&self, version: u64) {
        self.await_held(version).await;
        self.await_heard().await;
    }

    /// Waits until the host has taken in what the engine holds.
    pub(super) async fn await_heard(&self) {
        let is_heard = || self.engine.reports() >= REPORTS_MIN;
        self.await_that("the host hears of it", is_heard).await;
    }

    /// Waits until the engine holds `version`.
    pub(super) async fn await_held(&self, version: u64) {
        let held = || self.engine.held() == Some(WeightsVersion(version));
        self.await_that("the engine holds the version", held).await;
    }

    /// Waits until `is_so`.
    pub(super) async fn await_that(&self, what: &str, is_so: impl Fn() -> bool) {
        let waiting = async {
            while !is_so() {
                sleep(LOOK_PAUSE).await;
            }
        };
        let waited = timeout(WAIT_MAX, waiting).await;
        assert!(
            waited.is_ok(),
            "in {WAIT_MAX:?} it did not come that {what}"
        );
    }

    /// Chunks read from the origin, chunks staged, and orders begun.
    pub(super) fn work_done(&self) -> (usize, usize, usize) {
        let (engine, origin) = (&self.engine, &self.origin);
        (
            origin.chunks_served(),
            engine.chunks_staged(),
            engine.orders_started(),
        )
    }

    /// What it tells other hosts of `version`.
    pub(super) async fn word(&self, version: u64) -> Option<HaveWord> {
        let client = PeerClient::new(ClientLimits::default());
        let target = ModelVersion {
            model: "m".into(),
            version: WeightsVersion(version),
        };
        let ask = ChunkAsk {
            target,
            index: None,
        };
        let called = client.call(self.peers, HAVE_PATH, &ask, WAIT_MAX);
        called.await.ok()
    }

    /// Nothing of it is left.
    pub(super) fn end(self) {
        assert_eq!(self.engine.bad_loads(), 0, "the engine loaded bad chunks");
        self.runtime.shutdown_background();
    }
}

fn settings(engine: &FakeEngine, store: &FakeStore, peers: SocketAddr) -> PlatformSettings {
    PlatformSettings {
        host: "h".into(),
        ip: peers.ip(),
        data_centre: "a".into(),
        caller_address: None,
        ready_address: None,
        control_address: None,
        metrics_address: None,
        peer_port: peers.port(),
        seeds: Vec::new(),
        backend_address: Some(engine.address),
        backend_service: Some("s".into()),
        store_address: store.address,
        link_bytes_per_s: LINK_BYTES_PER_S,
        bounds: PlatformBounds {
            shutdown_grace: Duration::ZERO,
            weights_deadline: Duration::from_secs(8),
            retry_ratio: 0.1,
            retry_extra: 20.0,
            retry_window: Duration::from_secs(10),
        },
    }
}

/// An address of this machine that no other test uses, nor another run of the tests beside this one. A
/// port that was free a moment ago may by now be one end of another test's connection.
fn own_address() -> SocketAddr {
    static HOSTS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high, low, HOSTS.fetch_add(1, Ordering::Relaxed));
    SocketAddr::new(ip.into(), PEER_PORT)
}
