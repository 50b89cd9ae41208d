//! Stand-in for a model engine, in the dialects of both vendors.
//!
//! It batches requests continuously, has a prefix cache, and can report its state with a lag. Its
//! tokens depend only on the weights, the prompt and their position, so that a test can recompute
//! them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode, Uri};
use http_body_util::BodyExt;
use macro_rules_attribute::apply;
use tokio::sync::oneshot;
use volo_http::body::Body;
use volo_http::response::Response;

use super::batch::{BatchRequestId, BatchState};
use super::fault::FaultInjector;
use super::prefix_cache::PrefixCache;
use super::stand_in::{StandInRequest, unknown_path_reply};
use super::{engine_stream, json_state, metrics_text};
use crate::derives::{key, message, plain};
use crate::time::{ClockTime, clock_now};
use crate::transport::{ClientLimits, PeerClient, json_response};
use crate::weights::WeightsDigest;

/// Past reports that stay available for lagging reads; the older half is dropped beyond it.
const REPORTS_KEPT_MAX: usize = 4096;
const LOAD_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The vendor protocol that an engine speaks.
#[apply(key!)]
pub(crate) enum LabDialect {
    /// State as Prometheus text, generation as completions.
    MetricsText,
    /// State as JSON.
    JsonState,
}

/// Speed and capacity of an engine.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct EngineShape {
    /// Its dialect.
    pub(crate) dialect: LabDialect,
    /// Limit of concurrently running requests.
    pub(crate) running_max: usize,
    /// Limit of requests waiting in its queue.
    pub(crate) waiting_max: usize,
    /// Tokens per second of each running request.
    pub(crate) tokens_per_second: u64,
    /// Time before the first token of a prompt whose prefix is not cached.
    pub(crate) prefill: Duration,
}

impl Default for EngineShape {
    fn default() -> Self {
        Self {
            dialect: LabDialect::MetricsText,
            running_max: 8,
            waiting_max: 16,
            tokens_per_second: 200,
            prefill: Duration::from_millis(10),
        }
    }
}

/// A model engine.
#[derive(Debug)]
pub(crate) struct EngineStandIn {
    pub(super) shape: EngineShape,
    state: Mutex<EngineStandInState>,
}

/// State of the engine.
#[derive(Debug)]
pub(super) struct EngineStandInState {
    pub(super) batch: BatchState,
    pub(super) loaded: Option<LoadedWeights>,
    pub(super) fence: u64,
    pub(super) role: String,
    pub(super) cache: PrefixCache,
    /// Ids of cancelled requests whose run has not ended yet.
    pub(super) cancelled: Vec<String>,
    /// Prompt of the request that started last; a crossed stream carries a token of it.
    pub(super) last_prompt: String,
    /// Reports with the time from which each was current, oldest first.
    reports: Vec<(ClockTime, EngineReport)>,
}

/// Response to `GET /lab/engine`: the engine's current state, without the lag of its reports.
#[apply(message!)]
pub(crate) struct EngineSnapshot {
    /// The loaded weights.
    pub(crate) loaded: Option<LoadedWeights>,
    /// Running requests.
    pub(crate) running: usize,
    /// Requests waiting in the queue.
    pub(crate) waiting: usize,
}

/// Weights that the engine has loaded.
#[apply(message!)]
pub(crate) struct LoadedWeights {
    /// Name of the version.
    pub(crate) version: String,
    /// Digest of the bytes read while loading.
    pub(crate) digest: WeightsDigest,
}

/// State that the engine reports, possibly with a lag.
#[apply(plain!)]
#[derive(Default)]
pub(super) struct EngineReport {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) loaded: Option<LoadedWeights>,
    pub(super) fence: u64,
}

/// A request to load weights, from either dialect.
#[apply(plain!)]
pub(super) struct LoadRequest {
    pub(super) version: String,
    pub(super) digest: String,
    pub(super) size: u64,
    pub(super) source: String,
    pub(super) fence: Option<u64>,
}

/// Why a request to load weights failed.
#[apply(plain!)]
pub(super) enum LoadRefusal {
    /// An earlier request carried this greater fencing number.
    Stale(u64),
    /// The weights could not be loaded, with the reason.
    Failed(String),
}

impl EngineStandIn {
    /// Creates an engine with no weights loaded.
    pub(crate) fn new(shape: EngineShape) -> Self {
        let state = EngineStandInState {
            batch: BatchState::new(shape.running_max, shape.waiting_max),
            loaded: None,
            fence: 0,
            role: "serve".to_owned(),
            cache: PrefixCache::default(),
            cancelled: Vec::new(),
            last_prompt: String::new(),
            reports: vec![(ClockTime::default(), EngineReport::default())],
        };
        Self {
            shape,
            state: Mutex::new(state),
        }
    }

    /// Returns the loaded weights.
    pub(crate) fn loaded(&self) -> Option<LoadedWeights> {
        self.lock().loaded.clone()
    }

