//! The operators' interface: the administration API of entry hosts and the `savoryctl` command line
//! that uses it.

mod acceptance_driver;
mod admin;
pub(crate) mod admin_client;
mod command;
mod document_commands;
pub(crate) mod messages;
mod reply_tables;
mod run_command;
mod state_replies;
mod text_table;

pub(crate) use admin::admin_routes;

use std::process::ExitCode;

/// The main function of `savoryctl`.
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
