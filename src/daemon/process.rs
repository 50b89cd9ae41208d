//! Starting a process: logs, threads, exit code.

use std::future::Future;
use std::process::ExitCode;

use super::events;
use crate::errors::SwitchResult;
use crate::events::log_event;

/// Starts the logs; `RUST_LOG` sets what is shown, `info` by default.
pub(crate) fn start_logs() {
    let environment = env_logger::Env::default().default_filter_or("info,volo=warn,volo_http=warn");
    // A second start, as tests do it, keeps the first.
    let _ = env_logger::Builder::from_env(environment)
        .format_timestamp_millis()
        .try_init();
}

/// Runs `daemon` on `threads` traffic threads and turns its end into an exit code.
pub(crate) fn run_process<F>(name: &'static str, threads: usize, daemon: F) -> ExitCode
where
    F: Future<Output = SwitchResult<()>>,
{
    start_logs();
    log_event!(events::STARTED, "{name} {}", env!("CARGO_PKG_VERSION"));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(fault) => {
            eprintln!("{name}: cannot start its threads: {fault}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(daemon) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
