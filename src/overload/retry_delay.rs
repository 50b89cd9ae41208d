//! When a refused client should retry, and how its retry is recognised.
//!
//! Load pattern: for several seconds more requests arrive than engines have slots for, for example
//! while engines change their weights. Clients that were refused together must not retry together.
//! Their answers will be late in any case, so new requests take precedence over retries.

use std::time::Duration;

/// Minimum retry delay. An engine finishes about nine requests per second, so that about a dozen
/// slots per engine have become free by then.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(1200);
/// Upper bound of the random delay that is added, so that clients refused together retry apart.
const RETRY_JITTER: Duration = Duration::from_secs(1);
/// Clients limit their retry delay to a part of their remaining time. The shortest delay of any
/// client is longer than the whole time limit divided by this number.
const TIMEOUT_DIVISOR: u32 = 4;

/// Returns how long a client that is refused now should wait; `part` is random, from 0 to 1.
pub(crate) fn retry_delay(part: f64) -> Duration {
    RETRY_DELAY_MIN + RETRY_JITTER.mul_f64(part)
}

/// Returns how long a client should wait that is refused because every backend server asked for a
/// pause, the first of which ends in `left`. `part` is random, from 0 to 1.
pub(crate) fn retry_delay_after(left: Duration, part: f64) -> Duration {
    left.max(RETRY_DELAY_MIN) + RETRY_JITTER.mul_f64(part)
}

/// Returns whether a client that will wait `client_wait` for its answer was refused before.
/// `timeout` is the longest time that clients of its route wait.
///
/// Each request states how long its client will wait from now on, so a retry states less than the
/// first attempt. The waiting times of clients differ by a tenth and more, so that a small
/// difference does not indicate a retry.
pub(crate) fn is_retry(client_wait: Duration, timeout: Duration) -> bool {
    client_wait + RETRY_DELAY_MIN.min(timeout / TIMEOUT_DIVISOR) <= timeout
}
