//! The host process (`savory-host`): one small process runs next to each backend server, loads its
//! weights and controls the requests that reach it.

mod daemon;
mod settings;

use std::process::ExitCode;

use volo_http::server::route::Router;

use crate::daemon::{register_stop_signals, run_process};
use crate::platform::{PLATFORM_COMMAND, run_on_platform, with_platform};
use crate::replication::run_backend_host;
use settings::HostSettings;

/// The main function of `savory-host`. Exits with a failure status if a setting is invalid.
#[must_use]
pub fn host_main() -> ExitCode {
    register_stop_signals();
    run_host_with_middleware(std::env::args(), |routes| routes)
}

/// Runs the host process with the settings in `arguments`. `add_middleware` wraps its routes; the
/// lab uses it to inject faults.
pub(crate) fn run_host_with_middleware(
    arguments: impl Iterator<Item = String>,
    add_middleware: impl FnOnce(Router) -> Router,
) -> ExitCode {
    let matches = with_platform(HostSettings::command()).get_matches_from(arguments);
    if let Some(arguments) = matches.subcommand_matches(PLATFORM_COMMAND) {
        return run_on_platform("savory-host", arguments, run_backend_host);
    }
    let (settings, is_check_only) = HostSettings::read(matches);
    match settings {
        Err(faults) => {
            for fault in faults {
                eprintln!("savory-host: {fault}");
            }
            ExitCode::FAILURE
        }
        Ok(_) if is_check_only => {
            println!("the settings are fine");
            ExitCode::SUCCESS
        }
        Ok(settings) => {
            let threads = settings.common.traffic_threads;
            run_process(
                "savory-host",
                threads,
                daemon::run_host(settings, add_middleware),
            )
        }
    }
}
