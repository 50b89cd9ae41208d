//! The leases on the slots of one service, as one host process sees them.

use std::time::Duration;

use bytestring::ByteString;

use super::keyed_call::SlotGrant;
use super::slots::name_digest;
use crate::leases::{LeaseHolder, LeaseMachine, LeaseRecord, LeaseStep};
use crate::membership::SlotHold;
use crate::stores::RowRevision;
use crate::time::{ClockTime, WallTime};

/// How long another host must have been the better holder of a slot before it is given up, so that
/// a host that comes and goes does not make slots wander.
const GIVE_UP_AFTER: Duration = Duration::from_secs(10);

/// This process's side of every slot.
#[derive(Debug)]
pub(crate) struct SlotTable {
    holder: LeaseHolder,
    sides: Vec<SlotSide>,
    /// Whether the process is leaving: nothing is wanted, everything is given back.
    is_leaving: bool,
}

#[derive(Debug)]
struct SlotSide {
    lease: LeaseMachine,
    is_wanted: bool,
    /// Since when another host should have it.
    unwanted_since: Option<ClockTime>,
    /// It is about to be given back: nothing new starts in it.
    is_closing: bool,
}

impl SlotTable {
    /// The side of `holder` of the first `slot_count` slots, whose leases last `length` from each
    /// renewal.
    pub(crate) fn new(holder: LeaseHolder, length: Duration, slot_count: u16) -> Self {
        let side = |_| SlotSide {
            lease: LeaseMachine::new(holder.clone(), length),
            is_wanted: false,
            unwanted_since: None,
            is_closing: false,
        };
        let sides = (0..slot_count).map(side).collect();
        Self {
            holder,
            sides,
            is_leaving: false,
        }
    }

    /// Takes over which hosts may hold slots, this one among them, and whether calls of the service
    /// may run without a claim in an outage.
    pub(crate) fn on_hosts(
        &mut self,
        service: &str,
        hosts: &[ByteString],
        runs_unclaimed: bool,
        now: ClockTime,
    ) {
        let own = &self.holder.host;
        for (slot, side) in (0..).zip(&mut self.sides) {
            let winner = best_host(service, slot, hosts);
            side.is_wanted = !self.is_leaving && winner.is_none_or(|host| host == own);
            side.unwanted_since = match (side.is_wanted, side.unwanted_since) {
                (true, _) => None,
                (false, since) => since.or(Some(now)),
            };
            side.lease.set_acts_untraced(runs_unclaimed);
        }
    }

    /// From now on nothing is wanted.
    pub(crate) fn leave(&mut self) {
        self.is_leaving = true;
        for side in &mut self.sides {
            side.is_wanted = false;
            side.is_closing = true;
        }
    }

    /// The rows of all slots stand as read at `now`.
    pub(crate) fn on_listed(
        &mut self,
        mut row_of: impl FnMut(u16) -> Option<(RowRevision, LeaseRecord)>,
        now: ClockTime,
    ) {
        for (slot, side) in (0..).zip(&mut self.sides) {
            side.lease.on_read(row_of(slot), now);
        }
    }

    /// Whether the rows have to be read: something is in doubt, or wanted and not held.
    pub(crate) fn needs_reading(&self, now: ClockTime) -> bool {
        let mut sides = self.sides.iter();
        sides.any(|side| {
            let is_missing = side.is_wanted && side.lease.fence_at(now).is_none();
            is_missing || side.lease.is_in_doubt()
        })
    }

    /// Writes that are due, at most `limit`. `may_renew` says whether a held slot's calls all have
    /// their trace in the table.
    pub(crate) fn due_writes(
        &mut self,
        limit: usize,
        now: ClockTime,
        wall: WallTime,
        may_renew: impl Fn(u16) -> bool,
    ) -> Vec<SlotWrite> {
        let mut writes = Vec::new();
        for (slot, side) in (0..).zip(&mut self.sides) {
            let is_held = side.lease.fence_at(now).is_some();
            let is_kept = side.is_wanted || (is_held && !side.is_closing);
            if writes.len() >= limit || !is_kept || side.lease.is_in_doubt() || !may_renew(slot) {
                continue;
            }
            if let LeaseStep::Write { expected, record } = side.lease.next_step(now, wall) {
                writes.push(SlotWrite {
                    slot,
                    expected,
                    record,
                });
            }
        }
        writes
    }

