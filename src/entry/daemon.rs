//! The main function of `savory-entry`: reads the settings, starts the control thread, and serves
//! the caller, peer and administration listeners until a graceful stop ends.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clap::Command;
use tokio::time::sleep;

use super::entry_state::EntryState;
use super::routes::caller_routes;
use super::settings::{EntrySettings, SPECS};
use crate::capacity::{ListenerRole, SharedAccount};
use crate::control::{ControlAdapters, ControlHandle, start_control};
use crate::daemon::{DrainState, probe_routes, register_stop_signals, run_process};
use crate::delivery::{HostClient, events};
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::gateway::run_gateway;
use crate::membership::StatusPublisher;
use crate::operator::admin_routes;
use crate::platform::{PLATFORM_COMMAND, run_on_platform, with_platform};
use crate::settings::{SettingReader, SettingsFaults};
use crate::stores::HostRole;
use crate::transport::{ClientLimits, HttpServer, PeerClient, bind_listener};

const NAME: &str = "savory-entry";
const HELP_EXAMPLE: &str = "Example:
  savory-entry --host-name entry-1 --data-centre lima-hall-a --region peru \\
    --caller-address 10.0.0.1:8080 --peer-address 10.0.0.1:7000 --admin-address 10.0.0.1:9000 \\
    --operator-key-digest HEX --table-address 10.0.9.1:80 \\
    --list-address 10.0.9.1:82

Each setting is also read from the environment: --host-name from SAVORY_HOST_NAME, and so on.";
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The main function of `savory-entry`. Exits with status 2 if a setting is invalid.
#[must_use]
pub fn entry_main() -> ExitCode {
    register_stop_signals();
    let command = Command::new(NAME)
        .version(env!("CARGO_PKG_VERSION"))
        .about("Takes callers' requests, forwards them to backend servers and relays the answers")
        .after_help(HELP_EXAMPLE);
    let matches = with_platform(SettingReader::command(command, SPECS)).get_matches();
    if let Some(arguments) = matches.subcommand_matches(PLATFORM_COMMAND) {
        return run_on_platform(NAME, arguments, run_gateway);
    }
    let mut reader = SettingReader::new(matches, SPECS);
    let is_check_only = reader.is_check_only();
    let settings = EntrySettings::read(&mut reader);
    match reader.finish(settings) {
        Ok(_) if is_check_only => {
            println!("the settings are fine");
            ExitCode::SUCCESS
        }
        Ok(settings) => {
            let threads = settings.common.traffic_threads;
            run_process(NAME, threads, run_entry(settings))
        }
        Err(faults) => print_faults(&faults),
    }
}

fn print_faults(faults: &SettingsFaults) -> ExitCode {
    for fault in faults {
        eprintln!("{NAME}: {fault}");
    }
    ExitCode::from(2)
}

/// Runs the entry host until its graceful stop has ended.
async fn run_entry(mut settings: EntrySettings) -> SwitchResult<()> {
    let caller_listener = bind_listener(settings.caller_address).await?;
    let peer_listener = bind_listener(settings.common.peer_address).await?;
    let admin_listener = bind_listener(settings.admin_address).await?;
    // With port 0 the system chooses the port; peers need the address that is actually bound.
    settings.common.peer_address = bound_address(&peer_listener)?;
    let drain = settings.common.drain_state();
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    let (control, own_status) = start_control_thread(&settings, &client, &drain);
    let host_caller = HostClient::new(client, settings.silence_timeout);
    let body_limit = settings.body_limit;
    let state = Arc::new(EntryState::new(
        control.identity().clone(),
        control.snapshot(),
        host_caller,
        drain.clone(),
        body_limit,
    ));
    let ready = Arc::new(AtomicBool::new(false));
    let refreshed = state.clone();
    tokio::spawn(async move { refreshed.refresh_dispatchers().await });
    tokio::spawn(watch_readiness(state.clone(), ready.clone()));
    tokio::spawn(leave_on_drain(
        state.clone(),
        own_status,
        drain.clone(),
        settings.common.leave_linger,
    ));
    let probes = || probe_routes(drain.clone(), ready.clone());
    let caller_router = caller_routes(&state).merge(probes());
    let admin_router = probes().merge(admin_routes(&control, &settings.operator_key_digest));
    let listening = format!(
        "listening caller={} peer={} admin={}",
        bound_address(&caller_listener)?,
        settings.common.peer_address,
        bound_address(&admin_listener)?
    );
    println!("{listening}");
    log_event!(events::SERVING, "{listening}");
    let account = SharedAccount::default();
    let server =
        |listener, router, role| HttpServer::on(listener, router).charged_to(&account, role);
    let peer_router = control.peer_routes();
    tokio::join!(
        server(caller_listener, caller_router, ListenerRole::Clients).run(drain.clone()),
        server(peer_listener, peer_router, ListenerRole::Peers).run(drain.clone()),
        server(admin_listener, admin_router, ListenerRole::Readiness).run(drain.clone()),
    );
    Ok(())
}

fn start_control_thread(
    settings: &EntrySettings,
    client: &Arc<PeerClient>,
    drain: &DrainState,
) -> (ControlHandle, StatusPublisher) {
    let common = &settings.common;
    let identity = common.identity(HostRole::Entry, None);
    let own_status = StatusPublisher::new(identity.host.clone(), identity.incarnation);
    let adapters = ControlAdapters {
        table: common.table(),
        list: common.host_list(),
        client: client.clone(),
    };
    let control = start_control(identity, adapters, own_status.clone(), drain.clone());
    (control, own_status)
}

/// Sets `ready` as soon as at least one service is configured.
async fn watch_readiness(state: Arc<EntryState>, ready: Arc<AtomicBool>) {
    while !state.has_services() {
        sleep(READY_CHECK_INTERVAL).await;
    }
    ready.store(true, Ordering::Relaxed);
}

/// Waits for a graceful stop and then announces at once that this host is leaving. New requests are
/// refused only after `linger`, when the load balancer has had time to stop sending them.
async fn leave_on_drain(
    state: Arc<EntryState>,
    own_status: StatusPublisher,
    drain: DrainState,
    linger: Duration,
) {
    drain.wait_begun().await;
    own_status.update(|status| status.leaving = true);
    sleep(linger).await;
    state.refuse_new();
    log_event!(events::ENTRY_REFUSING);
}

fn bound_address(listener: &tokio::net::TcpListener) -> SwitchResult<SocketAddr> {
    listener.local_addr().map_err(|fault| {
        crate::errors::SwitchError::new(crate::errors::ErrorKind::Internal, fault.to_string())
    })
}