    /// Returns the current state, without the lag of the reports.
    pub(crate) fn snapshot(&self) -> EngineSnapshot {
        let state = self.lock();
        EngineSnapshot {
            loaded: state.loaded.clone(),
            running: state.batch.running(),
            waiting: state.batch.waiting(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EngineStandInState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) async fn answer(
        self: &Arc<Self>,
        request: &StandInRequest,
        faults: &Arc<FaultInjector>,
    ) -> Response {
        if is_request_for(request, &Method::GET, "/lab/engine") {
            return json_response(StatusCode::OK, &self.snapshot());
        }
        let reply = match self.shape.dialect {
            LabDialect::MetricsText => metrics_text::answer(self, request, faults).await,
            LabDialect::JsonState => json_state::answer(self, request, faults).await,
        };
        reply.unwrap_or_else(|| unknown_path_reply(request))
    }

    /// Returns the report that was current before the lag set by `faults`, and that lag in
    /// milliseconds.
    pub(super) fn report(&self, faults: &FaultInjector) -> (EngineReport, u64) {
        let lag_ms = faults.settings().lag_ms;
        let then = clock_now() - Duration::from_millis(lag_ms);
        let state = self.lock();
        let current = state.reports.iter().rev().find(|(since, _)| *since <= then);
        let report = current.map(|(_, report)| report.clone());
        (report.unwrap_or_default(), lag_ms)
    }

    /// Loads a version: reads all its bytes from the source in `request` and checks the digest.
    /// The fencing number is checked before and after, since a newer request may arrive meanwhile.
    pub(super) async fn load(
        &self,
        request: &LoadRequest,
        faults: &FaultInjector,
    ) -> Result<(), LoadRefusal> {
        let settings = faults.settings();
        let checks_fence =
            self.shape.dialect == LabDialect::MetricsText && !settings.ignore_fencing;
        if let (true, Some(fence)) = (checks_fence, request.fence) {
            let mut state = self.lock();
            if fence < state.fence {
                return Err(LoadRefusal::Stale(state.fence));
            }
            state.fence = fence;
        }
        if settings.fail_load {
            return Err(LoadRefusal::Failed(
                "loading fails by an injected fault".to_owned(),
            ));
        }
        let digest = read_source(&request.source, request.size)
            .await
            .map_err(LoadRefusal::Failed)?;
        if digest.to_string() != request.digest {
            return Err(LoadRefusal::Failed(
                "the digest of the weights does not match".to_owned(),
            ));
        }
        let mut state = self.lock();
        if checks_fence && request.fence.is_some_and(|fence| fence < state.fence) {
            return Err(LoadRefusal::Stale(state.fence));
        }
        state.loaded = Some(LoadedWeights {
            version: request.version.clone(),
            digest,
        });
        state.record_report(clock_now());
        Ok(())
    }

    /// Starts or queues a request, and returns the stream of its events; `None` if it is refused.
    pub(super) fn generate(
        self: &Arc<Self>,
        request: engine_stream::GenerateRequest,
        faults: &Arc<FaultInjector>,
    ) -> Option<Body> {
        if faults.settings().refuse {
            return None;
        }
        let (sender, ready) = oneshot::channel();
        let guard = {
            let mut state = self.lock();
            let id = state.batch.admit(request.priority, sender);
            state.record_report(clock_now());
            BatchGuard {
                engine: self.clone(),
                id: id?,
            }
        };
        Some(engine_stream::start(
            self.clone(),
            request,
            guard,
            ready,
            faults.clone(),
        ))
    }

    /// Cancels the running or waiting request with this id.
    pub(super) fn cancel(&self, request_id: &str) {
        self.lock().cancelled.push(request_id.to_owned());
    }
}

impl EngineStandInState {
    /// Records the current state as the report in force from `now`.
    pub(super) fn record_report(&mut self, now: ClockTime) {
        let report = EngineReport {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            loaded: self.loaded.clone(),
            fence: self.fence,
        };
        self.reports.push((now, report));
        if self.reports.len() > REPORTS_KEPT_MAX {
            self.reports.drain(..REPORTS_KEPT_MAX / 2);
        }
    }
}

/// Keeps a request in the batch or its queue, and removes it when dropped.
#[derive(Debug)]
pub(super) struct BatchGuard {
    engine: Arc<EngineStandIn>,
    id: BatchRequestId,
}

impl Drop for BatchGuard {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.batch.release(self.id);
        state.record_report(clock_now());
    }
}

/// Reads `size` bytes from the URL `source` and returns their digest.
///
/// # Errors
///
/// The reason in words, if the source cannot be read completely.
async fn read_source(source: &str, size: u64) -> Result<WeightsDigest, String> {
    let uri: Uri = source
        .parse()
        .map_err(|_| "the source is not a valid URL")?;
    let address = uri
        .authority()
        .and_then(|authority| authority.as_str().parse().ok())
        .ok_or("the source URL has no IP address and port")?;
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let request = http::Request::get(path)
        .body(Body::empty())
        .map_err(|fault| fault.to_string())?;
    let client = PeerClient::new(ClientLimits::default());
    let answer = client
        .send(address, request, LOAD_HEAD_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("the source answered {}", answer.status()));
    }
    let mut hasher = blake3::Hasher::new();
    let mut body = answer.into_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|fault| fault.to_string())?;
        hasher.update(frame.data_ref().map_or(&[], |data| data));
    }
    if hasher.count() != size {
        return Err(format!(
            "the source sent {} bytes, expected {size}",
            hasher.count()
        ));
    }
    Ok(WeightsDigest::from_hasher(&hasher))
}

/// Whether `request` has this method and path.
pub(super) fn is_request_for(request: &StandInRequest, method: &Method, path: &str) -> bool {
    request.method == *method && request.path == path
}
