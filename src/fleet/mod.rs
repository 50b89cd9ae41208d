//! The backend servers as one entry host sees them: their state as reported by the store and by
//! their hosts, the requests that this entry host has in flight at each, and the choice of the
//! backend server for the next request.

mod backend_facts;
mod backend_record;
mod backend_registry;
mod backend_ticket;
mod cold_limit;
mod eligibility;
pub(crate) mod events;
mod in_flight_history;
mod pick;
mod pick_refusal;
mod rate_sharers;
mod registry_announcements;
mod registry_limits;
mod registry_shares;
mod request_limit;
mod retry_budget_share;
#[cfg(test)]
mod tests;

pub(crate) use backend_facts::{
    BackendFacts, BackendPhase, EngineHoldings, FleetView, HeldLayers, LoadReport, ModelVersion,
    ResponseLoad, TargetTimeCertainty, TargetWeights, WeightsVersion,
};
pub(crate) use backend_record::{BackendRecord, CallOutcome};
pub(crate) use backend_registry::{BackendKey, BackendRegistry};
pub(crate) use backend_ticket::{BackendTicket, SharedRegistry};
pub(crate) use cold_limit::ColdLimit;
pub(crate) use pick::{EngineWork, PickRequirements, VersionRequirement};
pub(crate) use pick_refusal::PickRefusal;
pub(crate) use request_limit::{LimitAnnouncement, is_valid_rate};
pub(crate) use retry_budget_share::{RetryBudgetShare, RetryShareLimits, SEND_BEGIN_SPAN};
