//! The request rate that a backend server advertises for all entry hosts together.

use std::net::SocketAddr;
use std::time::Duration;

use macro_rules_attribute::apply;

use super::cold_limit::ColdLimit;
use crate::derives::{message, plain};
use crate::overload::{SendRate, SendSchedule};
use crate::time::{StoreTime, WallTime};

/// How long a limit applies after it was last confirmed.
const LIMIT_EXPIRY: Duration = Duration::from_secs(30);
/// How long the end of a limit is announced repeatedly, since a datagram may be lost.
const END_ANNOUNCED_SPAN: Duration = Duration::from_secs(2);

/// Announcement of a limit from one entry host to others.
#[apply(message!)]
pub(crate) struct LimitAnnouncement {
    /// The backend server's address for requests.
    pub(crate) address: SocketAddr,
    /// Its start time by its own clock, if known.
    #[serde(rename = "born")]
    pub(crate) start_time: Option<WallTime>,
    /// Requests per second; none if it no longer advertises a limit.
    pub(crate) rate: Option<f64>,
    /// When it advertised this, on the store's clock.
    pub(crate) at: StoreTime,
}

/// The known limit of one backend server.
#[apply(plain!)]
#[derive(Copy, Default)]
pub(super) struct RequestLimit {
    rate: Option<f64>,
    /// When the limit was last confirmed.
    at: StoreTime,
    /// Confirmation time of the state that was last announced to other entry hosts.
    announced_at: Option<StoreTime>,
    /// Whether this entry host received it in a response, rather than from another entry host.
    is_own: bool,
    /// Start of the last send interval that was used.
    used_interval: StoreTime,
}

impl RequestLimit {
    /// Takes in the limit in a response received at `now` to a request sent at `picked_at`; none if
    /// the response advertised none. Returns whether the rate changed.
    pub(super) fn note_response(
        &mut self,
        rate: Option<f64>,
        picked_at: StoreTime,
        now: StoreTime,
    ) -> bool {
        // A response without a limit may have been written before the limit was first advertised.
        if rate.is_none() && (self.rate.is_none() || picked_at <= self.at) {
            return false;
        }
        self.is_own = true;
        self.set(rate, now)
    }

    /// Takes in the announcement of another entry host. Returns whether the rate changed.
    pub(super) fn apply_announcement(&mut self, announcement: &LimitAnnouncement) -> bool {
        if announcement.at <= self.at {
            return false;
        }
        self.is_own = false;
        self.set(
            announcement.rate.filter(|rate| is_valid_rate(*rate)),
            announcement.at,
        )
    }

    fn set(&mut self, rate: Option<f64>, at: StoreTime) -> bool {
        let is_change = self.rate != rate;
        if self.rate.is_none() {
            // No send intervals accumulate while there is no limit.
            self.used_interval = at;
        }
        self.rate = rate;
        self.at = self.at.max(at);
        is_change
    }

    /// The rate that applies at `now`.
    fn rate(&self, now: StoreTime) -> Option<f64> {
        self.rate.filter(|_| now.since(self.at) < LIMIT_EXPIRY)
    }

    /// Whether a request may be sent there at `now`, if it is cold with `cold_limit`; `schedule`
    /// returns who shares the rate.
    pub(super) fn send_permission<'a>(
        &self,
        cold_limit: Option<ColdLimit>,
        schedule: impl FnOnce() -> SendSchedule<'a>,
        now: StoreTime,
    ) -> SendPermission {
        let cold_rate = cold_limit.map(|limit| SendRate {
            per_s: limit.rate,
            carry_span: limit.carry_span,
        });
        let advertised = self.rate(now).map(SendRate::advertised);
        let rates = advertised.into_iter().chain(cold_rate);
        let Some(rate) = rates.min_by(|left, right| left.per_s.total_cmp(&right.per_s)) else {
            return SendPermission::Unlimited;
        };
        match schedule().open_interval(rate, self.used_interval, now) {
            Some(start) => SendPermission::Interval(start),
            None => SendPermission::Denied,
        }
    }

    /// Marks the send interval that began at `start` as used.
    pub(super) fn mark_used(&mut self, start: StoreTime) {
        self.used_interval = start;
    }

    /// Returns the rate to announce to other entry hosts at `now`, with the time of its
    /// confirmation.
    pub(super) fn take_pending(&mut self, now: StoreTime) -> Option<(Option<f64>, StoreTime)> {
        let is_unannounced = self
            .announced_at
            .is_none_or(|announced_at| announced_at < self.at);
        let is_recent_end = self.rate.is_none() && now.since(self.at) < END_ANNOUNCED_SPAN;
        if !self.is_own || self.at == StoreTime(0) || !(is_unannounced || is_recent_end) {
            return None;
        }
        self.announced_at = Some(self.at);
        Some((self.rate, self.at))
    }
}

/// Whether the limit of a backend server allows a request.
#[apply(plain!)]
#[derive(Copy)]
pub(super) enum SendPermission {
    /// It advertises no limit.
    Unlimited,
    /// It is allowed in the send interval that began at this time, which this entry host has not
    /// used.
    Interval(StoreTime),
    /// The current send intervals belong to other entry hosts, or are used.
    Denied,
}

/// Whether `rate` is finite and not negative.
pub(crate) fn is_valid_rate(rate: f64) -> bool {
    rate.is_finite() && rate >= 0.0
}
