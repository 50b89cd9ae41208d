//! A token bucket that limits requests per second. It holds at most the tokens of one second, but
//! at least one request.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::plain;
use crate::time::ClockTime;

/// The tokens of one request. Rates are in millionths of a request per second, so that an entry
/// host's share of a small rate is not rounded down to 0.
pub(super) const ONE_REQUEST: u64 = 1_000_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// The longest time that is refilled at once, in microseconds; the bucket is full after a shorter
/// one.
const REFILL_MAX_MICROS: u64 = 60 * MICROS_PER_SECOND;

/// The unused tokens of an account. Callers pass the rate on each use, because an entry host's
/// share of the account's rate changes with the number of entry hosts.
#[apply(plain!)]
#[derive(Copy)]
pub(super) struct TokenBucket {
    /// Tokens, in millionths of a request.
    level: u64,
    /// When the bucket was last refilled.
    refilled: ClockTime,
}

impl TokenBucket {
    /// Creates a full bucket for `rate`, in millionths of a request per second.
    pub(super) const fn full(rate: u64, now: ClockTime) -> Self {
        Self {
            level: burst(rate),
            refilled: now,
        }
    }

    /// Refills the bucket and returns whether it has the tokens of one request.
    pub(super) fn has_one(&mut self, rate: u64, now: ClockTime) -> bool {
        self.refill(rate, now);
        self.level >= ONE_REQUEST
    }

    /// Takes the tokens of one request; call only after [`Self::has_one`] returned true.
    ///
    /// # Panics
    ///
    /// If the bucket has fewer tokens.
    pub(super) fn take_one(&mut self) {
        assert!(
            self.level >= ONE_REQUEST,
            "the bucket has no tokens for a request"
        );
        self.level -= ONE_REQUEST;
    }

    /// The time until the bucket has the tokens of one request; an hour at rate 0.
    pub(super) const fn wait_for_one(&self, rate: u64) -> Duration {
        let missing = ONE_REQUEST.saturating_sub(self.level);
        match rate {
            // The bucket never fills; an hour keeps callers from retrying soon.
            0 => Duration::from_hours(1),
            _ => Duration::from_micros((missing * MICROS_PER_SECOND).div_ceil(rate)),
        }
    }

    fn refill(&mut self, rate: u64, now: ClockTime) {
        let elapsed = now.0.saturating_sub(self.refilled.0).min(REFILL_MAX_MICROS);
        let added = elapsed.saturating_mul(rate) / MICROS_PER_SECOND;
        // If the tokens round down to 0, keep the time of the last refill, so that they are not
        // lost.
        if added > 0 || elapsed == REFILL_MAX_MICROS {
            self.refilled = now;
            self.level = self.level.saturating_add(added).min(burst(rate));
        }
    }
}

/// The capacity of a bucket: the tokens of one second, but at least one request.
const fn burst(rate: u64) -> u64 {
    if rate > ONE_REQUEST {
        rate
    } else {
        ONE_REQUEST
    }
}
