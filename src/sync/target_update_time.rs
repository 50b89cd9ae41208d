//! When a version was set as target, as far as a process can know.

use std::cmp::Ordering;
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::fleet::TargetTimeCertainty;
use crate::time::StoreTime;

/// Assumed age of a target version that a process finds when it starts, unless a neighbour knows
/// better. Requests then may begin on previous versions for one more second.
const ASSUMED_AGE_AT_START: Duration = Duration::from_secs(6);
/// Assumed age of a target version that is found after an outage.
const ASSUMED_AGE_AFTER_OUTAGE: Duration = Duration::from_millis(100);
/// Longest transit of a call to the store. Calls are small, and travel against the stream of
/// documents.
const QUERY_TRANSIT_MAX: Duration = Duration::from_millis(400);

/// When a version was set as target.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct TargetUpdateTime {
    /// Not later than the update; an estimate if no process observed it.
    #[serde(rename = "at")]
    pub(crate) earliest: StoreTime,
    /// Not earlier than the update if it was observed, else equal to `earliest`.
    #[serde(rename = "by")]
    pub(crate) latest: StoreTime,
    /// How well the time is known.
    pub(crate) certainty: TargetTimeCertainty,
}

impl TargetUpdateTime {
    /// An estimate for an update that no process observed.
    pub(crate) const fn guessed(at: StoreTime, certainty: TargetTimeCertainty) -> Self {
        Self {
            earliest: at,
            latest: at,
            certainty,
        }
    }

    /// Combines two estimates of the same update.
    ///
    /// A process that starts finds a version in the store and does not know when it was set.
    /// Assumed new, requests would begin on previous versions after the deadline; assumed old, all
    /// requests would be refused seconds before it. A neighbour that observed the update knows its
    /// time. Two such neighbours together bound it more tightly than each alone, mostly by the
    /// bounds of the one closer to the store.
    pub(super) fn combine(self, known: Self) -> Self {
        match self.certainty.cmp(&known.certainty) {
            Ordering::Greater => self,
            Ordering::Equal if self.certainty == TargetTimeCertainty::Witnessed => {
                let latest = self.latest.min(known.latest);
                let earliest = self.earliest.max(known.earliest).min(latest);
                Self {
                    earliest,
                    latest,
                    ..known
                }
            }
            Ordering::Equal if self.earliest < known.earliest => self,
            Ordering::Equal | Ordering::Less => known,
        }
    }
}

/// How well the operator's table has been followed, which decides how target versions found in it
/// are dated.
#[derive(Clone, Copy, Debug)]
pub(super) enum FollowState {
    /// The process has just started; versions may be old.
    Started,
    /// The table was followed up to an answer of this time on the store's clock; versions are
    /// newer.
    Followed(StoreTime),
    /// The store was unavailable, or unreachable from this process. A version's deadline counts
    /// only while the store is reachable, and new versions cannot be reported meanwhile, so
    /// versions count as new. When they were dated back by the length of the outage, every request
    /// was refused after the store's return until the new weights had been fetched.
    Interrupted,
}

impl FollowState {
    /// The state after a failed call. `contact` is the time since when the store has answered, if
    /// it answered other calls meanwhile.
    ///
    /// With contact the store is not unavailable: an answer full of documents did not fit through a
    /// saturated link, and the versions in it keep their age. If they counted as new, as after an
    /// outage, requests began on previous versions after the deadline wherever an entire region
    /// depended on such a link.
    pub(super) const fn after_failure(self, contact: Option<StoreTime>) -> Self {
        match (self, contact) {
            (Self::Started, _) => Self::Started,
            (Self::Followed(_), Some(_)) => self,
            (Self::Interrupted, Some(since)) => Self::Followed(since),
            (Self::Followed(_) | Self::Interrupted, None) => Self::Interrupted,
        }
    }

    /// The time of the answer up to which the table was followed, if it is followed.
    pub(super) const fn followed(self) -> Option<StoreTime> {
        match self {
            Self::Followed(answered_at) => Some(answered_at),
            Self::Started | Self::Interrupted => None,
        }
    }

    /// Dates a target version that the store reported at `answered_at` to a call sent at `sent_by`
    /// at the latest, both on the store's clock.
    pub(super) fn update_time(
        self,
        sent_by: StoreTime,
        answered_at: StoreTime,
    ) -> TargetUpdateTime {
        match self {
            Self::Started => TargetUpdateTime::guessed(
                answered_at - ASSUMED_AGE_AT_START,
                TargetTimeCertainty::Assumed,
            ),
            Self::Followed(answered_before) => {
                // The store answers a watch that it holds open as soon as the table changes.
                let waited = answered_at.since(sent_by + QUERY_TRANSIT_MAX);
                TargetUpdateTime {
                    earliest: (answered_before + waited).min(answered_at),
                    latest: answered_at,
                    certainty: TargetTimeCertainty::Witnessed,
                }
            }
            Self::Interrupted => TargetUpdateTime::guessed(
                answered_at - ASSUMED_AGE_AFTER_OUTAGE,
                TargetTimeCertainty::Resumed,
            ),
        }
    }
}
