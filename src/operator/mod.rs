//! Operators: the administration API and the command line on it.

mod admin;
pub(crate) mod admin_client;
mod change_put;
mod command;
mod document_commands;
pub(crate) mod messages;
mod run_command;
mod state_views;
mod tables;
mod views;

pub(crate) use admin::admin_routes;

use std::process::ExitCode;

/// The program's main function.
#[must_use]
pub fn operator_main() -> ExitCode {
    let matches = command::command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run_command::run_command(&matches)),
        Err(fault) => {
            eprintln!("savoryctl: cannot start: {fault}");
            ExitCode::FAILURE
        }
    }
}
