//! A fake model engine for the lab and for tests in other folders. It can crash, and restart as a
//! new incarnation without the state of the previous one.
#![cfg_attr(
    not(test),
    expect(dead_code, reason = "the lab uses fewer of its methods than tests do")
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
use crate::transport::{json_response, read_body};

const BODY_BYTES_MAX: usize = 1024 * 1024;
/// The start of the first incarnation of a fake engine, in Unix milliseconds.
const FIRST_START_TIME: u64 = 1_700_000_000_000;
/// The milliseconds between the starts of successive incarnations.
const START_TIME_STEP: u64 = 20_000;

/// The state of the staged chunks after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StagedAfterRestart {
    /// All chunks are intact.
    Kept,
    /// All chunks are present, and every second one is corrupt.
    HalfCorrupt,
    /// All chunks are lost.
    Lost,
}

/// Whether the reports of an engine have the field with its start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartTimeField {
    /// They have it.
    Present,
    /// They lack it.
    Absent,
}

/// How the engine handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CallRule {
    /// It responds normally.
    #[default]
    Respond,
    /// It has crashed and not restarted.
    Crashed,
    /// It accepts an order and never finishes it.
    StallOrders,
}

/// How long after a staged chunk became corrupt an engine may still load it: nobody can know of it
/// at once.
const CORRUPTION_SPAN: Duration = Duration::from_secs(3);

/// A kind of call on which a restart or another action can be planned.
#[derive(Clone, Copy)]
pub(crate) enum EngineCall {
    /// Staging a chunk.
    Stage,
    /// Reading a staged chunk back.
    #[cfg(test)]
    ReadBack,
    /// Reading the engine's state.
    #[cfg(test)]
    Report,
    /// An order to load weights.
    Order,
}

impl EngineCall {
    /// The prefix of the paths of such calls.
    const fn path_prefix(self) -> &'static str {
        match self {
            Self::Stage => "/v1/stage-put",
            #[cfg(test)]
            Self::ReadBack => "/v1/stage-get",
            #[cfg(test)]
            Self::Report => "/v1/report",
            Self::Order => "/v1/order",
        }
    }
}

/// A restart that a call triggers.
#[derive(Clone, Copy, Debug)]
struct PlannedRestart {
    path_prefix: &'static str,
    /// The number of matching calls before the one that triggers it.
    calls: u32,
    staged: StagedAfterRestart,
}

/// An action that a call triggers before the engine handles it. It returns how long the engine
/// takes to begin.
type CallAction = Box<dyn FnOnce() -> Duration + Send>;

struct PlannedAction {
    path_prefix: &'static str,
    /// The number of matching calls before the one that triggers it.
    calls: u32,
    action: CallAction,
}

#[derive(Default)]
struct EngineState {
    rule: CallRule,
    /// The start of the incarnation, in Unix milliseconds.
    start_time: u64,
    start_time_field: Option<StartTimeField>,
    /// The version that is loaded completely.
    held: Option<u64>,
    /// The only loaded layer and its version, after an order for a single layer.
    layer: Option<(u32, u64)>,
    is_busy: bool,
    /// The orders accepted by this incarnation.
    orders_accepted: u64,
    /// The orders accepted by all incarnations.
    orders_started: usize,
    /// Those of them that found a chunk missing, corrupt or of another version.
    bad_loads: usize,
    /// The chunks staged in all incarnations.
    chunks_staged: usize,
    /// The reports sent since the loaded weights last changed.
    reports: usize,
    restart_on: Option<PlannedRestart>,
    planned_action: Option<PlannedAction>,
    /// The number of further reports that give the state of the previous incarnation.
    stale_reports: usize,
    /// The last state of the previous incarnation.
    previous_report: Option<Value>,
    staged: Vec<Option<Bytes>>,
    /// When each staged chunk became corrupt without a restart.
    corrupted_at: Vec<Option<ClockTime>>,
    /// Whether each loaded layer was loaded from a chunk that was missing, corrupt or of another
    /// version.
    bad_layers: Vec<bool>,
    /// The number of running requests.
    active: u32,
    /// The number of waiting requests.
    queued: u32,
    /// The number of orders that aborted running requests.
    aborting_orders: usize,
    /// The duration of a load.
    load_duration: Duration,
    /// The version that is being loaded, and when the load ends.
    loading: Option<(u64, ClockTime)>,
}

/// A fake engine; clones share its state.
#[derive(Clone)]
pub(crate) struct FakeEngine {
    /// The address on which it serves; unspecified if calls are passed to [`FakeEngine::respond`].
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<EngineState>>,
}

