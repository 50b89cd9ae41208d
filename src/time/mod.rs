//! Clocks and their time types. Decisions use the monotonic [`ClockTime`], passed as an argument,
//! so that tests can simulate long spans instantly. [`WallTime`] is only compared with times that
//! were written by callers or other hosts, and always with a margin. [`StoreTime`] is the clock of
//! the platform's store.

use std::ops::{Add, Sub};
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use macro_rules_attribute::apply;
use nix::time::{ClockId, clock_gettime};

use crate::derives::{key, message};

/// Microseconds on the monotonic clock of this process. The clock advances while the process is
/// paused and while the host is suspended.
#[apply(key!)]
#[derive(Default)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// Time at `millis` milliseconds after zero.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
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

/// Milliseconds since the Unix epoch. The clock may jump, and the clocks of hosts differ by up to a
/// few seconds.
#[apply(message!)]
#[derive(Copy, Eq, PartialOrd, Ord, Default)]
pub struct WallTime(pub u64);

/// Microseconds on the clock of the platform's store, which advances steadily and is the same for
/// all processes.
#[apply(message!)]
#[derive(Copy, Eq, PartialOrd, Ord, Default)]
pub(crate) struct StoreTime(pub(crate) u64);

impl StoreTime {
    /// Time at `millis` milliseconds after zero.
    pub(crate) const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
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

/// Reading of the monotonic clock at the start of the process.
///
/// A starting process receives times of events before its start. With a clock that starts at zero,
/// all of them would be clamped to the start of the process, and previous versions of weights were
/// served past their deadline.
const CLOCK_START: Duration = Duration::from_hours(24);

/// Reads the monotonic clock. Only code that performs I/O calls this; decisions get the time as an
/// argument.
#[must_use]
pub(crate) fn clock_now() -> ClockTime {
    static START: OnceLock<Duration> = OnceLock::new();
    let since_boot = time_since_boot();
    let uptime = since_boot.saturating_sub(*START.get_or_init(|| since_boot));
    #[cfg(test)]
    let uptime = uptime.saturating_sub(test_clock::suspended());
    ClockTime(micros(CLOCK_START + uptime))
}

/// Time since the host was booted, suspensions included. The clock of [`std::time::Instant`] stands
/// still during a suspension, so that leases and deadlines would outlast it.
fn time_since_boot() -> Duration {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
    read.expect("Linux has this clock").into()
}

/// Reads the wall clock. Only code that performs I/O calls this; decisions get the time as an
/// argument.
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

/// Suspensions of the host that a test simulates.
#[cfg(test)]
pub(crate) mod test_clock {
    use std::cell::Cell;
    use std::thread;
    use std::time::Duration;

    thread_local! {
        static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    }

    /// Stops this thread for `span`, which its clock does not count.
    pub(crate) fn suspend(span: Duration) {
        thread::sleep(span);
        SUSPENDED.set(SUSPENDED.get() + span);
    }

    pub(super) fn suspended() -> Duration {
        SUSPENDED.get()
    }
}
