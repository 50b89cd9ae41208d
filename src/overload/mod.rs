//! Decisions under overload, when there are more requests than slots. They are pure functions of
//! known facts and the current time, without I/O. Each module documents the load pattern that it
//! handles.

mod engine_assignment;
mod engine_candidate;
mod priority_rank;
mod retry_delay;
mod send_schedule;
mod slot_reserve;
#[cfg(test)]
mod tests;

pub(crate) use engine_assignment::{EngineAssignment, EntryHostId, relocated_entry_hosts};
pub(crate) use engine_candidate::{EngineCandidate, EngineSpeed, unreported_load, usual_pace};
pub(crate) use priority_rank::PriorityRank;
pub(crate) use retry_delay::{is_retry, retry_delay, retry_delay_after};
pub(crate) use send_schedule::{SendRate, SendSchedule};
pub(crate) use slot_reserve::DemandMeter;
