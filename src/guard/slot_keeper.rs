//! The edge of the slots' leases: reads and writes their rows, and says on the status board what is
//! held.

use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use futures::StreamExt;
use futures::stream;
use rand::RngExt;

use super::claim_rules::CLAIM_KEPT_MS;
use super::events;
use super::shared::GuardShared;
use super::slot_table::SlotWrite;
use super::slots::{lease_key, lease_prefix};
use crate::control::{ControlSnapshot, MemberState, SharedSnapshot};
use crate::documents::OutageRule;
use crate::errors::SwitchResult;
use crate::events::log_event;
use crate::leases::LeaseRecord;
use crate::metrics::{count_event, set_level};
use crate::stores::{HostRole, RowRevision, TableRow, WriteResult};
use crate::time::{ClockTime, clock_now, wall_now};

/// How often the leases are looked after.
const TICK: Duration = Duration::from_millis(250);
/// How often the rows are read while a wanted slot is held by nobody that is known.
const READ_SOON: Duration = Duration::from_secs(1);
/// How often the rows are read while a wanted slot is held by another host.
const READ_LATER: Duration = Duration::from_secs(5);
/// Writes under way at a time.
const WRITES_AT_ONCE: usize = 8;
/// How often giving a lease back is tried: until it works, nobody else can have it.
const RELEASE_TRIES: usize = 3;
/// How long a starting process waits for the first news of the other hosts; without it each host of
/// a service that starts as a whole would take all slots.
const FIRST_NEWS_WITHIN: Duration = Duration::from_secs(5);
/// How often claims are looked at that may go.
const SWEEP_EVERY: Duration = Duration::from_mins(1);
/// Claims removed in one sweep at most.
const SWEEP_REMOVALS: usize = 200;

/// Looks after the leases for as long as the process runs.
pub(super) async fn keep_slots(shared: Arc<GuardShared>, snapshot: SharedSnapshot) {
    let started = clock_now();
    let mut keeper = SlotKeeper {
        shared,
        snapshot,
        read_next: ClockTime::default(),
        sweep_next: started + SWEEP_EVERY,
        sweep_slot: 0,
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let news = keeper.snapshot.load();
        let is_early = clock_now() < started + FIRST_NEWS_WITHIN;
        if !keeper.knows_itself(&news) && is_early {
            continue;
        }
        keeper.tick(&news).await;
    }
}

struct SlotKeeper {
    shared: Arc<GuardShared>,
    snapshot: SharedSnapshot,
    read_next: ClockTime,
    sweep_next: ClockTime,
    sweep_slot: usize,
}

impl SlotKeeper {
    fn knows_itself(&self, news: &ControlSnapshot) -> bool {
        news.member(&self.shared.host).is_some()
    }

    async fn tick(&mut self, news: &ControlSnapshot) {
        self.take_news(news);
        self.read_rows(news).await;
        self.write_rows().await;
        self.give_back().await;
        self.publish();
        self.sweep().await;
    }

    fn take_news(&self, news: &ControlSnapshot) {
        let hosts = self.live_hosts(news);
        let service = &self.shared.service;
        let rule = |outage: OutageRule| outage == OutageRule::Lease;
        let runs_unclaimed = news.service(service).is_some_and(|record| {
            let mut routes = record.document.routes.iter();
            routes.any(|route| rule(route.in_outage))
        });
        let mut state = self.shared.lock();
        if self.shared.drain.is_draining() {
            state.slots.leave();
        }
        state
            .slots
            .on_hosts(service, &hosts, runs_unclaimed, clock_now());
    }

    /// The hosts that may hold slots of this service, this one among them.
    fn live_hosts(&self, news: &ControlSnapshot) -> Vec<ByteString> {
        let shared = &self.shared;
        let members = news.members.iter().filter(|member| {
            member.role == HostRole::Backend
                && member.service.as_ref() == Some(&shared.service)
                && member.state == MemberState::Live
                && member.host != shared.host
        });
        let mut hosts: Vec<_> = members.map(|member| member.host.clone()).collect();
        hosts.push(shared.host.clone());
        hosts
    }

    /// Reads all rows at once, if anything depends on them: the number of reads does not grow with
    /// the number of slots, and a host that holds its share reads nothing.
    async fn read_rows(&mut self, news: &ControlSnapshot) {
        let now = clock_now();
        let missing = {
            let state = self.shared.lock();
            if now < self.read_next || !state.slots.needs_reading(now) {
                return;
            }
            state.slots.missing(now)
        };
        let is_held_elsewhere = |slot: &u16| holds_slot(news, &self.shared.host, *slot);
        let pace = if missing.iter().all(is_held_elsewhere) {
            READ_LATER
        } else {
            READ_SOON
        };
        // Hosts that miss a slot at the same time do not read at the same time for long.
        let jitter = rand::rng().random_range(0.8..1.2);
        self.read_next = now + pace.mul_f64(jitter);
        let service = &self.shared.service;
        match self.shared.claims.table.list(&lease_prefix(service)).await {
            Ok(rows) => self.on_rows(&rows),
            Err(_) => self.shared.lock().table_failed(clock_now()),
        }
    }

