//! When a version of weights was named, as far as a process can know.

use std::cmp::Ordering;
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::fleet::NamingCertainty;
use crate::time::StoreTime;

/// How long ago a version is taken to have been named that a process finds at its start, as long as
/// no neighbour knows better. Requests then begin on older weights for a second more.
const ASSUMED_AGE_AT_START: Duration = Duration::from_secs(6);
/// How long a version that is found behind a cut is taken to have been named.
const ASSUMED_AGE_AFTER_OUTAGE: Duration = Duration::from_millis(100);
/// How long a question is on its way to the store. It is small, and goes against the stream of documents.
const QUERY_TRANSIT_MAX: Duration = Duration::from_millis(400);

/// When a version of weights was named.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct TargetUpdateTime {
    /// The moment, or an earlier one; a guess where nobody saw it.
    #[serde(rename = "at")]
    pub(crate) earliest: StoreTime,
    /// One that is surely later, where somebody saw it; else the same.
    #[serde(rename = "by")]
    pub(crate) latest: StoreTime,
    /// How well it is known.
    pub(crate) certainty: NamingCertainty,
}

impl TargetUpdateTime {
    /// A moment that nobody saw.
    pub(crate) const fn guessed(at: StoreTime, certainty: NamingCertainty) -> Self {
        Self {
            earliest: at,
            latest: at,
            certainty,
        }
    }

    /// What this time and `known` tell together.
    ///
    /// A process that starts finds a version in the store and does not know how long ago it was
    /// named. Taken for new, requests began on older weights behind the bound; taken for old, all
    /// were refused though the bound was seconds away. A neighbour that was there knows. Two that were
    /// know it better together than each alone; the one nearer to the store says the most.
    pub(super) fn combine(self, known: Self) -> Self {
        match self.certainty.cmp(&known.certainty) {
            Ordering::Greater => self,
            Ordering::Equal if self.certainty == NamingCertainty::Witnessed => {
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

/// What is known of the moment at which versions that are found in the store were named.
#[derive(Clone, Copy, Debug)]
pub(super) enum FollowState {
    /// The process has just started; they may be old.
    Started,
    /// The table was followed up to an answer of this moment, and they are newer.
    Followed(StoreTime),
    /// The store was away, or the way to it was cut. The bound of a version counts only while both are
    /// there, and new weights cannot be told of meanwhile: they are taken for new. Taken for as old as
    /// the outage, every request was refused at the store's return until the weights had been fetched.
    Interrupted,
}

impl FollowState {
    /// What is known behind an answer that did not come. `contact` tells since when the store has answered,
    /// if it answered other questions meanwhile.
    ///
    /// Then it is not away: an answer full of documents did not get through a full link, and versions in
    /// it are as old as they are. Taken for new, as behind a cut, requests began on older weights behind the
    /// bound, wherever a whole region stood behind such a link.
    pub(super) const fn after_failure(self, contact: Option<StoreTime>) -> Self {
        match (self, contact) {
            (Self::Started, _) => Self::Started,
            (Self::Followed(_), Some(_)) => self,
            (Self::Interrupted, Some(since)) => Self::Followed(since),
            (Self::Followed(_) | Self::Interrupted, None) => Self::Interrupted,
        }
    }

    /// Up to which answer the table was followed, if it is.
    pub(super) const fn followed(self) -> Option<StoreTime> {
        match self {
            Self::Followed(answered_at) => Some(answered_at),
            Self::Started | Self::Interrupted => None,
        }
    }

    /// When what the store tells at `answered_at`, asked at `sent_by` at the latest, was named.
    pub(super) fn update_time(
        self,
        sent_by: StoreTime,
        answered_at: StoreTime,
    ) -> TargetUpdateTime {
        match self {
            Self::Started => TargetUpdateTime::guessed(
                answered_at - ASSUMED_AGE_AT_START,
                NamingCertainty::Assumed,
            ),
            Self::Followed(answered_before) => {
                // A question that waits at the store is answered at the change.
                let waited = answered_at.since(sent_by + QUERY_TRANSIT_MAX);
                TargetUpdateTime {
                    earliest: (answered_before + waited).min(answered_at),
                    latest: answered_at,
                    certainty: NamingCertainty::Witnessed,
                }
            }
            Self::Interrupted => TargetUpdateTime::guessed(
                answered_at - ASSUMED_AGE_AFTER_OUTAGE,
                NamingCertainty::Resumed,
            ),
        }
    }
}
