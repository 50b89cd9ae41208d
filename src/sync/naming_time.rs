//! When a version of weights was named, as far as a process can know.

use std::cmp::Ordering;
use std::time::Duration;

use crate::fleet::{NamingCertainty, WantedWeights};
use crate::time::ClockTime;

/// How long ago a version is taken to have been named that a process finds at its start, as long as
/// no neighbour knows better. Requests then begin on older weights for a second more.
const NAMED_BEFORE_START: Duration = Duration::from_secs(6);
/// How long a change is on its way from the store.
const NAMED_BEFORE_WATCH: Duration = Duration::from_millis(100);

/// When a version of weights was named.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NamingTime {
    /// The moment, or one that is surely earlier.
    pub(crate) at: ClockTime,
    /// How well it is known.
    pub(crate) certainty: NamingCertainty,
}

impl NamingTime {
    /// Puts this time in the place of one that is known less well; returns whether it did.
    ///
    /// A process that starts finds a version in the store and does not know how long ago it was
    /// named. Taken for new, requests began on older weights behind the bound; taken for old, all
    /// were refused though the bound was seconds away. A neighbour that was there knows.
    pub(super) fn improve(self, wanted: &mut WantedWeights) -> bool {
        let is_better = match self.certainty.cmp(&wanted.certainty) {
            Ordering::Greater => true,
            Ordering::Less => false,
            Ordering::Equal => self.at < wanted.named_at,
        };
        if is_better {
            wanted.named_at = self.at;
            wanted.certainty = self.certainty;
        }
        is_better
    }
}

/// What is known of the moment at which versions that are found in the store were named.
#[derive(Clone, Copy, Debug)]
pub(super) enum NamingKnowledge {
    /// The process has just started; they may be old.
    Started,
    /// The table was followed; they are new.
    Followed,
    /// The store was away, or the way to it was cut. The bound of a version counts only while both are
    /// there, and new weights cannot be told of meanwhile: they are taken for new. Taken for as old as
    /// the outage, every request was refused at the store's return until the weights had been fetched.
    Interrupted,
}

impl NamingKnowledge {
    pub(super) fn naming_time(self, now: ClockTime) -> NamingTime {
        match self {
            Self::Started => NamingTime {
                at: now - NAMED_BEFORE_START,
                certainty: NamingCertainty::Assumed,
            },
            Self::Followed => NamingTime {
                at: now - NAMED_BEFORE_WATCH,
                certainty: NamingCertainty::Witnessed,
            },
            Self::Interrupted => NamingTime {
                at: now - NAMED_BEFORE_WATCH,
                certainty: NamingCertainty::Resumed,
            },
        }
    }
}
