//! The closed list of error kinds. Their names are part of the wire format.

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::derives::key;

/// Reason for a refusal or failure. The list is closed: a new reason needs a new kind, a row in the
/// error table and a line in `docs/ERRORS.md`.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// A savoryswitch header has an invalid value.
    BadHeader,
    /// The header fields exceed the limit.
    HeadersTooLarge,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The process has no memory for the request.
    MemoryShort,
    /// No client account matches the given name and key.
    AccountUnknown,
    /// The client account or team is not authorised for this.
    NotAllowed,
    /// No document defines this service.
    ServiceUnknown,
    /// No route matches the path.
    RouteUnknown,
    /// The client account exceeds its request rate.
    RateLimited,
    /// The client account has too many requests in flight.
    ConcurrencyLimited,
    /// The client account exceeds its allowed share of urgent requests.
    UrgentShareSpent,
    /// The queue of the request's priority class is full.
    QueueFull,
    /// The request cannot complete before its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request was in flight.
    DeadlinePassed,
    /// No backend server can accept the request at present.
    NoBackend,
    /// The home regions of the route and of the client account have none in common.
    HomeRegionsDisjoint,
    /// No backend server of the service is in the home regions of the request.
    HomeRegionsUnavailable,
    /// Every backend server that could accept the request is in an evacuated data centre.
    DataCentresEvacuated,
    /// Every backend server that could accept the request asked for a pause.
    BackendsPaused,
    /// Backend servers crashed while running this request; it is quarantined and not sent for a
    /// while.
    RequestQuarantined,
    /// The backend server is shutting down and accepts no new requests.
    BackendLeaving,
    /// The backend server's queue is full.
    BackendBusy,
    /// This entry host is shutting down and accepts no new requests.
    EntryLeaving,
    /// The host has no complete, activated version of the weights.
    WeightsNotReady,
    /// The host serves another version than the one that the request started on.
    VersionMismatch,
    /// The host has received this attempt already.
    AttemptDoubled,
    /// No connection to the backend server's host could be made.
    ConnectFailed,
    /// The peer became unresponsive after the request was sent.
    PeerSilent,
    /// The response was truncated.
    AnswerCut,
    /// The response belongs to another request.
    AnswerForeign,
    /// The response does not match its digest.
    AnswerDamaged,
    /// The engine rejected the request without running it.
    EngineRefused,
    /// The engine failed while running the request.
    EngineFailed,
    /// The retry budget of the service or of the client account is used up.
    RetryBudgetSpent,
    /// It is unknown whether the call ran.
    OutcomeUnknown,
    /// The caller disconnected before the response.
    CallerGone,
    /// The document is invalid; the detail lists all faults.
    DocumentInvalid,
    /// Another change was accepted first; the detail states the current document.
    DocumentConflict,
    /// No document exists for this service.
    DocumentUnknown,
    /// The change could not be written; nothing changed.
    DocumentNotAccepted,
    /// The change may have been written; read the current document to find out.
    DocumentInDoubt,
    /// The platform's table is unavailable.
    TableUnavailable,
    /// The row in the table differs from the expected one.
    TableConflict,
    /// The platform's object store is unavailable.
    StoreUnavailable,
    /// The origin or weight store limits the request rate.
    OriginLimited,
    /// The origin of weights is unavailable.
    OriginUnavailable,
    /// The platform has no such object or row.
    ObjectMissing,
    /// The manifest contradicts itself.
    ManifestInvalid,
    /// The chunk's bytes do not match its hash.
    ChunkCorrupt,
    /// The host does not have this chunk.
    ChunkMissing,
    /// The host has reached its limit of concurrent chunk uploads.
    UploadBusy,
    /// The version does not fit into the host's memory.
    MemoryTooSmall,
    /// The engine failed to load the version.
    ActivationFailed,
    /// The order has an outdated fencing number.
    OrderStale,
    /// A message between savoryswitch processes cannot be decoded.
    MessageInvalid,
    /// A setting is missing or invalid.
    SettingInvalid,
    /// An invariant would have been violated; the request was aborted.
    Internal,
}

impl ErrorKind {
    /// Every kind, in the order of the table.
    pub const ALL: [Self; 58] = [
        Self::BadRequest,
        Self::BadHeader,
        Self::HeadersTooLarge,
        Self::BodyTooLarge,
        Self::MemoryShort,
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
        Self::HomeRegionsDisjoint,
        Self::HomeRegionsUnavailable,
        Self::DataCentresEvacuated,
        Self::BackendsPaused,
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
