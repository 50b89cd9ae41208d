//! Whose turn it is at a backend server that names a rate.
//!
//! Load pattern: a backend server in need takes a few requests a second from all entry hosts together, and
//! each of these has more than that to send in any second. Entry hosts that each saved up their part would
//! still meet there, the more of them the worse. So time is divided into turns, of which the backend server
//! takes one request each, and every entry host works out for itself which turns are its own.

use std::time::Duration;

use crate::routing::rendezvous_weight;
use crate::time::StoreTime;

/// For how long a turn can be used behind its beginning, where turns are shorter.
const CARRY_SPAN: Duration = Duration::from_secs(1);
/// Turns that are looked back at, at most.
const CARRY_TURNS_MAX: u64 = 256;
const MICROS_A_SECOND: f64 = 1e6;

/// Who shares the turns at a backend server, each by the hash of its name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendSchedule<'a> {
    /// The backend server.
    pub(crate) backend: u64,
    /// The entry hosts that send there.
    pub(crate) entry_hosts: &'a [u64],
    /// This entry host.
    pub(crate) me: u64,
}

impl SendSchedule<'_> {
    /// When the first turn began that this entry host may use at `now`, at `rate` turns a second; `used` is
    /// when the last one began that it used.
    ///
    /// Clocks of entry hosts that differ do not matter: a turn is used once, a little earlier or later.
    pub(crate) fn open_interval(
        &self,
        rate: f64,
        used: StoreTime,
        now: StoreTime,
    ) -> Option<StoreTime> {
        let newest = turn_at(rate, now);
        let carried = turn_at(rate, now - CARRY_SPAN) + 1;
        let oldest = carried
            .min(newest)
            .max(newest.saturating_sub(CARRY_TURNS_MAX));
        let mut turns = (oldest..=newest).map(|turn| (turn, beginning(rate, turn)));
        let open = turns.find(|(turn, begun)| *begun > used && self.is_mine(*turn))?;
        Some(open.1)
    }

    fn is_mine(&self, turn: u64) -> bool {
        let subject = self.backend ^ turn;
        let entry_hosts = self.entry_hosts.iter();
        entry_hosts.max_by_key(|sharer| rendezvous_weight(subject, **sharer)) == Some(&self.me)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a turn's number is not negative, and far below 2^52"
)]
fn turn_at(rate: f64, now: StoreTime) -> u64 {
    (now.0 as f64 / MICROS_A_SECOND * rate) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a turn's beginning is not negative, and far below 2^52 microseconds"
)]
fn beginning(rate: f64, turn: u64) -> StoreTime {
    StoreTime((turn as f64 / rate * MICROS_A_SECOND) as u64)
}
