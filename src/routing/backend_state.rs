//! The state of one backend server, as known to an entry host.

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

/// One in this many slots is reserved for urgent requests.
const HEADROOM_DIVISOR: u32 = 8;
/// Weight that the sum of earlier requests keeps when another request ends.
const LATENCY_DECAY: f64 = 0.95;

/// The state of one backend server.
#[derive(Debug)]
pub(super) struct BackendState {
    pub(super) host: ByteString,
    pub(super) hash: u64,
    pub(super) peer: SocketAddr,
    pub(super) nearness: Nearness,
    pub(super) state: MemberState,
    pub(super) status: Option<Arc<HostStatus>>,
    /// Whether it has refused a request because it is leaving or has no weights loaded. Cleared by
    /// its next status report.
    pub(super) has_refused_work: bool,
    pub(super) estimate: LoadEstimate,
    pub(super) breaker: CircuitBreaker,
    /// Time per unit of cost of this entry host's requests there.
    pub(super) cost_latency: CostLatency,
}

/// How near a backend server is. Nearer ones are preferred while they have capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Nearness {
    /// In this data centre.
    DataCentre,
    /// In this region.
    Region,
    /// In another region.
    Far,
    /// Suspected of having failed, wherever it is; used only if no other can take the request.
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

    /// Updates the state from the control state. A status report that is not newer than the last
    /// one is ignored, and a restart of the host process resets the circuit breaker.
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

    /// Whether it may get new work. Without a status report its incarnation is unknown, and an
    /// order has to carry the incarnation.
    pub(super) fn is_usable(&self, needs_weights: bool) -> bool {
        let Some(status) = &self.status else {
            return false;
        };
        let is_present = matches!(self.state, MemberState::Live | MemberState::Suspected);
        let has_weights = !needs_weights || status.serving.is_some();
        is_present && !status.leaving && !self.has_refused_work && has_weights
    }

    /// Whether one more request would run at once. Requests that are not urgent leave the reserved
    /// slots free.
    pub(super) fn has_free_slot(&self, urgent: bool) -> bool {
        self.estimate.total() < self.usable_capacity(urgent)
    }

    /// Whether one more request may be sent there to be queued. Urgent requests may, because the
    /// host runs them first. Other requests are queued at the entry host, but each entry host may
    /// always use its fair share of the backend server; otherwise an entry host that joins later
    /// would find it full all the time.
    pub(super) fn can_queue(&self, urgent: bool, entry_hosts: u32) -> bool {
        let fair_share = self.usable_capacity(urgent).div_ceil(entry_hosts.max(1));
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

    /// Relative time that one more request would take there; less is better. Uses the time per unit
    /// of cost measured there, or else `service_latency`, the mean over all backend servers. The
    /// used share of the capacity counts as well, since a half-used backend server may be full
    /// before its next load report arrives.
    pub(super) fn expected_time(&self, service_latency: &CostLatency) -> f64 {
        let cost_latency = self
            .cost_latency
            .per_cost()
            .or(service_latency.per_cost())
            .unwrap_or(1.0);
        let used = f64::from(self.estimate.total() + 1) / f64::from(self.estimate.capacity());
        cost_latency * (1.0 + used)
    }

    /// Updates the state after a failed request. Returns whether the circuit breaker has opened.
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

/// Number of slots reserved for urgent requests at a backend server with `capacity` slots. Without
/// them, an urgent request that arrives during an overload would wait until a running request ends,
/// even at the head of the queue.
pub(crate) const fn urgent_headroom(capacity: u32) -> u32 {
    match capacity {
        0 | 1 => 0,
        _ if capacity < HEADROOM_DIVISOR => 1,
        _ => capacity / HEADROOM_DIVISOR,
    }
}

/// Mean time per unit of cost, from decaying sums of both, so that one expensive request does not
/// make a backend server look slow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CostLatency {
    seconds: f64,
    cost: f64,
}

impl CostLatency {
    /// Records that a request of `cost` took `took`.
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

/// Whether an error of `kind` is the fault of the backend server or of the connection to it.
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
