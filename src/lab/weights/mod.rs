//! `savory-lab weights` measures how fast new weights reach N hosts, how many bytes the origin
//! sends for that, and how the distribution affects the latency of live requests. The hosts are
//! real processes connected over loopback; stand-ins for the platform, the origin and the engines
//! run in the lab's own process. The folder also holds `savory-lab spoiling-host`, a host process
//! that sends corrupt chunks.

mod baseline;
mod burst;
mod burst_cluster;
mod burst_config;
mod command;
mod corrupting_host;
mod live_calls;
mod plot;
mod processor_ticks;
mod report;

pub(crate) use command::{run_weights, weights_command};
pub(crate) use corrupting_host::{corrupting_host_command, run_corrupting_host};
