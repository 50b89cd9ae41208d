//! Randomised fault-injection test of the daemons in their platform mode. The daemons run as
//! separate processes on loopback. Faults are injected from outside, and the promises are checked
//! against what clients and backend servers observed.

mod command;
mod fault_plan;
mod fault_proxy;
mod machine_limits;
mod run_journal;
mod run_judge;
mod run_report;
mod soak_client;
mod soak_operator;
mod soak_run;
mod soak_system;
mod supervised_daemon;
#[cfg(test)]
mod tests;

pub(crate) use command::{platform_soak_command, run_platform_soak};
