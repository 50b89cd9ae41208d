//! Durations that settings and documents give as a number of milliseconds or seconds.

use std::time::Duration;

/// The upper limit for a duration from a setting or document. The longest that the platform's own
/// documentation mentions is a few minutes.
///
/// Converting a value that is too large for `Duration` panics, and so does adding to one close to
/// its maximum. The panic ends the thread: an entry host would stop following the store and log
/// `[1109]`.
const DURATION_MAX: Duration = Duration::from_hours(1);

/// Converts milliseconds; zero for a negative value or NaN, at most [`DURATION_MAX`].
pub(super) fn millis(value: f64) -> Duration {
    seconds(value / 1000.0)
}

/// Converts seconds; zero for a negative value or NaN, at most [`DURATION_MAX`].
pub(super) fn seconds(value: f64) -> Duration {
    // `f64::max` returns the other operand for NaN.
    let value = value.max(0.0).min(DURATION_MAX.as_secs_f64());
    Duration::from_secs_f64(value)
}
