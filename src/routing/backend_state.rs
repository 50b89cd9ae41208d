//! One backend server as an entry host sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;

use super::circuit_breaker::CircuitBreaker;
use super::load_estimate::LoadEstimate;
use super::rendezvous::name_hash;
use crate::control::{MemberRecord, MemberState};
use crate::errors::ErrorKind;
use crate::membership::HostStatus;
use crate::time::ClockTime;

/// One place in so many is kept for urgent requests.
const HEADROOM_DIVISOR: u32 = 8;
/// What is kept of the earlier requests when another has ended.
const LATENCY_DECAY: f64 = 0.95;

/// What is known of one backend server.
#[derive(Debug)]
pub(super) struct BackendState {
    pub(super) host: ByteString,
    pub(super) hash: u64,
    pub(super) peer: SocketAddr,
    pub(super) nearness: Nearness,
    pub(super) state: MemberState,
    pub(super) status: Option<Arc<HostStatus>>,
    /// A refusal told that it takes no work; holds until its next own word.
    pub(super) has_refused_work: bool,
    pub(super) estimate: LoadEstimate,
    pub(super) breaker: CircuitBreaker,
    /// How long our requests took there by their cost.
    pub(super) cost_latency: CostLatency,
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

impl BackendState {
    pub(super) fn new(member: &MemberRecord, nearness: Nearness, now: ClockTime) -> Self {
        Self {
            hash: name_hash(&member.host),
            host: member.host.clone(),
            peer: member.peer_address,
            nearness,
            state: member.state,
            status: None,
            has_refused_work: false,
            estimate: LoadEstimate::new(now),
            breaker: CircuitBreaker::default(),
            cost_latency: CostLatency::default(),
        }
    }

    /// Takes what the control state says of it now.
    pub(super) fn refresh(
        &mut self,
        member: &MemberRecord,
        nearness: Nearness,
        lag: Duration,
        now: ClockTime,
    ) {
        self.peer = member.peer_address;
        self.nearness = nearness;
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
        self.has_refused_work = false;
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
        is_there && !status.leaving && !self.has_refused_work && has_weights
    }

    /// Whether one more request would run at once, with the headroom kept if it is not urgent.
    pub(super) fn has_free_slot(&self, urgent: bool) -> bool {
        self.estimate.total() < self.usable_capacity(urgent)
    }

    /// Whether one more request may wait there. Urgent requests may, since the host puts them
    /// first; others wait here, but each entry host may always use its fair part of the backend
    /// server, or one that came late would find it full for good.
    pub(super) fn can_queue(&self, urgent: bool, entries: u32) -> bool {
        let fair_share = self.usable_capacity(urgent).div_ceil(entries.max(1));
        let may_wait = urgent || self.estimate.own_count() < fair_share;
        let limit = self
            .estimate
            .capacity()
            .saturating_add(self.estimate.queue_room());
        may_wait && self.estimate.total() < limit
    }

    fn usable_capacity(&self, urgent: bool) -> u32 {
        let capacity = self.estimate.capacity();
        if urgent {
            capacity
        } else {
            capacity - urgent_headroom(capacity)
        }
    }

    /// How long one more request would take there, by the pace of its own or else by `service_latency`, the
    /// pace of all; smaller is better. A free backend server that is half used may be full by the
    /// time that the next report tells, so the used part counts beside the pace.
    pub(super) fn expected_time(&self, service_latency: &CostLatency) -> f64 {
        let cost_latency = self
            .cost_latency
            .per_cost()
            .or(service_latency.per_cost())
            .unwrap_or(1.0);
        let used = f64::from(self.estimate.total() + 1) / f64::from(self.estimate.capacity());
        cost_latency * (1.0 + used)
    }

    /// Takes what a failure says about the backend server. Returns whether its breaker has opened.
    pub(super) fn note_failure(&mut self, kind: ErrorKind, now: ClockTime, jitter: u32) -> bool {
        match kind {
            ErrorKind::BackendBusy => self.estimate.note_full(),
            ErrorKind::BackendLeaving | ErrorKind::WeightsNotReady => self.has_refused_work = true,
            _ => {}
        }
        if is_backend_fault(kind) {
            self.breaker.note_failure(now, jitter)
        } else {
            self.breaker.note_inconclusive(now);
            false
        }
    }
}

/// Places of a backend server that runs `capacity` requests at a time which only urgent ones take.
/// Without them, an urgent request that comes in an overload waits until one of the others ends,
/// however far it goes before those that wait.
pub(crate) const fn urgent_headroom(capacity: u32) -> u32 {
    match capacity {
        0 | 1 => 0,
        _ if capacity < HEADROOM_DIVISOR => 1,
        _ => capacity / HEADROOM_DIVISOR,
    }
}

/// How long requests took by their cost: a moving sum of both, so that a long request does not make
/// a backend server look slow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CostLatency {
    seconds: f64,
    cost: f64,
}

impl CostLatency {
    /// A request of `cost` took `took`.
    pub(super) fn note(&mut self, took: Duration, cost: u64) {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let cost = cost.max(1) as f64;
        self.seconds = self.seconds * LATENCY_DECAY + took.as_secs_f64();
        self.cost = self.cost * LATENCY_DECAY + cost;
    }

    fn per_cost(&self) -> Option<f64> {
        (self.cost > 0.0).then(|| self.seconds / self.cost)
    }
}
fn is_newer(status: &HostStatus, before: &HostStatus) -> bool {
    (status.incarnation, status.sequence) > (before.incarnation, before.sequence)
}

/// Whether a failure lies with the backend server or the way there.
const fn is_backend_fault(kind: ErrorKind) -> bool {
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
