//! A stand-in of a model engine for the lab and for tests in other folders. It can crash, start again
//! under its name and know nothing of before.
#![cfg_attr(
    not(test),
    expect(dead_code, reason = "tests drive more of it than the lab does")
)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde_json::{Value, json};
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;

#[cfg(test)]
use super::fake_origin::serve_calls;
use super::fake_origin::{CHUNKS, LAYERS, chunk_bytes, path_and_index};
use crate::fleet::WeightsVersion;
use crate::time::{ClockTime, clock_now};
use crate::transport::{json_reply, read_body};

const BODY_BYTES_MAX: usize = 1024 * 1024;
/// When the first incarnation of a fake engine started, in Unix milliseconds.
const FIRST_BORN: u64 = 1_700_000_000_000;
/// How much later each further incarnation started.
const BORN_STEP: u64 = 20_000;

/// What a restart leaves of the staged chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StagedAfterRestart {
    /// All of them.
    Kept,
    /// All, but half of them have gone bad.
    HalfCorrupt,
    /// None.
    Lost,
}

/// Whether an engine says when it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartTimeField {
    /// It does.
    Present,
    /// It does not.
    Absent,
}

/// What the engine does with a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CallRule {
    /// It answers.
    #[default]
    Answer,
    /// It crashed, and has not started again.
    Silent,
    /// It takes an order and works on it for good.
    HoldOrders,
}

/// A call at which an engine may start again.
#[derive(Clone, Copy)]
pub(crate) enum EngineCall {
    /// A chunk is staged.
    Stage,
    /// Weights are ordered to be loaded.
    Order,
}

impl EngineCall {
    /// With what the paths of such calls begin.
    const fn path(self) -> &'static str {
        match self {
            Self::Stage => "/v1/stage-put",
            Self::Order => "/v1/order",
        }
    }
}

/// A restart that comes with a call.
#[derive(Clone, Copy, Debug)]
struct PlannedRestart {
    path: &'static str,
    /// How many calls come before it.
    calls: u32,
    rest: StagedAfterRestart,
}

#[derive(Default)]
struct EngineState {
    rule: CallRule,
    born: u64,
    birth: Option<StartTimeField>,
    held: Option<u64>,
    /// A layer that it holds alone, and its version.
    layer: Option<(u32, u64)>,
    is_busy: bool,
    orders_accepted: u64,
    /// Orders of all incarnations.
    orders_started: usize,
    /// Those of them that found a chunk missing, spoiled or of another version.
    bad_loads: usize,
    /// Chunks that were staged, in all incarnations.
    chunks_staged: usize,
    /// Reports since it last changed what it holds.
    reports: usize,
    restart_on: Option<PlannedRestart>,
    /// Answers with the state of before to this many reports.
    stale_reports: usize,
    former: Option<Value>,
    staged: Vec<Option<Bytes>>,
    /// Requests that it works on.
    active: u32,
    /// Requests that wait there.
    queued: u32,
    /// Orders that cut off what it worked on.
    aborting_orders: usize,
    /// How long a load takes.
    load_span: Duration,
    /// The version that is being loaded, and when it will be.
    loading: Option<(u64, ClockTime)>,
}

/// An engine; its clones share its state.
#[derive(Clone)]
pub(crate) struct FakeEngine {
    /// Where it answers.
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<EngineState>>,
}

impl FakeEngine {
    /// Starts an engine that holds nothing and has nothing staged.
    #[cfg(test)]
    pub(crate) async fn start(birth: StartTimeField) -> Self {
        let unbound = Self::new(birth, Duration::ZERO);
        let answering = unbound.clone();
        let address = serve_calls(move |request| {
            let engine = answering.clone();
            async move { engine.answer(request).await }
        });
        Self {
            address: address.await,
            state: unbound.state,
        }
    }

