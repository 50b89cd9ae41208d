//! Process start: the log, the runtime's threads, and the exit code.

use std::future::Future;
use std::io::{self, Write};
use std::process::ExitCode;

use super::events;
use super::log_output::start_log;
use crate::errors::SwitchResult;
use crate::events::log_event;

/// Starts logging to standard error. `RUST_LOG` sets the filter, `info` by default.
pub(crate) fn start_logs() {
    start_logs_to(io::stderr());
}

fn start_logs_to(output: impl Write + Send + 'static) {
    let environment = env_logger::Env::default().default_filter_or("info,volo=warn,volo_http=warn");
    let mut builder = env_logger::Builder::from_env(environment);
    builder.format_timestamp_millis();
    if let Err(error) = start_log(builder, output) {
        eprintln!("cannot start logging: {error}");
    }
}

/// Runs `daemon` on a runtime with `threads` worker threads and returns its exit code.
pub(crate) fn run_process<F>(name: &'static str, threads: usize, daemon: F) -> ExitCode
where
    F: Future<Output = SwitchResult<()>>,
{
    start_logs();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(threads).thread_name("traffic");
    run_on(builder, name, daemon)
}

/// Runs `daemon` on this thread alone, with the log on standard output, and returns its exit code.
/// A process with a quarter of a core gains nothing from more threads.
pub(crate) fn run_single_threaded<F>(name: &'static str, daemon: F) -> ExitCode
where
    F: Future<Output = SwitchResult<()>>,
{
    start_logs_to(io::stdout());
    run_on(tokio::runtime::Builder::new_current_thread(), name, daemon)
}

fn run_on<F>(mut builder: tokio::runtime::Builder, name: &'static str, daemon: F) -> ExitCode
where
    F: Future<Output = SwitchResult<()>>,
{
    log_event!(events::STARTED, "{name} {}", env!("CARGO_PKG_VERSION"));
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{name}: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(daemon);
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
