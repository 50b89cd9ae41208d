//! One backend server as an entry host sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;

use super::breaker::CircuitBreaker;
use super::load_estimate::LoadEstimate;
use super::rendezvous::name_hash;
use crate::control::{MemberRecord, MemberState};
use crate::errors::ErrorKind;
use crate::membership::HostStatus;
use crate::time::ClockTime;

/// Weight of the newest service time in the average, as a divisor.
const AVERAGE_PART: u64 = 8;

/// What is known of one backend server.
#[derive(Debug)]
pub(super) struct BackendServer {
    pub(super) host: ByteString,
    pub(super) hash: u64,
    pub(super) peer: SocketAddr,
    pub(super) near: Nearness,
    pub(super) state: MemberState,
    pub(super) status: Option<Arc<HostStatus>>,
    /// A refusal told that it takes no work; holds until its next own word.
    pub(super) shunned: bool,
    pub(super) estimate: LoadEstimate,
    pub(super) breaker: CircuitBreaker,
    /// Average time that our requests took there, in microseconds; 0 while none has ended.
    pub(super) service_micros: u64,
}

/// How near a backend server is; nearer ones come first while they have room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Nearness {
    /// In this data centre.
    DataCentre,
    /// In this region.
    Region,
    /// In another region.
    Far,
    /// It has been silent: only when nobody else can.
    Suspected,
}

impl BackendServer {
    pub(super) fn new(member: &MemberRecord, near: Nearness, now: ClockTime) -> Self {
        Self {
            hash: name_hash(&member.host),
            host: member.host.clone(),
            peer: member.peer_address,
            near,
            state: member.state,
            status: None,
            shunned: false,
            estimate: LoadEstimate::new(now),
            breaker: CircuitBreaker::default(),
            service_micros: 0,
        }
    }

    /// Takes what the control state says of it now.
    pub(super) fn refresh(
        &mut self,
        member: &MemberRecord,
        near: Nearness,
        lag: Duration,
        now: ClockTime,
    ) {
        self.peer = member.peer_address;
        self.near = near;
        self.state = member.state;
        let Some(status) = &member.status else {
            return;
        };
        let before = self.status.as_ref();
        let is_new = before.is_none_or(|before| is_newer(status, before));
        if !is_new {
            return;
        }
        let restarted = before.is_some_and(|before| before.incarnation != status.incarnation);
        if restarted {
            self.breaker = CircuitBreaker::default();
        }
        self.shunned = false;
        self.estimate.take_report(status.load, lag, now);
        self.status = Some(status.clone());
    }

    /// Whether new work may go there at all. Without a word of its own its incarnation is not
    /// known, and no order can name it.
    pub(super) fn is_usable(&self, needs_weights: bool) -> bool {
        let Some(status) = &self.status else {
            return false;
        };
        let is_there = matches!(self.state, MemberState::Live | MemberState::Suspected);
        let has_weights = !needs_weights || status.serving.is_some();
        is_there && !status.leaving && !self.shunned && has_weights
    }

    /// Whether one more request fits. Urgent requests may wait at the host, which puts them first;
    /// others wait here, but each entry host may always use its fair part of the backend server,
    /// or one that came late would find it full for good.
    pub(super) fn has_room(&self, urgent: bool, entries: u32) -> bool {
        let total = self.estimate.total();
        let capacity = self.estimate.capacity();
        let fair_part = capacity.div_ceil(entries.max(1));
        let may_wait_there = urgent || self.estimate.own() < fair_part;
        let most = capacity.saturating_add(self.estimate.queue_room());
        total < capacity || (may_wait_there && total < most)
    }

    /// How long one more request would take there, in microseconds; `average` stands in while none
    /// of ours has ended there.
    pub(super) fn expected_micros(&self, average: u64) -> u64 {
        let service = match self.service_micros {
            0 => average.max(1),
            known => known,
        };
        let behind = u64::from(self.estimate.total()) + 1;
        service * behind / u64::from(self.estimate.capacity())
    }

    pub(super) fn note_service_time(&mut self, took: Duration) {
        self.service_micros = average(self.service_micros, took);
    }

    /// Takes what a failure says about the backend server. Returns whether its breaker has opened.
    pub(super) fn note_failure(&mut self, kind: ErrorKind, now: ClockTime, jitter: u32) -> bool {
        match kind {
            ErrorKind::BackendBusy => self.estimate.note_full(),
            ErrorKind::BackendLeaving | ErrorKind::WeightsNotReady => self.shunned = true,
            _ => {}
        }
        if is_its_fault(kind) {
            self.breaker.note_failure(now, jitter)
        } else {
            self.breaker.note_nothing(now);
            false
        }
    }

    /// The fencing number under which it holds `slot`.
    pub(super) fn fence_of(&self, slot: u16) -> Option<u64> {
        let status = self.status.as_ref()?;
        let found = status.slots.binary_search_by_key(&slot, |hold| hold.slot);
        found.ok().map(|at| status.slots[at].fence)
    }
}

/// The moving average `known` with `newest` in it; 0 stands for none so far.
pub(super) fn average(known: u64, newest: Duration) -> u64 {
    let micros = u64::try_from(newest.as_micros()).unwrap_or(u64::MAX);
    let mixed = match known {
        0 => micros,
        _ => known - known / AVERAGE_PART + micros / AVERAGE_PART,
    };
    mixed.max(1)
}

fn is_newer(status: &HostStatus, before: &HostStatus) -> bool {
    (status.incarnation, status.sequence) > (before.incarnation, before.sequence)
}

/// Whether a failure lies with the backend server or the way there.
const fn is_its_fault(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectFailed
            | ErrorKind::PeerSilent
            | ErrorKind::AnswerCut
            | ErrorKind::AnswerForeign
            | ErrorKind::AnswerDamaged
            | ErrorKind::EngineFailed
            | ErrorKind::EngineRefused
            | ErrorKind::MessageInvalid
            | ErrorKind::Internal
    )
}
