//! The registry of backend servers that an entry host knows, with the requests that this entry host
//! has in flight at each of them. It takes in entries from the store and load reports, and picks a
//! backend server for each request.

use std::net::SocketAddr;
use std::sync::Arc;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::backend_facts::{
    BackendFacts, BackendPhase, FleetView, IncarnationOrder, LoadReport, WeightsVersion,
};
use super::backend_record::{BackendRecord, CallOutcome};
use super::events;
use super::pick::{PickContext, PickRequirements, pick};
use super::pick_refusal::PickRefusal;
use super::rate_sharers::RateSharers;
use super::request_limit::SendPermission;
use crate::derives::key;
use crate::events::log_event;
use crate::overload::EntryHostId;
use crate::sync::StoreClock;
use crate::time::{ClockTime, StoreTime, WallTime};

/// Start times of incarnations to remember: twice the largest planned deployment. Beyond that, only
/// those of listed backend servers are kept.
const START_TIMES_MAX: usize = 1200;

/// Index of a backend server's record in the registry. Indices are never reused.
#[apply(key!)]
pub(crate) struct BackendKey(u32);

impl BackendKey {
    /// Sort key that puts backend servers into a pseudo-random order, which depends on `jitter`.
    pub(super) fn shuffled(self, jitter: u32) -> u32 {
        (self.0 ^ jitter).wrapping_mul(0x9E37_79B9).rotate_left(13)
    }

