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
    }

    /// Records the answer up to which the operator's table was followed; `None` if it is not
    /// followed.
    pub(crate) fn note_followed(&mut self, answered_at: Option<StoreTime>) {
        self.followed = answered_at;
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
