//! The daemon beside an engine on the users' platform: its parts put together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::chunk_routes::chunk_routes;
use super::chunk_store::ChunkStore;
use super::engine_watch::EngineWatch;
use super::events;
use super::host_wait::WaitBoard;
use super::load_reports::{ReportEdges, report_load};
use super::version_load::VersionLoad;
use super::version_loop::{HostPlace, VersionLoop};
use super::view_poll::ViewPoll;
use crate::daemon::DrainState;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::platform::{EngineClient, PlatformSettings, StoreClient};
use crate::sync::SharedBook;
use crate::transport::{ClientLimits, HttpServer, PeerClient, start_metrics};
use crate::weights::{LineHost, LinkPacer};

/// Other hosts find out within one call that this one is gone; nothing waits for it.
const STOP_LINGER: Duration = Duration::from_millis(100);
/// The part of the link that weights may fill. The rest is for the engine's live answers and for what
/// goes with each chunk: headers, questions, packets.
const WEIGHTS_SHARE: f64 = 0.8;
/// The size of a chunk in use; only estimates of time come from it.
const CHUNK_BYTES: f64 = 24_576.0;
const STOP_LONGEST: Duration = Duration::from_millis(400);

/// Runs until the process is told to stop.
///
/// # Errors
///
/// `SettingInvalid` when a setting is missing or an address cannot be had.
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

/// Answers other hosts until the process is told to stop.
async fn serve_peers(settings: &PlatformSettings, parts: HostParts) -> SwitchResult<()> {
    let peers = SocketAddr::new(settings.ip, settings.peer_port);
    let server = HttpServer::bind(peers, chunk_routes(parts.store, parts.pacer)).await?;
    log_event!(events::SERVING, "host={} peers={peers}", settings.host);
    let drain = DrainState::new(STOP_LINGER, STOP_LONGEST);
    start_metrics(settings.metrics_address, drain.clone()).await?;
    tokio::select! {
        () = server.run(drain.clone()) => {}
        () = drain.wait_finished() => {}
    }
    Ok(())
}

/// What the daemon's tasks share.
struct HostParts {
    place: HostPlace,
    client: Arc<PeerClient>,
    engine: EngineClient,
    book: SharedBook,
    store: ChunkStore,
    watch: Arc<EngineWatch>,
    waits: Arc<WaitBoard>,
    pacer: LinkPacer,
}

impl HostParts {
    fn new(settings: &PlatformSettings) -> SwitchResult<Self> {
        let place = host_place(settings)?;
        let client = Arc::new(PeerClient::new(ClientLimits::default()));
        let engine = EngineClient::new(place.address, client.clone());
        let store = ChunkStore::new(place.me.host.clone(), engine.clone());
        Ok(Self {
            client,
            book: SharedBook::default(),
            watch: Arc::new(EngineWatch::new(engine.clone(), store.clone())),
            waits: Arc::new(WaitBoard::new(place.service.clone())),
            pacer: LinkPacer::new(weights_rate(settings.link_bytes_per_s)),
            place,
            engine,
            store,
        })
    }

    fn reports(&self) -> ReportEdges {
        ReportEdges {
            address: self.place.address,
            data_centre: self.place.me.data_centre.clone(),
            book: self.book.clone(),
            watch: self.watch.clone(),
        }
    }

    fn poll(&self, settings: &PlatformSettings) -> ViewPoll {
        ViewPoll {
            client: self.client.clone(),
            store: StoreClient::new(settings.store_address, self.client.clone()),
            book: self.book.clone(),
            seeds: settings.seeds.clone(),
            data_centre: settings.data_centre.clone(),
            document_at: None,
        }
    }

    fn loads(&self, settings: &PlatformSettings) -> VersionLoad {
        VersionLoad {
            place: self.place.clone(),
            book: self.book.clone(),
            engine: self.engine.clone(),
            store: self.store.clone(),
            watch: self.watch.clone(),
            waits: self.waits.clone(),
            bound: settings.bounds.weights_deadline,
        }
    }

    fn versions(&self, settings: &PlatformSettings) -> VersionLoop {
        let span = CHUNK_BYTES / settings.link_bytes_per_s.max(1.0);
        VersionLoop {
            place: self.place.clone(),
            chunk_span: Duration::from_secs_f64(span),
            pacer: self.pacer.clone(),
            book: self.book.clone(),
            client: self.client.clone(),
            store: self.store.clone(),
            watch: self.watch.clone(),
            waits: self.waits.clone(),
        }
    }
}

fn host_place(settings: &PlatformSettings) -> SwitchResult<HostPlace> {
    let missing = |field: &str| {
        let detail = format!("{field} is missing; a backend server's host needs it");
        SwitchError::new(ErrorKind::SettingInvalid, detail)
    };
    let service = settings.backend_service.clone();
    Ok(HostPlace {
        address: settings.backend_address.ok_or_else(|| missing("app"))?,
        service: service.ok_or_else(|| missing("service"))?,
        me: LineHost {
            host: settings.ip.to_string().into(),
            data_centre: settings.data_centre.clone(),
            region: "all".into(),
        },
        peer_port: settings.peer_port,
    })
}

/// The part of the link that weights may fill, in bytes a second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is positive and far below 2^53 bytes a second"
)]
fn weights_rate(link_bytes_per_s: f64) -> u64 {
    (link_bytes_per_s * WEIGHTS_SHARE) as u64
}
