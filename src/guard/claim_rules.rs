//! When a call may run without a claim, and when its absence proves nothing.

use super::keyed_call::{KeyedCall, SlotGrant};
use crate::documents::OutageRule;
use crate::time::WallTime;

/// How far two hosts' wall clocks may differ, in milliseconds.
const SKEW_MS: u64 = 5_000;
/// How far ahead of this host's clock a key's time may lie, in milliseconds.
pub(crate) const AHEAD_MS: u64 = 5_000;
/// How old a key may be that runs without a claim, in milliseconds.
const FRESH_MS: u64 = 60_000;
/// How long claims are kept, in milliseconds.
pub(crate) const CLAIM_KEPT_MS: u64 = 24 * 60 * 60 * 1000;
/// How old a key may be for a missing claim to mean that it never ran, in milliseconds; an hour
/// before claims are removed.
const KEY_LIFE_MS: u64 = 23 * 60 * 60 * 1000;

/// Whether the key's time lies further ahead than clocks differ.
///
/// A caller whose clock runs ahead makes keys that look as if they were made later than they were.
/// One that ran under an earlier holder would look as if it were made after the lease had passed,
/// and would run again in an outage. No host takes such a key at any time.
pub(crate) fn is_ahead(call: &KeyedCall, wall: WallTime) -> bool {
    call.made.is_some_and(|made| made.0 > wall.0 + AHEAD_MS)
}

/// Whether the call may run without a claim, while the table is away.
///
/// In an outage nobody can look up whether the key ran before. It did not, on this host: this
/// process remembers. It did not on another host if the key was made after this process took the
/// lease, by clocks that differ by no more than the margins. And should this process die before it
/// can write down that the call ran, its successor must know which keys to doubt: young ones only,
/// by a lease whose row says that its holder runs calls without claims.
pub(crate) fn may_run_unclaimed(call: &KeyedCall, grant: &SlotGrant, wall: WallTime) -> bool {
    let Some(made) = call.made else {
        return false;
    };
    let is_fresh = made.0 + FRESH_MS >= wall.0 && made.0 <= wall.0 + AHEAD_MS;
    let is_ours = made.0 >= grant.taken.0 + AHEAD_MS + SKEW_MS;
    call.in_outage == OutageRule::Lease
        && grant.runs_unclaimed
        && is_fresh
        && is_ours
        && !is_doubtful(call, grant, wall)
}

/// Whether the call may have run although it has no claim: under an earlier holder in an outage, or
/// so long ago that its claim is gone.
pub(crate) fn is_doubtful(call: &KeyedCall, grant: &SlotGrant, wall: WallTime) -> bool {
    let Some(made) = call.made else {
        return false;
    };
    let is_old = made.0 + KEY_LIFE_MS < wall.0;
    let in_window = grant.doubts.iter().any(|doubt| {
        let from = doubt.from_ms.saturating_sub(FRESH_MS + SKEW_MS);
        let until = doubt.until_ms + AHEAD_MS + SKEW_MS;
        (from..=until).contains(&made.0)
    });
    is_old || in_window
}