    /// The write of `slot` took effect.
    pub(crate) fn on_written(&mut self, slot: u16, revision: RowRevision) {
        self.side(slot).lease.on_written(revision);
    }

    /// Another write to the row of `slot` came first.
    pub(crate) fn on_conflict(
        &mut self,
        slot: u16,
        row: Option<(RowRevision, LeaseRecord)>,
        now: ClockTime,
    ) {
        self.side(slot).lease.on_read(row, now);
    }

    /// It is not known whether the write of `slot` took effect.
    pub(crate) fn on_doubt(&mut self, slot: u16) {
        self.side(slot).lease.on_doubt();
    }

    /// Closes held slots that another host should have. `is_idle` says whether nothing of a slot is
    /// under way; only then is it given back, by the returned writes.
    pub(crate) fn give_back(
        &mut self,
        now: ClockTime,
        is_idle: impl Fn(u16) -> bool,
    ) -> Vec<SlotWrite> {
        let mut writes = Vec::new();
        for (slot, side) in (0..).zip(&mut self.sides) {
            if side.lease.fence_at(now).is_none() {
                side.is_closing = self.is_leaving;
                continue;
            }
            let is_due = side
                .unwanted_since
                .is_some_and(|since| now.since(since) >= GIVE_UP_AFTER);
            side.is_closing = self.is_leaving || is_due;
            if !side.is_closing || side.lease.is_in_doubt() || !is_idle(slot) {
                continue;
            }
            if let Some((expected, record)) = side.lease.release() {
                writes.push(SlotWrite {
                    slot,
                    expected,
                    record,
                });
            }
        }
        writes
    }

    /// What the lease on `slot` allows now; `None` when this process may start nothing in it.
    pub(crate) fn grant(&self, slot: u16, now: ClockTime) -> Option<SlotGrant> {
        let side = self.sides.get(usize::from(slot))?;
        let record = side.lease.held_record(now).filter(|_| !side.is_closing)?;
        Some(SlotGrant {
            fence: record.fence,
            runs_unclaimed: side.lease.may_act_untraced(now),
            taken: WallTime(record.taken_wall_ms),
            doubts: record.doubts.clone(),
        })
    }

    /// The slots that are open here.
    pub(crate) fn holds(&self, now: ClockTime) -> Vec<SlotHold> {
        let hold = |slot| {
            let fence = self.grant(slot, now)?.fence;
            Some(SlotHold { slot, fence })
        };
        self.slots().filter_map(hold).collect()
    }

    /// Whether any lease is held, open or about to be given back.
    pub(crate) fn holds_any(&self, now: ClockTime) -> bool {
        let mut sides = self.sides.iter();
        sides.any(|side| side.lease.fence_at(now).is_some())
    }

    /// The slots that are wanted here and not held.
    pub(crate) fn missing(&self, now: ClockTime) -> Vec<u16> {
        let is_missing = |slot: &u16| {
            let side = &self.sides[usize::from(*slot)];
            side.is_wanted && side.lease.fence_at(now).is_none()
        };
        self.slots().filter(is_missing).collect()
    }

    fn slots(&self) -> impl Iterator<Item = u16> {
        (0..).zip(&self.sides).map(|(slot, _)| slot)
    }

    fn side(&mut self, slot: u16) -> &mut SlotSide {
        &mut self.sides[usize::from(slot)]
    }
}

/// A write to the row of one slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotWrite {
    pub(crate) slot: u16,
    pub(crate) expected: RowRevision,
    pub(crate) record: LeaseRecord,
}

/// The host of `hosts` that should hold `slot`, by rendezvous hashing: a host that goes or comes
/// moves only its own share.
fn best_host<'a>(service: &str, slot: u16, hosts: &'a [ByteString]) -> Option<&'a ByteString> {
    let slot = slot.to_string();
    hosts
        .iter()
        .max_by_key(|host| name_digest(&[service, &slot, host]))
}
