//! Documents: one per service, owned by the team that owns the service, checked as a whole,
//! versioned by compare-and-set in the platform's table, and carried to every process.

mod acceptance;
mod change;
mod check;
pub(crate) mod events;
mod held;
mod hint;
mod record;
mod schema;
mod table_reader;
#[cfg(test)]
mod tests;
mod unknown_fields;

pub(crate) use acceptance::{AcceptanceEnd, AcceptanceMachine, AcceptanceStep, TableEvent};
pub(crate) use change::{ChangeOrder, KeyDigest};
pub(crate) use check::{DOCUMENT_BYTES_MAX, DocumentFault, check_document, json_schema};
pub(crate) use held::{DocumentVersion, HeldDocument, HeldDocuments, OfferOutcome};
pub(crate) use hint::{HINT_KEY, HintRecord};
pub(crate) use record::{
    ChangeMark, DOCUMENTS_PREFIX, DocumentRecord, document_key, history_prefix,
};
pub use schema::{
    AccountSpec, DeadlineSpec, HostSelection, OutageRule, RequestPriority, RetrySpec, RolloutSpec,
    RouteSpec, ServiceDocument, ServiceKind, SpreadObjective, TableAwayRule, WeightsSpec,
};
pub(crate) use table_reader::{ReaderStep, TableReader};
