//! Requests under which backend servers crash: how they are known again, and when they are no longer
//! sent to any backend server. Decisions only; evidence is gathered and spread elsewhere.

mod answered_log;
mod crash_ledger;
mod request_digest;
#[cfg(test)]
mod tests;

pub(crate) use answered_log::AnsweredLog;
pub(crate) use crash_ledger::{
    BackendIncarnation, CRASH_RETENTION, CrashLedger, CrashRecord, CrashVerdict,
    QUARANTINE_THRESHOLD, StoredCrash,
};
pub(crate) use request_digest::{RequestDigest, RequestParts};
