//! The host process's traffic: the last word on its host. It queues before the engine or plain
//! service, runs unrepeatable calls at most once, and knows what ran.

pub(crate) mod events;
mod serving_gate;

pub(crate) use serving_gate::{ServingGate, ServingPass};
