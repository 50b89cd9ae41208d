//! Stand-ins and measurements; never deployed.

pub(crate) mod calls;
pub(crate) mod launch;
pub(crate) mod stand_ins;

use std::process::ExitCode;

use clap::Command;
use tokio::signal::unix::{SignalKind, signal};

/// The program's main function.
#[must_use]
pub fn lab_main() -> ExitCode {
    let matches = lab_command().get_matches();
    match matches.subcommand() {
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
        .subcommand(stand_ins::stand_in_command())
}

/// Returns when the process is asked to stop.
pub(crate) async fn stop_asked() {
    let Ok(mut terminated) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminated.recv() => {}
    }
}
