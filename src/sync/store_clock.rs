//! Where the store's clock stands beside this process's own.
//!
//! Moments that processes tell each other are told on the store's clock, which all of them share: an age
//! would have to grow by its time on the way, which nobody knows. Each process bounds how far the store's
//! clock is ahead of its own by when a word about it was asked for and when it was heard. A word that is
//! long on its way bounds it badly and takes nothing from a better one before.

use macro_rules_attribute::apply;

use crate::derives::{key, message, plain};
use crate::time::{ClockTime, StoreTime};

/// How much two steady clocks differ at most, in millionths. Oscillators keep within half of it.
const DRIFT_PER_MILLION: u64 = 200;

/// The moments around a word, on this process's clock.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct QuerySpan {
    /// The word was not said before.
    pub(crate) sent_at: ClockTime,
    /// It was not said after.
    pub(crate) received_at: ClockTime,
}

/// What the store's clock shows at the moment of the word, as far as whoever says it knows.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct ClockBounds {
    /// At least this.
    pub(crate) least: StoreTime,
    /// At most this.
    pub(crate) most: StoreTime,
}

impl ClockBounds {
    /// The store's own word, told in whole milliseconds.
    pub(super) fn from_store(answered_at: StoreTime) -> Self {
        Self {
            least: answered_at,
            most: answered_at + std::time::Duration::from_millis(1),
        }
    }
}

/// Who says what the store's clock shows.
#[apply(key!)]
pub(super) enum ClockSource {
    /// The store.
    Store,
    /// Another process of the system, which may not have noticed yet that it stood still.
    Neighbour,
}

/// By how many microseconds the store's clock is ahead.
#[apply(plain!)]
#[derive(Copy)]
struct ClockOffset {
    least: i64,
    most: i64,
    /// When that was so.
    at: ClockTime,
}

impl ClockOffset {
    fn of(bounds: ClockBounds, span: QuerySpan) -> Self {
        Self {
            least: signed(bounds.least.0).saturating_sub(signed(span.received_at.0)),
            most: signed(bounds.most.0).saturating_sub(signed(span.sent_at.0)),
            at: span.received_at,
        }
    }

    /// What is left of it at `now`: clocks drift.
    fn at(self, now: ClockTime) -> Self {
        let passed = u64::try_from(now.since(self.at).as_micros()).unwrap_or(u64::MAX);
        let drift = passed.saturating_mul(DRIFT_PER_MILLION);
        let drift = signed(drift.div_ceil(1_000_000));
        Self {
            least: self.least.saturating_sub(drift),
            most: self.most.saturating_add(drift),
            at: now.max(self.at),
        }
    }

    /// Both hold; none if they contradict each other.
    fn intersect(self, other: Self) -> Option<Self> {
        let both = Self {
            least: self.least.max(other.least),
            most: self.most.min(other.most),
            at: self.at.max(other.at),
        };
        (both.least <= both.most).then_some(both)
    }
}

/// The store's clock as this process knows it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreClock {
    known: Option<ClockOffset>,
}

impl StoreClock {
    /// `source` said `bounds` within `span`.
    pub(super) fn note(&mut self, bounds: ClockBounds, span: QuerySpan, source: ClockSource) {
        let reported = ClockOffset::of(bounds, span);
        if reported.least > reported.most {
            return;
        }
        let Some(known) = self.known.map(|known| known.at(span.received_at)) else {
            self.known = Some(reported);
            return;
        };
        self.known = Some(match known.intersect(reported) {
            Some(both) => both,
            // This process stood still, or whoever tells it did: then its store's time is behind.
            None if source == ClockSource::Store || reported.least > known.most => reported,
            None => known,
        });
    }

    /// Whether anything was heard of it.
    pub(super) const fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// What it shows at `now`, for another process.
    pub(super) fn bounds(&self, now: ClockTime) -> Option<ClockBounds> {
        let known = self.known?.at(now);
        let shown = |ahead: i64| StoreTime(unsigned(signed(now.0).saturating_add(ahead)));
        Some(ClockBounds {
            least: shown(known.least),
            most: shown(known.most),
        })
    }

    /// What it shows at `now` at the latest; this process's own clock as long as nothing was heard of it.
    pub(crate) fn time(&self, now: ClockTime) -> StoreTime {
        self.bounds(now)
            .map_or(StoreTime(now.0), |bounds| bounds.most)
    }

    /// The earliest moment on this process's clock that `moment` can be.
    pub(super) fn earliest(&self, moment: StoreTime) -> ClockTime {
        let ahead = self.known.map_or(i64::MAX, |known| known.most);
        ClockTime(unsigned(signed(moment.0).saturating_sub(ahead)))
    }
}

fn signed(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}

fn unsigned(micros: i64) -> u64 {
    u64::try_from(micros).unwrap_or(0)
}
