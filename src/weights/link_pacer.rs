//! Paces transfers of weights to the rate of the host's link, with precedence for live requests.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::{key, plain};
use crate::time::{ClockTime, clock_now};

const MICROS_PER_SECOND: u128 = 1_000_000;
/// The rate is reduced to one sixteenth at most.
const HALVINGS_MAX: u32 = 4;

/// One direction of a link: a token bucket without credit for idle time, so that only the chunk
/// sent next may burst.
#[apply(plain!)]
pub(crate) struct LinkBucket {
    bytes_per_second: u64,
    /// When the link will have carried everything recorded so far.
    free_at: ClockTime,
}

impl LinkBucket {
    /// An idle link with this rate; 0 disables pacing.
    pub(crate) const fn new(bytes_per_second: u64) -> Self {
        let free_at = ClockTime(0);
        Self {
            bytes_per_second,
            free_at,
        }
    }

    /// Reserves the link for `bytes` of weights after everything recorded before. Returns when they
    /// will have been carried.
    pub(crate) fn reserve(&mut self, bytes: u64, now: ClockTime) -> ClockTime {
        self.free_at = self.free_at.max(now) + self.transfer_time(bytes);
        self.free_at
    }

    /// Records that `bytes` of weights have just been received. The link carried them while they
    /// were sent, so that they are counted from the time that they need on an idle link before
    /// `now`. Returns when the link will have carried them after everything recorded before.
    pub(crate) fn record_arrival(&mut self, bytes: u64, now: ClockTime) -> ClockTime {
        let span = self.transfer_time(bytes);
        self.free_at = self.free_at.max(now - span) + span;
        self.free_at
    }

    /// Records `bytes` of live traffic. Live traffic never waits; later transfers of weights wait
    /// for it.
    pub(crate) fn record_live(&mut self, bytes: u64, now: ClockTime) {
        let _ = self.reserve(bytes, now);
    }

    /// Time that the link needs for everything recorded so far.
    pub(crate) const fn backlog(&self, now: ClockTime) -> Duration {
        self.free_at.since(now)
    }

    /// Time that `bytes` take on the idle link.
    pub(crate) fn transfer_time(&self, bytes: u64) -> Duration {
        if self.bytes_per_second == 0 {
            return Duration::ZERO;
        }
        let micros = u128::from(bytes) * MICROS_PER_SECOND / u128::from(self.bytes_per_second);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// A direction of this host's link.
#[apply(key!)]
pub(crate) enum LinkDirection {
    /// To this host.
    Down,
    /// From this host.
    Up,
}

/// Both directions of this host's link. Clones share them.
///
/// Transfers of weights that fill the link make live responses wait for complete chunks, which
/// raises the p99 latency of live requests during each burst. Transfers of weights therefore wait
/// here before they are sent, and live bytes, recorded by [`LinkPacer::record_live`], delay them
/// further.
#[derive(Clone, Debug)]
pub(crate) struct LinkPacer {
    shared: Arc<Mutex<LinkState>>,
}

#[derive(Debug)]
struct LinkState {
    down: LinkBucket,
    up: LinkBucket,
    /// The configured rate of the link.
    full_rate: u64,
    /// How many times the rate is currently halved.
    halvings: u32,
}

impl LinkState {
    fn set_halvings(&mut self, halvings: u32) {
        self.halvings = halvings;
        let rate = (self.full_rate >> halvings).max(u64::from(self.full_rate > 0));
        self.down.bytes_per_second = rate;
        self.up.bytes_per_second = rate;
    }
}

impl LinkPacer {
    /// A link with this rate in each direction; 0 disables pacing.
    pub(crate) fn new(bytes_per_second: u64) -> Self {
        let state = LinkState {
            down: LinkBucket::new(bytes_per_second),
            up: LinkBucket::new(bytes_per_second),
            full_rate: bytes_per_second,
            halvings: 0,
        };
        Self {
            shared: Arc::new(Mutex::new(state)),
        }
    }

    /// Records `bytes` of live traffic in one direction.
    pub(crate) fn record_live(&self, direction: LinkDirection, bytes: u64) {
        let now = clock_now();
        self.with(direction, |bucket| bucket.record_live(bytes, now));
    }

    /// Halves the rate of both directions. Called when weights arrive far too slowly: the link
    /// carries less than configured, and the excess would queue in front of live responses.
    pub(crate) fn slow_down(&self) {
        let mut state = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let halvings = (state.halvings + 1).min(HALVINGS_MAX);
        state.set_halvings(halvings);
    }

    /// How many chunks may be in transfer to this host at the same time: `max_chunks` at the full
    /// rate, fewer at a reduced rate, because otherwise the chunks in transfer would fill a narrow
    /// link for seconds.
    pub(crate) fn concurrent_chunks(&self, max_chunks: usize) -> usize {
        let state = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        (max_chunks >> state.halvings).max(1)
    }

    /// Reverts one halving of the rate. Called when weights arrive at the expected speed.
    pub(crate) fn speed_up(&self) {
        let mut state = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let halvings = state.halvings.saturating_sub(1);
        state.set_halvings(halvings);
    }

    /// Time that the link needs for everything recorded so far.
    pub(crate) fn backlog(&self, direction: LinkDirection) -> Duration {
        let now = clock_now();
        self.with(direction, |bucket| bucket.backlog(now))
    }

    /// Time that `bytes` take on the idle link.
    pub(crate) fn transfer_time(&self, bytes: u64) -> Duration {
        self.with(LinkDirection::Up, |bucket| bucket.transfer_time(bytes))
    }

    /// Records `bytes` that were just received, and waits until the link has carried them. The next
    /// chunk is requested only afterwards.
    pub(crate) async fn take_in(&self, bytes: u64) {
        let now = clock_now();
        let done_at = self.with(LinkDirection::Down, |bucket| {
            bucket.record_arrival(bytes, now)
        });
        let wait = done_at.since(now);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Reserves the up link for `bytes` if its backlog is at most `backlog_max`, and waits until
    /// they have been carried.
    ///
    /// # Errors
    ///
    /// The backlog if it is longer.
    pub(crate) async fn send_out(&self, bytes: u64, backlog_max: Duration) -> Result<(), Duration> {
        let now = clock_now();
        let done_at = self.with(LinkDirection::Up, |bucket| {
            let backlog = bucket.backlog(now);
            if backlog > backlog_max {
                return Err(backlog);
            }
            Ok(bucket.reserve(bytes, now))
        })?;
        let wait = done_at.since(now);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        Ok(())
    }

    fn with<T>(&self, direction: LinkDirection, action: impl FnOnce(&mut LinkBucket) -> T) -> T {
        let mut state = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        action(match direction {
            LinkDirection::Down => &mut state.down,
            LinkDirection::Up => &mut state.up,
        })
    }
}
