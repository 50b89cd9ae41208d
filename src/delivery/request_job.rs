//! One request on its way, and what its caller gets of it.

use std::sync::Arc;

use bytes::Bytes;
use bytestring::ByteString;
use macro_rules_attribute::apply;
use tokio::sync::mpsc;

use super::messages::{AnswerHead, RunCall};
use crate::control::ServiceRecord;
use crate::derives::plain;
use crate::documents::RequestPriority;
use crate::errors::SwitchError;
use crate::membership::ServingVersion;
use crate::routing::name_hash;
use crate::time::ClockTime;

/// Bytes of a prompt that name its beginning.
const PREFIX_BYTES_MAX: usize = 256;
/// Bytes of a prompt that make a token, roughly.
const BYTES_PER_TOKEN: u64 = 4;
/// What a plain service's call counts as, in tokens.
const PLAIN_COST_TOKENS: u64 = 64;

/// One request, read and checked.
#[derive(Clone, Debug)]
pub(crate) struct RequestJob {
    /// The service, with the document that was in force when the request came.
    pub(crate) service: Arc<ServiceRecord>,
    /// Names the request inside the system; never what the caller chose, since two callers may
    /// choose the same.
    pub(crate) request: ByteString,
    /// The client account.
    pub(crate) account: ByteString,
    /// How urgent it is.
    pub(crate) priority: RequestPriority,
    /// When the first byte of the answer is too late.
    pub(crate) deadline: ClockTime,
    /// When the last byte is too late.
    pub(crate) stream_end: ClockTime,
    /// Whether it may run again when it is not known whether it ran.
    pub(crate) repeatable: bool,
    /// What is to be done.
    pub(crate) call: RunCall,
}

impl RequestJob {
    /// Its estimated cost, in tokens.
    pub(super) fn cost(&self) -> u64 {
        match &self.call {
            RunCall::Generate {
                prompt, max_tokens, ..
            } => prompt.len() as u64 / BYTES_PER_TOKEN + u64::from(*max_tokens) + 1,
            RunCall::Forward { .. } => PLAIN_COST_TOKENS,
        }
    }

    /// The hash of its prompt's beginning, if the document wants such requests to meet.
    pub(super) fn prefix(&self) -> Option<u64> {
        match &self.call {
            RunCall::Generate { prompt, .. } if self.service.document.prefix_affinity => {
                let end = prompt.floor_char_boundary(PREFIX_BYTES_MAX);
                Some(name_hash(&prompt[..end]))
            }
            _ => None,
        }
    }
}

/// One part of what a caller gets.
#[apply(plain!)]
pub(crate) enum CallerPart {
    /// The answer begins, on this version.
    Started(Option<ServingVersion>),
    /// The head of a plain service's answer.
    Head(AnswerHead),
    /// The next token of a model's answer.
    Token(ByteString),
    /// The next bytes of a plain service's body.
    Body(Bytes),
    /// The answer is whole.
    Complete {
        /// Why a model ended.
        reason: ByteString,
    },
    /// The answer is not whole and will not be.
    Failed(SwitchError),
}

/// The end that feeds a caller; it notices when the caller has left.
pub(crate) type CallerSink = mpsc::Sender<CallerPart>;

/// Parts that wait for a slow caller before the backend server's answer is read no further.
pub(crate) const CALLER_BUFFER_PARTS: usize = 64;
