//! The check that an attempt's answer is whole and its own.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::messages::{AnswerDigest, AnswerHead, AttemptId, RunFrame, RunPart};
use crate::derives::plain;
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::membership::{LoadReport, ServingVersion};

/// What one frame means to whoever waits for the answer.
#[apply(plain!)]
pub(crate) enum CheckedPart {
    /// The host is alive; nothing new.
    Alive,
    /// The frame belongs to another attempt and is dropped.
    Foreign,
    /// The backend server has the request.
    Started(Option<ServingVersion>),
    /// The head of a plain service's answer.
    Head(AnswerHead),
    /// The next token.
    Token(ByteString),
    /// The next bytes of a plain service's body.
    Body(Vec<u8>),
    /// The whole answer has come, and its digest fits.
    Whole {
        /// Why a model ended.
        reason: ByteString,
        /// How busy the host is.
        load: LoadReport,
    },
}

/// Follows one attempt's frames. Anything but the next frame of this very attempt is an error, so
/// that a token is neither lost nor doubled, and a cut answer never looks like a whole one.
#[derive(Debug)]
pub(crate) struct AnswerCheck {
    attempt: AttemptId,
    next_index: u32,
    started: bool,
    ended: bool,
    hasher: blake3::Hasher,
}

impl AnswerCheck {
    /// The check of `attempt`, whose first token is to have the place `resume_from`.
    pub(crate) fn new(attempt: AttemptId, resume_from: u32) -> Self {
        Self {
            attempt,
            next_index: resume_from,
            started: false,
            ended: false,
            hasher: blake3::Hasher::new(),
        }
    }

    /// Takes the next frame.
    ///
    /// # Errors
    ///
    /// The host's own refusal or failure; `AnswerDamaged` when a frame does not continue the
    /// answer or the digest does not fit.
    pub(crate) fn take(&mut self, frame: RunFrame) -> SwitchResult<CheckedPart> {
        if frame.attempt != self.attempt {
            // Late and crossed answers carry the attempt that they were made for. Passed on, they
            // would give one caller another's words.
            return Ok(CheckedPart::Foreign);
        }
        assert!(!self.ended, "a frame was read behind the end of an answer");
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
                Ok(CheckedPart::Whole { reason, load })
            }
            RunPart::Broken { kind, detail } => {
                self.ended = true;
                Err(SwitchError::new(kind, detail.to_string()))
            }
        }
    }

    /// The error for a body that ended without a last frame.
    pub(crate) fn cut(&self) -> SwitchError {
        let detail = if self.started {
            "the answer ended without its last frame"
        } else {
            "the host ended its answer before anything started"
        };
        SwitchError::new(ErrorKind::AnswerCut, detail)
    }

    fn take_token(&mut self, index: u32, text: ByteString) -> SwitchResult<CheckedPart> {
        if !self.started {
            // Which version it comes from was told by the frame that is missing. Counted under the
            // version of an earlier attempt, it would let an answer go on with another's tokens.
            let detail = "a token came before the word that the attempt had started";
            return Err(SwitchError::new(ErrorKind::AnswerDamaged, detail));
        }
        if index != self.next_index {
            let detail = format!("token {index} came where {} was due", self.next_index);
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
        let detail = "what came is not what the host sent";
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
