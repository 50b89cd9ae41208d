//! The control thread, which owns documents and membership.
//!
//! It publishes an immutable snapshot to the traffic threads and replaces it atomically at each
//! change.

mod control_loop;
mod control_machine;
mod control_thread;
pub(crate) mod events;
mod gossip_state;
mod peer_messages;
mod peer_routes;
mod peer_watch;
mod platform_reads;
mod snapshot;
#[cfg(test)]
mod tests;
mod warm_up;

pub(crate) use control_machine::ControlMachine;
pub(crate) use control_thread::{ControlAdapters, ControlHandle, start_control};
pub(crate) use peer_messages::{
    PULL_PATH, PeerFrame, PullRequest, PullResponse, WATCH_PATH, WatchRequest,
};
pub(crate) use snapshot::{
    ControlSnapshot, MemberRecord, MemberState, ServiceRecord, SharedSnapshot,
};
