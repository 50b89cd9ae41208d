//! What is decided when there is more work than places: pure functions of facts and the present time,
//! without input and output. Each module names the load pattern that it answers.

mod come_back;
mod entry_share;
mod first_event;
mod rate_turns;
#[cfg(test)]
mod tests;

pub(crate) use come_back::{come_back_after, is_returned};
pub(crate) use entry_share::{EngineAssignment, EntryHostId};
pub(crate) use first_event::{EngineCandidate, EngineSpeed, usual_pace};
pub(crate) use rate_turns::SendSchedule;
