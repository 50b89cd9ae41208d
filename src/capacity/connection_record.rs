//! What the account knows of one accepted connection.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use macro_rules_attribute::apply;

use super::connection_lease::ConnectionSignals;
use super::process_limits::{CONNECTION_BYTES, ConnectionTimeouts, HEAD_BYTES};
use super::resource_account::BodyOwner;
use crate::derives::key;
use crate::time::ClockTime;

/// An ordinary head arrives within this time, and an ordinary client sends one this soon after it
/// has connected.
const PROMPT_SPAN: Duration = Duration::from_millis(500);
/// A body that arrives more slowly, in bytes per second, gives its memory to others.
const SLOW_BODY_RATE: u128 = 64 * 1024;
/// How long the rest of a request is discarded after its refusal, so that the client can read the
/// response before the connection is reset.
const LINGER_SPAN: Duration = Duration::from_secs(1);
/// How long a connection may take none of the bytes that wait for it.
const WRITE_STALL_SPAN: Duration = Duration::from_secs(30);

/// What a listener is for.
#[apply(key!)]
pub(crate) enum ListenerRole {
    /// Requests of clients.
    Clients,
    /// Readiness probes of the load balancer.
    Readiness,
    /// Calls of other processes of the system.
    Peers,
    /// Metrics.
    Metrics,
}

impl ListenerRole {
    /// All roles.
    pub(crate) const ALL: [Self; 4] = [Self::Clients, Self::Readiness, Self::Peers, Self::Metrics];

    /// The name in metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Clients => "clients",
            Self::Readiness => "readiness",
            Self::Peers => "peers",
            Self::Metrics => "metrics",
        }
    }
}

/// Identifies a connection in the account.
#[apply(key!)]
pub(super) struct ConnectionKey {
    pub(super) index: usize,
    /// Tells apart connections that had the same index.
    pub(super) generation: u64,
}

/// What a connection is doing.
#[apply(key!)]
pub(super) enum ConnectionPhase {
    /// It has sent nothing yet.
    Unused,
    /// Its last response is complete.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body,
    /// A request is in progress.
    Request,
    /// Its response is written; what still arrives is discarded.
    Lingering,
}

impl ConnectionPhase {
    /// Bytes that the connection itself holds.
    pub(super) const fn connection_bytes(self) -> usize {
        match self {
            Self::Head => CONNECTION_BYTES + HEAD_BYTES,
            _ => CONNECTION_BYTES,
        }
    }
}

/// What of a connection takes longer than it may.
#[apply(key!)]
pub(super) enum OverdueReason {
    Head,
    Body,
    Idle,
    Write,
    Linger,
}

impl OverdueReason {
    /// The name in metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Head => "connection_head_timeout",
            Self::Body => "connection_body_timeout",
            Self::Idle => "connection_idle_timeout",
            Self::Write => "connection_write_timeout",
            Self::Linger => "connection_linger_timeout",
        }
    }
}

/// An accepted connection.
pub(super) struct ConnectionRecord {
    pub(super) generation: u64,
    pub(super) role: ListenerRole,
    pub(super) peer: IpAddr,
    pub(super) phase: ConnectionPhase,
    /// When the phase began.
    pub(super) since: ClockTime,
    /// Since when its peer has taken none of the bytes that wait for it.
    pub(super) blocked_since: Option<ClockTime>,
    /// Bytes that are charged for the request in progress.
    pub(super) request_bytes: usize,
    /// Bytes of the arriving body that are charged.
    pub(super) body_bytes: usize,
    /// Who is charged for them.
    pub(super) body_owner: Option<BodyOwner>,
    /// Whether the arriving body has been told to give its bytes back.
    pub(super) is_revoked: bool,
    /// The bytes that it was told to give back.
    pub(super) revoked_bytes: usize,
    /// Whether the connection has been told to close.
    pub(super) is_closing: bool,
    pub(super) signals: Arc<ConnectionSignals>,
}

impl ConnectionRecord {
    /// In which order connections close to make room, the lowest first; `None` if it must not.
    pub(super) fn eviction_rank(&self, now: ClockTime) -> Option<u8> {
        if self.is_closing || self.blocked_since.is_some() {
            return None;
        }
        let is_prompt = now.since(self.since) < PROMPT_SPAN;
        match self.phase {
            ConnectionPhase::Lingering => Some(0),
            ConnectionPhase::Head if !is_prompt => Some(1),
            ConnectionPhase::Unused if !is_prompt => Some(2),
            ConnectionPhase::Idle => Some(3),
            ConnectionPhase::Unused => Some(4),
            ConnectionPhase::Head => Some(5),
            ConnectionPhase::Body | ConnectionPhase::Request => None,
        }
    }

    /// Whether a body arrives so slowly that others may have the memory of its request.
    pub(super) fn is_slow_body(&self, now: ClockTime) -> bool {
        let span = now.since(self.since);
        self.phase == ConnectionPhase::Body
            && !self.is_revoked
            && span >= PROMPT_SPAN
            && (self.signals.received() as u128) * 1000 < SLOW_BODY_RATE * span.as_millis()
    }

    /// Returns why the connection is to be closed at `now`.
    pub(super) fn overdue(
        &self,
        timeouts: ConnectionTimeouts,
        now: ClockTime,
    ) -> Option<OverdueReason> {
        if self.is_closing {
            return None;
        }
        let is_over = |limit: Option<Duration>| limit.is_some_and(|it| now.since(self.since) > it);
        match self.phase {
            _ if self.blocked_since.is_some() => self
                .blocked_since
                .filter(|since| now.since(*since) > WRITE_STALL_SPAN)
                .map(|_| OverdueReason::Write),
            ConnectionPhase::Head => is_over(Some(timeouts.head)).then_some(OverdueReason::Head),
            ConnectionPhase::Body => is_over(timeouts.body).then_some(OverdueReason::Body),
            ConnectionPhase::Unused | ConnectionPhase::Idle => {
                is_over(timeouts.idle).then_some(OverdueReason::Idle)
            }
            ConnectionPhase::Lingering => {
                is_over(Some(LINGER_SPAN)).then_some(OverdueReason::Linger)
            }
            ConnectionPhase::Request => None,
        }
    }
}