    fn index(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

/// The backend server picked for a request.
pub(super) struct PickedBackend {
    pub(super) key: BackendKey,
    pub(super) facts: Arc<BackendFacts>,
    pub(super) version: Option<WeightsVersion>,
    /// Tokens of the request's prompt, which the backend server has yet to read.
    pub(super) unread_tokens: u32,
    /// When it was picked, on the store's clock.
    pub(super) picked_at: StoreTime,
}

/// Records of all backend servers that are listed or still have requests in flight.
#[derive(Debug)]
pub(crate) struct BackendRegistry {
    pub(super) own_id: EntryHostId,
    /// The data centre whose engines count as near: that of this entry host, or another one while
    /// that is evacuated.
    pub(super) near_data_centre: ByteString,
    /// Number of other entry hosts in this data centre.
    pub(super) peers: u32,
    /// Number of other entry hosts in all data centres.
    pub(super) others: u32,
    /// The entry hosts that share the rates advertised by backend servers.
    pub(super) rate_sharers: RateSharers,
    /// The evacuated data centres, sorted.
    pub(super) evacuated: Arc<Vec<ByteString>>,
    /// The store's clock, on which these entry hosts agree about send intervals.
    pub(super) clock: StoreClock,
    /// Indexed by [`BackendKey`]. A record is dropped once its backend server is unlisted and no
    /// request is in flight there.
    pub(super) records: Vec<Option<BackendRecord>>,
    /// Listed backend servers, sorted by id.
    pub(super) by_id: Vec<(ByteString, BackendKey)>,
    /// Keys retired since the last call of [`Self::take_retired`].
    retired: Vec<BackendKey>,
    /// Start time of the newest known incarnation of each backend server, sorted by id.
    ///
    /// It outlives the record: without it, an entry of an older incarnation that arrives after the
    /// record was removed would bring back a backend server that can't answer.
    start_times: Vec<(ByteString, WallTime)>,
}

impl BackendRegistry {
    /// Creates an empty registry for the entry host `own_id`.
    pub(crate) fn new(own_id: EntryHostId) -> Self {
        Self {
            rate_sharers: RateSharers::new(&own_id, &[]),
            clock: StoreClock::default(),
            near_data_centre: own_id.data_centre.clone(),
            own_id,
            evacuated: Arc::default(),
            peers: 0,
            others: 0,
            records: Vec::new(),
            by_id: Vec::new(),
            retired: Vec::new(),
            start_times: Vec::new(),
        }
    }

    /// Replaces the estimate of the store's clock.
    pub(crate) const fn set_clock(&mut self, clock: StoreClock) {
        self.clock = clock;
    }

    /// Replaces the list of evacuated data centres. Backend servers of those that are no longer
    /// evacuated at `now` may have become cold without having stated it yet.
    pub(crate) fn set_evacuated(&mut self, evacuated: &Arc<Vec<ByteString>>, now: ClockTime) {
        let former = std::mem::replace(&mut self.evacuated, evacuated.clone());
        let is_lifted = |data_centre: &ByteString| {
            former.binary_search(data_centre).is_ok()
                && evacuated.binary_search(data_centre).is_err()
        };
        for record in self.records.iter_mut().flatten() {
            if is_lifted(&record.facts.data_centre) {
                record.assume_cold(now);
            }
        }
    }

    /// Applies a new list of backend servers at `now`: adds, updates and removes records.
    pub(crate) fn set_fleet(&mut self, fleet: &FleetView, now: ClockTime) {
        let mut removed: Vec<(ByteString, BackendKey)> = Vec::new();
        self.by_id.retain(|(id, key)| {
            let found = fleet
                .backends
                .binary_search_by(|facts| (*facts.id).cmp(&**id));
            if found.is_err() {
                removed.push((id.clone(), *key));
            }
            found.is_ok()
        });
        for (id, key) in removed {
            log_event!(events::BACKEND_REMOVED, "backend={id}");
            self.retire(key);
        }
        for facts in &fleet.backends {
            self.apply_listed(facts, now);
        }
    }

    fn apply_listed(&mut self, facts: &Arc<BackendFacts>, now: ClockTime) {
        if IncarnationOrder::of(facts.start_time, self.newest_start_time(&facts.id))
            == IncarnationOrder::Older
        {
            return;
        }
        let found = self
            .by_id
            .binary_search_by(|(id, _)| (**id).cmp(&*facts.id));
        match found {
            Ok(at) => self.update_listed(at, facts, now),
            Err(at) => {
                let key = self.add(facts, now);
                self.by_id.insert(at, (facts.id.clone(), key));
            }
        }
    }

    /// Updates the listed backend server at index `at` of `by_id` with its current entry.
    fn update_listed(&mut self, at: usize, facts: &Arc<BackendFacts>, now: ClockTime) {
        let key = self.by_id[at].1;
        let Some(record) = self.get_mut(key) else {
            return;
        };
        if IncarnationOrder::of(facts.start_time, record.facts.start_time)
            == IncarnationOrder::Newer
        {
            self.replace(at, facts, now);
            return;
        }
        let was_serving = record.facts.phase == BackendPhase::Serving;
        record.set_facts(facts);
        if was_serving && facts.phase == BackendPhase::Leaving {
            log_event!(events::BACKEND_LEAVING, "backend={}", facts.id);
        }
    }

    /// Start time of the newest known incarnation of `id`, if one was reported.
    fn newest_start_time(&self, id: &str) -> Option<WallTime> {
        let found = self
            .start_times
            .binary_search_by(|(known, _)| (**known).cmp(id));
        found.ok().map(|at| self.start_times[at].1)
    }

    /// Remembers that an incarnation of `id` started at `start_time`.
    fn note_start_time(&mut self, id: &ByteString, start_time: Option<WallTime>) {
        let Some(start_time) = start_time else {
            return;
        };
        match self
            .start_times
            .binary_search_by(|(known, _)| known.cmp(id))
        {
            Ok(at) => self.start_times[at].1 = self.start_times[at].1.max(start_time),
            Err(at) => self.start_times.insert(at, (id.clone(), start_time)),
        }
        if self.start_times.len() > START_TIMES_MAX {
            let listed = &self.by_id;
            self.start_times.retain(|(known, _)| {
                let found = listed.binary_search_by(|(id, _)| id.cmp(known));
                found.is_ok()
            });
        }
    }

    /// Handles a restart under the same name. The new incarnation gets a new record and key, so
    /// that neither the state of the old one nor the end of its requests affects it.
    fn replace(&mut self, at: usize, facts: &Arc<BackendFacts>, now: ClockTime) {
        log_event!(events::BACKEND_RESTARTED, "backend={}", facts.id);
        let former = self.by_id[at].1;
        self.by_id[at].1 = self.add(facts, now);
        self.retire(former);
    }

    /// Adds a new record for `facts`. It counts as cold from `now` on unless it states whether it is.
    fn add(&mut self, facts: &Arc<BackendFacts>, now: ClockTime) -> BackendKey {
        let key = BackendKey(u32::try_from(self.records.len()).unwrap_or(u32::MAX));
        let (id, service, address) = (&facts.id, &facts.service, facts.address);
        log_event!(
            events::BACKEND_ADDED,
            "backend={id} service={service} address={address} phase={:?} holdings={:?}",
            facts.phase,
            facts.holdings
        );
        let mut record = BackendRecord::new(facts.clone());
        if facts.cold_until.is_none() {
            record.assume_cold(now);
        }
        self.records.push(Some(record));
        self.note_start_time(&facts.id, facts.start_time);
        key
    }

    /// Stops sending to a backend server that was removed. Its record stays as long as requests are
    /// in flight there.
    fn retire(&mut self, key: BackendKey) {
        self.retired.push(key);
        let Some(slot) = self.records.get_mut(key.index()) else {
            return;
        };
        if let Some(record) = slot {
            let mut facts = (*record.facts).clone();
            facts.phase = BackendPhase::Leaving;
            record.facts = Arc::new(facts);
            if record.own_in_flight == 0 {
                *slot = None;
            }
        }
    }

    /// Returns the keys retired since the last call, so that their connections can be closed.
    pub(crate) fn take_retired(&mut self) -> Vec<BackendKey> {
        std::mem::take(&mut self.retired)
    }

    /// Picks a backend server and counts the request as in flight there. `jitter` is random.
    ///
    /// # Errors
    ///
    /// The reason why no backend server can take the request.
    pub(super) fn pick(
        &mut self,
        requirements: &PickRequirements<'_>,
        now: ClockTime,
        jitter: u32,
    ) -> Result<PickedBackend, PickRefusal> {
        let listed = self.by_id.iter().filter_map(|(_, key)| {
            let record = self.records.get(key.index())?.as_ref()?;
            Some((*key, record))
        });
        let picked_at = self.clock.time(now);
        let context = PickContext {
            data_centre: &self.near_data_centre,
            peers: self.peers,
            others: self.others,
            rate_sharers: &self.rate_sharers,
            picked_at,
        };
        let key = pick(listed, requirements, &context, (now, jitter))?;
        let permission = self
            .get(key)
            .map(|record| record.send_permission(requirements.cold_limit, &context, now));
        let unread_tokens = requirements.work.map_or(0, |work| work.prompt_tokens);
        let record = self.get_mut(key).ok_or(PickRefusal::NoBackend)?;
        record.breaker.note_sent(now);
        record.note_sent(unread_tokens, now);
        if let Some(SendPermission::Interval(start)) = permission {
            record.limit.mark_used(start);
        }
        Ok(PickedBackend {
            key,
            unread_tokens,
            picked_at,
            facts: record.facts.clone(),
            version: requirements.version.version_held_by(record),
        })
    }

    /// Ends a call to the backend server at `key` with `outcome`. `jitter` is random.
    pub(crate) fn end(
        &mut self,
        key: BackendKey,
        outcome: CallOutcome,
        now: ClockTime,
        jitter: u32,
    ) {
        self.note_outcome(key, outcome, now, jitter);
        let is_listed = self.by_id.iter().any(|(_, listed)| *listed == key);
        let Some(slot) = self.records.get_mut(key.index()) else {
            return;
        };
        if let Some(record) = slot {
            record.note_ended(now);
            if record.own_in_flight == 0 && !is_listed {
                *slot = None;
            }
        }
    }

    /// Records what a call's outcome shows about the backend server. `jitter` is random.
    pub(super) fn note_outcome(
        &mut self,
        key: BackendKey,
        outcome: CallOutcome,
        now: ClockTime,
        jitter: u32,
    ) {
        if let Some(record) = self.get_mut(key)
            && record.note_outcome(outcome, now, jitter)
        {
            log_event!(events::BACKEND_PAUSED, "backend={}", record.facts.id);
        }
    }

    /// Takes in a load report from the process colocated with a backend server.
    pub(crate) fn note_report(&mut self, report: LoadReport, now: ClockTime) {
        let Some(key) = self.serving_at(report.address) else {
            return;
        };
        let Some(record) = self.get_mut(key) else {
            return;
        };
        match IncarnationOrder::of(report.start_time, record.facts.start_time) {
            IncarnationOrder::Older => {}
            IncarnationOrder::Same => record.note_report(report, now),
            IncarnationOrder::Newer => {
                let facts = Arc::new(record.facts_after_restart(&report));
                if let Some(at) = self.by_id.iter().position(|(_, listed)| *listed == key) {
                    self.replace(at, &facts, now);
                    let key = self.by_id[at].1;
                    if let Some(record) = self.get_mut(key) {
                        record.note_report(report, now);
                    }
                }
            }
        }
    }

    /// The newest backend server listed at `address`; an earlier one may not be unlisted yet.
    pub(super) fn serving_at(&self, address: SocketAddr) -> Option<BackendKey> {
        let keys = self.by_id.iter().map(|(_, key)| *key);
        keys.filter(|key| {
            self.get(*key)
                .is_some_and(|record| record.facts.address == address)
        })
        .max()
    }

    /// The record at `key`.
    pub(crate) fn get(&self, key: BackendKey) -> Option<&BackendRecord> {
        self.records.get(key.index())?.as_ref()
    }

    /// Mutable access to the record at `key`.
    pub(crate) fn get_mut(&mut self, key: BackendKey) -> Option<&mut BackendRecord> {
        self.records.get_mut(key.index())?.as_mut()
    }
}
