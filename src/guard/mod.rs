//! The guard: the part of the host process that controls all requests to the backend server on its
//! host. It queues requests for the engine or plain service, runs each attempt at most once, and
//! records which attempts ran.

mod answer_buffer;
pub(crate) mod attempt_ledger;
mod backend_run;
pub(crate) mod events;
mod part_sink;
mod run_endpoints;
pub(crate) mod run_queue;
mod run_task;
mod serving_gate;
pub(crate) mod shared;
#[cfg(test)]
mod tests;

pub(crate) use run_endpoints::{GuardContext, GuardLimits, start_guard};
pub(crate) use serving_gate::ServingGate;
pub(crate) use shared::LocalBackend;
