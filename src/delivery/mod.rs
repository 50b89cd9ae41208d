//! Delivery of requests: an entry host sends each request to the host process of a backend server,
//! in one or more attempts, and passes the answer on to the caller. The caller gets either the
//! complete answer or an error that says whether the request may have run.

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
