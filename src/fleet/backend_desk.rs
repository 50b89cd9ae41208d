//! All backend servers as this entry host knows them, and its requests under way at each.

use std::net::SocketAddr;
use std::sync::Arc;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::backend_facts::{
    BackendFacts, BackendPhase, FleetView, LoadReport, WeightsVersion, WordOrder,
};
use super::backend_record::{BackendRecord, CallEnd};
use super::events;
use super::pick::{PickNeed, PickPlace, PickRefusal, pick};
use super::request_limit::LimitTurn;
use super::turn_sharers::TurnSharers;
use crate::derives::key;
use crate::events::log_event;
use crate::overload::EntryPlace;
use crate::sync::StoreClock;
use crate::time::{ClockTime, StoreTime, WallTime};

/// Incarnations that are remembered at a time; beyond that, those of listed backend servers only. Twice
/// the largest deployment that is planned.
const BIRTHS_MAX: usize = 1200;

/// A backend server's place at the desk. Places are never used again.
#[apply(key!)]
pub(crate) struct BackendKey(u32);

impl BackendKey {
    /// Its place in an order that `jitter` shuffles.
    pub(super) fn turn(self, jitter: u32) -> u32 {
        (self.0 ^ jitter).wrapping_mul(0x9E37_79B9).rotate_left(13)
    }

