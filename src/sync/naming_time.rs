//! When a version of weights was named, as far as a process can know.

use std::cmp::Ordering;
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::fleet::NamingCertainty;
use crate::time::StoreTime;

/// How long ago a version is taken to have been named that a process finds at its start, as long as
/// no neighbour knows better. Requests then begin on older weights for a second more.
const NAMED_BEFORE_START: Duration = Duration::from_secs(6);
/// How long a version that is found behind a cut is taken to have been named.
const NAMED_BEFORE_FOUND: Duration = Duration::from_millis(100);
/// How long a question is on its way to the store. It is small, and goes against the stream of documents.
const QUESTION_ON_WAY: Duration = Duration::from_millis(400);

/// When a version of weights was named.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct TargetUpdateTime {
    /// The moment, or an earlier one; a guess where nobody saw it.
    pub(crate) at: StoreTime,
    /// One that is surely later, where somebody saw it; else the same.
    pub(crate) by: StoreTime,
    /// How well it is known.
    pub(crate) certainty: NamingCertainty,
}

impl TargetUpdateTime {
    /// A moment that nobody saw.
    pub(crate) const fn guessed(at: StoreTime, certainty: NamingCertainty) -> Self {
        Self {
            at,
            by: at,
            certainty,
        }
    }

    /// What this time and `known` tell together.
    ///
    /// A process that starts finds a version in the store and does not know how long ago it was
    /// named. Taken for new, requests began on older weights behind the bound; taken for old, all
    /// were refused though the bound was seconds away. A neighbour that was there knows. Two that were
    /// know it better together than each alone; the one nearer to the store says the most.
    pub(super) fn and(self, known: Self) -> Self {
        match self.certainty.cmp(&known.certainty) {
            Ordering::Greater => self,
            Ordering::Equal if self.certainty == NamingCertainty::Witnessed => {
                let by = self.by.min(known.by);
                let at = self.at.max(known.at).min(by);
                Self { at, by, ..known }
            }
            Ordering::Equal if self.at < known.at => self,
            Ordering::Equal | Ordering::Less => known,
        }
    }
}

/// What is known of the moment at which versions that are found in the store were named.
#[derive(Clone, Copy, Debug)]
pub(super) enum NamingKnowledge {
    /// The process has just started; they may be old.
    Started,
    /// The table was followed up to an answer of this moment, and they are newer.
    Followed(StoreTime),
    /// The store was away, or the way to it was cut. The bound of a version counts only while both are
    /// there, and new weights cannot be told of meanwhile: they are taken for new. Taken for as old as
    /// the outage, every request was refused at the store's return until the weights had been fetched.
    Interrupted,
}

impl NamingKnowledge {
    /// What is known behind an answer that did not come. `contact` tells since when the store has answered,
    /// if it answered other questions meanwhile.
    ///
    /// Then it is not away: an answer full of documents did not get through a full link, and versions in
    /// it are as old as they are. Taken for new, as behind a cut, requests began on older weights behind the
    /// bound, wherever a whole region stood behind such a link.
    pub(super) const fn behind_failure(self, contact: Option<StoreTime>) -> Self {
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
            Self::Followed(told_at) => Some(told_at),
            Self::Started | Self::Interrupted => None,
        }
    }

    /// When what the store tells at `told_at`, asked at `asked_by` at the latest, was named.
    pub(super) fn naming_time(self, asked_by: StoreTime, told_at: StoreTime) -> TargetUpdateTime {
        match self {
            Self::Started => {
                TargetUpdateTime::guessed(told_at - NAMED_BEFORE_START, NamingCertainty::Assumed)
            }
            Self::Followed(answered_before) => {
                // A question that waits at the store is answered at the change.
                let waited = told_at.since(asked_by + QUESTION_ON_WAY);
                TargetUpdateTime {
                    at: (answered_before + waited).min(told_at),
                    by: told_at,
                    certainty: NamingCertainty::Witnessed,
                }
            }
            Self::Interrupted => {
                TargetUpdateTime::guessed(told_at - NAMED_BEFORE_FOUND, NamingCertainty::Resumed)
            }
        }
    }
}
