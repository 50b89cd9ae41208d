//! What an entry host and a host process say to each other about one attempt. `POST /peer/run`
//! takes a [`RunOrder`] and answers with [`RunFrame`]s; `POST /peer/query_outcome` takes a
//! [`OutcomeQuery`] and answers with a [`OutcomeReply`].

use bytes::Bytes;
use bytestring::ByteString;
use macro_rules_attribute::apply;
use uuid::Uuid;

use crate::derives::{key, message};
use crate::documents::RequestPriority;
use crate::errors::{ErrorKind, RunOutcome};
use crate::membership::{LoadReport, ServingVersion};
use crate::weights::WeightsDigest;

/// One attempt at one request. Every frame of its answer carries it.
#[apply(key!)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct AttemptId(pub(crate) Uuid);

impl AttemptId {
    /// A new identity. It carries the wall-clock time, by which a host process tells an attempt
    /// that it has never seen from one that it has forgotten.
    pub(crate) fn fresh() -> Self {
        Self(Uuid::now_v7())
    }

    /// When it was made, in wall-clock milliseconds of the entry host; 0 when it does not say.
    pub(crate) fn created_ms(self) -> u64 {
        let Some(made) = self.0.get_timestamp() else {
            return 0;
        };
        let (seconds, nanos) = made.to_unix();
        seconds * 1000 + u64::from(nanos) / 1_000_000
    }
}

/// An order to run one request.
#[apply(message!)]
pub(crate) struct RunOrder {
    /// This attempt.
    pub(crate) attempt: AttemptId,
    /// The request, the same in all of its attempts.
    pub(crate) request: ByteString,
    /// The process that is meant. Another incarnation on the same host refuses: it cannot know
    /// what the earlier one ran.
    pub(crate) incarnation: u64,
    /// The service.
    pub(crate) service: ByteString,
    /// The client account.
    pub(crate) account: ByteString,
    /// How urgent it is.
    pub(crate) priority: RequestPriority,
    /// How long from now until the first byte is too late, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// Whether it may run again when it is not known whether it ran.
    pub(crate) repeatable: bool,
    /// What is to be done.
    pub(crate) call: RunCall,
}

/// What is to be done.
#[apply(message!)]
pub(crate) enum RunCall {
    /// A model engine generates tokens.
    Generate {
        /// The prompt.
        prompt: ByteString,
        /// Tokens at most.
        max_tokens: u32,
        /// Tokens that the caller has already; generation goes on behind them.
        resume_from: u32,
        /// The version that made them; the engine must serve the same.
        resume_version: Option<WeightsDigest>,
    },
    /// A plain service gets the request as it is.
    Forward {
        /// The method.
        method: ByteString,
        /// Path and query below the service.
        path: ByteString,
        /// The headers that are passed on.
        headers: Vec<(ByteString, Bytes)>,
        /// The whole body.
        body: Bytes,
    },
}

/// One frame of an answer.
#[apply(message!)]
pub(crate) struct RunFrame {
    /// The attempt that it belongs to; a frame of another attempt is dropped and counted.
    pub(crate) attempt: AttemptId,
    /// The frame.
    pub(crate) part: RunPart,
}

/// What a frame carries.
#[apply(message!)]
pub(crate) enum RunPart {
    /// It did not start here. The last frame.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// More for a person.
        detail: ByteString,
        /// Whether the request ran, as far as the host knows.
        outcome: RunOutcome,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// Nothing new; the host process and what it waits for are alive.
    Alive,
    /// It was handed to the backend server.
    Started {
        /// The version that runs it.
        serving: Option<ServingVersion>,
    },
    /// The head of a plain service's answer.
    Head(AnswerHead),
    /// One token of a model's answer.
    Token {
        /// Its place, counted from the beginning of the whole answer.
        index: u32,
        /// Its text.
        text: ByteString,
    },
    /// Some bytes of a plain service's body.
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The whole answer has been sent. The last frame.
    End {
        /// The digest over all frames since `Started`.
        digest: AnswerDigest,
        /// Why a model ended.
        reason: ByteString,
        /// How busy the host is now.
        load: LoadReport,
    },
    /// It broke off after it was started. The last frame.
    Broken {
        /// Why.
        kind: ErrorKind,
        /// More for a person.
        detail: ByteString,
    },
}

/// The head of a plain service's answer.
#[apply(message!)]
pub(crate) struct AnswerHead {
    /// The status.
    pub(crate) status: u16,
    /// The headers.
    pub(crate) headers: Vec<(ByteString, Bytes)>,
}

/// The digest over the tokens' texts or the body's bytes that were sent in this attempt.
#[apply(message!)]
#[derive(Copy, Eq)]
pub(crate) struct AnswerDigest(pub(crate) [u8; 16]);

impl AnswerDigest {
    /// The digest that `hasher` has come to.
    pub(crate) fn from_hasher(hasher: &blake3::Hasher) -> Self {
        let mut digest = [0; 16];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

/// Asks what became of an attempt whose answer was lost. The host process that has not seen the
/// attempt remembers that it must not run, should it still arrive: only then is "not run" true.
#[apply(message!)]
pub(crate) struct OutcomeQuery {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// The process that it was sent to.
    pub(crate) incarnation: u64,
}

/// What became of an attempt.
#[apply(message!)]
#[derive(Eq)]
pub(crate) enum OutcomeReply {
    /// It has not run and will not.
    NotRun,
    /// It was handed to the backend server and may still run.
    Running,
    /// It ran to its end.
    Ran,
    /// This process cannot know: it is not the one that was asked.
    NotKnown,
}
