//! Delivery: one request's attempts, from the entry host to the backend server's host process and
//! back, whole or with a plain word about what happened.

pub(crate) mod events;
mod messages;

pub(crate) use messages::{
    AnswerDigest, AnswerHead, AttemptId, CallKey, RunCall, RunFrame, RunOrder, RunPart,
    SettleOrder, SettleReply,
};
