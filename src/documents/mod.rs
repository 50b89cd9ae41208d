//! Service documents: the configuration of each service, owned by the team that owns the service.
//!
//! A document is validated completely before it is accepted, versioned by compare-and-set in the
//! platform's table, and distributed to every process.

mod acceptance;
mod active_documents;
mod change_request;
mod check;
mod document_record;
pub(crate) mod events;
mod hint_record;
mod read_scheduler;
mod schema;
#[cfg(test)]
mod tests;
mod unknown_fields;

pub(crate) use acceptance::{AcceptanceMachine, AcceptanceOutcome, AcceptanceStep, TableResponse};
pub(crate) use active_documents::{
    ActiveDocument, ActiveDocuments, DocumentVersion, InstallOutcome,
};
pub(crate) use change_request::{ChangeRequest, KeyDigest};
pub(crate) use check::{DOCUMENT_BYTES_MAX, DocumentFault, check_document, json_schema};
pub(crate) use document_record::{
    AcceptedChange, DOCUMENTS_PREFIX, DocumentRecord, document_key, history_prefix,
};
pub(crate) use hint_record::{HINT_KEY, HintRecord};
pub(crate) use read_scheduler::{TableReadScheduler, TableReadStep};
pub use schema::{
    AccountSpec, DeadlineSpec, HostSelection, OutageRule, RequestPriority, RetrySpec, RolloutSpec,
    RouteSpec, ServiceDocument, ServiceKind, SpreadObjective, TableAwayRule, WeightsSpec,
};
