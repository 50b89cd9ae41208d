//! Who holds the lease on a rollout.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::message;

/// Who holds a lease: one process, told apart from earlier ones on the same host.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct LeaseHolder {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The process's incarnation.
    pub(crate) incarnation: u64,
}
