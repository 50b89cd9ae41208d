//! Routing: selects the backend server for a request. Backend servers are grouped into tiers by
//! nearness. Of a few random candidates in the nearest tier with capacity, the one with the lowest
//! expected time is picked, by its estimated load and the measured time per unit of cost. Each
//! backend server has a circuit breaker.

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
