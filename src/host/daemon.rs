//! The composition of the host process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use volo_http::server::route::Router;

use super::settings::{EngineDialect, HostSettings};
use crate::control::{ControlAdapters, ControlHandle, start_control};
use crate::daemon::{DrainState, probe_routes};
use crate::engines::{EngineEdge, HttpPlain, JsonStateEngine, MetricsTextEngine};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::guard::{BackendServer, GuardEdges, GuardLimits, ServingGate, start_guard};
use crate::membership::StatusPublisher;
use crate::settings::CommonSettings;
use crate::stores::http::HttpWeights;
use crate::stores::{HostRole, WeightSource};
use crate::transport::{ClientLimits, HttpServer, PeerClient, bind_listener};
use crate::weights::{WeightsEdges, WeightsHandle, WeightsLimits, ahead_of_weights, start_weights};

/// How long a read from the origin may take; its link is shared by all hosts that read, so that one
/// chunk may take far longer than the platform's other answers.
const ORIGIN_READ_WITHIN: Duration = Duration::from_secs(20);

/// Runs the host process until its graceful stop is done.
pub(super) async fn run_host(
    settings: HostSettings,
    wrap: impl FnOnce(Router) -> Router,
) -> SwitchResult<()> {
    let listener = bind_listener(settings.common.peer_address).await?;
    let address = listener
        .local_addr()
        .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
    let host = HostParts::start(&settings, address);
    let server = HttpServer::on(listener, wrap(host.routes));
    println!("listening peer={address}");
    tokio::spawn(tell_leaving(host.drain.clone(), host.board));
    server.run(host.drain).await;
    Ok(())
}

/// What runs in the process.
struct HostParts {
    routes: Router,
    board: StatusPublisher,
    drain: DrainState,
}

impl HostParts {
    fn start(settings: &HostSettings, address: SocketAddr) -> Self {
        let common = &settings.common;
        let mut identity = common.identity(HostRole::Backend, Some(settings.service.clone()));
        identity.peer_address = address;
        let board = StatusPublisher::new(identity.host.clone(), identity.incarnation);
        let drain = common.drain_state();
        let client = Arc::new(PeerClient::new(ClientLimits::default()));
        let edges = ControlAdapters {
            table: common.table(),
            list: common.host_list(),
            client: Arc::clone(&client),
        };
        let control = start_control(identity.clone(), edges, board.clone(), drain.clone());
        let gate = ServingGate::default();
        let backend = backend_server(settings);
        let mut routes = probe_routes(drain.clone(), Arc::new(AtomicBool::new(true)))
            .merge(control.peer_routes());
        let mut pacer = None;
        if let BackendServer::Model(engine) = &backend {
            let parts = WeightsParts {
                engine: Arc::clone(engine),
                control,
                client,
                gate: gate.clone(),
                board: board.clone(),
                drain: drain.clone(),
            };
            let weights = start_host_weights(settings, parts);
            pacer = weights.as_ref().map(|weights| weights.link_pacer().clone());
            if let Some(weights) = weights {
                routes = routes
                    .merge(weights.peer_routes())
                    .merge(weights.engine_routes());
            }
        }
        let edges = GuardEdges {
            identity,
            backend,
            gate,
            board: board.clone(),
            drain: drain.clone(),
        };
        let limits = GuardLimits {
            running_max: settings.running_max,
            waiting_max: settings.waiting_max,
            engine_check: settings.engine_check,
        };
        let guard = start_guard(edges, limits);
        let live = match pacer {
            Some(pacer) => ahead_of_weights(guard.peer_routes(), pacer),
            None => guard.peer_routes(),
        };
        routes = routes.merge(live);
        Self {
            routes,
            board,
            drain,
        }
    }
}

struct WeightsParts {
    engine: Arc<dyn EngineEdge>,
    control: ControlHandle,
    client: Arc<PeerClient>,
    gate: ServingGate,
    board: StatusPublisher,
    drain: DrainState,
}

/// Starts the weights' edge; none without an origin, which the settings allow only plain services.
fn start_host_weights(settings: &HostSettings, parts: WeightsParts) -> Option<WeightsHandle> {
    let source = |address: SocketAddr| -> Arc<dyn WeightSource> {
        let client = CommonSettings::patient_client(
            address,
            ErrorKind::OriginUnavailable,
            ORIGIN_READ_WITHIN,
        );
        Arc::new(HttpWeights(client))
    };
    let origin = settings.origin_address.map(source)?;
    let edges = WeightsEdges {
        origin,
        store: settings.store_address.map(source),
        table: settings.common.table(),
        engine: parts.engine,
        client: parts.client,
        control: parts.control,
        gate: parts.gate,
        board: parts.board,
        drain: parts.drain,
    };
    let limits = WeightsLimits {
        link_bytes_per_second: settings.link_bytes_per_second,
        memory_bytes: settings.memory_bytes,
    };
    Some(start_weights(edges, limits))
}

fn backend_server(settings: &HostSettings) -> BackendServer {
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    let address = settings.engine_address;
    match settings.dialect {
        EngineDialect::MetricsText => {
            let model = settings.service.clone();
            BackendServer::Model(Arc::new(MetricsTextEngine::new(address, client, model)))
        }
        EngineDialect::JsonState => {
            BackendServer::Model(Arc::new(JsonStateEngine::new(address, client)))
        }
        EngineDialect::Plain => BackendServer::Plain(Arc::new(HttpPlain::new(address, client))),
    }
}

/// Says at once that the process is leaving, when its graceful stop begins.
async fn tell_leaving(drain: DrainState, board: StatusPublisher) {
    drain.begun().await;
    board.update(|status| status.leaving = true);
}
