//! Estimates the store's clock relative to this process's clock.
//!
//! Processes exchange times on the store's clock, which they all share. An age instead would have
//! to grow by its transit time, which is unknown. Each process bounds the offset of the store's
//! clock by when it sent a query for it and when it received the response. A response with a long
//! transit gives wide bounds and never loosens earlier, tighter ones.

use macro_rules_attribute::apply;

use crate::derives::{key, message, plain};
use crate::time::{ClockTime, StoreTime};

/// Largest drift between two steady clocks, in parts per million. Oscillators stay within half of
/// it.
const DRIFT_PER_MILLION: u64 = 200;

/// When a query was sent and its response received, on this process's clock.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct QuerySpan {
    /// The responder read the store's clock not before this.
    pub(crate) sent_at: ClockTime,
    /// The responder read it not after this.
    pub(crate) received_at: ClockTime,
}

/// Bounds of the store's clock at one moment, as far as the announcing process knows them.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct ClockBounds {
    /// The clock shows at least this.
    pub(crate) least: StoreTime,
    /// The clock shows at most this.
    pub(crate) most: StoreTime,
}

impl ClockBounds {
    /// The bounds given by the store itself, which reports whole milliseconds.
    pub(super) fn from_store(answered_at: StoreTime) -> Self {
        Self {
            least: answered_at,
            most: answered_at + std::time::Duration::from_millis(1),
        }
    }
}

/// Who reported the bounds.
#[apply(key!)]
pub(super) enum ClockSource {
    /// The store.
    Store,
    /// Another process of the system, which may have been paused without having noticed it yet.
    Neighbour,
}

/// By how many microseconds the store's clock is ahead of this process's clock.
#[apply(plain!)]
#[derive(Copy)]
struct ClockOffset {
    least: i64,
    most: i64,
    /// When these bounds applied.
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

    /// The bounds at `now`, widened by the possible drift since.
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

    /// The bounds that satisfy both; `None` if they contradict each other.
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
    /// Merges `bounds`, which `source` reported within `span`.
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
            // This process or the neighbour was paused. A paused neighbour reports a time that is
            // too early.
            None if source == ClockSource::Store || reported.least > known.most => reported,
            None => known,
        });
    }

    /// Whether any bounds are known.
    pub(super) const fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// The bounds at `now`, to be announced to another process.
    pub(super) fn bounds(&self, now: ClockTime) -> Option<ClockBounds> {
        let known = self.known?.at(now);
        let shown = |ahead: i64| StoreTime(unsigned(signed(now.0).saturating_add(ahead)));
        Some(ClockBounds {
            least: shown(known.least),
            most: shown(known.most),
        })
    }

    /// The latest time that the store's clock can show at `now`; this process's own clock while no
    /// bounds are known.
    pub(crate) fn time(&self, now: ClockTime) -> StoreTime {
        self.bounds(now)
            .map_or(StoreTime(now.0), |bounds| bounds.most)
    }

    /// The earliest moment on this process's clock at which the store's clock can have shown
    /// `moment`.
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
