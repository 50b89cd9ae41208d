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
    let missing = |field: &str| {
        let detail = format!("{field} is missing; a backend server's host needs it");
        SwitchError::new(ErrorKind::SettingInvalid, detail)
    };
    let address = settings.backend_address.ok_or_else(|| missing("app"))?;
    let service = settings
        .backend_service
        .clone()
        .ok_or_else(|| missing("service"))?;
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    let engine = EngineClient::new(address, client.clone());
    let book = SharedBook::default();
    let me = LineHost {
        host: settings.ip.to_string().into(),
        data_centre: settings.data_centre.clone(),
        region: "all".into(),
    };
    let store = ChunkStore::new(me.host.clone(), engine.clone());
    let watch = Arc::new(EngineWatch::new(engine.clone(), store.clone()));
    let waits = Arc::new(WaitBoard::new(service.clone()));
    let socket = UdpSocket::bind(SocketAddr::new(settings.ip, 0)).await;
    let socket = socket.map_err(|fault| {
        let detail = format!("cannot send datagrams: {fault}");
        SwitchError::new(ErrorKind::SettingInvalid, detail)
    })?;
    let reports = ReportEdges {
        address,
        book: book.clone(),
        watch: watch.clone(),
    };
    tokio::spawn(report_load(reports, socket));
    let poll = ViewPoll {
        client: client.clone(),
        store: StoreClient::new(settings.store_address, client.clone()),
        book: book.clone(),
        seeds: settings.seeds.clone(),
        data_centre: settings.data_centre.clone(),
    };
    tokio::spawn(poll.run());
    let chunk_span = Duration::from_secs_f64(CHUNK_BYTES / settings.link_bytes_per_s.max(1.0));
    let pacer = LinkPacer::new(weights_rate(settings.link_bytes_per_s));
    let place = HostPlace {
        service,
        me,
        address,
        peer_port: settings.peer_port,
    };
    let loads = VersionLoad {
        place: place.clone(),
        book: book.clone(),
        engine,
        store: store.clone(),
        watch: watch.clone(),
        waits: waits.clone(),
        bound: settings.bounds.weights_within,
    };
    tokio::spawn(loads.run());
    let versions = VersionLoop {
        place,
        chunk_span,
        pacer: pacer.clone(),
        book,
        client,
        store: store.clone(),
        watch,
        waits,
    };
    tokio::spawn(versions.run());
    let peers = SocketAddr::new(settings.ip, settings.peer_port);
    let server = HttpServer::bind(peers, chunk_routes(store, pacer)).await?;
    log_event!(events::SERVING, "host={} peers={peers}", settings.host);
    let drain = DrainState::new(STOP_LINGER, STOP_LONGEST);
    start_metrics(settings.metrics_address, drain.clone()).await?;
    tokio::select! {
        () = server.run(drain.clone()) => {}
        () = drain.finished() => {}
    }
    Ok(())
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
