//! Real processes under random kills, freezes, outages, drains and changes of version, with every
//! answer checked.

mod command;
mod disturbance;
mod fault_driver;
mod fault_run;

pub(crate) use command::{faults_command, run_faults};
