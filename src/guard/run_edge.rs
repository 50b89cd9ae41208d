//! The edge: orders in over HTTP, frames out, and the engine's state onto the status board.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytestring::ByteString;
use http::StatusCode;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Router, post};

use super::events;
use super::part_sink::AttemptWriter;
use super::run_queue::RunQueue;
use super::run_task::run_order;
use super::serving_gate::ServingGate;
use super::shared::{BackendServer, GuardShared, GuardState};
use crate::daemon::DrainState;
use crate::delivery::{RunOrder, SettleOrder, SettleReply};
use crate::engines::EngineEdge;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::membership::{HostIdentity, StatusPublisher};
use crate::metrics::set_level;
use crate::time::clock_now;
use crate::transport::{error_reply, frame_channel, message_reply, read_message};

/// Frames that wait for a slow entry host; then the run waits.
const FRAMES_AHEAD: usize = 64;
/// The largest order, in bytes.
const ORDER_BYTES_MAX: usize = 32 * 1024 * 1024;

/// What the guard works with.
#[derive(Clone)]
pub(crate) struct GuardEdges {
    /// Who this process is.
    pub(crate) identity: HostIdentity,
    /// What stands beside it.
    pub(crate) backend: BackendServer,
    /// The gate that requests go through.
    pub(crate) gate: ServingGate,
    /// Where this process says how busy it is.
    pub(crate) board: StatusPublisher,
    /// The graceful stop.
    pub(crate) drain: DrainState,
}

/// Settings of the guard.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GuardLimits {
    /// Requests that a plain service runs at a time; engines say theirs.
    pub(crate) running_max: u32,
    /// Requests that wait before the backend server at most.
    pub(crate) waiting_max: usize,
    /// How often the engine is asked for its state.
    pub(crate) engine_check: Duration,
}

/// The rest of the process's hold on the guard.
#[derive(Clone)]
pub(crate) struct GuardHandle {
    pub(super) shared: Arc<GuardShared>,
}

/// Starts to take orders for the service that `edges` names.
pub(crate) fn start_guard(edges: GuardEdges, limits: GuardLimits) -> GuardHandle {
    let service: ByteString = edges.identity.service.clone().unwrap_or_default();
    let queue = RunQueue::new(limits.running_max, limits.waiting_max);
    let state = GuardState::new(queue);
    let shared = Arc::new(GuardShared {
        service,
        incarnation: edges.identity.incarnation,
        backend: edges.backend,
        gate: edges.gate,
        board: edges.board,
        drain: edges.drain,
        state: Mutex::new(state),
    });
    tokio::spawn(watch_backend(Arc::clone(&shared), limits));
    GuardHandle { shared }
}

impl GuardHandle {
    /// What entry hosts may ask.
    pub(crate) fn peer_routes(&self) -> Router {
        let run_shared = Arc::clone(&self.shared);
        let settle_shared = Arc::clone(&self.shared);
        let run = move |request: Request| take_order(Arc::clone(&run_shared), request);
        let settle = move |request: Request| take_settle(Arc::clone(&settle_shared), request);
        Router::new()
            .route("/peer/run", post(run))
            .route("/peer/settle", post(settle))
    }
}

async fn take_order(shared: Arc<GuardShared>, request: Request) -> Response {
    // Counted before the body is read: a stop that begins meanwhile waits for the refusal too.
    let live = shared.drain.enter();
    let order: SwitchResult<RunOrder> = read_message(request.into_body(), ORDER_BYTES_MAX).await;
    let order = match order {
        Ok(order) => order,
        Err(error) => {
            log_event!(events::ORDER_UNREADABLE, "{error}");
            return error_reply(&error);
        }
    };
    let (writer, body) = frame_channel(FRAMES_AHEAD);
    let attempt = order.attempt;
    tokio::spawn(run_order(
        shared,
        order,
        AttemptWriter { attempt, writer },
        live,
    ));
    let mut answer = Response::new(body);
    *answer.status_mut() = StatusCode::OK;
    answer
}

async fn take_settle(shared: Arc<GuardShared>, request: Request) -> Response {
    let order: SwitchResult<SettleOrder> = read_message(request.into_body(), ORDER_BYTES_MAX).await;
    match order {
        Ok(order) => message_reply(&settle(&shared, &order)),
        Err(error) => error_reply(&error),
    }
}

pub(super) fn settle(shared: &GuardShared, order: &SettleOrder) -> SettleReply {
    if order.incarnation != shared.incarnation {
        return SettleReply::NotKnown;
    }
    shared.lock().attempts.settle(order.attempt, clock_now())
}

/// Keeps the status board's load fresh, and asks a model engine what it is and how it is.
async fn watch_backend(shared: Arc<GuardShared>, limits: GuardLimits) {
    let mut watch = BackendWatch::default();
    let mut ticks = tokio::time::interval(limits.engine_check);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut load = shared.load();
        if let BackendServer::Model(engine) = &shared.backend {
            load.waiting += watch.check(&shared, engine).await;
        }
        set_level("guard_running", &shared.service, load.running.into());
        set_level("guard_waiting", &shared.service, load.waiting.into());
        shared.board.update(|status| status.load = load);
    }
}

/// What the watch knows of the engine.
#[derive(Default)]
struct BackendWatch {
    was_met: bool,
    is_silent: bool,
}

impl BackendWatch {
    /// Asks the engine; returns how many requests wait inside it, by its last report.
    async fn check(&mut self, shared: &Arc<GuardShared>, engine: &Arc<dyn EngineEdge>) -> u32 {
        if !self.was_met {
            self.meet(shared, engine).await;
        }
        match engine.read_state().await {
            Ok(state) => {
                if std::mem::replace(&mut self.is_silent, false) {
                    log_event!(events::ENGINE_BACK);
                }
                state.load.waiting
            }
            Err(error) => {
                if !std::mem::replace(&mut self.is_silent, true) {
                    log_event!(events::ENGINE_SILENT, "{error}");
                }
                // It may come back as another engine.
                self.was_met = false;
                0
            }
        }
    }

    async fn meet(&mut self, shared: &Arc<GuardShared>, engine: &Arc<dyn EngineEdge>) {
        let Ok(profile) = engine.meet().await else {
            return;
        };
        self.was_met = true;
        log_event!(
            events::ENGINE_MET,
            "runs {} requests at a time, checks fencing: {}",
            profile.running_max,
            profile.checks_fencing
        );
        let mut state = shared.lock();
        let started = state
            .queue
            .set_running_max(profile.running_max, clock_now());
        state.tell_started(started);
    }
}
