//! What the store's answers tell beside their rows: its clock, and how long there has been contact.

use super::control_state::ControlState;
use super::store_clock::{ClockBounds, ClockSource, QuerySpan};
use crate::time::{ClockTime, StoreTime};

impl ControlState {
    /// The store said within `span` what its clock showed and that `revision` was its newest.
    pub(crate) fn note_store_answer(
        &mut self,
        revision: u64,
        answered_at: StoreTime,
        span: QuerySpan,
    ) {
        let bounds = ClockBounds::from_store(answered_at);
        self.clock.note(bounds, span, ClockSource::Store);
        self.revision_times.note(revision, answered_at);
    }

    /// The operator's table is followed up to an answer of `answered_at`, or not at all.
    pub(crate) fn note_followed(&mut self, answered_at: Option<StoreTime>) {
        self.followed = answered_at;
    }

    /// Up to which answer the operator's table was followed, if it is.
    pub(crate) const fn followed(&self) -> Option<StoreTime> {
        self.followed
    }

    /// When the contact with the store began that lasts since.
    pub(crate) fn contact_since(&self) -> Option<StoreTime> {
        self.revision_times.contact_since()
    }

    /// The latest that the store's clock may show at `now`; its zero before anything was heard of it.
    pub(crate) fn store_time(&self, now: ClockTime) -> StoreTime {
        self.clock
            .bounds(now)
            .map_or(StoreTime(0), |bounds| bounds.most)
    }

    /// The earliest moment on this process's clock at which the store's clock can have shown `moment`.
    pub(super) fn earliest(&self, moment: StoreTime) -> ClockTime {
        self.clock.earliest(moment)
    }
}
