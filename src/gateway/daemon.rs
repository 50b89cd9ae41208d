//! An entry host's daemon on the users' platform: its parts put together.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::StatusCode;
use tokio::time::sleep;
use volo_http::request::Request;
use volo_http::server::route::{Router, get};

use super::crash_watch::CrashWatch;
use super::events;
use super::gateway_state::{GatewayParts, GatewayState, STOP_TAKES};
use super::report_relay::ReportRelay;
use super::request_intake::answer_request;
use crate::daemon::DrainState;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::overload::EntryPlace;
use crate::platform::{PlatformBounds, PlatformSettings, READY_PATH};
use crate::sync::{EntryRecord, SharedBook, SyncSettings, ViewBook, start_sync};
use crate::time::clock_now;
use crate::transport::{HttpServer, bind_listener, start_metrics};

/// The part of the grace that is kept for the end of the process itself.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Time for the last answers to leave the process.
const FLUSH_SPAN: Duration = Duration::from_millis(150);

/// Runs until a graceful stop is done.
///
/// # Errors
///
/// `SettingInvalid` when an address is missing or cannot be had.
pub(crate) async fn run_gateway(settings: PlatformSettings) -> SwitchResult<()> {
    let callers = address_of("listen.front", settings.caller_address)?;
    let ready = address_of("listen.ready_addr", settings.ready_address)?;
    let control = address_of("listen.control", settings.control_address)?;
    let drain = drain_state(&settings.bounds);
    let me = EntryRecord {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        control,
        reports: report_address(settings.ip, settings.peer_port),
    };
    let sync = SyncSettings {
        me: me.clone(),
        store_address: settings.store_address,
        seeds: settings.seeds.clone(),
    };
    let callers = bind_listener(callers).await?;
    let ready = bind_listener(ready).await?;
    start_metrics(settings.metrics_address, drain.clone()).await?;
    let book = start_sync(sync, drain.clone());
    let gateway = Arc::new(GatewayState::new(GatewayParts {
        snapshot: book.snapshot(),
        crashes: CrashWatch::new(book.clone()),
        me: EntryPlace {
            data_centre: settings.data_centre.clone(),
            host: settings.host.clone(),
        },
        drain: drain.clone(),
        bounds: settings.bounds,
    }));
    let relay = ReportRelay::bind(gateway.clone(), book.clone(), me).await?;
    tokio::spawn(relay.run());
    tokio::spawn(note_stop(gateway.clone()));
    log_event!(
        events::SERVING,
        "host={} data_centre={} callers={}",
        settings.host,
        settings.data_centre,
        callers
            .local_addr()
            .map_or_else(|_| "-".to_owned(), |address| address.to_string())
    );
    let caller_routes = caller_routes(gateway);
    let ready_routes = ready_routes(book, drain.clone());
    tokio::select! {
        () = HttpServer::on(callers, caller_routes).run(drain.clone()) => {}
        () = HttpServer::on(ready, ready_routes).run(drain.clone()) => {}
        () = drain.wait_finished() => {}
    }
    sleep(FLUSH_SPAN).await;
    Ok(())
}

/// Tells the requests when the graceful stop begins.
async fn note_stop(gateway: Arc<GatewayState>) {
    gateway.drain.wait_begun().await;
    gateway.begin_stop(clock_now());
}

/// Where a host's process takes datagrams.
fn report_address(ip: IpAddr, port: u16) -> SocketAddr {
    SocketAddr::new(ip, port)
}

/// The graceful stop within the platform's grace. It is not over while requests are still taken.
fn drain_state(bounds: &PlatformBounds) -> DrainState {
    let longest = bounds
        .shutdown_grace
        .saturating_sub(STOP_TAKES + STOP_MARGIN);
    DrainState::new(STOP_TAKES.min(bounds.shutdown_grace), longest)
}

fn address_of(field: &str, address: Option<SocketAddr>) -> SwitchResult<SocketAddr> {
    address.ok_or_else(|| {
        let detail = format!("{field} is missing; an entry host needs it");
        SwitchError::new(ErrorKind::SettingInvalid, detail)
    })
}

pub(super) fn caller_routes(gateway: Arc<GatewayState>) -> Router {
    Router::new().fallback(move |request: Request| answer_request(gateway.clone(), request))
}

fn ready_routes(book: SharedBook, drain: DrainState) -> Router {
    let was_ready = Arc::new(AtomicBool::new(false));
    let readiness = move || {
        let is_ready = book.read(ViewBook::is_usable) && !drain.is_draining();
        if was_ready.swap(is_ready, Ordering::Relaxed) != is_ready {
            log_event!(events::READY_CHANGED, "ready={is_ready}");
        }
        async move {
            if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    };
    Router::new().route(READY_PATH, get(readiness))
}
