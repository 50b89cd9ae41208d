//! Control: one thread that owns documents, membership and leases, and hands the traffic threads
//! an immutable snapshot, swapped whole.

mod control_thread;
pub(crate) mod events;
mod snapshot;

pub(crate) use control_thread::{ControlEdges, ControlHandle, start_control};
pub(crate) use snapshot::{
    ControlSnapshot, MemberRecord, MemberState, ServiceRecord, SharedSnapshot,
};
