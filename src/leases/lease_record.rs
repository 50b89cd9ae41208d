//! The row that a lease is kept in.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::message;
use crate::time::WallTime;

/// Who holds a lease: one process, told apart from earlier ones on the same host.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct LeaseHolder {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The process's incarnation.
    pub(crate) incarnation: u64,
}

/// A lease as its row holds it, in JSON.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct LeaseRecord {
    /// Who holds it; none after it was given back.
    pub(crate) holder: Option<LeaseHolder>,
    /// Grows by one each time that the lease passes to another holder.
    pub(crate) fence: u64,
    /// How long it holds from each renewal, in milliseconds.
    pub(crate) length_ms: u64,
    /// Grows with each renewal, so that a watcher sees that the holder is alive.
    pub(crate) renewals: u64,
    /// The wall-clock time of the last renewal by the holder's clock, in milliseconds. For margins
    /// only, never for deciding who holds the lease.
    pub(crate) renewed_wall_ms: u64,
    /// The wall-clock time of the taking by the holder's clock, in milliseconds. For margins only.
    pub(crate) taken_wall_ms: u64,
    /// Whether its holder may act without a trace in the table while the table is away.
    pub(crate) acts_untraced: bool,
    /// When earlier holders may have acted without a trace, the latest last.
    pub(crate) doubts: Vec<DoubtWindow>,
}

/// A span in which a holder that did not give the lease back may have acted without a trace in the
/// table: from its last renewal to the end of its lease, by its wall clock, in milliseconds.
#[apply(message!)]
#[derive(Copy, Eq)]
pub(crate) struct DoubtWindow {
    /// The last renewal.
    pub(crate) from_ms: u64,
    /// The end of the lease.
    pub(crate) until_ms: u64,
}

/// How long a doubt is kept, in milliseconds; longer than any act is asked about.
const DOUBT_KEPT_MS: u64 = 26 * 60 * 60 * 1000;
/// Doubts kept at most; the two oldest become one.
const DOUBTS_MAX: usize = 8;

impl LeaseRecord {
    /// The doubts that whoever takes the lease now has to take over.
    pub(super) fn doubts_for_taker(&self, wall: WallTime) -> Vec<DoubtWindow> {
        let mut doubts = self.doubts.clone();
        if self.holder.is_some() && self.acts_untraced {
            doubts.push(DoubtWindow {
                from_ms: self.renewed_wall_ms,
                until_ms: self.renewed_wall_ms + self.length_ms,
            });
        }
        doubts.retain(|doubt| doubt.until_ms + DOUBT_KEPT_MS > wall.0);
        if doubts.len() > DOUBTS_MAX {
            let oldest = doubts.remove(0);
            doubts[0].from_ms = oldest.from_ms.min(doubts[0].from_ms);
            doubts[0].until_ms = oldest.until_ms.max(doubts[0].until_ms);
        }
        doubts
    }
}
