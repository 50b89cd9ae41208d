//! What backend servers say of the requests that they take, by answers and from other entry hosts.

use super::backend_desk::{BackendKey, BackendRegistry};
use super::backend_facts::IncarnationOrder;
use super::backend_record::BackendRecord;
use super::events;
use super::request_limit::LimitAnnouncement;
use crate::events::log_event;
use crate::time::{ClockTime, StoreTime};

impl BackendRegistry {
    /// An answer of the backend server at `key`, which came at `now` to a request that was sent at `asked`,
    /// names `rate`, or no limit.
    pub(super) fn note_limit(
        &mut self,
        key: BackendKey,
        rate: Option<f64>,
        (asked, now): (StoreTime, ClockTime),
    ) {
        let now = self.clock.time(now);
        if let Some(record) = self.get_mut(key)
            && record.limit.note_answer(rate, asked, now)
        {
            log_limit(record, rate);
        }
    }

    /// Another entry host told of a limit.
    pub(crate) fn apply_limit(&mut self, word: &LimitAnnouncement) {
        let Some(key) = self.serving_at(word.address) else {
            return;
        };
        if let Some(record) = self.get_mut(key)
            && IncarnationOrder::of(word.born, record.facts.born) == IncarnationOrder::Same
            && record.limit.take_word(word)
        {
            log_limit(record, word.rate);
        }
    }

    /// What other entry hosts are to be told of limits at `now`.
    pub(crate) fn take_pending_limits(&mut self, now: ClockTime) -> Vec<LimitAnnouncement> {
        let now = self.clock.time(now);
        let records = self.records.iter_mut().flatten();
        let words = records.filter_map(|record| {
            let (rate, at) = record.limit.take_pending(now)?;
            Some(LimitAnnouncement {
                address: record.facts.address,
                born: record.facts.born,
                rate,
                at,
            })
        });
        words.collect()
    }
}

fn log_limit(record: &BackendRecord, rate: Option<f64>) {
    let id = &record.facts.id;
    log_event!(events::BACKEND_LIMITED, "backend={id} rate={rate:?}");
}
