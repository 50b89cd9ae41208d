//! Keeps weights within the link's rate, behind live requests.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::{key, plain};
use crate::time::{ClockTime, clock_now};

const MICROS_PER_SECOND: u128 = 1_000_000;
/// The rate is taken down to a sixteenth at most.
const HALVINGS_MAX: u32 = 4;

/// One direction of a link: a token bucket whose only burst is the chunk that goes next.
#[apply(plain!)]
pub(crate) struct LinkBucket {
    bytes_per_second: u64,
    /// When everything that was given to the link so far is through.
    free_at: ClockTime,
}

impl LinkBucket {
    /// An idle link; 0 bytes a second means that nothing is paced.
    pub(crate) const fn new(bytes_per_second: u64) -> Self {
        let free_at = ClockTime(0);
        Self {
            bytes_per_second,
            free_at,
        }
    }

    /// Gives `bytes` of weights to the link behind all that was given before. Returns when they are
    /// through.
    pub(crate) fn reserve(&mut self, bytes: u64, now: ClockTime) -> ClockTime {
        self.free_at = self.free_at.max(now) + self.transfer_time(bytes);
        self.free_at
    }

    /// `bytes` of weights have just come. The link took them in while their sender sent them, so
    /// that they count from as long ago as they need on the idle link. Returns when the link has
    /// taken them in behind all that came before.
    pub(crate) fn record_arrival(&mut self, bytes: u64, now: ClockTime) -> ClockTime {
        let span = self.transfer_time(bytes);
        self.free_at = self.free_at.max(now - span) + span;
        self.free_at
    }

    /// Live requests took `bytes` of the link. They never wait; the weights behind them do.
    pub(crate) fn record_live(&mut self, bytes: u64, now: ClockTime) {
        let _ = self.reserve(bytes, now);
    }

    /// How long the link needs for what it was given.
    pub(crate) const fn backlog(&self, now: ClockTime) -> Duration {
        self.free_at.since(now)
    }

    /// How long `bytes` take on the idle link.
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
/// Weights that fill the link make live answers wait behind whole chunks. One would notice live
/// requests' p99 rising with each burst. Weights therefore wait for the link here, before they are
/// sent, and live bytes, told by [`LinkPacer::record_live`], push them back.
#[derive(Clone, Debug)]
pub(crate) struct LinkPacer {
    shared: Arc<Mutex<LinkState>>,
}

#[derive(Debug)]
struct LinkState {
    down: LinkBucket,
    up: LinkBucket,
    /// The rate of the link as it should be.
    full_rate: u64,
    /// How many times that rate is halved now.
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
    /// A link that takes `bytes_per_second` in each direction; 0 means that nothing is paced.
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

    /// Live requests took `bytes` of the link.
    pub(crate) fn record_live(&self, direction: LinkDirection, bytes: u64) {
        let now = clock_now();
        self.with(direction, |bucket| bucket.record_live(bytes, now));
    }

    /// Weights came far too slowly for this link: it carries less than it should, and whatever goes
    /// beyond that stands before live answers. Halves the rate of both directions.
    pub(crate) fn slow_down(&self) {
        let mut state = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let halvings = (state.halvings + 1).min(HALVINGS_MAX);
        state.set_halvings(halvings);
    }

    /// How many of `most` chunks may be under way to this host: all at the full rate, fewer at less, or
    /// those that are under way would fill a narrow link for seconds.
    pub(crate) fn concurrent_chunks(&self, most: usize) -> usize {
        let state = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        (most >> state.halvings).max(1)
    }

    /// Weights came as fast as they should. Takes one halving back.
    pub(crate) fn speed_up(&self) {
        let mut state = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let halvings = state.halvings.saturating_sub(1);
        state.set_halvings(halvings);
    }

    /// How long the link is busy with what it was given.
    pub(crate) fn backlog(&self, direction: LinkDirection) -> Duration {
        let now = clock_now();
        self.with(direction, |bucket| bucket.backlog(now))
    }

    /// How long `bytes` take on the idle link.
    pub(crate) fn transfer_time(&self, bytes: u64) -> Duration {
        self.with(LinkDirection::Up, |bucket| bucket.transfer_time(bytes))
    }

    /// Waits until the link has taken in `bytes` that have just come: the next are asked for only
    /// then.
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

    /// Gives `bytes` to the up link if it is free within `backlog_max`, and waits until they are
    /// through.
    ///
    /// # Errors
    ///
    /// The link's backlog when it is longer.
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

    fn with<T>(&self, direction: LinkDirection, act: impl FnOnce(&mut LinkBucket) -> T) -> T {
        let mut state = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        act(match direction {
            LinkDirection::Down => &mut state.down,
            LinkDirection::Up => &mut state.up,
        })
    }
}