    /// An engine whose loads take `load_span`. It is not reached over the network: somebody hands
    /// calls to [`FakeEngine::answer`].
    pub(crate) fn new(birth: StartTimeField, load_span: Duration) -> Self {
        let state = EngineState {
            born: FIRST_BORN,
            birth: Some(birth),
            staged: vec![None; CHUNKS as usize],
            load_span,
            ..EngineState::default()
        };
        Self {
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// It crashes; nothing answers until [`FakeEngine::restart`] or [`FakeEngine::resume`].
    pub(crate) fn crash(&self) {
        self.lock().rule = CallRule::Silent;
    }

    /// It answers again, the same incarnation as before.
    pub(crate) fn resume(&self) {
        self.lock().rule = CallRule::Answer;
    }

    /// It takes orders from now on, but never ends one.
    pub(crate) fn stall_orders(&self) {
        self.lock().rule = CallRule::HoldOrders;
    }

    /// It starts again under its name and knows nothing of before.
    pub(crate) fn restart(&self, rest: StagedAfterRestart) {
        self.lock().restart(rest);
    }

    /// It starts again just before it answers a `call`, after `calls` of them.
    pub(crate) fn restart_on(&self, call: EngineCall, calls: u32, rest: StagedAfterRestart) {
        let path = call.path();
        self.lock().restart_on = Some(PlannedRestart { path, calls, rest });
    }

    /// The next `count` reports are those of the former incarnation, come late.
    pub(crate) fn report_stale(&self, count: usize) {
        self.lock().stale_reports = count;
    }

    /// The version that it holds whole.
    pub(crate) fn held(&self) -> Option<WeightsVersion> {
        self.lock().held.map(WeightsVersion)
    }

    /// How many orders it has begun, in all incarnations.
    pub(crate) fn orders_started(&self) -> usize {
        self.lock().orders_started
    }

    /// How many of these found a chunk missing, spoiled or of another version.
    pub(crate) fn bad_loads(&self) -> usize {
        self.lock().bad_loads
    }

    /// How many reports it has given since it last changed what it holds.
    pub(crate) fn reports(&self) -> usize {
        self.lock().reports
    }

    /// How many chunks were staged, in all incarnations.
    pub(crate) fn chunks_staged(&self) -> usize {
        self.lock().chunks_staged
    }

    /// What it says of itself, in an entry of the store as well.
    pub(super) fn own_report(&self) -> Value {
        self.lock().own_report()
    }

    /// Whether it carries out an order.
    pub(super) fn is_busy(&self) -> bool {
        self.lock().is_busy
    }

    /// It works on `active` requests.
    pub(super) fn note_active(&self, active: u32) {
        self.lock().active = active;
    }

    /// `queued` requests wait there.
    #[cfg(test)]
    pub(crate) fn set_queued(&self, queued: u32) {
        self.lock().queued = queued;
    }

    /// Of which version it holds a layer and not the others.
    #[cfg(test)]
    pub(crate) fn partial_version(&self) -> Option<WeightsVersion> {
        self.lock()
            .layer
            .map(|(_, version)| WeightsVersion(version))
    }

    /// How many orders cut off what it worked on.
    #[cfg(test)]
    pub(crate) fn aborting_orders(&self) -> usize {
        self.lock().aborting_orders
    }

    /// Answers a call of its host or of anybody who asks how it is.
    pub(super) async fn answer(&self, request: Request) -> Response {
        let (path, index) = path_and_index(&request);
        let Ok(body) = read_body(request.into_body(), BODY_BYTES_MAX).await else {
            return json_reply(StatusCode::BAD_REQUEST, &json!({}));
        };
        let mut state = self.lock();
        state.restart_if_due(&path);
        match (state.rule, path.as_str()) {
            (CallRule::Silent, _) => json_reply(StatusCode::BAD_GATEWAY, &json!({})),
            (_, "/v1/report") => json_reply(StatusCode::OK, &state.report()),
            (_, "/v1/order") => json_reply(state.order(&body, clock_now()), &json!({})),
            (_, "/v1/stage-put/m") => json_reply(state.stage(index, body), &json!({})),
            (_, "/v1/stage-get/m") => state.read_staged(index),
            _ => json_reply(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.settle(clock_now());
        state
    }
}

impl EngineState {
    /// Ends the load that is under way once its time has come.
    fn settle(&mut self, now: ClockTime) {
        if let Some((version, until)) = self.loading
            && now >= until
        {
            self.loading = None;
            self.held = Some(version);
            self.layer = None;
            self.is_busy = false;
            self.reports = 0;
        }
    }

    fn restart_if_due(&mut self, path: &str) {
        let Some(plan) = self.restart_on.as_mut() else {
            return;
        };
        if !path.starts_with(plan.path) {
            return;
        }
        if plan.calls > 0 {
            plan.calls -= 1;
            return;
        }
        let rest = plan.rest;
        self.restart_on = None;
        self.restart(rest);
    }

    fn restart(&mut self, rest: StagedAfterRestart) {
        self.former = Some(self.own_report());
        self.rule = CallRule::Answer;
        self.born += BORN_STEP;
        self.held = None;
        self.layer = None;
        self.reports = 0;
        self.is_busy = false;
        self.loading = None;
        self.active = 0;
        self.orders_accepted = 0;
        match rest {
            StagedAfterRestart::Kept => {}
            StagedAfterRestart::HalfCorrupt => {
                for chunk in self.staged.iter_mut().step_by(2) {
                    *chunk = Some(Bytes::from_static(b"spoiled"));
                }
            }
            StagedAfterRestart::Lost => self.staged.fill(None),
        }
    }

    fn report(&mut self) -> Value {
        self.reports += 1;
        if self.stale_reports > 0
            && let Some(former) = &self.former
        {
            self.stale_reports -= 1;
            return former.clone();
        }
        self.own_report()
    }

    fn own_report(&self) -> Value {
        let whole = self.held.map(|version| (0..LAYERS, version));
        let part = self
            .layer
            .map(|(layer, version)| (layer..layer + 1, version));
        let held: Vec<_> = whole.into_iter().chain(part).collect();
        let models = held
            .iter()
            .map(|(_, version)| json!({ "name": "m", "version": version, "adapters": [] }));
        let layers = held.iter().map(
            |(range, version)| json!({ "from": range.start, "to": range.end, "version": version }),
        );
        let mut report = json!({
            "models": models.collect::<Vec<_>>(), "layers": layers.collect::<Vec<_>>(),
            "busy": self.is_busy, "sequence": self.orders_accepted, "queued": self.queued, "active": self.active,
        });
        if self.birth == Some(StartTimeField::Present) {
            report["born"] = self.born.into();
        }
        report
    }

    fn order(&mut self, body: &[u8], now: ClockTime) -> StatusCode {
        let order: Value = serde_json::from_slice(body).expect("an order is JSON");
        let version = order["version"].as_u64().expect("it names a version");
        if order["precondition"].as_u64() != Some(self.orders_accepted) || self.is_busy {
            return StatusCode::CONFLICT;
        }
        if self.held == Some(version) {
            return StatusCode::OK;
        }
        let layer = order["from"]
            .as_u64()
            .map(|from| u32::try_from(from).expect("it is small"));
        let chunks = match layer {
            Some(layer) => layer * CHUNKS / LAYERS..((layer + 1) * CHUNKS).div_ceil(LAYERS),
            None => 0..CHUNKS,
        };
        let is_whole = chunks
            .into_iter()
            .all(|index| self.staged[index as usize] == Some(chunk_bytes(version, index)));
        self.bad_loads += usize::from(!is_whole);
        self.orders_accepted += 1;
        self.orders_started += 1;
        self.reports = 0;
        self.aborting_orders += usize::from(order["strategy"] == "abort");
        if let Some(layer) = layer {
            self.held = None;
            self.layer = Some((layer, version));
            return StatusCode::ACCEPTED;
        }
        match self.rule {
            CallRule::HoldOrders => self.is_busy = true,
            CallRule::Answer | CallRule::Silent if self.load_span.is_zero() => {
                self.held = Some(version);
                self.layer = None;
            }
            CallRule::Answer | CallRule::Silent => {
                self.is_busy = true;
                self.loading = Some((version, now + self.load_span));
            }
        }
        StatusCode::ACCEPTED
    }

    fn stage(&mut self, index: Option<u32>, bytes: Bytes) -> StatusCode {
        let index = index.expect("a chunk is staged under its number");
        self.chunks_staged += 1;
        self.staged[index as usize] = Some(bytes);
        StatusCode::OK
    }

    fn read_staged(&self, index: Option<u32>) -> Response {
        let Some(index) = index else {
            let chunks = (0_u32..).zip(&self.staged);
            let held: Vec<u32> = chunks
                .filter_map(|(index, chunk)| chunk.as_ref().map(|_| index))
                .collect();
            return json_reply(StatusCode::OK, &json!({ "held": held }));
        };
        match &self.staged[index as usize] {
            Some(bytes) => Response::new(Body::from(bytes.clone())),
            None => json_reply(StatusCode::NOT_FOUND, &json!({})),
        }
    }
}
