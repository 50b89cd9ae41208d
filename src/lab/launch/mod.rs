//! The lab's own processes: started with their settings, found by the line in which they say where
//! they listen, and ended with the lab. Only the lab starts processes.

mod admin_client;
mod child_process;
mod company;
mod lab_client;
mod lab_system;
mod system_parts;

pub(crate) use admin_client::{put_document, read_admin};
pub(crate) use child_process::{ChildProcess, LaunchSpec};
pub(crate) use company::{CompanyNames, DataCentre, OPERATOR_KEY, SampleCompany, account_key};
pub(crate) use lab_client::LabClient;
pub(crate) use lab_system::LabSystem;
pub(crate) use system_parts::{EntryNode, SystemShape};
