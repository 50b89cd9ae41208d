//! Why no backend server can take a request, summarised from why each of them may not get it.

use macro_rules_attribute::apply;

use super::eligibility::Ineligibility;
use crate::derives::{key, plain};
use crate::errors::ErrorKind;
use crate::time::ClockTime;

/// Why no backend server can take a request.
#[apply(key!)]
pub(crate) enum PickRefusal {
    /// No backend server of the service is available with the required weights.
    NoBackend,
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
            Self::AllFull => ErrorKind::QueueFull,
            Self::AllPaused { .. } => ErrorKind::BackendsPaused,
        }
    }
}

/// What was found about the backend servers of a service during a search.
#[apply(plain!)]
#[derive(Copy, Default)]
pub(super) struct RefusalTally {
    /// Whether there is one that could take the request at some time.
    has_any: bool,
    /// Whether there is one of these that has not asked for a pause.
    has_unpaused: bool,
    /// When the first requested pause ends.
    pause_end: Option<ClockTime>,
}

impl RefusalTally {
    /// Records a backend server that may get the request.
    pub(super) const fn note_eligible(&mut self) {
        self.has_any = true;
        self.has_unpaused = true;
    }

    /// Records why a backend server may not get the request.
    pub(super) fn note(&mut self, reason: Ineligibility) {
        match reason {
            Ineligibility::OtherService
            | Ineligibility::Leaving
            | Ineligibility::Weights
            | Ineligibility::Tried => {}
            Ineligibility::RequestedPause(until) => {
                self.has_any = true;
                self.pause_end = Some(self.pause_end.map_or(until, |end| end.min(until)));
            }
            Ineligibility::Unavailable | Ineligibility::Full | Ineligibility::RateLimited => {
                self.has_any = true;
                self.has_unpaused = true;
            }
        }
    }

    /// The reason why none of them can take the request.
    pub(super) fn refusal(&self) -> PickRefusal {
        match self.pause_end {
            Some(until) if !self.has_unpaused => PickRefusal::AllPaused { until },
            _ if self.has_any => PickRefusal::AllFull,
            _ => PickRefusal::NoBackend,
        }
    }
}
