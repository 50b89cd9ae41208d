//! The error table: maps each error kind to status, code, run outcome and retry advice of its
//! response.

use std::time::Duration;

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use super::ErrorKind;
use crate::derives::key;

/// Whether a request ran at a backend server. A repeatable request may be retried after each of the
/// three outcomes, any other request only after `NotRun`.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The request did not run and will not run.
    NotRun,
    /// The request ran once.
    Run,
    /// It is unknown whether the request ran.
    NotKnown,
}

impl RunOutcome {
    /// Representation in headers and bodies.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Run => "run",
            Self::NotKnown => "not_known",
        }
    }
}

/// When a caller should retry.
#[apply(key!)]
pub enum RetryAdvice {
    /// A retry gives the same result.
    Never,
    /// Retry after this time.
    After(Duration),
    /// Retry after this time, but only if the request is repeatable.
    RepeatableAfter(Duration),
}

/// How an error kind is reported to callers: one row of the error table.
#[apply(key!)]
pub struct ErrorSpec {
    /// HTTP status code.
    pub status: u16,
    /// Error code in the response body, also the `reason` label of the refusal and retry counters.
    pub code: &'static str,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// When to retry.
    pub retry: RetryAdvice,
    /// Human-readable description of the kind.
    pub text: &'static str,
}

