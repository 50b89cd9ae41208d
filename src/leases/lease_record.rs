//! The row that a lease is kept in.

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

/// A lease as its row holds it, in JSON.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct LeaseRecord {
    /// Who holds it; none after it was given back.
    pub(crate) holder: Option<LeaseHolder>,
    /// Grows by one each time that the lease passes to another holder.
    pub(crate) fence: u64,
    /// How long it holds from each renewal, in milliseconds.
    pub(crate) length_ms: u64,
    /// Grows with each renewal, so that a watcher sees that the holder is alive.
    pub(crate) renewals: u64,
    /// The wall-clock time of the last renewal by the holder's clock, in milliseconds. For margins
    /// only, never for deciding who holds the lease.
    pub(crate) renewed_wall_ms: u64,
    /// Whether the lease before this one ended without being given back; its holder may have acted
    /// until `renewed_wall_ms` plus the lease's length without a trace in the table.
    pub(crate) previous_lapsed_wall_ms: Option<u64>,
}
