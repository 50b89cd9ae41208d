//! Why no backend server can take a request, summarised from why each of them may not get it.

use macro_rules_attribute::apply;

use super::eligibility::Ineligibility;
use crate::derives::{key, plain};
use crate::errors::ErrorKind;
use crate::placement::PlacementDenial;
use crate::time::ClockTime;

/// Why no backend server can take a request.
#[apply(key!)]
pub(crate) enum PickRefusal {
    /// No backend server of the service is available with the required weights.
    NoBackend,
    /// The home regions of the route and of the client account have none in common.
    HomesDisjoint,
    /// None of them is in the home regions of the request.
    NotInHomes,
    /// All that could take the request are in data centres that the operator evacuates.
    AllEvacuated,
    /// All of them are at their limit.
    AllFull,
    /// All of them asked for a pause; the first pause ends at `until`.
    AllPaused {
        /// When the first of them may get a request again.
        until: ClockTime,
    },
}

impl PickRefusal {
    /// The kind of error reported to the client.
    pub(crate) const fn kind(self) -> ErrorKind {
        match self {
            Self::NoBackend => ErrorKind::NoBackend,
            Self::HomesDisjoint => ErrorKind::HomeRegionsDisjoint,
            Self::NotInHomes => ErrorKind::HomeRegionsUnavailable,
            Self::AllEvacuated => ErrorKind::DataCentresEvacuated,
            Self::AllFull => ErrorKind::QueueFull,
            Self::AllPaused { .. } => ErrorKind::BackendsPaused,
        }
    }
}

/// What keeps a request from the backend server that is closest to taking it, farthest first.
#[apply(key!)]
enum Obstacle {
    OutsideHomes,
    Evacuated,
    RequestedPause,
    Full,
}

/// What was found about the backend servers of a service during a search.
#[apply(plain!)]
#[derive(Copy, Default)]
pub(super) struct RefusalTally {
    /// The nearest obstacle; `None` if no backend server could ever take the request.
    nearest: Option<Obstacle>,
    /// When the first requested pause ends.
    pause_end: Option<ClockTime>,
}

impl RefusalTally {
    /// Records why a backend server may not get the request.
    pub(super) fn note(&mut self, reason: Ineligibility) {
        let obstacle = match reason {
            Ineligibility::OtherService
            | Ineligibility::Leaving
            | Ineligibility::Weights
            | Ineligibility::Tried => return,
            Ineligibility::Placement(PlacementDenial::OutsideHomes) => Obstacle::OutsideHomes,
            Ineligibility::Placement(PlacementDenial::Evacuated) => Obstacle::Evacuated,
            Ineligibility::RequestedPause(until) => {
                self.pause_end = Some(self.pause_end.map_or(until, |end| end.min(until)));
                Obstacle::RequestedPause
            }
            Ineligibility::Unavailable | Ineligibility::Full | Ineligibility::RateLimited => {
                Obstacle::Full
            }
        };
        self.nearest = self.nearest.max(Some(obstacle));
    }

    /// Records a backend server that may get the request but is not considered for it.
    pub(super) fn note_eligible(&mut self) {
        self.nearest = Some(Obstacle::Full);
    }

    /// The reason why none of them can take the request.
    pub(super) fn refusal(&self) -> PickRefusal {
        match (self.nearest, self.pause_end) {
            (None, _) => PickRefusal::NoBackend,
            (Some(Obstacle::OutsideHomes), _) => PickRefusal::NotInHomes,
            (Some(Obstacle::Evacuated), _) => PickRefusal::AllEvacuated,
            (Some(Obstacle::RequestedPause), Some(until)) => PickRefusal::AllPaused { until },
            (Some(Obstacle::RequestedPause | Obstacle::Full), _) => PickRefusal::AllFull,
        }
    }
}
