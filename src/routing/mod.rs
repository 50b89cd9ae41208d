//! Routing: which backend server takes a request. A few random candidates by corrected load and pace, the
//! nearest first, with a breaker for each.

mod backend_pool;
mod backend_state;
mod circuit_breaker;
pub(crate) mod events;
mod load_estimate;
mod pick;
mod rendezvous;
#[cfg(test)]
mod tests;

pub(crate) use backend_pool::{
    BackendKey, BackendPool, PickCriteria, PickFailure, PickTarget, PickedBackend, entry_count,
};
pub(crate) use backend_state::urgent_headroom;
pub(crate) use circuit_breaker::CircuitBreaker;
pub(crate) use rendezvous::{name_hash, rendezvous_weight};
