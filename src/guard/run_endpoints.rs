//! HTTP endpoints of the guard, and the task that publishes the load of the backend server.

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
use super::shared::{GuardShared, GuardState, LocalBackend};
use crate::daemon::DrainState;
use crate::delivery::{OutcomeQuery, OutcomeReply, RunOrder};
use crate::engines::EngineAdapter;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::membership::{HostIdentity, StatusPublisher};
use crate::metrics::set_gauge;
use crate::time::clock_now;
use crate::transport::{error_response, frame_channel, message_response, read_request_message};

/// Capacity of the frame channel to an entry host. When a slow entry host lets it fill up, the run
/// waits.
const FRAME_BUFFER_MAX: usize = 64;
/// Maximum size of an order, in bytes.
const ORDER_BYTES_MAX: usize = 32 * 1024 * 1024;

/// The parts of the process that the guard works with.
#[derive(Clone)]
pub(crate) struct GuardContext {
    /// The identity of this process.
    pub(crate) identity: HostIdentity,
    /// The backend server on this host.
    pub(crate) backend: LocalBackend,
    /// The gate between requests and changes of version.
    pub(crate) gate: ServingGate,
    /// Publishes the load of this process.
    pub(crate) publisher: StatusPublisher,
    /// State of the graceful shutdown.
    pub(crate) drain: DrainState,
}

/// Settings of the guard.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GuardLimits {
    /// Number of requests that a plain service runs at a time. Engines report their own.
    pub(crate) running_max: u32,
    /// Maximum number of requests in the queue.
    pub(crate) waiting_max: usize,
    /// Interval at which the engine's state is polled.
    pub(crate) engine_check: Duration,
}

/// Handle to the running guard.
#[derive(Clone)]
pub(crate) struct GuardHandle {
    pub(super) shared: Arc<GuardShared>,
}

/// Starts the guard for the service of `context.identity`.
pub(crate) fn start_guard(context: GuardContext, limits: GuardLimits) -> GuardHandle {
    let service: ByteString = context.identity.service.clone().unwrap_or_default();
    let queue = RunQueue::new(limits.running_max, limits.waiting_max);
    let state = GuardState::new(queue);
    let shared = Arc::new(GuardShared {
        service,
        incarnation: context.identity.incarnation,
        backend: context.backend,
        gate: context.gate,
        publisher: context.publisher,
        drain: context.drain,
        state: Mutex::new(state),
    });
    tokio::spawn(monitor_backend(Arc::clone(&shared), limits));
    GuardHandle { shared }
}

impl GuardHandle {
    /// Routes of the peer API for entry hosts.
    pub(crate) fn peer_routes(&self) -> Router {
        let run_shared = Arc::clone(&self.shared);
        let query_shared = Arc::clone(&self.shared);
        let run = move |request: Request| handle_order(Arc::clone(&run_shared), request);
        let query_outcome =
            move |request: Request| handle_outcome_query(Arc::clone(&query_shared), request);
        Router::new()
            .route("/peer/run", post(run))
            .route("/peer/settle", post(query_outcome))
    }
}

async fn handle_order(shared: Arc<GuardShared>, request: Request) -> Response {
    // Counted before the body is read, so that a shutdown that begins in the meantime waits for the
    // response.
    let live = shared.drain.track_request();
    let order: SwitchResult<RunOrder> = read_request_message(request, ORDER_BYTES_MAX).await;
    let order = match order {
        Ok(order) => order,
        Err(error) => {
            log_event!(events::ORDER_UNREADABLE, "{error}");
            return error_response(&error);
        }
    };
    let (writer, body) = frame_channel(FRAME_BUFFER_MAX);
    let attempt = order.attempt;
    tokio::spawn(run_order(
        shared,
        order,
        AttemptWriter { attempt, writer },
        live,
    ));
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::OK;
    response
}

async fn handle_outcome_query(shared: Arc<GuardShared>, request: Request) -> Response {
    let query: SwitchResult<OutcomeQuery> = read_request_message(request, ORDER_BYTES_MAX).await;
    match query {
        Ok(query) => message_response(&resolve(&shared, &query)),
        Err(error) => error_response(&error),
    }
}

pub(super) fn resolve(shared: &GuardShared, query: &OutcomeQuery) -> OutcomeReply {
    if query.incarnation != shared.incarnation {
        return OutcomeReply::NotKnown;
    }
    shared.lock().attempts.resolve(query.attempt, clock_now())
}

/// Publishes the current load at a fixed interval, and polls a model engine for its profile and
/// state.
async fn monitor_backend(shared: Arc<GuardShared>, limits: GuardLimits) {
    let mut monitor = BackendMonitor::default();
    let mut ticks = tokio::time::interval(limits.engine_check);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut load = shared.load();
        if let LocalBackend::Model(engine) = &shared.backend {
            load.waiting += monitor.check(&shared, engine).await;
        }
        set_gauge("guard_running", &shared.service, load.running.into());
        set_gauge("guard_waiting", &shared.service, load.waiting.into());
        shared.publisher.update(|status| status.load = load);
    }
}

/// What is known of the engine from earlier polls.
#[derive(Default)]
struct BackendMonitor {
    has_profile: bool,
    is_unresponsive: bool,
}

impl BackendMonitor {
    /// Polls the engine. Returns the number of requests that wait inside the engine, by its last
    /// report.
    async fn check(&mut self, shared: &Arc<GuardShared>, engine: &Arc<dyn EngineAdapter>) -> u32 {
        if !self.has_profile {
            self.read_profile(shared, engine).await;
        }
        match engine.read_state().await {
            Ok(state) => {
                if std::mem::replace(&mut self.is_unresponsive, false) {
                    log_event!(events::ENGINE_RESPONSIVE);
                }
                state.load.waiting
            }
            Err(error) => {
                if !std::mem::replace(&mut self.is_unresponsive, true) {
                    log_event!(events::ENGINE_UNRESPONSIVE, "{error}");
                }
                // After an outage it may be another engine with another profile.
                self.has_profile = false;
                0
            }
        }
    }

    async fn read_profile(&mut self, shared: &Arc<GuardShared>, engine: &Arc<dyn EngineAdapter>) {
        let Ok(profile) = engine.read_profile().await else {
            return;
        };
        self.has_profile = true;
        log_event!(
            events::ENGINE_PROFILED,
            "runs {} requests at a time, checks fencing: {}",
            profile.running_max,
            profile.checks_fencing
        );
        let mut state = shared.lock();
        let started = state
            .queue
            .set_running_max(profile.running_max, clock_now());
        state.notify_started(started);
    }
}
