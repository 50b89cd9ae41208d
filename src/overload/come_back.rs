//! When a client that was refused for want of a place comes back, and how it is known again.
//!
//! Load pattern: for seconds more requests come than engines have places for, as when engines change
//! their weights. Those that are refused together must not come back together, and when they come they
//! are late however they are served, so that new ones go first.

use std::time::Duration;

/// A refused client comes back after at least this long: an engine ends some nine requests a second, so
/// that a dozen places have become free at each by then.
const COME_BACK_LEAST: Duration = Duration::from_millis(1200);
/// It waits a random part of this span beyond that, so that those refused together come back apart.
const COME_BACK_SPREAD: Duration = Duration::from_secs(1);
/// Clients wait for a part of the time that they have left at most before they come back. A quarter of
/// the whole time is less than any of them waits.
const SHORTEST_PART: u32 = 4;

/// How long a client that is refused now stays away; `part` is random, from 0 to 1.
pub(crate) fn come_back_after(part: f64) -> Duration {
    COME_BACK_LEAST + COME_BACK_SPREAD.mul_f64(part)
}

/// Whether a client that will wait `asked` for its answer, on a route whose clients are kept waiting for
/// `timeout` at most, was refused before.
///
/// A client says how long it will wait from now on, so one that comes back says less than at first. But
/// clients differ by a tenth and more in how long they wait, so that a small difference says nothing.
pub(crate) fn is_returned(asked: Duration, timeout: Duration) -> bool {
    asked + COME_BACK_LEAST.min(timeout / SHORTEST_PART) <= timeout
}
