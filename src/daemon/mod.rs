//! Runtime parts that all long-running processes share: the graceful stop with its count of
//! requests in flight, health probes, stall detection and the log.

mod drain;
pub(crate) mod events;
mod log_output;
mod probes;
mod process;
mod stall_watch;
mod stop_signals;
#[cfg(test)]
mod tests;

pub(crate) use drain::{DrainState, RequestGuard, UnwrittenGuard};
pub(crate) use probes::{metrics_routes, probe_routes};
pub(crate) use process::{run_process, run_single_threaded};
pub(crate) use stall_watch::{CHECK_INTERVAL, StallClock, watch_stalls};
pub(crate) use stop_signals::register_stop_signals;
