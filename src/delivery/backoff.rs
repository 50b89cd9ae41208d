//! How long to wait before a retry: exponential with full jitter, so that requests that failed
//! together do not come back together.

use std::time::Duration;

const BASE_WAIT: Duration = Duration::from_millis(20);
const WAIT_MAX: Duration = Duration::from_secs(1);
const DOUBLINGS_MAX: u32 = 6;

/// The wait before retry number `retry` (the first is 1). `jitter` is random, evenly spread over
/// all of `u32`; `asked` is what the other end asked for and is waited for at least.
pub(crate) fn retry_wait(retry: u32, jitter: u32, asked: Option<Duration>) -> Duration {
    let doublings = retry.saturating_sub(1).min(DOUBLINGS_MAX);
    let ceiling = BASE_WAIT.saturating_mul(1 << doublings).min(WAIT_MAX);
    let spread = ceiling.mul_f64(f64::from(jitter) / f64::from(u32::MAX));
    asked.unwrap_or_default().min(WAIT_MAX) + spread
}
