//! The rules on the data centre that may serve a request, as they are known at one moment.

use std::sync::Arc;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::home_regions::HomeRegions;
use super::region_map::RegionMap;
use crate::derives::{key, plain};

/// Why a data centre may not serve a request.
#[apply(key!)]
pub(crate) enum PlacementDenial {
    /// It is in none of the request's home regions.
    OutsideHomes,
    /// The operator evacuates it.
    Evacuated,
}

/// The rules for one request. Without any, every data centre may serve it.
#[apply(plain!)]
#[derive(Default)]
pub(crate) struct PlacementRules {
    /// The regions that may serve the request.
    pub(crate) homes: HomeRegions,
    /// The regions of the data centres.
    pub(crate) regions: Arc<RegionMap>,
    /// The evacuated data centres, sorted.
    pub(crate) evacuated: Arc<Vec<ByteString>>,
}

impl PlacementRules {
    /// Checks whether `data_centre` may serve the request.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
    pub(crate) fn check(&self, data_centre: &ByteString) -> Result<(), PlacementDenial> {
        if !self.homes.allows(self.regions.region_of(data_centre)) {
            return Err(PlacementDenial::OutsideHomes);
        }
        if self.evacuated.binary_search(data_centre).is_ok() {
            return Err(PlacementDenial::Evacuated);
        }
        Ok(())
    }
}
