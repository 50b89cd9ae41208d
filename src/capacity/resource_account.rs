//! Decides what the process takes in, and what gives way to it.

use std::net::IpAddr;
use std::sync::Arc;

use macro_rules_attribute::apply;

use super::connection_lease::ConnectionSignals;
use super::connection_record::{
    ConnectionKey, ConnectionPhase, ConnectionRecord, ListenerRole, OverdueReason,
};
use super::process_limits::{
    ConnectionTimeouts, FIELD_BYTES_DEFAULT, ProcessLimits, ROLE_CONNECTIONS_MIN,
    ROLE_REQUESTS_MIN, request_bytes,
};
use crate::derives::{key, plain};
use crate::time::ClockTime;

/// Who is charged for a body.
#[apply(plain!)]
#[derive(Eq, PartialOrd, Ord)]
pub(crate) enum BodyOwner {
    /// A client account.
    Account(bytestring::ByteString),
    /// A client without an account.
    Address(IpAddr),
}

/// What the process holds.
#[apply(key!)]
#[derive(Default)]
pub(super) struct HeldBytes {
    pub(super) connections: usize,
    pub(super) requests: usize,
    pub(super) bodies: usize,
    /// The part of `bodies` that has been told to be given back.
    pub(super) revoked: usize,
}

impl HeldBytes {
    const fn total(self) -> usize {
        self.connections + self.requests + self.bodies - self.revoked
    }
}

/// Bytes of the bodies of one owner.
#[apply(plain!)]
struct OwnedBytes {
    owner: BodyOwner,
    held: usize,
    /// The part of `held` that has been told to be given back.
    revoked: usize,
}

/// What gave way or was refused.
#[apply(key!)]
#[derive(Default)]
pub(super) struct LimitedCounts {
    /// Connections that were closed to make room for others.
    pub(super) made_room: u64,
    /// Connections that were refused.
    pub(super) refused: u64,
    pub(super) requests_refused: u64,
    /// Bodies that had to give their bytes back.
    pub(super) bodies_revoked: u64,
}

impl LimitedCounts {
    pub(super) fn is_any(self) -> bool {
        self != Self::default()
    }
}

/// The listeners of one role.
#[apply(key!)]
#[derive(Default)]
struct RoleState {
    connections: usize,
    requests: usize,
    /// The largest header fields together, in bytes.
    field_bytes: usize,
    timeouts: ConnectionTimeouts,
}

/// The account of a process.
pub(super) struct ResourceAccount {
    limits: ProcessLimits,
    /// An arena; the indices of free places are in `free`.
    connections: Vec<Option<ConnectionRecord>>,
    free: Vec<usize>,
    generation: u64,
    /// Connections that were told to close and still exist.
    closing: usize,
    roles: [RoleState; ListenerRole::ALL.len()],
    held: HeldBytes,
    /// Bytes of bodies, sorted by owner.
    owners: Vec<OwnedBytes>,
    limited: LimitedCounts,
}

impl ResourceAccount {
    pub(super) fn new(limits: ProcessLimits) -> Self {
        let role = RoleState {
            field_bytes: FIELD_BYTES_DEFAULT,
            ..RoleState::default()
        };
        Self {
            limits,
            connections: Vec::new(),
            free: Vec::new(),
            generation: 0,
            closing: 0,
            roles: [role; ListenerRole::ALL.len()],
            held: HeldBytes::default(),
            owners: Vec::new(),
            limited: LimitedCounts::default(),
        }
    }

    /// Returns whether a connection has been told to close.
    #[cfg(test)]
    pub(super) fn is_closing(&self, key: ConnectionKey) -> bool {
        self.get(key).is_none_or(|record| record.is_closing)
    }

    /// Sets what the clients of `role` may do.
    pub(super) fn set_client_limits(
        &mut self,
        role: ListenerRole,
        field_bytes: usize,
        timeouts: ConnectionTimeouts,
    ) {
        let state = &mut self.roles[role as usize];
        state.field_bytes = field_bytes;
        state.timeouts = timeouts;
    }

    /// Returns the largest header fields at listeners of `role`, in bytes.
    pub(super) const fn field_bytes(&self, role: ListenerRole) -> usize {
        self.roles[role as usize].field_bytes
    }

    /// Returns what gave way or was refused since the last call.
    pub(super) fn take_limited(&mut self) -> LimitedCounts {
        std::mem::take(&mut self.limited)
    }

    pub(super) const fn held(&self) -> HeldBytes {
        self.held
    }

    /// Returns the number of connections of `role`.
    pub(super) const fn connection_count(&self, role: ListenerRole) -> usize {
        self.roles[role as usize].connections
    }

