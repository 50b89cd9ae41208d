//! Identity of a process that holds a rollout permit.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::message;

/// The holder of a lease: one process, distinguished from previous processes on the same host.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct LeaseHolder {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The incarnation of the process.
    pub(crate) incarnation: u64,
}
