//! What the store's answers reveal in addition to their rows: its clock, and since when it has been
//! reachable.

use super::deployment_state::DeploymentState;
use super::store_clock::{ClockBounds, ClockSource, QuerySpan};
use crate::time::{ClockTime, StoreTime};

impl DeploymentState {
    /// Records that the store reported within `span` its clock and `revision` as its newest.
    pub(crate) fn note_store_answer(
        &mut self,
        revision: u64,
        answered_at: StoreTime,
        span: QuerySpan,
    ) {
        let bounds = ClockBounds::from_store(answered_at);
        self.clock.note(bounds, span, ClockSource::Store);
        self.revision_times.note(revision, answered_at);
        self.note_era(revision, span.received_at);
    }

    /// Records that the operator's table was followed up to an answer at `answered_at`.
    pub(crate) fn note_followed(&mut self, answered_at: StoreTime) {
        self.followed = Some(answered_at);
        self.interrupted_at = None;
    }

    /// Records that the table is not followed because a call for it failed, sent at `sent_at` on
    /// this process's clock.
    pub(crate) fn note_interrupted(&mut self, sent_at: ClockTime) {
        self.followed = None;
        self.interrupted_at = Some(self.store_time(sent_at));
    }

    /// Records that a neighbour reported the table as of an answer at `answered_at`.
    ///
    /// An answer from before an interruption does not end it: the neighbour may have been cut off
    /// as well, and neither knows what happened since.
    pub(crate) fn note_reported(&mut self, answered_at: StoreTime) {
        if self.interrupted_at.is_none_or(|at| answered_at > at) {
            self.note_followed(answered_at);
        }
    }

    /// The time of the answer up to which the operator's table was followed, if it is followed.
    pub(crate) const fn followed(&self) -> Option<StoreTime> {
        self.followed
    }

    /// Since when the store has answered without a gap, on its clock.
    pub(crate) fn contact_since(&self) -> Option<StoreTime> {
        self.revision_times.contact_since()
    }

    /// The latest time that the store's clock can show at `now`; zero while its bounds are unknown.
    pub(crate) fn store_time(&self, now: ClockTime) -> StoreTime {
        self.clock
            .bounds(now)
            .map_or(StoreTime(0), |bounds| bounds.most)
    }

    /// The earliest moment on this process's clock at which the store's clock can have shown
    /// `moment`.
    pub(super) fn earliest(&self, moment: StoreTime) -> ClockTime {
        self.clock.earliest(moment)
    }
}
