//! The `platform` subcommand, with which a daemon runs on the users' platform and takes its
//! settings from the platform's settings file.

use std::convert::Infallible;
use std::future::{Future, pending};
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::signal::unix::{SignalKind, signal};

use super::settings_file::{PlatformSettings, read_settings};
use crate::daemon::{events, run_single_threaded, watch_stalls};
use crate::errors::SwitchResult;
use crate::events::log_event;

/// The subcommand's name.
pub(crate) const PLATFORM_COMMAND: &str = "platform";
const METRICS_PORT: &str = "metrics-port";

/// Adds the subcommand to `command`. Arguments that `command` requires aren't required with the
/// subcommand.
pub(crate) fn with_platform(command: Command) -> Command {
    let metrics_port = Arg::new(METRICS_PORT)
        .long(METRICS_PORT)
        .env("SAVORY_METRICS_PORT")
        .value_name("PORT")
        .value_parser(value_parser!(u16).range(1..))
        .help("Serve counters and histograms as Prometheus text at /metrics of this port");
    let platform = Command::new(PLATFORM_COMMAND)
        .about("Run on the users' platform, with the settings file that it writes")
        .arg(metrics_port);
    command
        .subcommand_negates_reqs(true)
        .args_conflicts_with_subcommands(true)
        .subcommand(platform)
}

/// Runs `daemon` with the platform's settings file and the subcommand's `arguments`.
///
/// Returns exit code 2 when the settings file cannot be read.
pub(crate) fn run_on_platform<F, D>(
    name: &'static str,
    arguments: &ArgMatches,
    daemon: F,
) -> ExitCode
where
    F: FnOnce(PlatformSettings) -> D,
    D: Future<Output = SwitchResult<()>>,
{
    match read_settings() {
        Ok(mut settings) => {
            let port = arguments.get_one::<u16>(METRICS_PORT);
            settings.metrics_address = port.map(|port| SocketAddr::new(settings.ip, *port));
            let daemon = daemon(settings);
            run_single_threaded(name, async {
                tokio::select! {
                    ended = daemon => ended,
                    never = follow_settings() => match never {},
                    never = watch_stalls() => match never {},
                }
            })
        }
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::from(2)
        }
    }
}

/// Reads the settings file again on each SIGHUP, which the platform sends after changing the file.
///
/// It only logs whether the file is valid: the daemon keeps the addresses that it bound and the
/// settings that it read at its start.
async fn follow_settings() -> Infallible {
    match signal(SignalKind::hangup()) {
        Ok(mut hangups) => {
            while hangups.recv().await.is_some() {
                match read_settings() {
                    Ok(settings) => log_event!(events::SETTINGS_RELOADED, "host={}", settings.host),
                    Err(error) => log_event!(events::SETTINGS_RELOAD_FAILED, "{error}"),
                }
            }
        }
        Err(fault) => log_event!(events::SIGNAL_HANDLER_FAILED, "SIGHUP: {fault}"),
    }
    pending().await
}
