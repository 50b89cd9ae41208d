//! Quarantine of requests that crash backend servers: how such a request is identified, and when it
//! is no longer sent to any backend server. Pure decisions; the gateway observes crashes, and sync
//! distributes the records.

mod crash_ledger;
mod prompt_part;
mod recent_answers;
mod request_digest;
#[cfg(test)]
mod tests;

pub(crate) use crash_ledger::{
    BackendIncarnation, CRASH_RETENTION, CrashLedger, CrashRecord, CrashVerdict,
    QUARANTINE_THRESHOLD, StoredCrash,
};
pub(crate) use prompt_part::PromptPart;
pub(crate) use recent_answers::RecentAnswers;
pub(crate) use request_digest::{RequestDigest, RequestParts};
