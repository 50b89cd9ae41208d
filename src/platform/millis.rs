//! Spans that others give in milliseconds or seconds.

use std::time::Duration;

/// The longest span that is taken from others, an hour; the longest that any page of the platform
/// names is a few minutes.
///
/// A span beyond what a `Duration` holds ends the thread that reads it, and one near it ends the first
/// that adds to it: an entry host would stop following the store. One would notice `[1109]`.
const SPAN_MAX: Duration = Duration::from_hours(1);

/// The span of `value` milliseconds: none if that is below zero or no number.
pub(super) fn millis(value: f64) -> Duration {
    seconds(value / 1000.0)
}

/// The span of `value` seconds: none if that is below zero or no number.
pub(super) fn seconds(value: f64) -> Duration {
    // The greater of a number and what is no number is the number.
    let value = value.max(0.0).min(SPAN_MAX.as_secs_f64());
    Duration::from_secs_f64(value)
}
