//! The daemon of an entry host on the users' platform: starts its parts and connects them.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::StatusCode;
use tokio::net::TcpListener;
use tokio::time::sleep;
use volo_http::request::Request;
use volo_http::server::route::{Router, get};

use super::crash_detector::CrashDetector;
use super::events;
use super::gateway_state::{GatewayParts, GatewayState, STOP_ACCEPT_SPAN};
use super::report_relay::ReportRelay;
use super::request_intake::answer_request;
use crate::capacity::{ListenerRole, SharedAccount};
use crate::daemon::{CHECK_INTERVAL, DrainState};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::overload::EntryHostId;
use crate::platform::{PlatformBounds, PlatformSettings, READY_PATH};
use crate::sync::{DeploymentState, EntryRecord, SharedDeploymentState, SyncSettings, start_sync};
use crate::time::clock_now;
use crate::transport::{HttpServer, bind_listener, start_metrics};

/// Part of the grace period that is reserved for the end of the process itself.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Time for connections to close after the graceful stop, and for their last bytes if it was cut
/// short.
const FLUSH_SPAN: Duration = Duration::from_millis(150);

/// Runs until a graceful stop is complete.
///
/// # Errors
///
/// `SettingInvalid` if an address is missing or cannot be bound.
pub(crate) async fn run_gateway(settings: PlatformSettings) -> SwitchResult<()> {
    let callers = required_address("listen.front", settings.caller_address)?;
    let ready = required_address("listen.ready_addr", settings.ready_address)?;
    let control = required_address("listen.control", settings.control_address)?;
    let drain = drain_state(&settings.bounds);
    let own_entry = EntryRecord {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        control,
        reports: report_address(settings.ip, settings.peer_port),
    };
    let sync = SyncSettings {
        own_entry: own_entry.clone(),
        store_address: settings.store_address,
        seeds: settings.seeds.clone(),
    };
    let account = SharedAccount::new(settings.limits);
    let callers = bind_listener(callers).await?;
    let ready = bind_listener(ready).await?;
    start_metrics(settings.metrics_address, &account, drain.clone()).await?;
    let deployment_state = start_sync(sync, account.clone(), drain.clone());
    let gateway = Arc::new(GatewayState::new(GatewayParts {
        snapshot: deployment_state.snapshot(),
        crash_detector: CrashDetector::new(deployment_state.clone()),
        own_id: EntryHostId {
            data_centre: settings.data_centre.clone(),
            host: settings.host.clone(),
        },
        drain: drain.clone(),
        account: account.clone(),
        bounds: settings.bounds,
        regions: settings.regions,
    }));
    let relay = ReportRelay::bind(gateway.clone(), deployment_state.clone(), own_entry).await?;
    tokio::spawn(relay.run());
    tokio::spawn(watch_stop(gateway.clone()));
    tokio::spawn(check_stalls(gateway.clone()));
    log_event!(
        events::SERVING,
        "host={} data_centre={} callers={}",
        settings.host,
        settings.data_centre,
        callers
            .local_addr()
            .map_or_else(|_| "-".to_owned(), |address| address.to_string())
    );
    let ready = HttpServer::on(ready, ready_routes(deployment_state, drain.clone()))
        .charged_to(&account, ListenerRole::Readiness);
    tokio::select! {
        () = serve_callers(callers, gateway) => {}
        () = ready.run(drain) => {}
    }
    Ok(())
}

/// Serves clients until the graceful stop is complete.
pub(super) async fn serve_callers(listener: TcpListener, gateway: Arc<GatewayState>) {
    let (drain, account) = (gateway.drain.clone(), gateway.account.clone());
    HttpServer::on(listener, caller_routes(gateway))
        .charged_to(&account, ListenerRole::Clients)
        .tracking_writes(FLUSH_SPAN)
        .run(drain)
        .await;
}

/// Records when the graceful stop begins; new requests are refused some time after that.
async fn watch_stop(gateway: Arc<GatewayState>) {
    gateway.drain.wait_begun().await;
    gateway.begin_stop(clock_now());
}

/// Lets the gateway know that the process runs.
async fn check_stalls(gateway: Arc<GatewayState>) {
    loop {
        gateway.check_stall(clock_now());
        gateway.apply_caller_limits();
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the address at which a host receives load report datagrams.
fn report_address(ip: IpAddr, port: u16) -> SocketAddr {
    SocketAddr::new(ip, port)
}

/// Configures the graceful stop to fit into the platform's grace period. The stop does not end
/// while new requests are still accepted.
fn drain_state(bounds: &PlatformBounds) -> DrainState {
    let longest = bounds
        .shutdown_grace
        .saturating_sub(STOP_ACCEPT_SPAN + STOP_MARGIN);
    DrainState::new(STOP_ACCEPT_SPAN.min(bounds.shutdown_grace), longest)
}

fn required_address(field: &str, address: Option<SocketAddr>) -> SwitchResult<SocketAddr> {
    address.ok_or_else(|| {
        let detail = format!("{field} is missing; an entry host requires it");
        SwitchError::new(ErrorKind::SettingInvalid, detail)
    })
}

pub(super) fn caller_routes(gateway: Arc<GatewayState>) -> Router {
    Router::new().fallback(move |request: Request| answer_request(gateway.clone(), request))
}

fn ready_routes(deployment_state: SharedDeploymentState, drain: DrainState) -> Router {
    let was_ready = Arc::new(AtomicBool::new(false));
    let readiness = move || {
        let is_ready = deployment_state.read(DeploymentState::is_usable) && !drain.is_draining();
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
