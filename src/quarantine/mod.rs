//! Quarantine of requests that crash backend servers: what such requests have in common, and when
//! they are no longer sent to any backend server. Pure decisions; the gateway observes crashes, and
//! sync distributes the records.

mod answer_tally;
mod crash_ledger;
mod crash_record;
mod judgement;
mod prompt_part;
mod recent_answers;
mod suspect_digest;
#[cfg(test)]
mod tests;

pub(crate) use answer_tally::{AnswerCount, AnswerTally};
pub(crate) use crash_ledger::{CRASH_RETENTION, CrashLedger};
pub(crate) use crash_record::{
    BackendIncarnation, CrashRecord, CrashSuspect, CrashVerdict, StoredCrash, SuspectDepth,
    UNKNOWN_TIME,
};
pub(crate) use prompt_part::PromptPart;
pub(crate) use recent_answers::RecentAnswers;
pub(crate) use suspect_digest::{RequestParts, SuspectDigest};
