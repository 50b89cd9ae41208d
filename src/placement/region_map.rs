//! The regions of the data centres, from the settings.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::plain;

/// Maps data centres to regions.
#[apply(plain!)]
#[derive(Default)]
pub(crate) struct RegionMap {
    /// Sorted by data centre.
    regions: Vec<(ByteString, ByteString)>,
}

impl RegionMap {
    /// Creates the map of `pairs` of a data centre and its region.
    pub(crate) fn new(mut pairs: Vec<(ByteString, ByteString)>) -> Self {
        pairs.sort_unstable();
        Self { regions: pairs }
    }

    /// The region of `data_centre`; `None` if the settings do not name it.
    pub(crate) fn region_of(&self, data_centre: &str) -> Option<&ByteString> {
        let found = self
            .regions
            .binary_search_by(|(name, _)| (**name).cmp(data_centre));
        found.ok().map(|at| &self.regions[at].1)
    }
}
