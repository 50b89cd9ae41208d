//! Start of the tasks that fetch, serve and activate weights.

use std::sync::Arc;

use tokio::sync::mpsc;
use volo_http::server::route::Router;

use super::activation_driver::ActivationDriver;
use super::chunk_announcer::ChunkAnnouncer;
use super::fetch_worker::FetchWorker;
use super::link_pacer::LinkPacer;
use super::peer_service::PeerService;
use super::staged_version::VersionCache;
use super::version_routes;
use crate::control::ControlHandle;
use crate::daemon::DrainState;
use crate::engines::EngineAdapter;
use crate::guard::ServingGate;
use crate::membership::StatusPublisher;
use crate::stores::{TableStore, WeightSource};
use crate::transport::PeerClient;

/// Maximum number of queued announcements of other hosts.
const ANNOUNCEMENT_QUEUE_MAX: usize = 1024;

/// Clients and shared state that the weights tasks use.
#[derive(Clone)]
pub(crate) struct WeightsContext {
    /// The origin of weights.
    pub(crate) origin: Arc<dyn WeightSource>,
    /// The platform's rate-limited weight store, if one is configured.
    pub(crate) store: Option<Arc<dyn WeightSource>>,
    /// The platform's table, which holds the rollout permits.
    pub(crate) table: Arc<dyn TableStore>,
    /// The engine colocated with this process.
    pub(crate) engine: Arc<dyn EngineAdapter>,
    /// Client for other processes.
    pub(crate) client: Arc<PeerClient>,
    /// The state of the control thread.
    pub(crate) control: ControlHandle,
    /// The gate that admits requests.
    pub(crate) gate: ServingGate,
    /// Publishes the version that this process serves.
    pub(crate) publisher: StatusPublisher,
    /// State of the graceful stop.
    pub(crate) drain: DrainState,
}

/// Settings of the weights tasks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightsLimits {
    /// Rate of this host's link in each direction, in bytes per second; 0 disables pacing.
    pub(crate) link_bytes_per_second: u64,
    /// Memory for weights on this host, in bytes.
    pub(crate) memory_bytes: u64,
}

/// Handle of the weights tasks for the rest of the process.
#[derive(Clone)]
pub(crate) struct WeightsHandle {
    versions: VersionCache,
    peers: PeerService,
    pacer: LinkPacer,
}

/// Starts the tasks that fetch the target versions of the service documents and serve them to
/// peers. Must be called in the traffic runtime; the tasks end with it.
pub(crate) fn start_weights_tasks(context: WeightsContext, limits: WeightsLimits) -> WeightsHandle {
    let versions = VersionCache::default();
    let pacer = LinkPacer::new(limits.link_bytes_per_second);
    let announcer = ChunkAnnouncer::new(context.control.identity().host.clone(), pacer.clone());
    let (announcement_sender, announcements) = mpsc::channel(ANNOUNCEMENT_QUEUE_MAX);
    let peers = PeerService::new(
        versions.clone(),
        announcer.clone(),
        pacer.clone(),
        announcement_sender,
    );
    let fetcher = FetchWorker {
        context: context.clone(),
        limits,
        versions: versions.clone(),
        announcer,
        pacer: pacer.clone(),
        announcements,
    };
    tokio::spawn(fetcher.run());
    tokio::spawn(ActivationDriver::new(context, versions.clone()).run());
    WeightsHandle {
        versions,
        peers,
        pacer,
    }
}

impl WeightsHandle {
    /// Routes for peers, under `/peer/weights/`.
    pub(crate) fn peer_routes(&self) -> Router {
        self.peers.routes()
    }

    /// The pacer of the host's link, on which live traffic has to be recorded.
    pub(crate) const fn link_pacer(&self) -> &LinkPacer {
        &self.pacer
    }

    /// Routes for the engine on this host, under `/engine/weights/`.
    pub(crate) fn engine_routes(&self) -> Router {
        version_routes::engine_routes(self.versions.clone())
    }
}
