//! The shape of a small system, and the hosts that it is made of.

use std::net::SocketAddr;

use super::child_process::ChildProcess;
use super::company::{DataCentre, SampleCompany};
use crate::errors::SwitchResult;
use crate::stores::ListedState;

/// How large the system is and how its parts behave.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SystemShape {
    /// Whose names it has.
    pub(crate) company: SampleCompany,
    /// Entry hosts, spread over the data centres.
    pub(crate) entries: usize,
    /// Model engines.
    pub(crate) models: usize,
    /// Workers of the desk.
    pub(crate) at_most_once_workers: usize,
    /// Requests that an engine runs at a time.
    pub(crate) running_max: u64,
    /// Tokens a second of each running request.
    pub(crate) tokens_per_second: u64,
    /// How long a plain service takes for a call.
    pub(crate) service_ms: u64,
    /// How long a graceful stop lasts at least.
    pub(crate) linger_ms: u64,
    /// Bytes a second of the origin's link; 0 means no pacing.
    pub(crate) origin_bytes_per_second: u64,
}

impl SystemShape {
    /// Three entry hosts and six backend servers in three data centres.
    pub(crate) const fn small(company: SampleCompany) -> Self {
        Self {
            company,
            entries: 3,
            models: 3,
            at_most_once_workers: 2,
            running_max: 8,
            tokens_per_second: 200,
            service_ms: 5,
            linger_ms: 1_000,
            origin_bytes_per_second: 8 * 1024 * 1024,
        }
    }
}

/// An entry host.
#[derive(Debug)]
pub(crate) struct EntryNode {
    /// Its name.
    pub(crate) host: String,
    /// Where it stands.
    pub(crate) data_centre: DataCentre,
    /// Its process.
    pub(crate) process: ChildProcess,
}

impl EntryNode {
    /// Where callers reach it.
    pub(crate) fn caller(&self) -> SwitchResult<SocketAddr> {
        self.process.address("caller")
    }

    /// Where operators reach it.
    pub(crate) fn admin(&self) -> SwitchResult<SocketAddr> {
        self.process.address("admin")
    }
}

/// A backend server with its host process.
#[derive(Debug)]
pub(crate) struct BackendNode {
    /// Its name.
    pub(crate) host: String,
    /// Where it stands.
    pub(crate) data_centre: DataCentre,
    /// The service that it serves.
    pub(crate) service: &'static str,
    /// The dialect of its engine.
    pub(crate) dialect: &'static str,
    /// Its engine or plain service.
    pub(crate) engine: ChildProcess,
    /// Its host process.
    pub(crate) process: ChildProcess,
    /// What the list says of it.
    pub(crate) listed: ListedState,
}
