//! The daemon colocated with an engine on the users' platform: creates its tasks and their shared
//! state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::chunk_routes::chunk_routes;
use super::chunk_store::ChunkStore;
use super::engine_monitor::EngineMonitor;
use super::engine_updater::EngineUpdater;
use super::events;
use super::host_wait::WaitPublisher;
use super::load_reports::{ReportContext, report_load};
use super::version_fetcher::{BackendHostIdentity, VersionFetcher};
use super::view_poller::ViewPoller;
use crate::capacity::{ListenerRole, SharedAccount};
use crate::daemon::DrainState;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::platform::{EngineClient, PlatformSettings, StoreClient};
use crate::sync::SharedDeploymentState;
use crate::transport::{ClientLimits, HttpServer, PeerClient, start_metrics};
use crate::weights::{HostLocation, LinkPacer};

/// Other hosts notice within one call that this one has stopped; nothing has to wait for it.
const STOP_LINGER: Duration = Duration::from_millis(100);
/// Part of the link that weights may use. The rest is for the engine's responses and for the
/// overhead of chunks: headers, queries, packets.
const WEIGHTS_LINK_SHARE: f64 = 0.8;
/// Size of a chunk in use, for time estimates only.
const CHUNK_BYTES: f64 = 24_576.0;
const STOP_LONGEST: Duration = Duration::from_millis(400);

/// Runs until the process receives a stop signal.
///
/// # Errors
///
/// `SettingInvalid` if a setting is missing or an address is not available.
pub(crate) async fn run_backend_host(settings: PlatformSettings) -> SwitchResult<()> {
    let parts = HostParts::new(&settings)?;
    let leases = SocketAddr::new(settings.ip, settings.peer_port);
    let socket = UdpSocket::bind(leases).await;
    let socket = socket.map_err(|fault| {
        let detail = format!("cannot listen on {leases}: {fault}; free the port");
        SwitchError::new(ErrorKind::SettingInvalid, detail)
    })?;
    tokio::spawn(report_load(parts.reports(), socket));
    tokio::spawn(parts.poll(&settings).run());
    tokio::spawn(parts.loads(&settings).run());
    tokio::spawn(parts.versions(&settings).run());
    serve_peers(&settings, parts).await
}

/// Serves other hosts until the process receives a stop signal.
async fn serve_peers(settings: &PlatformSettings, parts: HostParts) -> SwitchResult<()> {
    let peers = SocketAddr::new(settings.ip, settings.peer_port);
    let account = SharedAccount::new(settings.limits);
    let server = HttpServer::bind(peers, chunk_routes(parts.store, parts.pacer))
        .await?
        .charged_to(&account, ListenerRole::Peers);
    log_event!(events::SERVING, "host={} peers={peers}", settings.host);
    let drain = DrainState::new(STOP_LINGER, STOP_LONGEST);
    start_metrics(settings.metrics_address, &account, drain.clone()).await?;
    tokio::select! {
        () = server.run(drain.clone()) => {}
        () = drain.wait_finished() => {}
    }
    Ok(())
}

/// State shared by the daemon's tasks.
struct HostParts {
    identity: BackendHostIdentity,
    client: Arc<PeerClient>,
    engine: EngineClient,
    deployment_state: SharedDeploymentState,
    store: ChunkStore,
    monitor: Arc<EngineMonitor>,
    waits: Arc<WaitPublisher>,
    pacer: LinkPacer,
}

impl HostParts {
    fn new(settings: &PlatformSettings) -> SwitchResult<Self> {
        let identity = host_identity(settings)?;
        let client = Arc::new(PeerClient::new(ClientLimits::default()));
        let engine = EngineClient::new(identity.address, client.clone());
        let store = ChunkStore::new(identity.local.host.clone(), engine.clone());
        Ok(Self {
            client,
            deployment_state: SharedDeploymentState::default(),
            monitor: Arc::new(EngineMonitor::new(engine.clone(), store.clone())),
            waits: Arc::new(WaitPublisher::new(identity.service.clone())),
            pacer: LinkPacer::new(weights_rate(settings.link_bytes_per_s)),
            identity,
            engine,
            store,
        })
    }

    fn reports(&self) -> ReportContext {
        ReportContext {
            address: self.identity.address,
            data_centre: self.identity.local.data_centre.clone(),
            deployment_state: self.deployment_state.clone(),
            monitor: self.monitor.clone(),
        }
    }

    fn poll(&self, settings: &PlatformSettings) -> ViewPoller {
        ViewPoller {
            client: self.client.clone(),
            store: StoreClient::new(settings.store_address, self.client.clone()),
            deployment_state: self.deployment_state.clone(),
            seeds: settings.seeds.clone(),
            data_centre: settings.data_centre.clone(),
            document_at: None,
        }
    }

    fn loads(&self, settings: &PlatformSettings) -> EngineUpdater {
        EngineUpdater {
            identity: self.identity.clone(),
            deployment_state: self.deployment_state.clone(),
            engine: self.engine.clone(),
            store: self.store.clone(),
            monitor: self.monitor.clone(),
            waits: self.waits.clone(),
            weights_deadline: settings.bounds.weights_deadline,
            doubt: None,
        }
    }

    fn versions(&self, settings: &PlatformSettings) -> VersionFetcher {
        let span = CHUNK_BYTES / settings.link_bytes_per_s.max(1.0);
        VersionFetcher {
            identity: self.identity.clone(),
            chunk_span: Duration::from_secs_f64(span),
            pacer: self.pacer.clone(),
            deployment_state: self.deployment_state.clone(),
            client: self.client.clone(),
            store: self.store.clone(),
            monitor: self.monitor.clone(),
            waits: self.waits.clone(),
        }
    }
}

fn host_identity(settings: &PlatformSettings) -> SwitchResult<BackendHostIdentity> {
    let missing_setting = |field: &str| {
        let detail = format!("{field} is missing; a backend server's host needs it");
        SwitchError::new(ErrorKind::SettingInvalid, detail)
    };
    let service = settings.backend_service.clone();
    Ok(BackendHostIdentity {
        address: settings
            .backend_address
            .ok_or_else(|| missing_setting("app"))?,
        service: service.ok_or_else(|| missing_setting("service"))?,
        local: HostLocation {
            host: settings.ip.to_string().into(),
            data_centre: settings.data_centre.clone(),
            region: "all".into(),
        },
        peer_port: settings.peer_port,
    })
}

/// Part of the link that weights may use, in bytes per second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is positive and far below 2^53 bytes a second"
)]
fn weights_rate(link_bytes_per_s: f64) -> u64 {
    (link_bytes_per_s * WEIGHTS_LINK_SHARE) as u64
}
