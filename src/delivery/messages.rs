//! Messages between an entry host and a host process about one attempt. `POST /peer/run` takes a
//! [`RunOrder`] and answers with [`RunFrame`]s; `POST /peer/settle` takes an [`OutcomeQuery`] and
//! answers with an [`OutcomeReply`].

use bytes::Bytes;
use bytestring::ByteString;
use macro_rules_attribute::apply;
use uuid::Uuid;

use crate::derives::{key, message};
use crate::documents::RequestPriority;
use crate::errors::{ErrorKind, RunOutcome};
use crate::membership::{LoadReport, ServingVersion};
use crate::weights::WeightsDigest;

/// Identifies one attempt at one request. Every frame of the attempt's answer carries it.
#[apply(key!)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct AttemptId(pub(crate) Uuid);

impl AttemptId {
    /// Creates a new id. It contains the wall-clock time, by which a host process distinguishes an
    /// attempt that it has never received from one whose record has expired.
    pub(crate) fn fresh() -> Self {
        Self(Uuid::now_v7())
    }

    /// Creation time in milliseconds of the entry host's wall clock; 0 when the id contains no
    /// time.
    pub(crate) fn created_ms(self) -> u64 {
        let Some(made) = self.0.get_timestamp() else {
            return 0;
        };
        let (seconds, nanos) = made.to_unix();
        seconds * 1000 + u64::from(nanos) / 1_000_000
    }
}

/// Instructs a host process to run one request.
#[apply(message!)]
pub(crate) struct RunOrder {
    /// The id of this attempt.
    pub(crate) attempt: AttemptId,
    /// The id of the request, the same in all of its attempts.
    pub(crate) request: ByteString,
    /// The incarnation of the host process that has to run it. Another incarnation on the same host
    /// refuses, because it does not know what the earlier one ran.
    pub(crate) incarnation: u64,
    /// The name of the service.
    pub(crate) service: ByteString,
    /// The name of the client account.
    pub(crate) account: ByteString,
    /// The priority of the request.
    pub(crate) priority: RequestPriority,
    /// Time left for the first byte of the answer, in milliseconds from the sending of the order.
    pub(crate) deadline_ms: u64,
    /// Whether the request may run again when it is unknown whether it ran.
    pub(crate) repeatable: bool,
    /// The call to the backend server.
    pub(crate) call: RunCall,
}

/// A call to a backend server.
#[apply(message!)]
pub(crate) enum RunCall {
    /// A model engine generates tokens.
    Generate {
        /// The prompt.
        prompt: ByteString,
        /// Maximum number of tokens.
        max_tokens: u32,
        /// Number of tokens that the caller has already received; generation continues after them.
        resume_from: u32,
        /// The version that generated these tokens; the engine must serve the same one.
        resume_version: Option<WeightsDigest>,
    },
    /// A plain service gets the request unchanged.
    Forward {
        /// The HTTP method.
        method: ByteString,
        /// Path and query, relative to the service.
        path: ByteString,
        /// The request headers that are passed on.
        headers: Vec<(ByteString, Bytes)>,
        /// The complete request body.
        body: Bytes,
    },
}

/// One frame of an answer.
#[apply(message!)]
pub(crate) struct RunFrame {
    /// The attempt that the frame belongs to. A frame of another attempt is dropped and counted.
    pub(crate) attempt: AttemptId,
    /// The content of the frame.
    pub(crate) part: RunPart,
}

/// The content of a frame.
#[apply(message!)]
pub(crate) enum RunPart {
    /// The attempt was refused or failed before it was started here. The last frame.
    Refused {
        /// The kind of the error.
        kind: ErrorKind,
        /// Explanation for operators and callers.
        detail: ByteString,
        /// Whether the request ran, as far as the host process knows.
        outcome: RunOutcome,
        /// When to retry, in milliseconds from now.
        retry_after_ms: Option<u64>,
    },
    /// Keep-alive: the host process still works on the attempt. Carries no part of the answer.
    Alive,
    /// The attempt was handed to the backend server.
    Started {
        /// The version that runs it; `None` for a plain service.
        serving: Option<ServingVersion>,
    },
    /// The head of a plain service's answer.
    Head(AnswerHead),
    /// One token of a model's answer.
    Token {
        /// Its index, counted from 0 at the beginning of the complete answer.
        index: u32,
        /// Its text.
        text: ByteString,
    },
    /// Some bytes of the body of a plain service's answer.
    Body(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The complete answer has been sent. The last frame.
    End {
        /// The digest over the content of all frames since `Started`.
        digest: AnswerDigest,
        /// Why the model stopped; empty for plain services.
        reason: ByteString,
        /// The current load of the host.
        load: LoadReport,
    },
    /// The attempt failed after it was started. The last frame.
    Broken {
        /// The kind of the error.
        kind: ErrorKind,
        /// Explanation for operators and callers.
        detail: ByteString,
    },
}

/// The head of a plain service's answer.
#[apply(message!)]
pub(crate) struct AnswerHead {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The response headers.
    pub(crate) headers: Vec<(ByteString, Bytes)>,
}

/// A digest over the texts of the tokens, or the bytes of the body, that were sent in one attempt.
#[apply(message!)]
#[derive(Copy, Eq)]
pub(crate) struct AnswerDigest(pub(crate) [u8; 16]);

impl AnswerDigest {
    /// Returns the digest of all bytes that `hasher` has processed.
    pub(crate) fn from_hasher(hasher: &blake3::Hasher) -> Self {
        let mut digest = [0; 16];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

/// Queries the outcome of an attempt whose answer was lost. A host process that has not received
/// the attempt records that it must not run if it still arrives; otherwise the reply "not run"
/// could become false.
#[apply(message!)]
pub(crate) struct OutcomeQuery {
    /// The attempt in question.
    pub(crate) attempt: AttemptId,
    /// The incarnation of the host process that it was sent to.
    pub(crate) incarnation: u64,
}

/// The outcome of an attempt.
#[apply(message!)]
#[derive(Eq)]
pub(crate) enum OutcomeReply {
    /// It has not run and will never run.
    NotRun,
    /// It was handed to the backend server and may still be running.
    Running,
    /// It ran to its end.
    Ran,
    /// This process does not know: it is another incarnation, the end of the attempt is uncertain,
    /// or the record of the attempt may have expired or could not be added.
    NotKnown,
}
