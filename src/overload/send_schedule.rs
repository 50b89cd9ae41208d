//! Which entry host may send to a rate-limited backend server at a given time.
//!
//! Load pattern: an overloaded backend server accepts a few requests per second from all entry
//! hosts together, and each of them has more than that to send. If each entry host saved up its
//! part of the rate, they would still send at the same moment, and the more entry hosts there are,
//! the larger the burst. Time is therefore divided into send intervals, one request each, and every
//! entry host computes which intervals are its own.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::routing::rendezvous_weight;
use crate::time::StoreTime;

/// How long an interval of an advertised rate can be used after its start, if intervals are shorter
/// than this.
const CARRY_SPAN: Duration = Duration::from_secs(1);
/// Largest number of past intervals that are searched for an unused one.
const CARRY_INTERVALS_MAX: u64 = 256;
const MICROS_PER_SECOND: f64 = 1e6;
/// Largest rate that is counted: one interval per microsecond, the unit of the clock. The numbers of the
/// intervals of much larger rates exceed the range of integers.
const RATE_MAX: f64 = MICROS_PER_SECOND;

/// The rate of send intervals.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct SendRate {
    /// Intervals per second.
    pub(crate) per_s: f64,
    /// How long an interval can be used after its start, if intervals are shorter than this.
    pub(crate) carry_span: Duration,
}

impl SendRate {
    /// The rate of a backend server that advertises `per_s` requests per second.
    pub(crate) const fn advertised(per_s: f64) -> Self {
        Self {
            per_s,
            carry_span: CARRY_SPAN,
        }
    }
}

/// The send intervals of a backend server and the entry hosts that share them, identified by the
/// hashes of their names.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendSchedule<'a> {
    /// The rate-limited backend server.
    pub(crate) backend: u64,
    /// The entry hosts that send to it, including this one.
    pub(crate) entry_hosts: &'a [u64],
    /// This entry host.
    pub(crate) own_hash: u64,
}

impl SendSchedule<'_> {
    /// Returns the start of the earliest interval that this entry host may use at `now`, or `None`.
    /// `used` is the start of the last interval that it used.
    ///
    /// Clock differences between entry hosts do no harm: each interval is still used once, slightly
    /// earlier or later.
    pub(crate) fn open_interval(
        &self,
        rate: SendRate,
        used: StoreTime,
        now: StoreTime,
    ) -> Option<StoreTime> {
        let SendRate { per_s, carry_span } = rate;
        let per_s = per_s.min(RATE_MAX);
        let newest = interval_at(per_s, now);
        let carried = interval_at(per_s, now - carry_span) + 1;
        let oldest = carried
            .min(newest)
            .max(newest.saturating_sub(CARRY_INTERVALS_MAX));
        let mut intervals =
            (oldest..=newest).map(|interval| (interval, interval_start(per_s, interval)));
        let open = intervals.find(|(interval, start)| *start > used && self.is_mine(*interval))?;
        Some(open.1)
    }

    fn is_mine(&self, interval: u64) -> bool {
        let subject = self.backend ^ interval;
        let entry_hosts = self.entry_hosts.iter();
        entry_hosts.max_by_key(|host| rendezvous_weight(subject, **host)) == Some(&self.own_hash)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the number of an interval is not negative, and far below 2^52"
)]
fn interval_at(rate: f64, now: StoreTime) -> u64 {
    (now.0 as f64 / MICROS_PER_SECOND * rate) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the start of an interval is not negative, and far below 2^52 microseconds"
)]
fn interval_start(rate: f64, interval: u64) -> StoreTime {
    StoreTime((interval as f64 / rate * MICROS_PER_SECOND) as u64)
}
