//! How many requests a second a backend server takes from all entry hosts together, as it says itself.

use std::net::SocketAddr;
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::{message, plain};
use crate::overload::SendSchedule;
use crate::time::{StoreTime, WallTime};

/// For how long a limit holds that nobody hears of any more.
const LIMIT_SPAN: Duration = Duration::from_secs(30);
/// For how long it is told again and again that a limit has ended: a datagram may be lost.
const END_TOLD_SPAN: Duration = Duration::from_secs(2);

/// What one entry host tells others of a limit.
#[apply(message!)]
pub(crate) struct LimitWord {
    /// Where the backend server answers.
    pub(crate) address: SocketAddr,
    /// When it started, by its own clock, if it says so.
    pub(crate) born: Option<WallTime>,
    /// Requests a second; none when it no longer names a limit.
    pub(crate) rate: Option<f64>,
    /// When it said so.
    pub(crate) at: StoreTime,
}

/// What is known of the limit of one backend server.
#[apply(plain!)]
#[derive(Copy, Default)]
pub(super) struct RequestLimit {
    rate: Option<f64>,
    /// When it was last said to be so.
    at: StoreTime,
    /// What of it was last told to other entry hosts.
    told: Option<StoreTime>,
    /// Whether this entry host heard it from the backend server.
    is_own: bool,
    /// When the last turn began that was used.
    used: StoreTime,
}

impl RequestLimit {
    /// An answer at `now` to a request that was sent at `asked` named `rate`, or no limit. Returns whether
    /// the rate changed.
    pub(super) fn note_answer(
        &mut self,
        rate: Option<f64>,
        asked: StoreTime,
        now: StoreTime,
    ) -> bool {
        // An answer without a limit may have been written before the limit was first named.
        if rate.is_none() && (self.rate.is_none() || asked <= self.at) {
            return false;
        }
        self.is_own = true;
        self.set(rate, now)
    }

    /// Another entry host told `word`. Returns whether the rate changed.
    pub(super) fn take_word(&mut self, word: &LimitWord) -> bool {
        if word.at <= self.at {
            return false;
        }
        self.is_own = false;
        self.set(word.rate.filter(|rate| is_rate(*rate)), word.at)
    }

    fn set(&mut self, rate: Option<f64>, at: StoreTime) -> bool {
        let is_change = self.rate != rate;
        if self.rate.is_none() {
            // Nothing was saved up while there was no limit.
            self.used = at;
        }
        self.rate = rate;
        self.at = self.at.max(at);
        is_change
    }

    /// The rate that is to be kept to at `now`.
    fn rate(&self, now: StoreTime) -> Option<f64> {
        self.rate.filter(|_| now.since(self.at) < LIMIT_SPAN)
    }

    /// Whether a request may go to it at `now`; `share` tells who shares its turns.
    pub(super) fn turn<'a>(
        &self,
        share: impl FnOnce() -> SendSchedule<'a>,
        now: StoreTime,
    ) -> LimitTurn {
        let Some(rate) = self.rate(now) else {
            return LimitTurn::Unlimited;
        };
        match share().open_interval(rate, self.used, now) {
            Some(begun) => LimitTurn::Open(begun),
            None => LimitTurn::Others,
        }
    }

    /// The turn that began at `begun` is used.
    pub(super) fn note_used(&mut self, begun: StoreTime) {
        self.used = begun;
    }

    /// What other entry hosts are to be told at `now`: the rate, and when that was said.
    pub(super) fn take_untold(&mut self, now: StoreTime) -> Option<(Option<f64>, StoreTime)> {
        let is_news = self.told.is_none_or(|told| told < self.at);
        let is_end = self.rate.is_none() && now.since(self.at) < END_TOLD_SPAN;
        if !self.is_own || self.at == StoreTime(0) || !(is_news || is_end) {
            return None;
        }
        self.told = Some(self.at);
        Some((self.rate, self.at))
    }
}

/// Whether a request may go to a backend server by its limit.
#[apply(plain!)]
#[derive(Copy)]
pub(super) enum LimitTurn {
    /// It names none.
    Unlimited,
    /// In the turn that began then, which this entry host has not used.
    Open(StoreTime),
    /// The turns of now are those of others, or used.
    Others,
}

/// Whether `rate` can be one.
pub(crate) fn is_rate(rate: f64) -> bool {
    rate.is_finite() && rate >= 0.0
}
