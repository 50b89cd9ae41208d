//! The subcommand with which a program runs on the users' platform.

use std::future::Future;
use std::process::ExitCode;

use clap::Command;

use super::settings_file::{PlatformSettings, read_settings};
use crate::daemon::run_on_one_thread;
use crate::errors::SwitchResult;

/// The subcommand's name.
pub(crate) const PLATFORM_COMMAND: &str = "platform";

/// `command` with the subcommand; what it needs else does not hold for the subcommand.
pub(crate) fn with_platform(command: Command) -> Command {
    let platform = Command::new(PLATFORM_COMMAND)
        .about("Run on the users' platform, with the settings file that it writes");
    command
        .subcommand_negates_reqs(true)
        .args_conflicts_with_subcommands(true)
        .subcommand(platform)
}

/// Runs `daemon` with the settings of the platform's file.
pub(crate) fn run_on_platform<F, D>(name: &'static str, daemon: F) -> ExitCode
where
    F: FnOnce(PlatformSettings) -> D,
    D: Future<Output = SwitchResult<()>>,
{
    match read_settings() {
        Ok(settings) => run_on_one_thread(name, daemon(settings)),
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::from(2)
        }
    }
}
