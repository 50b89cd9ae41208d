//! Documents: one per service, owned by the team that owns the service, checked as a whole,
//! versioned by compare-and-set in the platform's table, and carried to every process.

pub(crate) mod events;
mod schema;

pub use schema::{
    AccountSpec, DeadlineSpec, HostSelection, OutageRule, RequestPriority, RetrySpec, RolloutSpec,
    RouteSpec, ServiceDocument, ServiceKind, SpreadObjective, TableAwayRule, WeightsSpec,
};
