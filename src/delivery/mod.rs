//! Delivery: one request's attempts, from the entry host to the backend server's host process and
//! back, whole or with a plain word about what happened.

mod answer_check;
mod attempt_plan;
mod backend_slot;
mod backoff;
pub(crate) mod events;
mod host_client;
mod messages;
mod order_tracker;
mod request_job;
mod request_runner;
mod service_dispatcher;
#[cfg(test)]
mod tests;

pub(crate) use answer_check::{AnswerCheck, CheckedPart};
pub(crate) use attempt_plan::{AttemptPlan, AttemptPolicy, NextStep};
pub(crate) use host_client::HostClient;
pub(crate) use messages::{
    AnswerDigest, AnswerHead, AttemptId, OutcomeQuery, OutcomeReply, RunCall, RunFrame, RunOrder,
    RunPart,
};
pub(crate) use request_job::{CALLER_BUFFER_PARTS, CallerPart, RequestJob};
pub(crate) use request_runner::RequestRunner;
pub(crate) use service_dispatcher::{AdmissionPass, ServiceDispatcher};
