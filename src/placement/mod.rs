//! Where a request may go, whatever the load is: home regions of routes and client accounts, and
//! data centres that the operator evacuates.

mod home_regions;
mod placement_rules;
mod region_map;
#[cfg(test)]
mod tests;

pub(crate) use home_regions::HomeRegions;
pub(crate) use placement_rules::{PlacementDenial, PlacementRules};
pub(crate) use region_map::RegionMap;
