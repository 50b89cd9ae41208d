//! The document in force: its routes, the services that they lead to, and the client accounts that
//! may call them. A catalog is built once from an accepted document and never changes; a newer
//! document creates a new one.

mod route_table;
mod service_catalog;
#[cfg(test)]
mod tests;

pub(crate) use route_table::RouteTable;
pub(crate) use service_catalog::{
    AccountRecord, BackendService, CallerLimits, CatalogVersion, ColdStart, EngineFacts,
    RetryPolicy, RouteRule, ServiceCatalog, ServiceShare, WeightsOrigin,
};
