//! Starts the processes that the lab runs, and ends them with the lab.
//!
//! Most processes print the addresses on which they listen, and the lab reads them from the
//! output. No other part of the project starts processes.

mod admin_client;
mod child_process;
mod lab_client;
mod lab_system;
mod sample_company;
mod system_parts;

pub(crate) use admin_client::{put_document, read_admin};
pub(crate) use child_process::{ChildProcess, LaunchSpec};
pub(crate) use lab_client::LabClient;
pub(crate) use lab_system::LabSystem;
pub(crate) use sample_company::{
    CompanyNames, DataCentre, OPERATOR_KEY, SampleCompany, account_key,
};
pub(crate) use system_parts::{EntryNode, SystemShape};
