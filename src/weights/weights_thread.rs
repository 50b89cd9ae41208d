//! The edge that carries out what the weights' state machines decide.

use std::sync::Arc;

use tokio::sync::mpsc;
use volo_http::server::route::Router;

use super::activation_edge::ActivationEdge;
use super::fetch_worker::FetchWorker;
use super::link_pacer::LinkPacer;
use super::peer_service::PeerService;
use super::staged_version::VersionShelf;
use super::version_routes;
use super::word_board::WordBoard;
use crate::control::ControlHandle;
use crate::daemon::DrainState;
use crate::engines::EngineEdge;
use crate::guard::ServingGate;
use crate::membership::StatusPublisher;
use crate::stores::{TableStore, WeightSource};
use crate::transport::PeerClient;

/// Words of other hosts that wait to be taken in.
const HEARD_MAX: usize = 1024;

/// What the weights' edge works with.
#[derive(Clone)]
pub(crate) struct WeightsEdges {
    /// The origin of weights.
    pub(crate) origin: Arc<dyn WeightSource>,
    /// The platform's rate-limited weight store, where there is one.
    pub(crate) store: Option<Arc<dyn WeightSource>>,
    /// The platform's table, for rollout permits.
    pub(crate) table: Arc<dyn TableStore>,
    /// The engine beside this process.
    pub(crate) engine: Arc<dyn EngineEdge>,
    /// The way to other processes.
    pub(crate) client: Arc<PeerClient>,
    /// What the control thread knows.
    pub(crate) control: ControlHandle,
    /// The gate that requests go through.
    pub(crate) gate: ServingGate,
    /// Where this process says what it serves.
    pub(crate) board: StatusPublisher,
    /// The graceful stop.
    pub(crate) drain: DrainState,
}

/// Settings of the weights' edge.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightsLimits {
    /// Bytes a second that this host's link takes in each direction; 0 means no pacing.
    pub(crate) link_bytes_per_second: u64,
    /// Bytes of weights that this host may hold.
    pub(crate) memory_bytes: u64,
}

/// The rest of the process's hold on the weights' edge.
#[derive(Clone)]
pub(crate) struct WeightsHandle {
    shelf: VersionShelf,
    peers: PeerService,
    pacer: LinkPacer,
}

/// Starts to bring in what the documents want and to serve it to peers. Must be called inside the
/// traffic runtime; ends with it.
pub(crate) fn start_weights(edges: WeightsEdges, limits: WeightsLimits) -> WeightsHandle {
    let shelf = VersionShelf::default();
    let pacer = LinkPacer::new(limits.link_bytes_per_second);
    let board = WordBoard::new(edges.control.identity().host.clone(), pacer.clone());
    let (heard_sender, heard) = mpsc::channel(HEARD_MAX);
    let peers = PeerService::new(shelf.clone(), board.clone(), pacer.clone(), heard_sender);
    let fetcher = FetchWorker {
        edges: edges.clone(),
        limits,
        shelf: shelf.clone(),
        board,
        pacer: pacer.clone(),
        heard,
    };
    tokio::spawn(fetcher.run());
    tokio::spawn(ActivationEdge::new(edges, shelf.clone()).run());
    WeightsHandle {
        shelf,
        peers,
        pacer,
    }
}

impl WeightsHandle {
    /// What peers may ask, under `/peer/weights/`.
    pub(crate) fn peer_routes(&self) -> Router {
        self.peers.routes()
    }

    /// The host's link, to be told of live bytes.
    pub(crate) const fn link_pacer(&self) -> &LinkPacer {
        &self.pacer
    }

    /// What the engine on this host reads, under `/engine/weights/`.
    pub(crate) fn engine_routes(&self) -> Router {
        version_routes::engine_routes(self.shelf.clone())
    }
}
