//! The platform's host list. It lags, so that it is only a hint as to which hosts may be available.

use std::net::SocketAddr;

use bytestring::ByteString;
use futures::future::BoxFuture;
use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::derives::{key, message};
use crate::errors::SwitchResult;

/// The role of a host.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum HostRole {
    /// An entry host, which runs `savory-entry`.
    Entry,
    /// A host that runs a backend server and, next to it, `savory-host`.
    Backend,
}

/// The state of a host according to the host list.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ListedState {
    /// Listed as live.
    Live,
    /// Listed as about to shut down.
    Leaving,
}

/// One host in the host list.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct HostEntry {
    /// The host's name, unique across data centres.
    pub(crate) host: ByteString,
    /// The data centre in which the host is located.
    pub(crate) data_centre: ByteString,
    /// The region of that data centre.
    pub(crate) region: ByteString,
    /// The role of the host.
    pub(crate) role: HostRole,
    /// The service whose backend server runs on the host; `None` for entry hosts.
    pub(crate) service: Option<ByteString>,
    /// The address at which the system's process on the host accepts connections from others.
    pub(crate) peer_address: SocketAddr,
    /// The state of the host according to the list.
    pub(crate) state: ListedState,
}

/// The platform's host list.
pub(crate) trait HostList: Send + Sync + 'static {
    /// Reads the complete list, sorted by host name.
    fn read_hosts(&self) -> BoxFuture<'_, SwitchResult<Vec<HostEntry>>>;
}
