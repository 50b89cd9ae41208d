//! Revisions of the store's rows, ordered across returns of the store from an older copy.
//!
//! The store counts its transactions. After it returned from a copy it assigns the lost numbers
//! again, and reports with each answer an era that is one higher. A revision has the era in its
//! upper bits, so that whatever belongs to a newer era is newer. It is sent to other processes in
//! this form.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use http::{HeaderMap, HeaderName};

use super::request_head::number_of;

const ERA: HeaderName = HeaderName::from_static("store-era");
/// Bits of a revision that hold the store's number. At 400 transactions a second they last for
/// 20,000 years.
const NUMBER_BITS: u32 = 48;
const NUMBER_MAX: u64 = (1 << NUMBER_BITS) - 1;
const ERA_MAX: u64 = u64::MAX >> NUMBER_BITS;
/// The most eras that a process can have missed. With a larger step the era is invalid: a single
/// faulty answer must not make all later ones look old.
const ERA_STEP_MAX: u64 = 1000;

/// The revision of the store's number `number` in `era`.
pub(crate) const fn revision_in(era: u64, number: u64) -> u64 {
    let number = if number > NUMBER_MAX {
        NUMBER_MAX
    } else {
        number
    };
    let era = if era > ERA_MAX { ERA_MAX } else { era };
    era << NUMBER_BITS | number
}

/// The era of `revision`.
pub(crate) const fn era_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// The store's number of `revision`, which it assigned in the revision's era.
pub(crate) const fn number_in(revision: u64) -> u64 {
    revision & NUMBER_MAX
}

/// The revision `count` transactions before `revision`, or the first one of its era.
pub(crate) const fn revision_before(revision: u64, count: u64) -> u64 {
    revision_in(era_of(revision), number_in(revision).saturating_sub(count))
}

/// Whether `revision` is before all transactions of its era.
pub(crate) const fn is_first(revision: u64) -> bool {
    number_in(revision) == 0
}

/// Formats `revision` for the log: the store's number, behind its era if the store reports one.
pub(crate) fn revision_text(revision: u64) -> String {
    match (era_of(revision), number_in(revision)) {
        (0, number) => number.to_string(),
        (era, number) => format!("{era}.{number}"),
    }
}

/// The newest era that the store reported to this process; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownEra(Arc<AtomicU64>);

impl KnownEra {
    /// Records that this process knows a revision in `era`, which a neighbour may have reported.
    pub(super) fn note(&self, era: u64) {
        self.0.fetch_max(era, Ordering::Relaxed);
    }

    /// The era of an answer with `headers`. An answer without a valid era belongs to the newest
    /// known one, and one with an older era comes from an older state of the store.
    pub(super) fn of_answer(&self, headers: &HeaderMap) -> u64 {
        let known = self.0.load(Ordering::Relaxed);
        let is_valid = |era: &u64| *era <= ERA_MAX && (known == 0 || *era <= known + ERA_STEP_MAX);
        match number_of(headers, &ERA).filter(is_valid) {
            Some(era) => {
                self.note(era);
                era
            }
            None => known,
        }
    }
}
