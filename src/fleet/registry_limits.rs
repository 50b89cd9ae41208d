//! Request limits that backend servers advertise, learned from responses and from other entry
//! hosts.

use super::backend_facts::IncarnationOrder;
use super::backend_record::BackendRecord;
use super::backend_registry::{BackendKey, BackendRegistry};
use super::events;
use super::request_limit::LimitAnnouncement;
use crate::events::log_event;
use crate::time::{ClockTime, StoreTime};

impl BackendRegistry {
    /// Takes in the limit in a response of the backend server at `key`, none if it advertised none.
    /// The response was received at `now`, and its request was sent at `picked_at`.
    pub(super) fn note_limit(
        &mut self,
        key: BackendKey,
        rate: Option<f64>,
        (picked_at, now): (StoreTime, ClockTime),
    ) {
        let now = self.clock.time(now);
        if let Some(record) = self.get_mut(key)
            && record.limit.note_response(rate, picked_at, now)
        {
            log_limit_change(record, rate);
        }
    }

    /// Takes in the announcement of a limit from another entry host.
    pub(crate) fn apply_limit(&mut self, announcement: &LimitAnnouncement) {
        let Some(key) = self.serving_at(announcement.address) else {
            return;
        };
        if let Some(record) = self.get_mut(key)
            && IncarnationOrder::of(announcement.start_time, record.facts.start_time)
                == IncarnationOrder::Same
            && record.limit.apply_announcement(announcement)
        {
            log_limit_change(record, announcement.rate);
        }
    }

    /// Returns the limits to announce to other entry hosts at `now`.
    pub(crate) fn take_pending_limits(&mut self, now: ClockTime) -> Vec<LimitAnnouncement> {
        let now = self.clock.time(now);
        let records = self.records.iter_mut().flatten();
        let announcements = records.filter_map(|record| {
            let (rate, at) = record.limit.take_pending(now)?;
            Some(LimitAnnouncement {
                address: record.facts.address,
                start_time: record.facts.start_time,
                rate,
                at,
            })
        });
        announcements.collect()
    }
}

fn log_limit_change(record: &BackendRecord, rate: Option<f64>) {
    let id = &record.facts.id;
    log_event!(events::BACKEND_LIMITED, "backend={id} rate={rate:?}");
}