    /// Takes in a connection, in the place of another one if there is no room; `None` if that is
    /// not possible either.
    pub(super) fn open_connection(
        &mut self,
        role: ListenerRole,
        peer: IpAddr,
        signals: Arc<ConnectionSignals>,
        now: ClockTime,
    ) -> Option<ConnectionKey> {
        let phase = ConnectionPhase::Unused;
        if !self.make_connection_room(role, phase.connection_bytes(), 1, now) {
            self.limited.refused += 1;
            return None;
        }
        self.held.connections += phase.connection_bytes();
        self.roles[role as usize].connections += 1;
        self.generation += 1;
        let record = ConnectionRecord {
            generation: self.generation,
            role,
            peer,
            phase,
            since: now,
            blocked_since: None,
            request_bytes: 0,
            body_bytes: 0,
            body_owner: None,
            is_revoked: false,
            revoked_bytes: 0,
            is_closing: false,
            signals,
        };
        let index = self.free.pop().unwrap_or_else(|| {
            self.connections.push(None);
            self.connections.len() - 1
        });
        self.connections[index] = Some(record);
        Some(ConnectionKey {
            index,
            generation: self.generation,
        })
    }

    /// Removes a connection that is closed.
    pub(super) fn remove_connection(&mut self, key: ConnectionKey) {
        let Some(record) = self.connections.get_mut(key.index).and_then(Option::take) else {
            return;
        };
        debug_assert_eq!(record.generation, key.generation, "a place is freed once");
        self.free.push(key.index);
        if record.is_closing {
            self.closing -= 1;
        } else {
            self.held.connections -= record.phase.connection_bytes();
        }
        let state = &mut self.roles[record.role as usize];
        state.connections -= 1;
        if record.request_bytes > 0 {
            state.requests -= 1;
            self.held.requests -= record.request_bytes;
        }
    }

    /// Records that the first byte of a head has arrived. Returns whether there is room for it.
    pub(super) fn begin_head(&mut self, key: ConnectionKey, now: ClockTime) -> bool {
        let Some(record) = self.get(key) else {
            return false;
        };
        let (role, phase) = (record.role, record.phase);
        // The connection itself must not be what gives way.
        self.set_phase(key, ConnectionPhase::Request, now);
        let extra = ConnectionPhase::Head.connection_bytes() - phase.connection_bytes();
        let has_room = self.make_connection_room(role, extra, 0, now);
        self.set_phase(key, ConnectionPhase::Head, now);
        has_room
    }

    /// Records that a head is complete, with room for `fields` header fields. Returns whether there
    /// is room for its request.
    pub(super) fn begin_request(
        &mut self,
        key: ConnectionKey,
        fields: usize,
        now: ClockTime,
    ) -> bool {
        let Some(record) = self.get(key) else {
            return false;
        };
        let role = record.role;
        let bytes = request_bytes(fields);
        let is_exempt = self.roles[role as usize].requests < ROLE_REQUESTS_MIN;
        self.set_phase(key, ConnectionPhase::Request, now);
        if !is_exempt && !self.make_room(key, bytes, now) {
            self.limited.requests_refused += 1;
            return false;
        }
        self.roles[role as usize].requests += 1;
        self.held.requests += bytes;
        if let Some(record) = self.get_mut(key) {
            record.request_bytes = bytes;
        }
        true
    }

    /// Records that a response is complete, or that its request was refused.
    pub(super) fn end_request(&mut self, key: ConnectionKey, now: ClockTime) {
        let Some(record) = self.get_mut(key) else {
            return;
        };
        let (role, bytes) = (record.role, std::mem::take(&mut record.request_bytes));
        if bytes > 0 {
            self.roles[role as usize].requests -= 1;
            self.held.requests -= bytes;
        }
        self.set_phase(key, ConnectionPhase::Idle, now);
    }

    /// Records whether the peer of a connection takes no more bytes at present.
    pub(super) fn note_blocked(&mut self, key: ConnectionKey, is_blocked: bool, now: ClockTime) {
        if let Some(record) = self.get_mut(key) {
            record.blocked_since = is_blocked.then_some(now);
        }
    }

    /// Records that a connection is written to no more. Returns whether the rest of its request, or
    /// of a head that was refused, has to be discarded.
    pub(super) fn begin_linger(
        &mut self,
        key: ConnectionKey,
        has_unread_body: bool,
        now: ClockTime,
    ) -> bool {
        let phase = self.get(key).map(|record| record.phase);
        let has_rest = has_unread_body || phase == Some(ConnectionPhase::Head);
        if has_rest {
            self.set_phase(key, ConnectionPhase::Lingering, now);
        }
        has_rest
    }

    fn set_phase(&mut self, key: ConnectionKey, phase: ConnectionPhase, now: ClockTime) {
        let Some(record) = self.get_mut(key) else {
            return;
        };
        let (before, is_closing) = (record.phase, record.is_closing);
        record.phase = phase;
        record.since = now;
        if !is_closing {
            self.held.connections += phase.connection_bytes();
            self.held.connections -= before.connection_bytes();
        }
    }

