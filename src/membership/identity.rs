//! The identity of this process.

use std::net::SocketAddr;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::stores::HostRole;

/// The identity of this process, determined by its settings and its start time.
#[apply(plain!)]
pub(crate) struct HostIdentity {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The data centre in which the host is located.
    pub(crate) data_centre: ByteString,
    /// The region of that data centre.
    pub(crate) region: ByteString,
    /// The role of the host.
    pub(crate) role: HostRole,
    /// The service whose backend server runs on the host; `None` for entry hosts.
    pub(crate) service: Option<ByteString>,
    /// The address at which this process accepts connections from the system's other processes.
    pub(crate) peer_address: SocketAddr,
    /// The start time of the process by the wall clock, in Unix microseconds.
    pub(crate) incarnation: u64,
}
