//! Wait before a retry: exponential back-off with full jitter, so that requests that failed
//! together are not retried together.

use std::time::Duration;

const BASE_WAIT: Duration = Duration::from_millis(20);
const WAIT_MAX: Duration = Duration::from_secs(1);
const DOUBLINGS_MAX: u32 = 6;

/// Returns the wait before retry number `retry`, counted from 1. `jitter` is a random number,
/// evenly distributed over all of `u32`. `asked` is the wait that the host requested; it is capped
/// at [`WAIT_MAX`] and added to the random wait.
pub(crate) fn retry_wait(retry: u32, jitter: u32, asked: Option<Duration>) -> Duration {
    let doublings = retry.saturating_sub(1).min(DOUBLINGS_MAX);
    let ceiling = BASE_WAIT.saturating_mul(1 << doublings).min(WAIT_MAX);
    let spread = ceiling.mul_f64(f64::from(jitter) / f64::from(u32::MAX));
    asked.unwrap_or_default().min(WAIT_MAX) + spread
}
