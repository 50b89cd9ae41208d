//! The lab's own processes: started with their settings, found by the line in which they say where
//! they listen, and ended with the lab. Only the lab starts processes.

mod admin_client;
mod child_process;
mod company;
mod lab_client;
mod lab_system;
mod system_parts;

pub(crate) use admin_client::{put_document, read_admin};
pub(crate) use child_process::{ChildProcess, LaunchOrder};
pub(crate) use company::{Company, CompanyNames, DataCentre, OPERATOR_KEY, account_key};
pub(crate) use lab_client::LabClient;
pub(crate) use lab_system::LabSystem;
pub(crate) use system_parts::{EntryNode, SystemShape};
