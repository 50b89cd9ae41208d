//! The host process's traffic: the last word on its host. It queues before the engine or plain
//! service, runs unrepeatable calls at most once, and knows what ran.

mod answer_buffer;
mod attempt_book;
mod backend_run;
pub(crate) mod events;
mod part_sink;
mod run_edge;
mod run_queue;
mod run_task;
mod serving_gate;
mod shared;
mod slots;

pub(crate) use run_edge::{GuardEdges, GuardHandle, GuardLimits, start_guard};
pub(crate) use serving_gate::{ServingGate, ServingPass};
pub(crate) use shared::BackendServer;
pub(crate) use slots::{SLOT_COUNT, slot_of};