/// Returns the row of the error table for `kind`.
#[must_use]
#[expect(clippy::too_many_lines, reason = "one line per kind is the table")]
pub const fn error_spec(kind: ErrorKind) -> ErrorSpec {
    use ErrorKind as Kind;
    use RunOutcome::{NotKnown, NotRun};
    match kind {
        Kind::BadRequest => row(
            400,
            "bad_request",
            NotRun,
            never(),
            "The request cannot be understood.",
        ),
        Kind::BadHeader => row(
            400,
            "bad_header",
            NotRun,
            never(),
            "A header of ours holds a value that it cannot hold.",
        ),
        Kind::HeadersTooLarge => row(
            431,
            "headers_too_large",
            NotRun,
            never(),
            "The header fields are over the limit.",
        ),
        Kind::BodyTooLarge => row(
            413,
            "body_too_large",
            NotRun,
            never(),
            "The body is over the limit.",
        ),
        Kind::MemoryShort => row(
            503,
            "memory_short",
            NotRun,
            after(1000),
            "The process holds all that its host allows.",
        ),
        Kind::AccountUnknown => row(
            401,
            "account_unknown",
            NotRun,
            never(),
            "No client account goes with the given name and key.",
        ),
        Kind::NotAllowed => row(
            403,
            "not_allowed",
            NotRun,
            never(),
            "The account or team may not do this.",
        ),
        Kind::ServiceUnknown => row(
            404,
            "service_unknown",
            NotRun,
            never(),
            "No document names this service.",
        ),
        Kind::RouteUnknown => row(404, "route_unknown", NotRun, never(), "No such path."),
        Kind::RateLimited => row(
            429,
            "rate_limited",
            NotRun,
            after(1000),
            "The account is over its rate.",
        ),
        Kind::ConcurrencyLimited => row(
            429,
            "concurrency_limited",
            NotRun,
            after(500),
            "The account has too many requests in flight.",
        ),
        Kind::UrgentShareSpent => row(
            429,
            "urgent_share_spent",
            NotRun,
            after(1000),
            "The account calls more urgent than its bound allows.",
        ),
        Kind::QueueFull => row(
            503,
            "queue_full",
            NotRun,
            after(1000),
            "The queue for this class is full.",
        ),
        Kind::DeadlineUnreachable => row(
            503,
            "deadline_unreachable",
            NotRun,
            after(1000),
            "The request cannot be done by its deadline.",
        ),
        Kind::DeadlinePassed => row(
            504,
            "deadline_passed",
            NotKnown,
            repeatable(1000),
            "The deadline passed while the request was under way.",
        ),
        Kind::NoBackend => row(
            503,
            "no_backend",
            NotRun,
            after(1000),
            "No backend server can take the request now.",
        ),
        Kind::HomeRegionsDisjoint => row(
            503,
            "home_regions_disjoint",
            NotRun,
            after(5000),
            "The home regions of the route and of the client account have none in common.",
        ),
        Kind::HomeRegionsUnavailable => row(
            503,
            "home_regions_unavailable",
            NotRun,
            after(1000),
            "No backend server in the home regions of the request is available.",
        ),
        Kind::DataCentresEvacuated => row(
            503,
            "data_centres_evacuated",
            NotRun,
            after(1000),
            "Every backend server that could take the request is in an evacuated data centre.",
        ),
        Kind::BackendsPaused => row(
            503,
            "backends_paused",
            NotRun,
            after(1000),
            "Every backend server that could take the request asked for a pause.",
        ),
        Kind::RequestQuarantined => row(
            503,
            "request_quarantined",
            NotRun,
            after(60_000),
            "Backend servers crashed under this request; it is sent to none for a while.",
        ),
        Kind::BackendLeaving => row(
            503,
            "backend_leaving",
            NotRun,
            after(100),
            "The backend server is leaving and takes no new work.",
        ),
        Kind::BackendBusy => row(
            503,
            "backend_busy",
            NotRun,
            after(200),
            "The backend server's queue is full.",
        ),
        Kind::EntryLeaving => row(
            503,
            "entry_leaving",
            NotRun,
            after(100),
            "This entry host is leaving and takes no new work.",
        ),
        Kind::WeightsNotReady => row(
            503,
            "weights_not_ready",
            NotRun,
            after(1000),
            "The host holds no whole, activated version.",
        ),
        Kind::VersionMismatch => row(
            503,
            "version_mismatch",
            NotRun,
            after(200),
            "The host serves another version than the request began with.",
        ),
        Kind::AttemptDoubled => row(
            409,
            "attempt_doubled",
            NotKnown,
            never(),
            "This attempt came to its host before.",
        ),
        Kind::ConnectFailed => row(
            502,
            "connect_failed",
            NotRun,
            after(500),
            "No connection to the backend server's host could be made.",
        ),
        Kind::PeerSilent => row(
            504,
            "peer_silent",
            NotKnown,
            repeatable(1000),
            "The other end went silent after the request was sent.",
        ),
        Kind::AnswerCut => row(
            502,
            "answer_cut",
            NotKnown,
            repeatable(500),
            "The answer broke off before its end.",
        ),
        Kind::AnswerForeign => row(
            502,
            "answer_foreign",
            NotKnown,
            repeatable(500),
            "The answer belongs to another request.",
        ),
        Kind::AnswerDamaged => row(
            502,
            "answer_damaged",
            NotKnown,
            repeatable(500),
            "The answer does not match its digest.",
        ),
        Kind::EngineRefused => row(
            503,
            "engine_refused",
            NotRun,
            after(500),
            "The engine refused the request before running it.",
        ),
        Kind::EngineFailed => row(
            502,
            "engine_failed",
            NotKnown,
            repeatable(500),
            "The engine failed while it ran the request.",
        ),
        Kind::RetryBudgetSpent => row(
            503,
            "retry_budget_spent",
            NotKnown,
            repeatable(2000),
            "No retries are left in the service's or account's budget.",
        ),
        Kind::OutcomeUnknown => row(
            502,
            "outcome_unknown",
            NotKnown,
            repeatable(1000),
            "It cannot be told whether the call ran.",
        ),
        Kind::CallerGone => row(
            499,
            "caller_gone",
            NotKnown,
            never(),
            "The caller left before its answer.",
        ),
        Kind::DocumentInvalid => row(
            422,
            "document_invalid",
            NotRun,
            never(),
            "The document has faults; all are listed.",
        ),
        Kind::DocumentConflict => row(
            409,
            "document_conflict",
            NotRun,
            never(),
            "Another change was accepted first; what stands is told.",
        ),
        Kind::DocumentUnknown => row(
            404,
            "document_unknown",
            NotRun,
            never(),
            "There is no document for this service.",
        ),
        Kind::DocumentNotAccepted => row(
            503,
            "document_not_accepted",
            NotRun,
            after(2000),
            "The change could not be written; nothing changed.",
        ),
        Kind::DocumentInDoubt => row(
            503,
            "document_in_doubt",
            NotKnown,
            repeatable(2000),
            "The change may have been written; ask for what stands.",
        ),
        Kind::TableUnavailable => row(
            503,
            "table_unavailable",
            NotKnown,
            after(2000),
            "The platform's table does not answer.",
        ),
        Kind::TableConflict => row(
            409,
            "table_conflict",
            NotRun,
            after(100),
            "The table's row was not as expected.",
        ),
        Kind::StoreUnavailable => row(
            503,
            "store_unavailable",
            NotRun,
            after(2000),
            "The platform's object store does not answer.",
        ),
        Kind::OriginLimited => row(
            429,
            "origin_limited",
            NotRun,
            after(500),
            "The origin or weight store asks to slow down.",
        ),
        Kind::OriginUnavailable => row(
            503,
            "origin_unavailable",
            NotRun,
            after(2000),
            "The origin of weights does not answer.",
        ),
        Kind::ObjectMissing => row(
            404,
            "object_missing",
            NotRun,
            never(),
            "The platform holds no such object or row.",
        ),
        Kind::ManifestInvalid => row(
            422,
            "manifest_invalid",
            NotRun,
            never(),
            "The manifest contradicts itself.",
        ),
        Kind::ChunkCorrupt => row(
            502,
            "chunk_corrupt",
            NotRun,
            after(100),
            "The chunk's bytes do not match its hash.",
        ),
        Kind::ChunkMissing => row(
            404,
            "chunk_missing",
            NotRun,
            after(200),
            "The host does not hold this chunk.",
        ),
        Kind::UploadBusy => row(
            503,
            "upload_busy",
            NotRun,
            after(100),
            "The host sends as many chunks as it may.",
        ),
        Kind::MemoryTooSmall => row(
            507,
            "memory_too_small",
            NotRun,
            never(),
            "The version does not fit into the host's memory.",
        ),
        Kind::ActivationFailed => row(
            502,
            "activation_failed",
            NotKnown,
            after(2000),
            "The engine did not load the version.",
        ),
        Kind::OrderStale => row(
            409,
            "order_stale",
            NotRun,
            never(),
            "The order carries an old fencing number.",
        ),
        Kind::MessageInvalid => row(
            400,
            "message_invalid",
            NotRun,
            never(),
            "A message between our processes cannot be read.",
        ),
        Kind::SettingInvalid => row(
            400,
            "setting_invalid",
            NotRun,
            never(),
            "A setting is missing or wrong.",
        ),
        Kind::Internal => row(
            500,
            "internal",
            NotKnown,
            repeatable(1000),
            "An invariant was about to break; the request was given up.",
        ),
    }
}

const fn row(
    status: u16,
    code: &'static str,
    outcome: RunOutcome,
    retry: RetryAdvice,
    text: &'static str,
) -> ErrorSpec {
    ErrorSpec {
        status,
        code,
        outcome,
        retry,
        text,
    }
}

const fn never() -> RetryAdvice {
    RetryAdvice::Never
}

const fn after(millis: u64) -> RetryAdvice {
    RetryAdvice::After(Duration::from_millis(millis))
}

const fn repeatable(millis: u64) -> RetryAdvice {
    RetryAdvice::RepeatableAfter(Duration::from_millis(millis))
}
