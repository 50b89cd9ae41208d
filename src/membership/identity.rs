//! Who this process is.

use std::net::SocketAddr;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::stores::HostRole;

/// Who this process is, from its settings and its start.
#[apply(plain!)]
pub(crate) struct HostIdentity {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The data centre it stands in.
    pub(crate) data_centre: ByteString,
    /// The region of that data centre.
    pub(crate) region: ByteString,
    /// What it is there for.
    pub(crate) role: HostRole,
    /// The service whose backend server it is; none for entry hosts.
    pub(crate) service: Option<ByteString>,
    /// Where this process listens for the project's other processes.
    pub(crate) peer_address: SocketAddr,
    /// The process's start by the wall clock, in microseconds.
    pub(crate) incarnation: u64,
}
