//! What a stand-in is told to do wrong, and the connections that it lets go silent.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::message;

/// What a stand-in does wrong. `POST /lab/fault` replaces the whole; what is not named is off.
/// Percentages are spread evenly over the answers that they concern.
#[apply(message!)]
#[derive(Copy, Default, Eq)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is a fault of its own and any may stand together"
)]
pub(crate) struct FaultSettings {
    /// Every answer comes this much later, in milliseconds.
    pub(crate) slow_ms: u64,
    /// Every request is answered 503 and has no effect.
    pub(crate) down: bool,
    /// Writes that take effect and are never answered, in percent.
    pub(crate) lost_answers_percent: u64,
    /// Connections that are open when this is set go silent for good; new ones work.
    pub(crate) silence_open: bool,
    /// Every connection is accepted and never answered.
    pub(crate) silence_all: bool,
    /// Answers to reads of weights with a wrong byte, in percent.
    pub(crate) corrupt_percent: u64,
    /// Answers to reads of weights that stop in the middle, in percent.
    pub(crate) stall_percent: u64,
    /// Answers to reads of weights that break off in the middle, in percent.
    pub(crate) short_percent: u64,
    /// Reads of weights that are answered 429, in percent.
    pub(crate) limit_percent: u64,
    /// The list of hosts, or the engine's report, shows what was so long ago, in milliseconds.
    pub(crate) lag_ms: u64,
    /// The engine's streams that break off after their third token, in percent.
    pub(crate) cut_streams_percent: u64,
    /// The engine's streams that carry a token of another request, in percent.
    pub(crate) crossed_percent: u64,
    /// The engine refuses what it is asked to generate.
    pub(crate) refuse: bool,
    /// The engine fails to load any version.
    pub(crate) fail_load: bool,
    /// The engine carries out orders with old fencing numbers.
    pub(crate) ignore_fencing: bool,
    /// Cache events that are lost, in percent.
    pub(crate) cache_gap_percent: u64,
}

/// The faults that stand, and what they have come to.
#[derive(Debug, Default)]
pub(crate) struct FaultBoard {
    state: Mutex<FaultState>,
}

#[derive(Debug, Default)]
struct FaultState {
    settings: FaultSettings,
    drawn: u64,
    /// Peers of connections that have sent something, sorted.
    seen: Vec<SocketAddr>,
    /// Peers of connections that are silent for good, sorted.
    silent: Vec<SocketAddr>,
}

impl FaultBoard {
    /// Replaces the faults.
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

    /// The faults that stand.
    pub(crate) fn settings(&self) -> FaultSettings {
        self.lock().settings
    }

    /// Whether the next of the answers that a fault concerns is one of its `percent`.
    pub(crate) fn strikes(&self, percent: u64) -> bool {
        // A step without a common factor with 100 visits every remainder once in 100 draws.
        const STEP: u64 = 37;
        if percent == 0 {
            return false;
        }
        let mut state = self.lock();
        state.drawn += 1;
        state.drawn.wrapping_mul(STEP) % 100 < percent
    }

    /// Remembers that the connection from `peer` has sent something.
    pub(crate) fn saw(&self, peer: SocketAddr) {
        let mut state = self.lock();
        if let Err(at) = state.seen.binary_search(&peer) {
            state.seen.insert(at, peer);
        }
    }

    /// Whether the connection from `peer` is silent.
    pub(crate) fn is_silent(&self, peer: SocketAddr) -> bool {
        let state = self.lock();
        state.settings.silence_all || state.silent.binary_search(&peer).is_ok()
    }

    /// Waits as long as answers are to come later.
    pub(crate) async fn slow_down(&self) {
        let wait = Duration::from_millis(self.settings().slow_ms);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
