//! The subcommand with which a program runs on the users' platform.

use std::convert::Infallible;
use std::future::{Future, pending};
use std::process::ExitCode;

use clap::Command;
use tokio::signal::unix::{SignalKind, signal};

use super::settings_file::{PlatformSettings, read_settings};
use crate::daemon::{events, run_on_one_thread};
use crate::errors::SwitchResult;
use crate::events::log_event;

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
        Ok(settings) => {
            let daemon = daemon(settings);
            run_on_one_thread(name, async {
                tokio::select! {
                    ended = daemon => ended,
                    never = follow_settings() => match never {},
                }
            })
        }
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::from(2)
        }
    }
}

/// Reads the settings file again at each SIGHUP, with which the platform tells that it has changed.
/// What is bound at the start stays; a file that does not read is told and changes nothing.
async fn follow_settings() -> Infallible {
    match signal(SignalKind::hangup()) {
        Ok(mut hangups) => {
            while hangups.recv().await.is_some() {
                match read_settings() {
                    Ok(settings) => log_event!(events::SETTINGS_READ, "host={}", settings.host),
                    Err(error) => log_event!(events::SETTINGS_UNREADABLE, "{error}"),
                }
            }
        }
        Err(fault) => log_event!(events::SIGNALS_UNHEARD, "SIGHUP: {fault}"),
    }
    pending().await
}
