//! A token bucket: so many requests a second, with a second's worth saved up at most.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::time::ClockTime;

/// Millionths of a request, so that shares of small rates do not round to nothing.
pub(super) const ONE_REQUEST: u64 = 1_000_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Longest span that is refilled at once, in microseconds; beyond it the bucket is full anyway.
const REFILL_MAX: u64 = 60 * MICROS_PER_SECOND;

/// What an account has saved up. The rate is given at each use, because the account's share of it
/// changes with the number of entry hosts.
#[apply(plain!)]
#[derive(Copy)]
pub(super) struct TokenBucket {
    level: u64,
    filled: ClockTime,
}

impl TokenBucket {
    /// A bucket that holds a second's worth of `rate`, in millionths of a request a second.
    pub(super) const fn full(rate: u64, now: ClockTime) -> Self {
        Self {
            level: burst(rate),
            filled: now,
        }
    }

    /// Whether one request may pass now.
    pub(super) fn has_one(&mut self, rate: u64, now: ClockTime) -> bool {
        self.fill(rate, now);
        self.level >= ONE_REQUEST
    }

    /// Takes one request out; call only after [`Self::has_one`].
    pub(super) fn take_one(&mut self) {
        assert!(
            self.level >= ONE_REQUEST,
            "a request passed that the bucket lacks"
        );
        self.level -= ONE_REQUEST;
    }

    /// How long until one request may pass.
    pub(super) const fn wait_for_one(&self, rate: u64) -> Duration {
        let missing = ONE_REQUEST.saturating_sub(self.level);
        match rate {
            // A rate of nothing: an hour says "not soon".
            0 => Duration::from_hours(1),
            _ => Duration::from_micros((missing * MICROS_PER_SECOND).div_ceil(rate)),
        }
    }

    fn fill(&mut self, rate: u64, now: ClockTime) {
        let span = now.0.saturating_sub(self.filled.0).min(REFILL_MAX);
        let gained = span.saturating_mul(rate) / MICROS_PER_SECOND;
        // A gain that rounds to nothing is not lost: the time stays where it was.
        if gained > 0 || span == REFILL_MAX {
            self.filled = now;
            self.level = self.level.saturating_add(gained).min(burst(rate));
        }
    }
}

const fn burst(rate: u64) -> u64 {
    if rate > ONE_REQUEST {
        rate
    } else {
        ONE_REQUEST
    }
}
