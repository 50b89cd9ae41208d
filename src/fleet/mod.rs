//! The backend servers as one entry host sees them: what the store and their hosts say of them,
//! what this entry host has under way at each, and which of them takes the next request.

mod backend_desk;
mod backend_facts;
mod backend_record;
mod backend_ticket;
mod desk_limits;
mod desk_share;
pub(crate) mod events;
mod pick;
mod request_limit;
mod retry_purse;
#[cfg(test)]
mod tests;
mod turn_sharers;

pub(crate) use backend_desk::{BackendKey, BackendRegistry};
pub(crate) use backend_facts::{
    BackendFacts, BackendPhase, EngineHoldings, FleetView, HeldLayers, LoadReport, ModelVersion,
    ResponseLoad, TargetTimeCertainty, TargetWeights, WeightsVersion,
};
pub(crate) use backend_record::CallOutcome;
pub(crate) use backend_ticket::{BackendTicket, SharedRegistry};
pub(crate) use pick::{EngineWork, PickRefusal, PickRequirements, VersionRequirement};
pub(crate) use request_limit::{LimitAnnouncement, is_valid_rate};
pub(crate) use retry_purse::{RetryBudgetShare, RetryShareLimits};
