//! The size of a lab system, and the hosts that it consists of.

use std::net::SocketAddr;

use super::child_process::ChildProcess;
use super::sample_company::{DataCentre, SampleCompany};
use crate::errors::SwitchResult;
use crate::stores::ListedState;

/// Size of a lab system and settings of its parts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SystemShape {
    /// The company whose names it uses.
    pub(crate) company: SampleCompany,
    /// Number of entry hosts, distributed over the data centres.
    pub(crate) entries: usize,
    /// Number of model engines.
    pub(crate) models: usize,
    /// Number of workers of the service whose calls may run at most once.
    pub(crate) at_most_once_workers: usize,
    /// Limit of concurrently running requests of an engine.
    pub(crate) running_max: u64,
    /// Tokens per second of each running request.
    pub(crate) tokens_per_second: u64,
    /// Time that a plain service takes for a request, in milliseconds.
    pub(crate) service_ms: u64,
    /// Minimum duration of a graceful stop, in milliseconds.
    pub(crate) linger_ms: u64,
    /// Bandwidth of the origin's link in bytes per second; 0 means no pacing.
    pub(crate) origin_bytes_per_second: u64,
}

impl SystemShape {
    /// Returns a system of three entry hosts and six backend servers in three data centres.
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
    /// Its data centre.
    pub(crate) data_centre: DataCentre,
    /// Its process.
    pub(crate) process: ChildProcess,
}

impl EntryNode {
    /// Returns the address for callers.
    pub(crate) fn caller(&self) -> SwitchResult<SocketAddr> {
        self.process.address("caller")
    }

    /// Returns the address of its administration API.
    pub(crate) fn admin(&self) -> SwitchResult<SocketAddr> {
        self.process.address("admin")
    }
}

/// A backend server with its host process.
#[derive(Debug)]
pub(crate) struct BackendNode {
    /// Its name.
    pub(crate) host: String,
    /// Its data centre.
    pub(crate) data_centre: DataCentre,
    /// The service that it serves.
    pub(crate) service: &'static str,
    /// The dialect of its engine; `plain` for a plain service.
    pub(crate) dialect: &'static str,
    /// Its engine or plain service.
    pub(crate) engine: ChildProcess,
    /// Its host process.
    pub(crate) process: ChildProcess,
    /// Its state on the host list.
    pub(crate) listed: ListedState,
}