    fn on_rows(&self, rows: &[TableRow]) {
        let service = &self.shared.service;
        let row_of = |slot: u16| {
            let key = lease_key(service, slot);
            let found = rows.binary_search_by(|row| row.key.as_str().cmp(&key));
            found.ok().and_then(|at| read_row(&rows[at]))
        };
        self.shared.lock().slots.on_listed(row_of, clock_now());
    }

    async fn write_rows(&self) {
        loop {
            let writes = {
                let mut guard = self.shared.lock();
                let state = &mut *guard;
                let keys = &state.keys;
                let may_renew = |slot| !keys.has_untraced(slot);
                state
                    .slots
                    .due_writes(WRITES_AT_ONCE, clock_now(), wall_now(), may_renew)
            };
            let count = writes.len();
            let results = stream::iter(writes)
                .map(|write| self.write_row(write))
                .buffer_unordered(WRITES_AT_ONCE);
            let answered: Vec<bool> = results.collect().await;
            if count < WRITES_AT_ONCE || answered.contains(&false) {
                return;
            }
        }
    }

    /// Writes one row; returns whether the table answered.
    async fn write_row(&self, write: SlotWrite) -> bool {
        let result = self.put_row(&write).await;
        let mut state = self.shared.lock();
        match result {
            Ok(WriteResult::Written(revision)) => {
                if write.record.renewals == 0 {
                    log_event!(
                        events::SLOT_TAKEN,
                        "{} fence {}",
                        write.slot,
                        write.record.fence
                    );
                }
                state.slots.on_written(write.slot, revision);
                true
            }
            Ok(WriteResult::Conflict(row)) => {
                let row = row.as_ref().and_then(read_row);
                state.slots.on_conflict(write.slot, row, clock_now());
                true
            }
            Err(_) => {
                state.slots.on_doubt(write.slot);
                state.table_failed(clock_now());
                false
            }
        }
    }

    async fn put_row(&self, write: &SlotWrite) -> SwitchResult<WriteResult> {
        let key = lease_key(&self.shared.service, write.slot);
        let value = serde_json::to_vec(&write.record).unwrap_or_default();
        let table = &self.shared.claims.table;
        table.write(&key, write.expected, value.into()).await
    }

    async fn give_back(&self) {
        let writes = {
            let mut guard = self.shared.lock();
            let state = &mut *guard;
            let keys = &state.keys;
            state
                .slots
                .give_back(clock_now(), |slot| keys.is_idle(slot))
        };
        let releases = writes.into_iter().map(|write| self.release(write));
        stream::iter(releases)
            .buffer_unordered(WRITES_AT_ONCE)
            .for_each(|()| async {})
            .await;
    }

    async fn release(&self, write: SlotWrite) {
        for _ in 0..RELEASE_TRIES {
            // A conflict means that an earlier try took effect.
            if self.put_row(&write).await.is_ok() {
                log_event!(events::SLOT_RELEASED, "{}", write.slot);
                return;
            }
        }
        count_event("slot_release_failed", 1);
    }

    fn publish(&self) {
        let holds = self.shared.lock().slots.holds(clock_now());
        set_level("guard_slots", &self.shared.service, holds.len() as u64);
        self.shared.board.update(|status| status.slots = holds);
    }

    /// Removes old claims of one held slot.
    async fn sweep(&mut self) {
        let now = clock_now();
        if now < self.sweep_next {
            return;
        }
        self.sweep_next = now + SWEEP_EVERY;
        let holds = self.shared.lock().slots.holds(now);
        let Some(hold) = holds.get(self.sweep_slot % holds.len().max(1)) else {
            return;
        };
        self.sweep_slot += 1;
        let before = wall_now().0.saturating_sub(CLAIM_KEPT_MS);
        let claims = &self.shared.claims;
        if let Ok(removed) = claims.remove_old(hold.slot, before, SWEEP_REMOVALS).await {
            count_event("claims_removed", removed as u64);
        }
    }
}

fn read_row(row: &TableRow) -> Option<(RowRevision, LeaseRecord)> {
    let record = serde_json::from_slice(&row.value).ok()?;
    Some((row.revision, record))
}

/// Whether another live host says that it holds `slot`.
fn holds_slot(news: &ControlSnapshot, own: &ByteString, slot: u16) -> bool {
    news.members.iter().any(|member| {
        let holds = |status: &crate::membership::HostStatus| {
            status.slots.iter().any(|hold| hold.slot == slot)
        };
        member.host != *own && member.status.as_deref().is_some_and(holds)
    })
}
