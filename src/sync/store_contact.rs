//! What the store's answers tell beside their rows: its clock, and how long there has been contact.

use super::store_clock::{ClockBounds, ClockSource, QuerySpan};
use super::view_book::ControlState;
use crate::time::{ClockTime, StoreTime};

impl ControlState {
    /// The store said within `span` what its clock showed and that `revision` was its newest.
    pub(crate) fn note_store_answer(&mut self, revision: u64, told_at: StoreTime, span: QuerySpan) {
        let word = ClockBounds::of_store(told_at);
        self.clock.note(word, span, ClockSource::Store);
        self.marks.note(revision, told_at);
    }

    /// The operator's table is followed up to an answer of `told_at`, or not at all.
    pub(crate) fn note_followed(&mut self, told_at: Option<StoreTime>) {
        self.followed = told_at;
    }

    /// Up to which answer the operator's table was followed, if it is.
    pub(crate) const fn followed(&self) -> Option<StoreTime> {
        self.followed
    }

    /// When the contact with the store began that lasts since.
    pub(crate) fn contact_since(&self) -> Option<StoreTime> {
        self.marks.contact_since()
    }

    /// The latest that the store's clock may show at `now`; its zero before anything was heard of it.
    pub(crate) fn store_time(&self, now: ClockTime) -> StoreTime {
        self.clock.word(now).map_or(StoreTime(0), |word| word.most)
    }

    /// The earliest moment on this process's clock at which the store's clock can have shown `moment`.
    pub(super) fn earliest(&self, moment: StoreTime) -> ClockTime {
        self.clock.earliest(moment)
    }
}