impl FakeEngine {
    /// Starts an engine without loaded weights or staged chunks, which serves on a loopback port.
    #[cfg(test)]
    pub(crate) async fn start(start_time_field: StartTimeField) -> Self {
        let unbound = Self::new(start_time_field, Duration::ZERO);
        let served = unbound.clone();
        let address = serve_calls(move |request| {
            let engine = served.clone();
            async move { engine.respond(request).await }
        });
        Self {
            address: address.await,
            state: unbound.state,
        }
    }

    /// Creates an engine whose loads take `load_duration`. It does not listen on the network: the
    /// fake backend server passes calls to [`FakeEngine::respond`].
    pub(crate) fn new(start_time_field: StartTimeField, load_duration: Duration) -> Self {
        let state = EngineState {
            start_time: FIRST_START_TIME,
            start_time_field: Some(start_time_field),
            staged: vec![None; CHUNKS as usize],
            corrupted_at: vec![None; CHUNKS as usize],
            bad_layers: vec![false; LAYERS as usize],
            load_duration,
            ..EngineState::default()
        };
        Self {
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Simulates a crash: calls fail until [`FakeEngine::restart`] or [`FakeEngine::resume`].
    pub(crate) fn crash(&self) {
        self.lock().rule = CallRule::Crashed;
    }

    /// Lets it respond again, as the same incarnation.
    pub(crate) fn resume(&self) {
        self.lock().rule = CallRule::Respond;
    }

    /// Lets it accept orders, but never finish one.
    pub(crate) fn stall_orders(&self) {
        self.lock().rule = CallRule::StallOrders;
    }

    /// Restarts it as a new incarnation without the state of the previous one.
    pub(crate) fn restart(&self, staged: StagedAfterRestart) {
        self.lock().restart(staged);
    }

    /// Plans a restart just before the response to a `call`, after `calls` of that kind.
    pub(crate) fn restart_on(&self, call: EngineCall, calls: u32, staged: StagedAfterRestart) {
        let path_prefix = call.path_prefix();
        self.lock().restart_on = Some(PlannedRestart {
            path_prefix,
            calls,
            staged,
        });
    }

    /// Plans `action` before the response to a `call`, after `calls` of that kind. The engine then
    /// waits for the time that the action returns before it handles the call.
    #[cfg(test)]
    pub(crate) fn on_call(
        &self,
        call: EngineCall,
        calls: u32,
        action: impl FnOnce() -> Duration + Send + 'static,
    ) {
        self.lock().planned_action = Some(PlannedAction {
            path_prefix: call.path_prefix(),
            calls,
            action: Box::new(action),
        });
    }

    /// Makes the staged chunk `index` corrupt at `now`.
    #[cfg(test)]
    pub(crate) fn corrupt_staged(&self, index: usize, now: ClockTime) {
        let mut state = self.lock();
        state.staged[index] = Some(Bytes::from_static(b"corrupt"));
        state.corrupted_at[index] = Some(now);
    }

    /// Accepts an order of another process to load `version`, which is staged but for the corrupt
    /// chunks `corrupt`. The load takes `load_duration`.
    #[cfg(test)]
    pub(crate) fn load_for_other(&self, version: u64, corrupt: &[u32], load_duration: Duration) {
        let mut state = self.lock();
        state.stage_version(version, corrupt);
        let usual_duration = std::mem::replace(&mut state.load_duration, load_duration);
        let order = json!({ "version": version, "precondition": state.orders_accepted });
        let status = state.order(order.to_string().as_bytes(), clock_now());
        assert_eq!(status, StatusCode::ACCEPTED, "the engine is idle");
        state.load_duration = usual_duration;
    }

    /// Like [`FakeEngine::load_for_other`], for one layer. Its chunks are staged again afterwards.
    #[cfg(test)]
    pub(crate) fn load_layer_for_other(&self, version: u64, layer: u32, corrupt: &[u32]) {
        let mut state = self.lock();
        state.stage_version(version, corrupt);
        let order = json!({
            "version": version, "from": layer, "precondition": state.orders_accepted,
        });
        let status = state.order(order.to_string().as_bytes(), clock_now());
        assert_eq!(status, StatusCode::ACCEPTED, "the engine is idle");
        state.stage_version(version, &[]);
    }

    /// Accepts an order for one layer of `version`, whose chunks are staged, without an answer.
    #[cfg(test)]
    pub(crate) fn accept_layer(&self, version: u64, layer: u32) {
        let mut state = self.lock();
        let order = json!({
            "version": version, "from": layer, "precondition": state.orders_accepted,
        });
        let status = state.order(order.to_string().as_bytes(), clock_now());
        assert_eq!(status, StatusCode::ACCEPTED, "the engine is idle");
    }

    /// Whether the engine serves requests with a layer that it should not have loaded.
    #[cfg(test)]
    pub(crate) fn serves_bad_layers(&self) -> bool {
        let state = self.lock();
        let is_serving = state.held.is_some() && state.loading.is_none();
        is_serving && state.bad_layers.contains(&true)
    }

    /// Lets the next `count` reports give the state of the previous incarnation, as delayed ones
    /// would.
    pub(crate) fn report_stale(&self, count: usize) {
        self.lock().stale_reports = count;
    }

    /// The version that is loaded completely.
    pub(crate) fn held(&self) -> Option<WeightsVersion> {
        self.lock().held.map(WeightsVersion)
    }

    /// The number of orders that all incarnations have started.
    pub(crate) fn orders_started(&self) -> usize {
        self.lock().orders_started
    }

    /// The number of these that found a chunk missing, corrupt or of another version.
    pub(crate) fn bad_loads(&self) -> usize {
        self.lock().bad_loads
    }

    /// The number of reports since the loaded weights last changed.
    pub(crate) fn reports(&self) -> usize {
        self.lock().reports
    }

    /// The number of chunks staged in all incarnations.
    pub(crate) fn chunks_staged(&self) -> usize {
        self.lock().chunks_staged
    }

    /// The state in its report; the entry in the store has some of its fields.
    pub(super) fn current_report(&self) -> Value {
        self.lock().current_report()
    }

    /// Whether it is carrying out an order.
    pub(super) fn is_busy(&self) -> bool {
        self.lock().is_busy
    }

    /// Sets the reported number of running requests.
    pub(crate) fn set_active(&self, active: u32) {
        self.lock().active = active;
    }

    /// Sets the reported number of waiting requests.
    #[cfg(test)]
    pub(crate) fn set_queued(&self, queued: u32) {
        self.lock().queued = queued;
    }

    /// The version of which only one layer is loaded.
    #[cfg(test)]
    pub(crate) fn partial_version(&self) -> Option<WeightsVersion> {
        self.lock()
            .layer
            .map(|(_, version)| WeightsVersion(version))
    }

    /// The number of orders that aborted running requests.
    #[cfg(test)]
    pub(crate) fn aborting_orders(&self) -> usize {
        self.lock().aborting_orders
    }

    /// Responds to a call to the engine.
    pub(super) async fn respond(&self, request: Request) -> Response {
        let (path, index) = path_and_index(&request);
        let Ok(body) = read_body(request.into_body(), BODY_BYTES_MAX).await else {
            return json_response(StatusCode::BAD_REQUEST, &json!({}));
        };
        let due = self.lock().take_due_action(&path);
        if let Some(action) = due {
            tokio::time::sleep(action()).await;
        }
        let mut state = self.lock();
        state.restart_if_due(&path);
        match (state.rule, path.as_str()) {
            (CallRule::Crashed, _) => json_response(StatusCode::BAD_GATEWAY, &json!({})),
            (_, "/v1/report") => json_response(StatusCode::OK, &state.report()),
            (_, "/v1/order") => json_response(state.order(&body, clock_now()), &json!({})),
            (_, "/v1/stage-put/m") => json_response(state.stage(index, body), &json!({})),
            (_, "/v1/stage-get/m") => state.read_staged(index),
            _ => json_response(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.finish_load(clock_now());
        state
    }
}

impl EngineState {
    /// Finishes the current load if it has ended by `now`.
    fn finish_load(&mut self, now: ClockTime) {
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

    /// Stages all chunks of `version`, those in `corrupt` as corrupt ones.
    #[cfg(test)]
    fn stage_version(&mut self, version: u64, corrupt: &[u32]) {
        for index in 0..CHUNKS {
            let bytes = if corrupt.contains(&index) {
                Bytes::from_static(b"corrupt")
            } else {
                chunk_bytes(version, index)
            };
            self.staged[index as usize] = Some(bytes);
            self.corrupted_at[index as usize] = None;
        }
    }

    fn take_due_action(&mut self, path: &str) -> Option<CallAction> {
        let plan = self.planned_action.as_mut()?;
        if !path.starts_with(plan.path_prefix) {
            return None;
        }
        if plan.calls > 0 {
            plan.calls -= 1;
            return None;
        }
        self.planned_action.take().map(|plan| plan.action)
    }

    fn restart_if_due(&mut self, path: &str) {
        let Some(plan) = self.restart_on.as_mut() else {
            return;
        };
        if !path.starts_with(plan.path_prefix) {
            return;
        }
        if plan.calls > 0 {
            plan.calls -= 1;
            return;
        }
        let staged = plan.staged;
        self.restart_on = None;
        self.restart(staged);
    }

    fn restart(&mut self, staged: StagedAfterRestart) {
        self.previous_report = Some(self.current_report());
        self.rule = CallRule::Respond;
        self.start_time += START_TIME_STEP;
        self.held = None;
        self.layer = None;
        self.corrupted_at.fill(None);
        self.bad_layers.fill(false);
        self.reports = 0;
        self.is_busy = false;
        self.loading = None;
        self.active = 0;
        self.orders_accepted = 0;
        match staged {
            StagedAfterRestart::Kept => {}
            StagedAfterRestart::HalfCorrupt => {
                for chunk in self.staged.iter_mut().step_by(2) {
                    *chunk = Some(Bytes::from_static(b"spoiled"));
                }
            }
            StagedAfterRestart::Lost => self.staged.fill(None),
        }
    }

    /// The response to a request for its report.
    fn report(&mut self) -> Value {
        self.reports += 1;
        if self.stale_reports > 0
            && let Some(previous) = &self.previous_report
        {
            self.stale_reports -= 1;
            return previous.clone();
        }
        self.current_report()
    }

    fn current_report(&self) -> Value {
        let complete = self.held.map(|version| (0..LAYERS, version));
        let partial = self
            .layer
            .map(|(layer, version)| (layer..layer + 1, version));
        let held: Vec<_> = complete.into_iter().chain(partial).collect();
        let models = held
            .iter()
            .map(|(_, version)| json!({ "name": "m", "version": version, "adapters": [] }));
        let layers = held.iter().map(
            |(range, version)| json!({ "from": range.start, "to": range.end, "version": version }),
        );
        let mut report = json!({
            "models": models.collect::<Vec<_>>(), "layers": layers.collect::<Vec<_>>(),
            "busy": self.is_busy, "sequence": self.orders_accepted, "queued": self.queued,
            "active": self.active,
        });
        if self.start_time_field == Some(StartTimeField::Present) {
            report["born"] = self.start_time.into();
        }
        report
    }

    fn order(&mut self, body: &[u8], now: ClockTime) -> StatusCode {
        let order: Value = serde_json::from_slice(body).expect("an order is JSON");
        let version = order["version"].as_u64().expect("an order has a version");
        if order["precondition"].as_u64() != Some(self.orders_accepted) || self.is_busy {
            return StatusCode::CONFLICT;
        }
        let layer = order["from"]
            .as_u64()
            .map(|from| u32::try_from(from).expect("a layer number fits"));
        let is_in_effect = match layer {
            Some(layer) => self.layer == Some((layer, version)),
            None => self.held == Some(version),
        };
        if is_in_effect {
            return StatusCode::OK;
        }
        let layers = layer.map_or(0..LAYERS, |layer| layer..layer + 1);
        let bad = layers.map(|layer| (layer, self.is_bad(layer, version, now)));
        let bad: Vec<(u32, bool)> = bad.collect();
        self.bad_loads += usize::from(bad.iter().any(|(_, is_bad)| *is_bad));
        for (layer, is_bad) in bad {
            if !self.holds(layer, version) {
                self.bad_layers[layer as usize] = is_bad;
            }
        }
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
            CallRule::StallOrders => self.is_busy = true,
            CallRule::Respond | CallRule::Crashed if self.load_duration.is_zero() => {
                self.held = Some(version);
                self.layer = None;
            }
            CallRule::Respond | CallRule::Crashed => {
                self.is_busy = true;
                self.loading = Some((version, now + self.load_duration));
            }
        }
        StatusCode::ACCEPTED
    }

    /// Whether a load of `layer` of `version` at `now` finds a chunk missing, of another version,
    /// or corrupt for longer than nobody can know of it.
    fn is_bad(&self, layer: u32, version: u64, now: ClockTime) -> bool {
        let mut chunks = layer * CHUNKS / LAYERS..((layer + 1) * CHUNKS).div_ceil(LAYERS);
        chunks.any(|index| {
            let corrupted_at = self.corrupted_at[index as usize];
            let is_recent = corrupted_at.is_some_and(|at| now.since(at) <= CORRUPTION_SPAN);
            self.staged[index as usize] != Some(chunk_bytes(version, index)) && !is_recent
        })
    }

    /// Whether `layer` of `version` is loaded. An order does not load such a layer again.
    fn holds(&self, layer: u32, version: u64) -> bool {
        self.held == Some(version) || self.layer == Some((layer, version))
    }

    fn stage(&mut self, index: Option<u32>, bytes: Bytes) -> StatusCode {
        let index = index.expect("a chunk is staged under its index");
        self.chunks_staged += 1;
        self.corrupted_at[index as usize] = None;
        self.staged[index as usize] = Some(bytes);
        StatusCode::OK
    }

    fn read_staged(&self, index: Option<u32>) -> Response {
        let Some(index) = index else {
            let chunks = (0_u32..).zip(&self.staged);
            let held: Vec<u32> = chunks
                .filter_map(|(index, chunk)| chunk.as_ref().map(|_| index))
                .collect();
            return json_response(StatusCode::OK, &json!({ "held": held }));
        };
        match &self.staged[index as usize] {
            Some(bytes) => Response::new(Body::from(bytes.clone())),
            None => json_response(StatusCode::NOT_FOUND, &json!({})),
        }
    }
}
