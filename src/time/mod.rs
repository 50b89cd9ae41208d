//! The two clocks. Decisions take [`ClockTime`], which never goes back and is passed in as an
//! argument, so that a test can drive years of them in a second. [`WallTime`] is only compared
//! with times that callers or other hosts wrote down, and always with a margin.

use std::ops::{Add, Sub};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use macro_rules_attribute::apply;

use crate::derives::{key, message};

/// Microseconds on this process's monotonic clock. Keeps running while the process is stopped.
#[apply(key!)]
#[derive(Default)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// The time `millis` milliseconds after the clock's zero.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// How long ago `earlier` was; zero when `earlier` lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for ClockTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

impl Sub<Duration> for ClockTime {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

/// Milliseconds since the Unix epoch. May jump; hosts differ by up to a few seconds.
#[apply(message!)]
#[derive(Copy, Eq, PartialOrd, Ord, Default)]
pub struct WallTime(pub u64);

/// Microseconds on the store's clock, which runs steadily and is the same for all processes.
#[apply(message!)]
#[derive(Copy, Eq, PartialOrd, Ord, Default)]
pub(crate) struct StoreTime(pub(crate) u64);

impl StoreTime {
    /// The time `millis` milliseconds after the clock's zero.
    pub(crate) const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// How long ago `earlier` was; zero when `earlier` lies ahead.
    pub(crate) const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for StoreTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

impl Sub<Duration> for StoreTime {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

/// What the monotonic clock shows when the process starts.
///
/// A process that starts is told of things that happened before. With a clock that begins at zero all
/// of them would seem to have happened at the start: older weights were served on behind their bound.
const CLOCK_START: Duration = Duration::from_hours(24);

/// Reads the monotonic clock. Only the edges of a process call this.
#[must_use]
pub(crate) fn clock_now() -> ClockTime {
    static START: OnceLock<Instant> = OnceLock::new();
    let running = START.get_or_init(Instant::now).elapsed();
    ClockTime(micros(CLOCK_START + running))
}

/// Reads the wall clock. Only the edges of a process call this.
#[must_use]
pub(crate) fn wall_now() -> WallTime {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
