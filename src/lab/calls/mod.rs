//! Test calls to the system: sent like a caller's requests, read to the end, and checked against
//! what the stand-ins compute and record.

mod call_judge;
mod call_run;
mod entry_balancer;
mod lab_call;
#[cfg(test)]
mod tests;

pub(crate) use call_judge::{CallCounts, CallJudge};
pub(crate) use call_run::{CallClass, CallRunner, FinishedCall};
pub(crate) use entry_balancer::EntryBalancer;
pub(crate) use lab_call::{CallOutcome, CallPayload, CallRecord, CallRequest, LabCaller};
