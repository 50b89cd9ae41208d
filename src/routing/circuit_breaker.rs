//! A breaker per backend server: after some failures in a row nothing is sent there for a while,
//! then one probe decides.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::key;
use crate::time::ClockTime;

const FAILURES_TO_OPEN: u8 = 3;
const OPEN_TIME_BASE: Duration = Duration::from_millis(500);
const OPEN_TIME_MAX: Duration = Duration::from_secs(10);
const DOUBLINGS_MAX: u32 = 5;
/// A probe whose end nobody told is forgotten, so that a backend server is not shut out for good.
const PROBE_LIMIT: Duration = Duration::from_secs(30);

/// Where the breaker stands.
#[apply(key!)]
enum BreakerPhase {
    /// Everything may pass.
    Closed,
    /// Nothing passes until then; afterwards one probe does.
    Open { until: ClockTime },
    /// The probe is under way since then.
    Probing { since: ClockTime },
}

/// One backend server's breaker.
#[apply(key!)]
pub(crate) struct CircuitBreaker {
    phase: BreakerPhase,
    failures: u8,
    openings: u32,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self {
            phase: BreakerPhase::Closed,
            failures: 0,
            openings: 0,
        }
    }
}

impl CircuitBreaker {
    /// Whether a request may pass now.
    pub(crate) fn allows_request(&self, now: ClockTime) -> bool {
        match self.phase {
            BreakerPhase::Closed => true,
            BreakerPhase::Open { until } => now >= until,
            BreakerPhase::Probing { since } => now.since(since) > PROBE_LIMIT,
        }
    }

    /// A request is sent; behind an open breaker it is the probe. One that must go to this very
    /// backend server goes past an open breaker and decides nothing.
    pub(crate) fn note_sent(&mut self, now: ClockTime) {
        if self.allows_request(now) && self.phase != BreakerPhase::Closed {
            self.phase = BreakerPhase::Probing { since: now };
        }
    }

    /// A request ended well.
    pub(crate) const fn note_success(&mut self) {
        self.phase = BreakerPhase::Closed;
        self.failures = 0;
        self.openings = 0;
    }

    /// A request ended without a word about the backend server. A probe leaves the way open for
    /// the next one.
    pub(crate) const fn note_inconclusive(&mut self, now: ClockTime) {
        if matches!(self.phase, BreakerPhase::Probing { .. }) {
            self.phase = BreakerPhase::Open { until: now };
        }
    }

    /// A request failed for a cause that lies with the backend server. `jitter` is random; it keeps
    /// entry hosts from probing together. Returns whether the breaker has opened.
    pub(crate) fn note_failure(&mut self, now: ClockTime, jitter: u32) -> bool {
        self.failures = self.failures.saturating_add(1);
        let opens = match self.phase {
            BreakerPhase::Closed => self.failures >= FAILURES_TO_OPEN,
            BreakerPhase::Probing { .. } => true,
            BreakerPhase::Open { .. } => false,
        };
        if opens {
            let open_time = OPEN_TIME_BASE
                .saturating_mul(1 << self.openings.min(DOUBLINGS_MAX))
                .min(OPEN_TIME_MAX);
            let spread = open_time.mul_f64(f64::from(jitter) / f64::from(u32::MAX));
            let until = now + open_time / 2 + spread;
            self.phase = BreakerPhase::Open { until };
            self.openings = self.openings.saturating_add(1);
        }
        opens
    }
}
