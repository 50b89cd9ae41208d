//! Circuit breaker for one backend server. After several consecutive failures no request is sent
//! there for some time; then a single request serves as a probe.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::key;
use crate::time::ClockTime;

const FAILURES_TO_OPEN: u8 = 3;
const OPEN_TIME_BASE: Duration = Duration::from_millis(500);
const OPEN_TIME_MAX: Duration = Duration::from_secs(10);
const DOUBLINGS_MAX: u32 = 5;
/// Time after which a probe without a reported end is ignored, so that the backend server is not
/// excluded for good.
const PROBE_LIMIT: Duration = Duration::from_secs(30);

/// The phase of a circuit breaker.
#[apply(key!)]
enum BreakerPhase {
    /// All requests are allowed.
    Closed,
    /// No request is allowed before `until`; the next one after it is the probe.
    Open { until: ClockTime },
    /// The probe was sent at `since` and has not ended.
    Probing { since: ClockTime },
}

/// Circuit breaker of one backend server.
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
    /// Whether a request may be sent now.
    pub(crate) fn allows_request(&self, now: ClockTime) -> bool {
        match self.phase {
            BreakerPhase::Closed => true,
            BreakerPhase::Open { until } => now >= until,
            BreakerPhase::Probing { since } => now.since(since) > PROBE_LIMIT,
        }
    }

    /// Records that a request is sent. If the open time is over, the request becomes the probe. A
    /// request that has to go to this backend server may be sent although the circuit breaker is
    /// open; it is no probe.
    pub(crate) fn note_sent(&mut self, now: ClockTime) {
        if self.allows_request(now) && self.phase != BreakerPhase::Closed {
            self.phase = BreakerPhase::Probing { since: now };
        }
    }

    /// Records a request that succeeded.
    pub(crate) const fn note_success(&mut self) {
        self.phase = BreakerPhase::Closed;
        self.failures = 0;
        self.openings = 0;
    }

    /// Records a request whose end says nothing about the backend server. If it was the probe, the
    /// next request becomes the probe.
    pub(crate) const fn note_inconclusive(&mut self, now: ClockTime) {
        if matches!(self.phase, BreakerPhase::Probing { .. }) {
            self.phase = BreakerPhase::Open { until: now };
        }
    }

    /// Records a request that failed by the fault of the backend server. Returns whether the
    /// circuit breaker has opened. `jitter` is a random number, evenly distributed over all of
    /// `u32`; it keeps entry hosts from probing at the same time.
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
