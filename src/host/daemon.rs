//! Creates and connects the components of the host process, and runs its server until a graceful
//! stop ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use volo_http::server::route::Router;

use super::settings::{EngineDialect, HostSettings};
use crate::control::{ControlAdapters, ControlHandle, start_control};
use crate::daemon::{DrainState, probe_routes};
use crate::engines::{EngineAdapter, HttpPlainAdapter, JsonStateAdapter, MetricsTextAdapter};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::guard::{GuardContext, GuardLimits, LocalBackend, ServingGate, start_guard};
use crate::membership::StatusPublisher;
use crate::settings::CommonSettings;
use crate::stores::http::HttpWeights;
use crate::stores::{HostRole, WeightSource};
use crate::transport::{ClientLimits, HttpServer, PeerClient, bind_listener};
use crate::weights::{
    WeightsContext, WeightsHandle, WeightsLimits, meter_live_responses, start_weights_tasks,
};

/// Time limit for one read from the origin. All hosts that read share the origin's link, so one
/// chunk may take far longer than other responses of the platform.
const ORIGIN_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the host process until its graceful stop has ended. `add_middleware` wraps its routes.
pub(super) async fn run_host(
    settings: HostSettings,
    add_middleware: impl FnOnce(Router) -> Router,
) -> SwitchResult<()> {
    let listener = bind_listener(settings.common.peer_address).await?;
    let address = listener
        .local_addr()
        .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
    let host = HostComponents::start(&settings, address);
    let server = HttpServer::on(listener, add_middleware(host.routes));
    println!("listening peer={address}");
    tokio::spawn(announce_leaving(host.drain.clone(), host.own_status));
    server.run(host.drain).await;
    Ok(())
}

/// The handles to the started components that [`run_host`] needs.
struct HostComponents {
    routes: Router,
    own_status: StatusPublisher,
    drain: DrainState,
}

impl HostComponents {
    fn start(settings: &HostSettings, address: SocketAddr) -> Self {
        let common = &settings.common;
        let mut identity = common.identity(HostRole::Backend, Some(settings.service.clone()));
        identity.peer_address = address;
        let own_status = StatusPublisher::new(identity.host.clone(), identity.incarnation);
        let drain = common.drain_state();
        let client = Arc::new(PeerClient::new(ClientLimits::default()));
        let adapters = ControlAdapters {
            table: common.table(),
            list: common.host_list(),
            client: Arc::clone(&client),
        };
        let control = start_control(
            identity.clone(),
            adapters,
            own_status.clone(),
            drain.clone(),
        );
        let gate = ServingGate::default();
        let backend = backend_server(settings);
        let mut routes = probe_routes(drain.clone(), Arc::new(AtomicBool::new(true)))
            .merge(control.peer_routes());
        let mut pacer = None;
        if let LocalBackend::Model(engine) = &backend {
            let context = WeightsComponents {
                engine: Arc::clone(engine),
                control,
                client,
                gate: gate.clone(),
                own_status: own_status.clone(),
                drain: drain.clone(),
            };
            let weights = start_host_weights(settings, context);
            pacer = weights.as_ref().map(|weights| weights.link_pacer().clone());
            if let Some(weights) = weights {
                routes = routes
                    .merge(weights.peer_routes())
                    .merge(weights.engine_routes());
            }
        }
        let context = GuardContext {
            identity,
            backend,
            gate,
            publisher: own_status.clone(),
            drain: drain.clone(),
        };
        let limits = GuardLimits {
            running_max: settings.running_max,
            waiting_max: settings.waiting_max,
            engine_check: settings.engine_check,
        };
        let guard = start_guard(context, limits);
        let run_routes = match pacer {
            Some(pacer) => meter_live_responses(guard.peer_routes(), pacer),
            None => guard.peer_routes(),
        };
        routes = routes.merge(run_routes);
        Self {
            routes,
            own_status,
            drain,
        }
    }
}

/// The other components that the weights thread uses.
struct WeightsComponents {
    engine: Arc<dyn EngineAdapter>,
    control: ControlHandle,
    client: Arc<PeerClient>,
    gate: ServingGate,
    own_status: StatusPublisher,
    drain: DrainState,
}

/// Starts the weights thread. Returns `None` without an origin address, which the settings permit
/// only for plain services.
fn start_host_weights(
    settings: &HostSettings,
    context: WeightsComponents,
) -> Option<WeightsHandle> {
    let source = |address: SocketAddr| -> Arc<dyn WeightSource> {
        let client = CommonSettings::client_with_timeout(
            address,
            ErrorKind::OriginUnavailable,
            ORIGIN_READ_TIMEOUT,
        );
        Arc::new(HttpWeights(client))
    };
    let origin = settings.origin_address.map(source)?;
    let context = WeightsContext {
        origin,
        store: settings.store_address.map(source),
        table: settings.common.table(),
        engine: context.engine,
        client: context.client,
        control: context.control,
        gate: context.gate,
        publisher: context.own_status,
        drain: context.drain,
    };
    let limits = WeightsLimits {
        link_bytes_per_second: settings.link_bytes_per_second,
        memory_bytes: settings.memory_bytes,
    };
    Some(start_weights_tasks(context, limits))
}

/// Creates the adapter for the backend server's dialect.
fn backend_server(settings: &HostSettings) -> LocalBackend {
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    let address = settings.engine_address;
    match settings.dialect {
        EngineDialect::MetricsText => {
            let model = settings.service.clone();
            LocalBackend::Model(Arc::new(MetricsTextAdapter::new(address, client, model)))
        }
        EngineDialect::JsonState => {
            LocalBackend::Model(Arc::new(JsonStateAdapter::new(address, client)))
        }
        EngineDialect::Plain => {
            LocalBackend::Plain(Arc::new(HttpPlainAdapter::new(address, client)))
        }
    }
}

/// Announces that this host is leaving as soon as its graceful stop begins.
async fn announce_leaving(drain: DrainState, own_status: StatusPublisher) {
    drain.wait_begun().await;
    own_status.update(|status| status.leaving = true);
}
