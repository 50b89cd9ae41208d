//! Routing: which backend server takes a request. A few random candidates by corrected load and pace, the
//! nearest first, with a breaker for each.

mod backend_pool;
mod backend_server;
mod breaker;
pub(crate) mod events;
mod load_estimate;
mod pick;
mod rendezvous;
#[cfg(test)]
mod tests;

pub(crate) use backend_pool::{
    BackendKey, BackendPool, NoPick, PickTarget, PickWish, PickedBackend, entry_count,
};
pub(crate) use backend_server::headroom_of;
pub(crate) use breaker::CircuitBreaker;
pub(crate) use rendezvous::{name_hash, rendezvous_weight};