    fn at(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

/// A backend server that was chosen.
pub(super) struct PickedBackend {
    pub(super) key: BackendKey,
    pub(super) facts: Arc<BackendFacts>,
    pub(super) version: Option<WeightsVersion>,
    /// Tokens of the request's prompt.
    pub(super) unread: u32,
    /// When it was chosen.
    pub(super) asked: StoreTime,
}

/// The desk: one record for each backend server that was ever known to this process.
#[derive(Debug)]
pub(crate) struct BackendDesk {
    pub(super) me: EntryPlace,
    /// How many other entry hosts the data centre has.
    pub(super) peers: u32,
    /// Which entry hosts share the backend servers that name a rate.
    pub(super) turns: TurnSharers,
    /// The clock by which they take turns.
    pub(super) clock: StoreClock,
    /// A record goes when the backend server does and nothing is under way there.
    pub(super) records: Vec<Option<BackendRecord>>,
    /// Sorted by id.
    pub(super) by_id: Vec<(ByteString, BackendKey)>,
    /// Places that were retired and not asked for yet.
    retired: Vec<BackendKey>,
    /// When the newest incarnation of each started that was ever heard of, sorted by id.
    ///
    /// A backend server whose entry went is forgotten. When an entry of a former incarnation was then
    /// done late, it was sent requests that it could not answer.
    births: Vec<(ByteString, WallTime)>,
}

impl BackendDesk {
    /// An empty desk of the entry host `me`.
    pub(crate) fn new(me: EntryPlace) -> Self {
        Self {
            turns: TurnSharers::new(&me, &[]),
            clock: StoreClock::default(),
            me,
            peers: 0,
            records: Vec::new(),
            by_id: Vec::new(),
            retired: Vec::new(),
            births: Vec::new(),
        }
    }

    /// Takes over what is known of the store's clock.
    pub(crate) const fn set_clock(&mut self, clock: StoreClock) {
        self.clock = clock;
    }

    /// Takes over a new view of the backend servers.
    pub(crate) fn set_fleet(&mut self, fleet: &FleetView) {
        let mut gone: Vec<(ByteString, BackendKey)> = Vec::new();
        self.by_id.retain(|(id, key)| {
            let found = fleet
                .backends
                .binary_search_by(|facts| (*facts.id).cmp(&**id));
            if found.is_err() {
                gone.push((id.clone(), *key));
            }
            found.is_ok()
        });
        for (id, key) in gone {
            log_event!(events::BACKEND_REMOVED, "backend={id}");
            self.retire(key);
        }
        for facts in &fleet.backends {
            self.list(facts);
        }
    }

    fn list(&mut self, facts: &Arc<BackendFacts>) {
        if WordOrder::of(facts.born, self.born(&facts.id)) == WordOrder::Former {
            return;
        }
        let found = self
            .by_id
            .binary_search_by(|(id, _)| (**id).cmp(&*facts.id));
        match found {
            Ok(at) => self.relist(at, facts),
            Err(at) => {
                let key = self.enter(facts);
                self.by_id.insert(at, (facts.id.clone(), key));
            }
        }
    }

    /// What the store says of the backend server at `at` in the list by id.
    fn relist(&mut self, at: usize, facts: &Arc<BackendFacts>) {
        let key = self.by_id[at].1;
        let Some(record) = self.get_mut(key) else {
            return;
        };
        if WordOrder::of(facts.born, record.facts.born) == WordOrder::Newer {
            self.replace(at, facts);
            return;
        }
        let was_serving = record.facts.phase == BackendPhase::Serving;
        record.set_facts(facts);
        if was_serving && facts.phase == BackendPhase::Leaving {
            log_event!(events::BACKEND_LEAVING, "backend={}", facts.id);
        }
    }

    /// When the newest known incarnation of `id` started, if it said so.
    fn born(&self, id: &str) -> Option<WallTime> {
        let found = self.births.binary_search_by(|(known, _)| (**known).cmp(id));
        found.ok().map(|at| self.births[at].1)
    }

    /// An incarnation of `id` that started at `born` was heard of.
    fn note_birth(&mut self, id: &ByteString, born: Option<WallTime>) {
        let Some(born) = born else {
            return;
        };
        match self.births.binary_search_by(|(known, _)| known.cmp(id)) {
            Ok(at) => self.births[at].1 = self.births[at].1.max(born),
            Err(at) => self.births.insert(at, (id.clone(), born)),
        }
        if self.births.len() > BIRTHS_MAX {
            let listed = &self.by_id;
            self.births.retain(|(known, _)| {
                let found = listed.binary_search_by(|(id, _)| id.cmp(known));
                found.is_ok()
            });
        }
    }

    /// A backend server started again under its name: a new record, at a new place, so that nothing
    /// that was known of the former one, and no end of its requests, counts for the new one.
    fn replace(&mut self, at: usize, facts: &Arc<BackendFacts>) {
        log_event!(events::BACKEND_RESTARTED, "backend={}", facts.id);
        let former = self.by_id[at].1;
        self.by_id[at].1 = self.enter(facts);
        self.retire(former);
    }

    /// A new record of `facts`.
    fn enter(&mut self, facts: &Arc<BackendFacts>) -> BackendKey {
        let key = BackendKey(u32::try_from(self.records.len()).unwrap_or(u32::MAX));
        let (id, service, address) = (&facts.id, &facts.service, facts.address);
        log_event!(
            events::BACKEND_ADDED,
            "backend={id} service={service} address={address} phase={:?} holdings={:?}",
            facts.phase,
            facts.holdings
        );
        self.records.push(Some(BackendRecord::new(facts.clone())));
        self.note_birth(&facts.id, facts.born);
        key
    }

    /// Nothing new goes to a backend server that is gone; its record stays while something is under
    /// way there.
    fn retire(&mut self, key: BackendKey) {
        self.retired.push(key);
        let Some(slot) = self.records.get_mut(key.at()) else {
            return;
        };
        if let Some(record) = slot {
            let mut facts = (*record.facts).clone();
            facts.phase = BackendPhase::Leaving;
            record.facts = Arc::new(facts);
            if record.own == 0 {
                *slot = None;
            }
        }
    }

    /// The places that were retired since the last call: connections to these are of no use.
    pub(crate) fn take_retired(&mut self) -> Vec<BackendKey> {
        std::mem::take(&mut self.retired)
    }

    /// Chooses a backend server and counts the request as under way there. `jitter` is random.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub(super) fn pick(
        &mut self,
        need: &PickNeed<'_>,
        now: ClockTime,
        jitter: u32,
    ) -> Result<PickedBackend, PickRefusal> {
        let listed = self.by_id.iter().filter_map(|(_, key)| {
            let record = self.records.get(key.at())?.as_ref()?;
            Some((*key, record))
        });
        let asked = self.clock.time(now);
        let place = PickPlace {
            data_centre: &self.me.data_centre,
            peers: self.peers,
            turns: &self.turns,
            asked,
        };
        let key = pick(listed, need, &place, (now, jitter))?;
        let turn = self.get(key).map(|record| record.turn(&place));
        let unread = need.work.map_or(0, |work| work.prompt_tokens);
        let record = self.get_mut(key).ok_or(PickRefusal::Nobody)?;
        record.breaker.note_sent(now);
        record.note_sent(unread);
        if let Some(LimitTurn::Open(begun)) = turn {
            record.limit.note_used(begun);
        }
        Ok(PickedBackend {
            key,
            unread,
            asked,
            facts: record.facts.clone(),
            version: need.version.held_by(record),
        })
    }

    /// A call that was picked ended. `jitter` is random.
    pub(crate) fn end(&mut self, key: BackendKey, end: CallEnd, now: ClockTime, jitter: u32) {
        self.note_outcome(key, end, now, jitter);
        let is_listed = self.by_id.iter().any(|(_, listed)| *listed == key);
        let Some(slot) = self.records.get_mut(key.at()) else {
            return;
        };
        if let Some(record) = slot {
            assert!(record.own > 0, "a call ended that was not under way");
            record.own -= 1;
            if record.own == 0 && !is_listed {
                *slot = None;
            }
        }
    }

    /// What a call tells about its backend server. `jitter` is random.
    pub(super) fn note_outcome(
        &mut self,
        key: BackendKey,
        end: CallEnd,
        now: ClockTime,
        jitter: u32,
    ) {
        if let Some(record) = self.get_mut(key)
            && record.note_end(end, now, jitter)
        {
            log_event!(events::BACKEND_RESTED, "backend={}", record.facts.id);
        }
    }

    /// The process beside a backend server told its state.
    pub(crate) fn note_report(&mut self, report: LoadReport, now: ClockTime) {
        let Some(key) = self.serving_at(report.address) else {
            return;
        };
        let Some(record) = self.get_mut(key) else {
            return;
        };
        match WordOrder::of(report.born, record.facts.born) {
            WordOrder::Former => {}
            WordOrder::Same => record.note_report(report, now),
            WordOrder::Newer => {
                let facts = Arc::new(record.restarted(&report));
                if let Some(at) = self.by_id.iter().position(|(_, listed)| *listed == key) {
                    self.replace(at, &facts);
                    let key = self.by_id[at].1;
                    if let Some(record) = self.get_mut(key) {
                        record.note_report(report, now);
                    }
                }
            }
        }
    }

    /// The newest backend server at `address`: an earlier one may still be listed.
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
        self.records.get(key.at())?.as_ref()
    }

    /// The record at `key`, to be changed.
    pub(crate) fn get_mut(&mut self, key: BackendKey) -> Option<&mut BackendRecord> {
        self.records.get_mut(key.at())?.as_mut()
    }
}