    /// Records that the body of a request begins to arrive.
    pub(super) fn begin_body(&mut self, key: ConnectionKey, now: ClockTime) {
        self.set_phase(key, ConnectionPhase::Body, now);
    }

    /// Records that the body of a request has arrived. Returns whether it keeps its bytes.
    pub(super) fn finish_body(&mut self, key: ConnectionKey, now: ClockTime) -> bool {
        let Some(record) = self.get_mut(key) else {
            return false;
        };
        if record.is_revoked {
            return false;
        }
        record.body_bytes = 0;
        record.body_owner = None;
        self.set_phase(key, ConnectionPhase::Request, now);
        true
    }

    /// Returns the bytes of a body that is not read to its end.
    pub(super) fn abandon_body(
        &mut self,
        key: ConnectionKey,
        owner: &BodyOwner,
        bytes: usize,
        now: ClockTime,
    ) {
        if let Some(record) = self.get_mut(key) {
            record.body_bytes = 0;
            record.body_owner = None;
            record.is_revoked = false;
            let revoked = std::mem::take(&mut record.revoked_bytes);
            self.held.revoked -= revoked;
            if let Ok(at) = self.find_owner(owner) {
                self.owners[at].revoked -= revoked;
            }
        }
        self.set_phase(key, ConnectionPhase::Request, now);
        self.release_body(owner, bytes);
    }

    /// Returns the bytes of a body to the account.
    pub(super) fn release_body(&mut self, owner: &BodyOwner, bytes: usize) {
        self.held.bodies -= bytes;
        if let Ok(at) = self.find_owner(owner) {
            self.owners[at].held -= bytes;
            if self.owners[at].held == 0 {
                self.owners.remove(at);
            }
        }
    }

    /// Charges `extra` bytes for a body of `owner` that arrives on the connection of `key`. Bodies
    /// that arrive slowly give way. Returns whether there is room.
    pub(super) fn charge_body(
        &mut self,
        key: ConnectionKey,
        owner: &BodyOwner,
        extra: usize,
        now: ClockTime,
    ) -> bool {
        if self.get(key).is_none_or(|record| record.is_revoked) {
            return false;
        }
        let has_room =
            self.make_owner_room(key, owner, extra, now) && self.make_body_room(key, extra, now);
        if !has_room {
            return false;
        }
        let at = self.find_owner(owner).unwrap_or_else(|at| {
            let entry = OwnedBytes {
                owner: owner.clone(),
                held: 0,
                revoked: 0,
            };
            self.owners.insert(at, entry);
            at
        });
        self.owners[at].held += extra;
        self.held.bodies += extra;
        if let Some(record) = self.get_mut(key) {
            record.body_bytes += extra;
            record.body_owner = Some(owner.clone());
        }
        true
    }

    /// Closes the connections of `role` that are overdue at `now`; returns the reasons.
    pub(super) fn close_overdue(
        &mut self,
        role: ListenerRole,
        now: ClockTime,
    ) -> Vec<OverdueReason> {
        let timeouts = self.roles[role as usize].timeouts;
        let mut reasons = Vec::new();
        for index in 0..self.connections.len() {
            let record = self.connections[index].as_ref();
            let record = record.filter(|record| record.role == role);
            if let Some(reason) = record.and_then(|record| record.overdue(timeouts, now)) {
                self.close(index);
                reasons.push(reason);
            }
        }
        reasons
    }

    /// Returns the address of the peer of a connection.
    pub(super) fn peer(&self, key: ConnectionKey) -> Option<IpAddr> {
        self.get(key).map(|record| record.peer)
    }

    /// Makes room for `extra` bytes and `count` more connections of `role`. Returns whether there
    /// is room.
    fn make_connection_room(
        &mut self,
        role: ListenerRole,
        extra: usize,
        count: usize,
        now: ClockTime,
    ) -> bool {
        while !self.has_connection_room(role, extra, count) {
            let Some(index) = self.first_to_close(now) else {
                return false;
            };
            self.close(index);
            self.limited.made_room += 1;
        }
        true
    }

    /// A connection that was told to close counts no more: it ends before the next ones are
    /// accepted.
    fn has_connection_room(&self, role: ListenerRole, extra: usize, count: usize) -> bool {
        let open: usize = self.roles.iter().map(|state| state.connections).sum();
        let kept_free: usize = ListenerRole::ALL
            .iter()
            .filter(|other| **other != role)
            .map(|other| ROLE_CONNECTIONS_MIN.saturating_sub(self.connection_count(*other)))
            .sum();
        let bytes = self.held.connections + extra;
        open - self.closing + count + kept_free <= self.limits.connections_max()
            && bytes <= self.limits.connection_bytes_max()
    }

