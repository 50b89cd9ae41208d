//! The document in force: which routes there are, which services they lead to, who may call them.
//! A catalog is built once from an accepted document and never changes; a newer document makes a
//! new one.

mod route_table;
mod service_catalog;
#[cfg(test)]
mod tests;

pub(crate) use route_table::RouteTable;
pub(crate) use service_catalog::{
    AccountRecord, BackendService, CallerLimits, CatalogVersion, EngineFacts, RetryPolicy,
    RouteRule, ServiceCatalog, ServiceShare, WeightsOrigin,
};
