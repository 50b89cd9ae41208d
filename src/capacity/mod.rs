//! The account of what the process holds for those that connect to it: connections, requests in
//! progress and bytes of bodies, within the memory and the descriptors of its host.
//!
//! Every listener of the process asks the same account before it takes something in. What doesn't
//! fit is refused at once, or takes the place of what has waited longest.

mod body_buffer;
mod byte_lease;
mod connection_lease;
mod connection_record;
pub(crate) mod events;
mod process_limits;
mod resource_account;
mod shared_account;
#[cfg(test)]
mod tests;

pub(crate) use body_buffer::BodyBuffer;
pub(crate) use connection_lease::{ConnectionLease, RequestLease};
pub(crate) use connection_record::ListenerRole;
pub(crate) use process_limits::{
    ConnectionTimeouts, ProcessLimits, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES,
};
pub(crate) use shared_account::SharedAccount;
