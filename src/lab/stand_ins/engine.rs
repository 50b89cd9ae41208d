//! A model engine: continuous batching, tokens that anyone can recompute, a state that is reported
//! late, a prefix cache, and both vendors' dialects.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode, Uri};
use http_body_util::BodyExt;
use macro_rules_attribute::apply;
use tokio::sync::oneshot;
use volo_http::body::Body;
use volo_http::response::Response;

use super::batch::{BatchPlace, BatchState};
use super::fault::FaultBoard;
use super::prefix_cache::PrefixCache;
use super::stand_in::{LabCall, unknown};
use super::{engine_stream, json_state, metrics_text};
use crate::derives::{key, message, plain};
use crate::time::{ClockTime, clock_now};
use crate::transport::{ClientLimits, PeerClient, json_reply};
use crate::weights::WeightsDigest;

const REPORTS_KEPT: usize = 4096;
const LOAD_HEAD_WITHIN: Duration = Duration::from_secs(10);

/// Which vendor's protocol an engine speaks.
#[apply(key!)]
pub(crate) enum LabDialect {
    /// Prometheus text and completions.
    MetricsText,
    /// A JSON state.
    JsonState,
}

/// How fast and how large an engine is.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct EngineShape {
    /// Its dialect.
    pub(crate) dialect: LabDialect,
    /// Requests that it runs at a time.
    pub(crate) running_max: usize,
    /// Requests that wait inside it at most.
    pub(crate) waiting_max: usize,
    /// Tokens a second of each running request.
    pub(crate) tokens_per_second: u64,
    /// How long it works on a prompt before the first token, less when its prefix is cached.
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

/// The engine.
#[derive(Debug)]
pub(crate) struct EngineStandIn {
    pub(super) shape: EngineShape,
    state: Mutex<EngineCore>,
}

/// What the engine holds.
#[derive(Debug)]
pub(super) struct EngineCore {
    pub(super) batch: BatchState,
    pub(super) loaded: Option<LoadedWeights>,
    pub(super) fence: u64,
    pub(super) role: String,
    pub(super) cache: PrefixCache,
    pub(super) cancelled: Vec<String>,
    pub(super) last_prompt: String,
    reports: Vec<(ClockTime, EngineReport)>,
}

/// What `GET /lab/engine` tells: the truth, without the report's lag.
#[apply(message!)]
pub(crate) struct EngineSnapshot {
    /// What it serves.
    pub(crate) loaded: Option<LoadedWeights>,
    /// Requests that it runs.
    pub(crate) running: usize,
    /// Requests that wait inside it.
    pub(crate) waiting: usize,
}

/// Weights that the engine serves.
#[apply(message!)]
pub(crate) struct LoadedWeights {
    /// The version's name.
    pub(crate) version: String,
    /// The digest of the bytes that it read.
    pub(crate) digest: WeightsDigest,
}

/// What the engine says of itself.
#[apply(plain!)]
#[derive(Default)]
pub(super) struct EngineReport {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) loaded: Option<LoadedWeights>,
    pub(super) fence: u64,
}

/// An order to load, in either dialect.
#[apply(plain!)]
pub(super) struct LoadText {
    pub(super) version: String,
    pub(super) digest: String,
    pub(super) size: u64,
    pub(super) source: String,
    pub(super) fence: Option<u64>,
}

/// Why an order was not carried out.
#[apply(plain!)]
pub(super) enum LoadRefusal {
    /// Another order carried a greater fencing number.
    Stale(u64),
    /// The weights did not load.
    Failed(String),
}

impl EngineStandIn {
    /// An engine with nothing loaded.
    pub(crate) fn new(shape: EngineShape) -> Self {
        let core = EngineCore {
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
            state: Mutex::new(core),
        }
    }

    /// What it serves.
    pub(crate) fn loaded(&self) -> Option<LoadedWeights> {
        self.lock().loaded.clone()
    }

