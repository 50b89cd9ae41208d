//! `savory-lab documents`: changes of documents on real processes, with faults, and how long each
//! takes until it is in force in the last process.

mod command;
mod fault_plan;
mod judge;
mod leaving;
mod observer;
mod operators;
mod report;
mod run;
mod strike;

pub(crate) use command::{documents_command, run_documents};
