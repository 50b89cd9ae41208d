//! The host process's traffic: the last word on its host. It queues before the engine or plain
//! service, runs unrepeatable calls at most once, and knows what ran.

mod attempt_book;
pub(crate) mod events;
mod run_queue;
mod serving_gate;
mod slots;

pub(crate) use serving_gate::{ServingGate, ServingPass};
pub(crate) use slots::{SLOT_COUNT, slot_of};
