//! The host process's traffic: the last word on its host. It queues before the engine or plain
//! service, runs unrepeatable calls at most once, and knows what ran.

mod answer_buffer;
pub(crate) mod attempt_book;
mod backend_run;
pub(crate) mod claim_record;
mod claim_rules;
pub(crate) mod claim_store;
pub(crate) mod events;
pub(crate) mod key_book;
pub(crate) mod key_entry;
mod key_records;
mod key_state;
pub(crate) mod keyed_call;
mod keyed_run;
mod part_sink;
mod record_keeper;
mod run_edge;
pub(crate) mod run_queue;
mod run_task;
mod serving_gate;
pub(crate) mod shared;
mod slot_keeper;
pub(crate) mod slot_table;
mod slots;
#[cfg(test)]
mod tests;

pub(crate) use run_edge::{GuardEdges, GuardHandle, GuardLimits, start_guard};
pub(crate) use serving_gate::ServingGate;
pub(crate) use shared::BackendServer;
pub(crate) use slots::slot_of;
