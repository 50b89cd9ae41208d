//! `savory-lab faults`: disturbs a running system under load with random kills, freezes, outages,
//! graceful stops and new weights versions, and checks the outcome of every call.

mod command;
mod disturbance;
mod fault_driver;
mod fault_run;

pub(crate) use command::{faults_command, run_faults};
