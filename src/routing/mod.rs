//! Routing: which backend server takes a request.

pub(crate) mod events;
