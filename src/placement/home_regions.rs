//! The regions to which the requests of a route or client account are confined.

use std::sync::Arc;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::plain;

/// The regions in which a request may be served.
#[apply(plain!)]
#[derive(Default)]
pub(crate) enum HomeRegions {
    /// Every region.
    #[default]
    Anywhere,
    /// These regions, sorted. If there are none, the request may not be served at all.
    Only(Arc<[ByteString]>),
}

impl HomeRegions {
    /// Creates the home regions that a document lists as `names`; an empty list means everywhere.
    pub(crate) fn of_list(mut names: Vec<ByteString>) -> Self {
        if names.is_empty() {
            return Self::Anywhere;
        }
        names.sort_unstable();
        names.dedup();
        Self::Only(names.into())
    }

    /// The regions that are in both.
    pub(crate) fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, regions) | (regions, Self::Anywhere) => regions.clone(),
            (Self::Only(own), Self::Only(others)) => {
                let is_common = |name: &&ByteString| others.binary_search(name).is_ok();
                Self::Only(own.iter().filter(is_common).cloned().collect())
            }
        }
    }

    /// Whether a request may be served in `region`, which is unknown if `None`.
    pub(crate) fn allows(&self, region: Option<&ByteString>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Only(names) => region.is_some_and(|name| names.binary_search(name).is_ok()),
        }
    }

    /// Whether no region is allowed.
    pub(crate) fn is_nowhere(&self) -> bool {
        matches!(self, Self::Only(names) if names.is_empty())
    }
}