    /// What it holds, without the report's lag.
    pub(crate) fn truth(&self) -> EngineSnapshot {
        let core = self.lock();
        EngineSnapshot {
            loaded: core.loaded.clone(),
            running: core.batch.running(),
            waiting: core.batch.waiting(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EngineCore> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) async fn answer(
        self: &Arc<Self>,
        call: &LabCall,
        faults: &Arc<FaultBoard>,
    ) -> Response {
        if is_call(call, &Method::GET, "/lab/engine") {
            return json_reply(StatusCode::OK, &self.truth());
        }
        let known = match self.shape.dialect {
            LabDialect::MetricsText => metrics_text::answer(self, call, faults).await,
            LabDialect::JsonState => json_state::answer(self, call, faults).await,
        };
        known.unwrap_or_else(|| unknown(call))
    }

    /// Its state as it was when the faults' lag says, and how old that is.
    pub(super) fn report(&self, faults: &FaultBoard) -> (EngineReport, u64) {
        let lag_ms = faults.settings().lag_ms;
        let then = clock_now() - Duration::from_millis(lag_ms);
        let core = self.lock();
        let held = core.reports.iter().rev().find(|(since, _)| *since <= then);
        let report = held.map(|(_, report)| report.clone());
        (report.unwrap_or_default(), lag_ms)
    }

    /// Loads a version: reads all of it from where the order says and checks its digest.
    pub(super) async fn load(
        &self,
        order: &LoadText,
        faults: &FaultBoard,
    ) -> Result<(), LoadRefusal> {
        let settings = faults.settings();
        let checks = self.shape.dialect == LabDialect::MetricsText && !settings.ignore_fencing;
        if let (true, Some(fence)) = (checks, order.fence) {
            let mut core = self.lock();
            if fence < core.fence {
                return Err(LoadRefusal::Stale(core.fence));
            }
            core.fence = fence;
        }
        if settings.fail_load {
            return Err(LoadRefusal::Failed("does not load".to_owned()));
        }
        let digest = read_source(&order.source, order.size)
            .await
            .map_err(LoadRefusal::Failed)?;
        if digest.to_string() != order.digest {
            return Err(LoadRefusal::Failed("the digest does not match".to_owned()));
        }
        let mut core = self.lock();
        if checks && order.fence.is_some_and(|fence| fence < core.fence) {
            return Err(LoadRefusal::Stale(core.fence));
        }
        core.loaded = Some(LoadedWeights {
            version: order.version.clone(),
            digest,
        });
        core.note(clock_now());
        Ok(())
    }

    /// Runs a request; `None` when it is not taken.
    pub(super) fn generate(
        self: &Arc<Self>,
        request: engine_stream::GenerateText,
        faults: &Arc<FaultBoard>,
    ) -> Option<Body> {
        if faults.settings().refuse {
            return None;
        }
        let (sender, ready) = oneshot::channel();
        let place = {
            let mut core = self.lock();
            let place = core.batch.ask(request.priority, sender);
            core.note(clock_now());
            BatchTicket {
                engine: self.clone(),
                place: place?,
            }
        };
        Some(engine_stream::start(
            self.clone(),
            request,
            place,
            ready,
            faults.clone(),
        ))
    }

    /// Ends a request under way.
    pub(super) fn cancel(&self, request: &str) {
        self.lock().cancelled.push(request.to_owned());
    }
}

impl EngineCore {
    /// Keeps a report of the state from `now` on.
    pub(super) fn note(&mut self, now: ClockTime) {
        let report = EngineReport {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            loaded: self.loaded.clone(),
            fence: self.fence,
        };
        self.reports.push((now, report));
        if self.reports.len() > REPORTS_KEPT {
            self.reports.drain(..REPORTS_KEPT / 2);
        }
    }
}

/// A request's place in the batch; left when it is dropped.
#[derive(Debug)]
pub(super) struct BatchTicket {
    engine: Arc<EngineStandIn>,
    place: BatchPlace,
}

impl Drop for BatchTicket {
    fn drop(&mut self) {
        let mut core = self.engine.lock();
        core.batch.leave(self.place);
        core.note(clock_now());
    }
}

/// The digest of `size` bytes read from `source`.
async fn read_source(source: &str, size: u64) -> Result<WeightsDigest, String> {
    let uri: Uri = source.parse().map_err(|_| "the source is no URL")?;
    let address = uri
        .authority()
        .and_then(|authority| authority.as_str().parse().ok())
        .ok_or("the source names no IP and port")?;
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let request = http::Request::get(path)
        .body(Body::empty())
        .map_err(|fault| fault.to_string())?;
    let client = PeerClient::new(ClientLimits::default());
    let answer = client
        .send(address, request, LOAD_HEAD_WITHIN)
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
        return Err(format!("{} bytes in place of {size}", hasher.count()));
    }
    Ok(WeightsDigest::from_hasher(&hasher))
}

/// Whether `call` is `method` on `path`.
pub(super) fn is_call(call: &LabCall, method: &Method, path: &str) -> bool {
    call.method == *method && call.path == path
}
