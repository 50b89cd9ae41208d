//! The faults that a stand-in injects, and the connections on which it stopped answering.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::message;

/// The faults that a stand-in injects. `POST /lab/fault` replaces all of them; a missing field
/// turns its fault off. A percentage is spread evenly over the responses that it applies to.
#[apply(message!)]
#[derive(Copy, Default, Eq)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is an independent fault, and any of them may be combined"
)]
pub(crate) struct FaultSettings {
    /// Delay of every response, in milliseconds.
    pub(crate) slow_ms: u64,
    /// Whether every request is answered 503 and has no effect.
    pub(crate) down: bool,
    /// Writes that take effect but are never answered, in percent.
    pub(crate) lost_answers_percent: u64,
    /// Whether the connections that are open when this is set stay unanswered from then on. New
    /// connections work.
    pub(crate) silence_open: bool,
    /// Whether every connection is accepted but never answered.
    pub(crate) silence_all: bool,
    /// Reads of weights whose response has a corrupt byte, in percent.
    pub(crate) corrupt_percent: u64,
    /// Reads of weights whose response stalls halfway with the connection open, in percent.
    pub(crate) stall_percent: u64,
    /// Reads of weights whose connection is closed halfway through the response, in percent.
    pub(crate) short_percent: u64,
    /// Reads of weights answered 429, in percent.
    pub(crate) limit_percent: u64,
    /// Age of the state that the host list or the engine's report shows, in milliseconds.
    pub(crate) lag_ms: u64,
    /// Streams of the engine that are cut after their third token, in percent.
    pub(crate) cut_streams_percent: u64,
    /// Streams of the engine that carry a token of another request, in percent.
    pub(crate) crossed_percent: u64,
    /// Whether the engine refuses all requests to generate.
    pub(crate) refuse: bool,
    /// Whether the engine fails to load any version.
    pub(crate) fail_load: bool,
    /// Whether the engine accepts commands with outdated fencing numbers.
    pub(crate) ignore_fencing: bool,
    /// Prefix cache events that are lost, in percent.
    pub(crate) cache_gap_percent: u64,
}

/// The current fault settings, and the connections that they affect.
#[derive(Debug, Default)]
pub(crate) struct FaultInjector {
    state: Mutex<FaultState>,
}

#[derive(Debug, Default)]
struct FaultState {
    settings: FaultSettings,
    /// Calls of [`FaultInjector::applies`] with a percentage above 0.
    draws: u64,
    /// Peer addresses of connections that have sent a request, sorted.
    seen: Vec<SocketAddr>,
    /// Peer addresses of connections that are never answered again, sorted.
    silent: Vec<SocketAddr>,
}

impl FaultInjector {
    /// Replaces the fault settings.
    pub(crate) fn set(&self, settings: FaultSettings) {
        let mut state = self.lock();
        if settings.silence_open {
            let seen = std::mem::take(&mut state.seen);
            state.silent.extend(seen);
            state.silent.sort_unstable();
            state.silent.dedup();
        }
        state.settings = settings;
    }

    /// Returns the current fault settings.
    pub(crate) fn settings(&self) -> FaultSettings {
        self.lock().settings
    }

    /// Decides whether a fault applies to the next response that it concerns, so that it applies
    /// to `percent` percent of them.
    pub(crate) fn applies(&self, percent: u64) -> bool {
        // The step is coprime to 100, so 100 draws visit each remainder once.
        const STEP: u64 = 37;
        if percent == 0 {
            return false;
        }
        let mut state = self.lock();
        state.draws += 1;
        state.draws.wrapping_mul(STEP) % 100 < percent
    }

    /// Records that the connection from `peer` has sent a request.
    pub(crate) fn record_peer(&self, peer: SocketAddr) {
        let mut state = self.lock();
        if let Err(at) = state.seen.binary_search(&peer) {
            state.seen.insert(at, peer);
        }
    }

    /// Whether the connection from `peer` is to stay unanswered.
    pub(crate) fn is_silent(&self, peer: SocketAddr) -> bool {
        let state = self.lock();
        state.settings.silence_all || state.silent.binary_search(&peer).is_ok()
    }

    /// Waits for the configured delay of responses.
    pub(crate) async fn delay_answer(&self) {
        let wait = Duration::from_millis(self.settings().slow_ms);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
