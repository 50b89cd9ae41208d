//! `savory-lab documents`: changes service documents on a running system, optionally with injected
//! faults, and measures how long each change takes until every process has it in force.

mod change_fault;
mod command;
mod documents_report;
mod documents_run;
mod evaluation;
mod fault_injection;
mod leaving_detection;
mod operator_change;
mod version_observer;

pub(crate) use command::{documents_command, run_documents};
