//! The subcommand `savory-lab slopes`: measures what the control plane costs a daemon in network
//! traffic, processor time and memory, against the number of hosts, documents and client accounts.

mod command;
mod decision_cost;
mod kernel_counters;
mod measurement;
mod transport_cost;

pub(crate) use command::{run_slopes, slopes_command};
