//! Delivery: one request's attempts, from the entry host to the backend server's host process and
//! back, whole or with a plain word about what happened.

mod answer_check;
mod attempt_plan;
mod backoff;
pub(crate) mod events;
mod host_call;
mod messages;
mod order_book;
mod placed_attempt;
mod request_job;
mod request_run;
mod service_desk;
#[cfg(test)]
mod tests;

pub(crate) use answer_check::{AnswerCheck, CheckedPart};
pub(crate) use attempt_plan::{AttemptPlan, NextStep, PlanTraits};
pub(crate) use host_call::HostCaller;
pub(crate) use messages::{
    AnswerDigest, AnswerHead, AttemptId, RunCall, RunFrame, RunOrder, RunPart, SettleOrder,
    SettleReply,
};
pub(crate) use request_job::{CALLER_PARTS, CallerPart, RequestJob};
pub(crate) use request_run::RequestRun;
pub(crate) use service_desk::{AdmissionPass, ServiceDesk};