    /// Returns the connection that is the first to give way to others.
    fn first_to_close(&self, now: ClockTime) -> Option<usize> {
        let records = self.connections.iter().enumerate();
        let ranked = records.filter_map(|(index, record)| {
            let record = record.as_ref()?;
            Some((record.eviction_rank(now)?, record.since, index))
        });
        ranked.min().map(|(_, _, index)| index)
    }

    /// Makes room for `extra` bytes of the connection of `key`; idle connections give way, and
    /// requests whose bodies arrive slowly. Returns whether there is room.
    fn make_room(&mut self, key: ConnectionKey, extra: usize, now: ClockTime) -> bool {
        while self.held.total() + extra > self.limits.held_max() {
            let may_close = self.held.connections > self.limits.connection_bytes_kept();
            if let Some(index) = self.first_to_close(now).filter(|_| may_close) {
                self.close(index);
                self.limited.made_room += 1;
            } else if let Some(index) = self.slowest_body(key, now, |_| true) {
                self.revoke(index);
            } else {
                return false;
            }
        }
        true
    }

    fn close(&mut self, index: usize) {
        if let Some(record) = &mut self.connections[index] {
            record.is_closing = true;
            record.signals.close();
            self.closing += 1;
            self.held.connections -= record.phase.connection_bytes();
        }
    }

    fn find_owner(&self, owner: &BodyOwner) -> Result<usize, usize> {
        self.owners.binary_search_by(|owned| owned.owner.cmp(owner))
    }

    /// Makes room for `extra` bytes in the part of `owner`; its own bodies that arrive slowly give
    /// way. Returns whether there is room.
    fn make_owner_room(
        &mut self,
        key: ConnectionKey,
        owner: &BodyOwner,
        extra: usize,
        now: ClockTime,
    ) -> bool {
        loop {
            let found = self.find_owner(owner).map(|at| &self.owners[at]);
            let held = found.map_or(0, |entry| entry.held - entry.revoked);
            if held + extra <= self.limits.client_bytes_max() {
                return true;
            }
            let slow =
                self.slowest_body(key, now, |record| record.body_owner.as_ref() == Some(owner));
            let Some(index) = slow else {
                return false;
            };
            self.revoke(index);
        }
    }

    /// Makes room for `extra` bytes of a body on the connection of `key`; bodies that arrive slowly
    /// give way. Returns whether there is room.
    fn make_body_room(&mut self, key: ConnectionKey, extra: usize, now: ClockTime) -> bool {
        while self.held.bodies - self.held.revoked + extra > self.limits.body_bytes_max() {
            let slow = self.slowest_body(key, now, |record| record.body_bytes > 0);
            let Some(index) = slow else {
                return false;
            };
            self.revoke(index);
        }
        self.make_room(key, extra, now)
    }

    /// Returns the connection whose slow body began first, of those that `selects` selects, beside
    /// that of `key`.
    fn slowest_body(
        &self,
        key: ConnectionKey,
        now: ClockTime,
        selects: impl Fn(&ConnectionRecord) -> bool,
    ) -> Option<usize> {
        let records = self.connections.iter().enumerate();
        let slow = records.filter_map(|(index, record)| {
            let record = record.as_ref()?;
            let is_slow = index != key.index && record.is_slow_body(now);
            (is_slow && selects(record)).then_some((record.since, index))
        });
        slow.min().map(|(_, index)| index)
    }

    /// Tells an arriving body to give its memory back. Its request counts no more: it is refused
    /// before others are read.
    fn revoke(&mut self, index: usize) {
        if let Some(record) = &mut self.connections[index] {
            record.is_revoked = true;
            record.signals.revoke_body();
            record.revoked_bytes = record.body_bytes;
            self.held.revoked += record.revoked_bytes;
            self.limited.bodies_revoked += 1;
            self.held.requests -= record.request_bytes;
            if std::mem::take(&mut record.request_bytes) > 0 {
                self.roles[record.role as usize].requests -= 1;
            }
            let (owner, revoked) = (record.body_owner.clone(), record.revoked_bytes);
            if let Some(Ok(at)) = owner.map(|owner| self.find_owner(&owner)) {
                self.owners[at].revoked += revoked;
            }
        }
    }

    fn get(&self, key: ConnectionKey) -> Option<&ConnectionRecord> {
        let record = self.connections.get(key.index)?.as_ref()?;
        (record.generation == key.generation).then_some(record)
    }

    fn get_mut(&mut self, key: ConnectionKey) -> Option<&mut ConnectionRecord> {
        let record = self.connections.get_mut(key.index)?.as_mut()?;
        (record.generation == key.generation).then_some(record)
    }
}
