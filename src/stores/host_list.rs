//! The platform's list of hosts. It lags: a hint about who may be there, never the last word.

use std::net::SocketAddr;

use bytestring::ByteString;
use futures::future::BoxFuture;
use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::derives::{key, message};
use crate::errors::SwitchResult;

/// What a host is there for.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum HostRole {
    /// Runs `savory-entry`.
    Entry,
    /// Runs a backend server with `savory-host` beside it.
    Backend,
}

/// What the list says of a host.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ListedState {
    /// Listed as live.
    Live,
    /// Listed as about to go.
    Leaving,
}

/// One host in the list.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct HostEntry {
    /// The host's name, unique across data centres.
    pub(crate) host: ByteString,
    /// The data centre it stands in.
    pub(crate) data_centre: ByteString,
    /// The region of that data centre.
    pub(crate) region: ByteString,
    /// What it is there for.
    pub(crate) role: HostRole,
    /// The service whose backend server it is; none for entry hosts.
    pub(crate) service: Option<ByteString>,
    /// Where the project's process on it listens for the project's other processes.
    pub(crate) peer_address: SocketAddr,
    /// What the list says of it.
    pub(crate) state: ListedState,
}

/// The list of hosts.
pub(crate) trait HostList: Send + Sync + 'static {
    /// Reads the whole list, sorted by host name.
    fn read_hosts(&self) -> BoxFuture<'_, SwitchResult<Vec<HostEntry>>>;
}
