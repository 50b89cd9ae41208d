//! A request to be delivered, and the parts of the answer for its caller.

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

/// Maximum number of bytes at the beginning of a prompt that count as its prefix.
const PREFIX_BYTES_MAX: usize = 256;
/// Approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;
/// Estimated cost of a call to a plain service, in tokens.
const PLAIN_COST_TOKENS: u64 = 64;

/// One request that was read and validated.
#[derive(Clone, Debug)]
pub(crate) struct RequestJob {
    /// The service, with the document that was in force when the request arrived.
    pub(crate) service: Arc<ServiceRecord>,
    /// The internal id of the request. An id chosen by the caller is not used, because two callers
    /// may choose the same one.
    pub(crate) request: ByteString,
    /// The client account.
    pub(crate) account: ByteString,
    /// The priority of the request.
    pub(crate) priority: RequestPriority,
    /// Latest time for the first byte of the answer.
    pub(crate) deadline: ClockTime,
    /// Latest time for the last byte of the answer.
    pub(crate) stream_end: ClockTime,
    /// Whether the request may run again when it is unknown whether it ran.
    pub(crate) repeatable: bool,
    /// The call to the backend server.
    pub(crate) call: RunCall,
}

impl RequestJob {
    /// Estimated cost of the request, in tokens.
    pub(super) fn cost(&self) -> u64 {
        match &self.call {
            RunCall::Generate {
                prompt, max_tokens, ..
            } => prompt.len() as u64 / BYTES_PER_TOKEN + u64::from(*max_tokens) + 1,
            RunCall::Forward { .. } => PLAIN_COST_TOKENS,
        }
    }

    /// Hash of the prompt's prefix if the service's document enables prefix affinity: requests with
    /// the same prefix prefer the same backend server.
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

/// One part of the answer for the caller.
#[apply(plain!)]
pub(crate) enum CallerPart {
    /// The answer begins; a model's answer comes from this version.
    Started(Option<ServingVersion>),
    /// The head of a plain service's answer.
    Head(AnswerHead),
    /// The next token of a model's answer.
    Token(ByteString),
    /// The next bytes of the body of a plain service's answer.
    Body(Bytes),
    /// The answer is complete. The last part.
    Complete {
        /// Why the model stopped; empty for plain services.
        reason: ByteString,
    },
    /// The request failed and the answer is incomplete. The last part.
    Failed(SwitchError),
}

/// Channel to the caller; it closes when the caller disconnects.
pub(crate) type CallerSink = mpsc::Sender<CallerPart>;

/// Capacity of the channel to the caller, in parts. When a slow caller lets it fill up, the answer
/// of the backend server is not read any further.
pub(crate) const CALLER_BUFFER_PARTS: usize = 64;
