//! The closed list of error kinds.

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::derives::key;

/// Why something was refused or failed. The list is closed: a new way to fail gets a new kind, a
/// row in the table and a line in `docs/ERRORS.md`.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request cannot be understood.
    BadRequest,
    /// A header of ours holds a value that it cannot hold.
    BadHeader,
    /// The header fields are over the limit.
    HeadersTooLarge,
    /// The body is over the limit.
    BodyTooLarge,
    /// No client account goes with the given name and key.
    AccountUnknown,
    /// The account or team may not do this.
    NotAllowed,
    /// No document names this service.
    ServiceUnknown,
    /// No such path.
    RouteUnknown,
    /// The account is over its rate.
    RateLimited,
    /// The account has too many requests in flight.
    ConcurrencyLimited,
    /// The account calls more urgent than its bound allows.
    UrgentShareSpent,
    /// The queue for this class is full.
    QueueFull,
    /// The request cannot be done by its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request was under way.
    DeadlinePassed,
    /// No backend server can take the request now.
    NoBackend,
    /// Backend servers crashed under the request, which is sent to none for a while.
    RequestQuarantined,
    /// The backend server is leaving and takes no new work.
    BackendLeaving,
    /// The backend server's queue is full.
    BackendBusy,
    /// This entry host is leaving and takes no new work.
    EntryLeaving,
    /// The host holds no whole, activated version.
    WeightsNotReady,
    /// The host serves another version than the request began with.
    VersionMismatch,
    /// This attempt came to its host before.
    AttemptDoubled,
    /// No connection to the backend server's host could be made.
    ConnectFailed,
    /// The other end went silent after the request was sent.
    PeerSilent,
    /// The answer broke off before its end.
    AnswerCut,
    /// The answer belongs to another request.
    AnswerForeign,
    /// The answer does not match its digest.
    AnswerDamaged,
    /// The engine refused the request before running it.
    EngineRefused,
    /// The engine failed while it ran the request.
    EngineFailed,
    /// No retries are left in the service's or account's budget.
    RetryBudgetSpent,
    /// It cannot be told whether the call ran.
    OutcomeUnknown,
    /// The caller left before its answer.
    CallerGone,
    /// The document has faults; all are listed.
    DocumentInvalid,
    /// Another change was accepted first; what stands is told.
    DocumentConflict,
    /// There is no document for this service.
    DocumentUnknown,
    /// The change could not be written; nothing changed.
    DocumentNotAccepted,
    /// The change may have been written; ask for what stands.
    DocumentInDoubt,
    /// The platform's table does not answer.
    TableUnavailable,
    /// The table's row was not as expected.
    TableConflict,
    /// The platform's object store does not answer.
    StoreUnavailable,
    /// The origin or weight store asks to slow down.
    OriginLimited,
    /// The origin of weights does not answer.
    OriginUnavailable,
    /// The platform holds no such object or row.
    ObjectMissing,
    /// The manifest contradicts itself.
    ManifestInvalid,
    /// The chunk's bytes do not match its hash.
    ChunkCorrupt,
    /// The host does not hold this chunk.
    ChunkMissing,
    /// The host sends as many chunks as it may.
    UploadBusy,
    /// The version does not fit into the host's memory.
    MemoryTooSmall,
    /// The engine did not load the version.
    ActivationFailed,
    /// The order carries an old fencing number.
    OrderStale,
    /// A message between our processes cannot be read.
    MessageInvalid,
    /// A setting is missing or wrong.
    SettingInvalid,
    /// An invariant was about to break; the request was given up.
    Internal,
}

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub const ALL: [Self; 53] = [
        Self::BadRequest,
        Self::BadHeader,
        Self::HeadersTooLarge,
        Self::BodyTooLarge,
        Self::AccountUnknown,
        Self::NotAllowed,
        Self::ServiceUnknown,
        Self::RouteUnknown,
        Self::RateLimited,
        Self::ConcurrencyLimited,
        Self::UrgentShareSpent,
        Self::QueueFull,
        Self::DeadlineUnreachable,
        Self::DeadlinePassed,
        Self::NoBackend,
        Self::RequestQuarantined,
        Self::BackendLeaving,
        Self::BackendBusy,
        Self::EntryLeaving,
        Self::WeightsNotReady,
        Self::VersionMismatch,
        Self::AttemptDoubled,
        Self::ConnectFailed,
        Self::PeerSilent,
        Self::AnswerCut,
        Self::AnswerForeign,
        Self::AnswerDamaged,
        Self::EngineRefused,
        Self::EngineFailed,
        Self::RetryBudgetSpent,
        Self::OutcomeUnknown,
        Self::CallerGone,
        Self::DocumentInvalid,
        Self::DocumentConflict,
        Self::DocumentUnknown,
        Self::DocumentNotAccepted,
        Self::DocumentInDoubt,
        Self::TableUnavailable,
        Self::TableConflict,
        Self::StoreUnavailable,
        Self::OriginLimited,
        Self::OriginUnavailable,
        Self::ObjectMissing,
        Self::ManifestInvalid,
        Self::ChunkCorrupt,
        Self::ChunkMissing,
        Self::UploadBusy,
        Self::MemoryTooSmall,
        Self::ActivationFailed,
        Self::OrderStale,
        Self::MessageInvalid,
        Self::SettingInvalid,
        Self::Internal,
    ];
}
