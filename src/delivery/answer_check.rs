//! Checks that the answer of an attempt is complete and belongs to this attempt.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::messages::{AnswerDigest, AnswerHead, AttemptId, RunFrame, RunPart};
use crate::derives::plain;
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::membership::{LoadReport, ServingVersion};

/// The checked content of one frame.
#[apply(plain!)]
pub(crate) enum CheckedPart {
    /// Keep-alive of the host; carries no part of the answer.
    Alive,
    /// The frame belongs to another attempt and has to be dropped.
    Foreign,
    /// The backend server has received the request; a model reports the version that runs it.
    Started(Option<ServingVersion>),
    /// The head of a plain service's answer.
    Head(AnswerHead),
    /// The next token.
    Token(ByteString),
    /// The next bytes of the body of a plain service's answer.
    Body(Vec<u8>),
    /// The answer is complete and its digest matches.
    Complete {
        /// Why the model stopped; empty for plain services.
        reason: ByteString,
        /// The load of the host at the end of the answer.
        load: LoadReport,
    },
}

/// Checks the sequence of one attempt's frames. Tokens have to arrive in order and the digest at
/// the end has to match, so that no token is lost or duplicated and a truncated answer is never
/// taken for a complete one. Frames of other attempts are reported as [`CheckedPart::Foreign`].
#[derive(Debug)]
pub(crate) struct AnswerCheck {
    attempt: AttemptId,
    next_index: u32,
    started: bool,
    ended: bool,
    hasher: blake3::Hasher,
}

impl AnswerCheck {
    /// Creates the check for `attempt`, whose first token must have the index `resume_from`.
    pub(crate) fn new(attempt: AttemptId, resume_from: u32) -> Self {
        Self {
            attempt,
            next_index: resume_from,
            started: false,
            ended: false,
            hasher: blake3::Hasher::new(),
        }
    }

    /// Checks the next frame.
    ///
    /// # Errors
    ///
    /// The refusal or failure that the host reported; `AnswerDamaged` when a token is out of order
    /// or the digest does not match.
    pub(crate) fn take(&mut self, frame: RunFrame) -> SwitchResult<CheckedPart> {
        if frame.attempt != self.attempt {
            // Late or misdirected frames carry the id of the attempt that they were made for.
            // Passing them on would show one caller the answer of another.
            return Ok(CheckedPart::Foreign);
        }
        assert!(!self.ended, "a frame was read after the end of an answer");
        match frame.part {
            RunPart::Alive => Ok(CheckedPart::Alive),
            RunPart::Refused {
                kind,
                detail,
                outcome,
                retry_after_ms,
            } => {
                self.ended = true;
                Err(refusal_of(kind, &detail, outcome, retry_after_ms))
            }
            RunPart::Started { serving } => {
                self.started = true;
                Ok(CheckedPart::Started(serving))
            }
            RunPart::Head(head) => Ok(CheckedPart::Head(head)),
            RunPart::Token { index, text } => self.take_token(index, text),
            RunPart::Body(bytes) => {
                self.hasher.update(&bytes);
                Ok(CheckedPart::Body(bytes))
            }
            RunPart::End {
                digest,
                reason,
                load,
            } => {
                self.check_digest(digest)?;
                self.ended = true;
                Ok(CheckedPart::Complete { reason, load })
            }
            RunPart::Broken { kind, detail } => {
                self.ended = true;
                Err(SwitchError::new(kind, detail.to_string()))
            }
        }
    }

    /// Returns the error for a response body that ended without a last frame.
    pub(crate) fn truncation_error(&self) -> SwitchError {
        let detail = if self.started {
            "the answer was truncated: its last frame is missing"
        } else {
            "the host closed its response before the attempt was started"
        };
        SwitchError::new(ErrorKind::AnswerCut, detail)
    }

    fn take_token(&mut self, index: u32, text: ByteString) -> SwitchResult<CheckedPart> {
        if !self.started {
            // The missing `Started` frame carries the version of the weights. If the token were
            // counted under the version of an earlier attempt, one answer could mix tokens of two
            // versions.
            let detail = "a token arrived before the frame that starts the attempt";
            return Err(SwitchError::new(ErrorKind::AnswerDamaged, detail));
        }
        if index != self.next_index {
            let detail = format!("token {index} arrived, expected token {}", self.next_index);
            return Err(SwitchError::new(ErrorKind::AnswerDamaged, detail));
        }
        self.next_index += 1;
        self.hasher.update(text.as_bytes());
        Ok(CheckedPart::Token(text))
    }

    fn check_digest(&self, digest: AnswerDigest) -> SwitchResult<()> {
        if AnswerDigest::from_hasher(&self.hasher) == digest {
            return Ok(());
        }
        let detail = "the digest of the received answer does not match the host's digest";
        Err(SwitchError::new(ErrorKind::AnswerDamaged, detail))
    }
}

fn refusal_of(
    kind: ErrorKind,
    detail: &ByteString,
    outcome: RunOutcome,
    retry_after_ms: Option<u64>,
) -> SwitchError {
    let error = SwitchError::new(kind, detail.to_string()).with_outcome(outcome);
    match retry_after_ms {
        Some(millis) => error.with_retry_after(std::time::Duration::from_millis(millis)),
        None => error,
    }
}
