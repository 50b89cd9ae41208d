//! The entry host's daemon: its parts put together.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clap::Command;
use tokio::time::sleep;

use super::routes::caller_routes;
use super::settings::{EntrySettings, SPECS};
use super::traffic::EntryTraffic;
use crate::control::{ControlAdapters, ControlHandle, start_control};
use crate::daemon::{DrainState, hold_stop_signals, probe_routes, run_process};
use crate::delivery::{HostCaller, events};
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
const EXAMPLE: &str = "Example:
  savory-entry --host-name entry-1 --data-centre lima-hall-a --region peru \\
    --caller-address 10.0.0.1:8080 --peer-address 10.0.0.1:7000 --admin-address 10.0.0.1:9000 \\
    --operator-key-digest HEX --table-address 10.0.9.1:80 \\
    --list-address 10.0.9.1:82

Each setting is also read from the environment: --host-name from SAVORY_HOST_NAME, and so on.";
const READY_CHECK: Duration = Duration::from_millis(50);

/// The program's main function.
#[must_use]
pub fn entry_main() -> ExitCode {
    hold_stop_signals();
    let command = Command::new(NAME)
        .version(env!("CARGO_PKG_VERSION"))
        .about("Takes callers' requests, picks a backend server and relays the answer")
        .after_help(EXAMPLE);
    let matches = with_platform(SettingReader::command(command, SPECS)).get_matches();
    if let Some(arguments) = matches.subcommand_matches(PLATFORM_COMMAND) {
        return run_on_platform(NAME, arguments, run_gateway);
    }
    let mut reader = SettingReader::new(matches, SPECS);
    let only_checks = reader.only_checks();
    let settings = EntrySettings::read(&mut reader);
    match reader.finish(settings) {
        Ok(_) if only_checks => {
            println!("the settings are fine");
            ExitCode::SUCCESS
        }
        Ok(settings) => {
            let threads = settings.common.traffic_threads;
            run_process(NAME, threads, run_entry(settings))
        }
        Err(faults) => tell_faults(&faults),
    }
}

fn tell_faults(faults: &SettingsFaults) -> ExitCode {
    for fault in faults {
        eprintln!("{NAME}: {fault}");
    }
    ExitCode::from(2)
}

/// Runs until a graceful stop is done.
async fn run_entry(mut settings: EntrySettings) -> SwitchResult<()> {
    let callers = bind_listener(settings.caller_address).await?;
    let peers = bind_listener(settings.common.peer_address).await?;
    let admin = bind_listener(settings.admin_address).await?;
    // With port 0 the address is known only now, and others have to be told the right one.
    settings.common.peer_address = address_of(&peers)?;
    let drain = settings.common.drain_state();
    let client = Arc::new(PeerClient::new(ClientLimits::default()));
    let (control, board) = start_own_control(&settings, &client, &drain);
    let hosts = HostCaller::new(client, settings.silence);
    let limit = settings.body_limit;
    let traffic = Arc::new(EntryTraffic::new(
        control.identity().clone(),
        control.snapshot(),
        hosts,
        drain.clone(),
        limit,
    ));
    let ready = Arc::new(AtomicBool::new(false));
    let kept = traffic.clone();
    tokio::spawn(async move { kept.keep_desks().await });
    tokio::spawn(watch_ready(traffic.clone(), ready.clone()));
    tokio::spawn(watch_leaving(
        traffic.clone(),
        board,
        drain.clone(),
        settings.common.leave_linger,
    ));
    let probes = || probe_routes(drain.clone(), ready.clone());
    let caller_router = caller_routes(&traffic).merge(probes());
    let admin_router = probes().merge(admin_routes(&control, &settings.operator_key_digest));
    let listening = format!(
        "listening caller={} peer={} admin={}",
        address_of(&callers)?,
        settings.common.peer_address,
        address_of(&admin)?
    );
    println!("{listening}");
    log_event!(events::SERVING, "{listening}");
    tokio::join!(
        HttpServer::on(callers, caller_router).run(drain.clone()),
        HttpServer::on(peers, control.peer_routes()).run(drain.clone()),
        HttpServer::on(admin, admin_router).run(drain.clone()),
    );
    Ok(())
}

fn start_own_control(
    settings: &EntrySettings,
    client: &Arc<PeerClient>,
    drain: &DrainState,
) -> (ControlHandle, StatusPublisher) {
    let common = &settings.common;
    let identity = common.identity(HostRole::Entry, None);
    let board = StatusPublisher::new(identity.host.clone(), identity.incarnation);
    let edges = ControlAdapters {
        table: common.table(),
        list: common.host_list(),
        client: client.clone(),
    };
    let control = start_control(identity, edges, board.clone(), drain.clone());
    (control, board)
}

/// Ready as soon as there is a service to take requests for.
async fn watch_ready(traffic: Arc<EntryTraffic>, ready: Arc<AtomicBool>) {
    while !traffic.has_services() {
        sleep(READY_CHECK).await;
    }
    ready.store(true, Ordering::Relaxed);
}

/// At the beginning of a graceful stop, says so; when the balancer has had time to notice, refuses
/// what still comes.
async fn watch_leaving(
    traffic: Arc<EntryTraffic>,
    board: StatusPublisher,
    drain: DrainState,
    linger: Duration,
) {
    drain.begun().await;
    board.update(|status| status.leaving = true);
    sleep(linger).await;
    traffic.refuse_new();
    log_event!(events::ENTRY_REFUSING);
}

fn address_of(listener: &tokio::net::TcpListener) -> SwitchResult<SocketAddr> {
    listener.local_addr().map_err(|fault| {
        crate::errors::SwitchError::new(crate::errors::ErrorKind::Internal, fault.to_string())
    })
}
