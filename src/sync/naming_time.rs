//! When a version of weights was named, as far as a process can know.

use std::cmp::Reverse;
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::{message, plain};
use crate::fleet::NamingCertainty;
use crate::time::StoreTime;

/// How long ago a version is taken to have been named that a process finds at its start, as long as
/// no neighbour knows better. Requests then begin on older weights for a second more.
const NAMED_BEFORE_START: Duration = Duration::from_secs(6);
/// How long a version is taken to have been named that is found behind a cut: the way to the store.
const NAMED_BEFORE_FOUND: Duration = Duration::from_millis(100);
/// How long a question is on its way to the store. It is small, and goes against the stream of documents.
const QUESTION_ON_WAY: Duration = Duration::from_millis(100);

/// When a version of weights was named.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct NamingTime {
    /// The moment, or one that is surely earlier.
    pub(crate) at: StoreTime,
    /// How much later than that it may have been; zero where nobody saw it.
    pub(crate) slack: Duration,
    /// How well it is known.
    pub(crate) certainty: NamingCertainty,
}

impl NamingTime {
    /// Whether it is known better than `known` is.
    ///
    /// A process that starts finds a version in the store and does not know how long ago it was
    /// named. Taken for new, requests began on older weights behind the bound; taken for old, all
    /// were refused though the bound was seconds away. A neighbour that was there knows. Of two that
    /// were, the one nearer to the store knows it within less.
    pub(super) fn is_better_than(self, known: Self) -> bool {
        let worth = |time: Self| (time.certainty, Reverse(time.slack), Reverse(time.at));
        worth(self) > worth(known)
    }
}

/// The moments around an answer of the store that tells of a change, while its table is followed.
#[apply(plain!)]
#[derive(Copy)]
pub(super) struct ChangeSpan {
    /// The answer before it, which did not tell of the change yet.
    pub(super) answered_before: StoreTime,
    /// The question was sent by then.
    pub(super) asked_by: StoreTime,
    /// The answer.
    pub(super) told_at: StoreTime,
}

impl ChangeSpan {
    /// When the change was made.
    ///
    /// A question that waits at the store is answered at the change. Before it arrives there, changes
    /// wait for it: where the answer before was seconds on its way, over a link full of documents, a
    /// version was taken for new that had been named all that time, and requests began on older weights
    /// behind the bound. So the change is as old as all the time that no question surely waited.
    pub(super) fn naming_time(self) -> NamingTime {
        let waited = self.told_at.since(self.asked_by + QUESTION_ON_WAY);
        let at = (self.answered_before + waited).min(self.told_at);
        NamingTime {
            at,
            slack: self.told_at.since(at),
            certainty: NamingCertainty::Witnessed,
        }
    }
}

/// What is known of the moment at which versions that are found in the store were named.
#[derive(Clone, Copy, Debug)]
pub(super) enum NamingKnowledge {
    /// The process has just started; they may be old.
    Started,
    /// The table was followed up to an answer of this moment; they are newer.
    Followed(StoreTime),
    /// The store was away, or the way to it was cut. The bound of a version counts only while both are
    /// there, and new weights cannot be told of meanwhile: they are taken for new. Taken for as old as
    /// the outage, every request was refused at the store's return until the weights had been fetched.
    Interrupted,
}

impl NamingKnowledge {
    /// When what the store tells at `told_at`, in an answer to a question that was sent by `asked_by`,
    /// was named.
    pub(super) fn naming_time(self, asked_by: StoreTime, told_at: StoreTime) -> NamingTime {
        match self {
            Self::Started => found(told_at - NAMED_BEFORE_START, NamingCertainty::Assumed),
            Self::Followed(answered_before) => ChangeSpan {
                answered_before,
                asked_by,
                told_at,
            }
            .naming_time(),
            Self::Interrupted => found(told_at - NAMED_BEFORE_FOUND, NamingCertainty::Resumed),
        }
    }
}

fn found(at: StoreTime, certainty: NamingCertainty) -> NamingTime {
    NamingTime {
        at,
        slack: Duration::ZERO,
        certainty,
    }
}
