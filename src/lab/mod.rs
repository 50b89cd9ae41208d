//! The lab and load tool `savory-lab`: stand-ins for the platform, and measurements of the system
//! against them. It is never deployed.

pub(crate) mod calls;
mod documents;
mod faults;
pub(crate) mod launch;
mod load;
pub(crate) mod picks;
mod platform_soak;
mod quickstart;
mod slopes;
pub(crate) mod soak;
pub(crate) mod stand_ins;
mod weights;

use std::future::Future;
use std::process::ExitCode;

use clap::Command;
use tokio::signal::unix::{SignalKind, signal};

use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// Runs `savory-lab` with the arguments of this process. Started under the name of a daemon, it
/// runs that daemon.
#[must_use]
pub fn lab_main() -> ExitCode {
    // `cargo run --bin savory-lab` builds only this binary, which therefore has to serve as the
    // daemons' binary as well.
    match std::env::args().next().as_deref() {
        Some("savory-entry") => return crate::entry::entry_main(),
        Some("savory-host") => return crate::host::host_main(),
        _ => {}
    }
    let matches = lab_command().get_matches();
    match matches.subcommand() {
        Some(("faults", matches)) => faults::run_faults(matches),
        Some(("documents", matches)) => documents::run_documents(matches),
        Some(("load", matches)) => load::run_load(matches),
        Some(("picks", matches)) => picks::run_picks(matches),
        Some(("platform-soak", matches)) => platform_soak::run_platform_soak(matches),
        Some(("quickstart", matches)) => quickstart::run_quickstart(matches),
        Some(("slopes", matches)) => slopes::run_slopes(matches),
        Some(("soak", matches)) => soak::run_soak(matches),
        Some(("spoiling-host", matches)) => weights::run_corrupting_host(matches),
        Some(("weights", matches)) => weights::run_weights(matches),
        Some(("stand-in", matches)) => stand_ins::run_stand_in(matches),
        _ => ExitCode::FAILURE,
    }
}

fn lab_command() -> Command {
    Command::new("savory-lab")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stand-ins and measurements of savoryswitch; never deployed")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(documents::documents_command())
        .subcommand(picks::picks_command())
        .subcommand(platform_soak::platform_soak_command())
        .subcommand(quickstart::quickstart_command())
        .subcommand(faults::faults_command())
        .subcommand(load::load_command())
        .subcommand(slopes::slopes_command())
        .subcommand(soak::soak_command())
        .subcommand(stand_ins::stand_in_command())
        .subcommand(weights::corrupting_host_command())
        .subcommand(weights::weights_command())
}

/// Runs the future of a subcommand on a new runtime. The exit code is 0 only if it returns `true`,
/// that is, if all its checks passed. SIGINT or SIGTERM drops the future early, which also ends
/// every process that it started.
pub(crate) fn run_lab(subcommand: impl Future<Output = SwitchResult<bool>>) -> ExitCode {
    let log_settings = env_logger::Env::default().default_filter_or("warn");
    let _ = env_logger::Builder::from_env(log_settings).try_init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        eprintln!("savory-lab: cannot start the threads of its runtime");
        return ExitCode::FAILURE;
    };
    let outcome = runtime.block_on(async {
        tokio::select! {
            outcome = subcommand => outcome,
            () = wait_for_termination() => Err(SwitchError::new(
                ErrorKind::Internal,
                "stopped by a signal",
            )),
        }
    });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("savory-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns when the process receives SIGINT or SIGTERM; never if no handler for SIGTERM can be
/// installed.
pub(crate) async fn wait_for_termination() {
    let Ok(mut sigterm) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = sigterm.recv() => {}
    }
}
