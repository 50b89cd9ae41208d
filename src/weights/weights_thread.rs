//! The edge that carries out what the weights' state machines decide.

use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use tokio::time::sleep;
use volo_http::server::route::Router;

use super::digest::WeightsDigest;
use super::events;
use super::manifest::VersionManifest;
use super::staged_version::{StagedVersion, VersionShelf};
use super::version_routes;
use crate::control::ControlHandle;
use crate::daemon::DrainState;
use crate::documents::WeightsSpec;
use crate::engines::{EngineEdge, LoadOrder};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::guard::ServingGate;
use crate::membership::{ServingVersion, StagingProgress, StatusBoard};
use crate::metrics;
use crate::platform::{TableStore, WeightSource};
use crate::transport::PeerClient;

const CHECK_EVERY: Duration = Duration::from_millis(200);
const GATE_WAIT: Duration = Duration::from_secs(1);
const READ_BACK_TRIES: u32 = 50;

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
    pub(crate) board: StatusBoard,
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
}

/// Starts to bring in what the documents want and to serve it to peers. Must be called inside the
/// traffic runtime; ends with it.
pub(crate) fn start_weights(edges: WeightsEdges, limits: WeightsLimits) -> WeightsHandle {
    let shelf = VersionShelf::default();
    let worker = WeightsWorker {
        edges,
        limits,
        shelf: shelf.clone(),
        wanted: None,
    };
    tokio::spawn(worker.run());
    WeightsHandle { shelf }
}

impl WeightsHandle {
    /// What peers may ask, under `/peer/weights/`.
    pub(crate) fn peer_routes(&self) -> Router {
        Router::new()
    }

    /// What the engine on this host reads, under `/engine/weights/`.
    pub(crate) fn engine_routes(&self) -> Router {
        version_routes::engine_routes(self.shelf.clone())
    }
}

struct WeightsWorker {
    edges: WeightsEdges,
    limits: WeightsLimits,
    shelf: VersionShelf,
    wanted: Option<WeightsSpec>,
}

impl WeightsWorker {
    async fn run(mut self) {
        loop {
            if let Some(spec) = self.wanted_spec() {
                if self.wanted.as_ref() != Some(&spec) {
                    log_event!(events::VERSION_WANTED, "{} {}", spec.version, spec.digest);
                    self.wanted = Some(spec.clone());
                }
                if let Err(error) = self.advance(&spec).await {
                    metrics::count_refusal(error.kind, "weights");
                    log_event!(events::SOURCE_FAILED, "{error}");
                }
            }
            sleep(CHECK_EVERY).await;
        }
    }

    fn wanted_spec(&self) -> Option<WeightsSpec> {
        let service = self.edges.control.identity().service.clone()?;
        let snapshot = self.edges.control.snapshot().load();
        snapshot.service(&service)?.document.weights.clone()
    }

    async fn advance(&self, spec: &WeightsSpec) -> SwitchResult<()> {
        let digest = version_routes::read_digest(&spec.digest)?;
        let serving = ServingVersion {
            version: spec.version.clone(),
            digest,
        };
        if self.edges.gate.serving().as_ref() == Some(&serving) {
            return Ok(());
        }
        let version = self.stage(spec, digest).await?;
        if !version.is_whole() {
            version.seal()?;
            log_event!(events::VERSION_WHOLE, "{digest}");
        }
        self.activate(&serving, version.manifest().size).await
    }

    async fn stage(
        &self,
        spec: &WeightsSpec,
        digest: WeightsDigest,
    ) -> SwitchResult<Arc<StagedVersion>> {
        let version = if let Some(version) = self.shelf.find(digest) {
            version
        } else {
            let text = self.edges.origin.read_manifest(&spec.source).await?;
            let manifest = VersionManifest::read(&text, digest, self.limits.memory_bytes)?;
            let version = Arc::new(StagedVersion::new(manifest));
            self.shelf.put(Arc::clone(&version));
            version
        };
        let count = version.manifest().chunk_count();
        for index in 0..count {
            if version.chunk(index).is_some() {
                continue;
            }
            let (offset, length) = version.manifest().chunk_range(index);
            let origin = &self.edges.origin;
            let bytes = origin.read_range(&spec.source, offset, length).await?;
            version.keep_chunk(index, bytes)?;
            self.tell_progress(&spec.version, index + 1, count);
        }
        Ok(version)
    }

    fn tell_progress(&self, version: &ByteString, chunks_done: u32, chunks_all: u32) {
        let progress = StagingProgress {
            version: version.clone(),
            chunks_done,
            chunks_all,
        };
        self.edges
            .board
            .update(|status| status.staging = Some(progress));
    }

    async fn activate(&self, serving: &ServingVersion, size: u64) -> SwitchResult<()> {
        self.edges.board.update(|status| status.serving = None);
        while !self.edges.gate.close(GATE_WAIT).await {
            log_event!(events::GATE_WAITS, "{}", serving.version);
        }
        let address = self.edges.control.identity().peer_address;
        let order = LoadOrder {
            fence: self.edges.control.identity().incarnation,
            serving: serving.clone(),
            size,
            source_url: format!("http://{address}/engine/weights/{}", serving.digest),
        };
        let ordered = self.edges.engine.load_version(&order).await;
        for _ in 0..READ_BACK_TRIES {
            let state = self.edges.engine.read_state().await?;
            if state.serving.as_ref() == Some(serving) {
                self.edges.gate.open(serving.clone());
                self.edges.board.update(|status| {
                    status.serving = Some(serving.clone());
                    status.staging = None;
                });
                log_event!(events::VERSION_SERVED, "{}", serving.version);
                return Ok(());
            }
            sleep(CHECK_EVERY).await;
        }
        ordered?;
        Err(SwitchError::new(
            ErrorKind::ActivationFailed,
            "the engine does not report the version",
        ))
    }
}
