//! Whether the entry hosts count each other, so that each may use its part of a limit that holds for
//! all of them together.
//!
//! An entry host that divides such a limit by the number of entry hosts in its list relies on the
//! others to count it as well. Entry hosts therefore tell each other which of them have the same
//! list. Once all entry hosts of a list have it, each of them is counted by all others, because lists
//! only grow.
//!
//! Some may not answer, or may be cut off. A list is therefore valid only for a while after it was
//! known to be complete, and an entry host that the store has listed for longer than that is in all
//! valid lists. One whose list is no longer valid allows for as many unknown entry hosts as known
//! ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::peer_messages::EntryRecord;
use super::store_clock::StoreClock;
use crate::derives::{message, plain};
use crate::routing::name_hash;
use crate::time::{ClockTime, StoreTime};

/// How long a list stays valid after it was known to be complete. Entry hosts read the store every
/// ten seconds or hear from one that does; outages of the store of some seconds leave lists valid.
const LIST_VALID_SPAN: Duration = Duration::from_secs(20);
/// When a registered entry host is in all valid lists. The margin covers the bounds of the store's
/// clock and the time for which messages are in transit.
const COUNTED_AFTER: Duration = LIST_VALID_SPAN.saturating_add(Duration::from_secs(2));

/// Digest of the names of entry hosts; 0 if there are none.
fn entries_digest(entries: &[EntryRecord]) -> u64 {
    let hashes = entries.iter().map(|entry| name_hash(&entry.host));
    hashes.fold(0, std::ops::BitXor::bitxor)
}

/// A set of the entry hosts of a list: one bit for each, in the order of their names.
#[apply(message!)]
#[derive(Default)]
struct HostBits(#[serde(with = "serde_bytes")] Vec<u8>);

impl HostBits {
    fn of(count: usize) -> Self {
        Self(vec![0; count.div_ceil(8)])
    }

    fn insert(&mut self, index: usize) {
        if let Some(byte) = self.0.get_mut(index / 8) {
            *byte |= 1 << (index % 8);
        }
    }

    fn insert_all(&mut self, others: &Self) {
        for (byte, other) in self.0.iter_mut().zip(&others.0) {
            *byte |= other;
        }
    }

    /// Whether all of `count` entry hosts are in it.
    fn is_full(&self, count: usize) -> bool {
        let contains = |index: usize| {
            let byte = self.0.get(index / 8);
            byte.is_some_and(|byte| byte & (1 << (index % 8)) != 0)
        };
        (0..count).all(contains)
    }
}

/// Which entry hosts are known to have the same list.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct ListAgreement {
    /// Digest of the list.
    digest: u64,
    /// Those that have the list.
    holders: HostBits,
    /// Those of them that started for the first time and had spent nothing of their parts before they
    /// had the list.
    first_holders: HostBits,
    /// When the list was last known to be complete; `None` if it may lack some.
    complete_at: Option<StoreTime>,
}

impl ListAgreement {
    /// Nobody is known to have the list of `entries` yet.
    fn of(entries: &[EntryRecord], complete_at: Option<StoreTime>) -> Self {
        Self {
            digest: entries_digest(entries),
            holders: HostBits::of(entries.len()),
            first_holders: HostBits::of(entries.len()),
            complete_at,
        }
    }

    /// Adds what `reported` states about the same list. Returns whether anything is new.
    fn merge(&mut self, reported: &Self) -> bool {
        let before = self.clone();
        self.holders.insert_all(&reported.holders);
        self.first_holders.insert_all(&reported.first_holders);
        self.complete_at = self.complete_at.max(reported.complete_at);
        *self != before
    }

    /// The same, but known to be complete at `latest` at the latest.
    pub(super) fn bounded_by(&self, latest: StoreTime) -> Self {
        Self {
            complete_at: self.complete_at.map(|at| at.min(latest)),
            ..self.clone()
        }
    }
}

/// How an entry host shares limits that hold for all entry hosts together.
#[apply(plain!)]
#[derive(Copy, Default)]
pub(crate) struct EntrySharing {
    /// Number of entry hosts; 0 if the list may lack some.
    pub(crate) entries: usize,
    /// Since when the others count this one; `None` if they may not, or in the future if they will.
    pub(crate) counted_since: Option<ClockTime>,
    /// Until when the list is valid.
    pub(crate) valid_until: ClockTime,
}

impl EntrySharing {
    /// Returns the number by which this entry host divides a limit at `now`. With an outdated list
    /// it allows for as many unknown entry hosts as known ones.
    pub(crate) fn divisor(&self, now: ClockTime) -> usize {
        if now <= self.valid_until {
            self.entries
        } else {
            self.entries.saturating_mul(2)
        }
    }
}

/// What an entry host knows of the agreement about its list.
#[derive(Debug, Default)]
pub(super) struct AgreementState {
    /// Its own name; `None` for another process.
    own_host: Option<ByteString>,
    agreement: ListAgreement,
    /// Whether the store did not list it when it first read the store; `None` before.
    is_first_start: Option<bool>,
    /// When the store first listed it, on the store's clock.
    registered_at: Option<StoreTime>,
    /// Whether this process has spent anything of its parts.
    has_spent: Arc<AtomicBool>,
    /// Since when all entry hosts of a list are known to have it.
    agreed_at: Option<ClockTime>,
    /// Whether none of these had spent anything of its parts before.
    is_founder: bool,
}

impl AgreementState {
    pub(super) fn set_own_host(&mut self, host: ByteString) {
        self.own_host = Some(host);
    }

    /// The flag by which request handling tells that it has spent something of the parts.
    pub(super) fn has_spent(&self) -> Arc<AtomicBool> {
        self.has_spent.clone()
    }

    /// Digest of the list; 0 if it is empty.
    pub(super) const fn list_digest(&self) -> u64 {
        self.agreement.digest
    }

    /// What it tells the others.
    pub(super) fn agreement(&self) -> &ListAgreement {
        &self.agreement
    }

    /// Whether all other entry hosts of a list are known to count this one.
    pub(super) const fn is_agreed(&self) -> bool {
        self.agreed_at.is_some()
    }

    /// Follows a change of the list to `entries`.
    pub(super) fn follow_list(&mut self, entries: &[EntryRecord]) {
        if self.agreement.digest == entries_digest(entries) {
            return;
        }
        self.agreement = ListAgreement::of(entries, self.agreement.complete_at);
        self.add_itself(entries);
    }

    fn own_index(&self, entries: &[EntryRecord]) -> Option<usize> {
        let own_host = self.own_host.as_ref();
        entries
            .iter()
            .position(|entry| Some(&entry.host) == own_host)
    }

    /// Adds this entry host to the holders of the list of `entries`.
    fn add_itself(&mut self, entries: &[EntryRecord]) {
        if let Some(index) = self.own_index(entries) {
            self.agreement.holders.insert(index);
            if self.is_first_start == Some(true) && !self.has_spent.load(Ordering::Relaxed) {
                self.agreement.first_holders.insert(index);
            }
        }
    }

    /// Records that `entries` contains all entry hosts that the store listed at `answered_at`, among
    /// them this one if `is_registered`.
    pub(super) fn note_table(
        &mut self,
        entries: &[EntryRecord],
        is_registered: bool,
        answered_at: StoreTime,
        now: ClockTime,
    ) {
        let complete_at = self.agreement.complete_at.max(Some(answered_at));
        self.agreement.complete_at = complete_at;
        if self.is_first_start.is_none() {
            self.is_first_start = Some(!is_registered);
            self.add_itself(entries);
        }
        if is_registered {
            self.registered_at.get_or_insert(answered_at);
        }
        self.check(entries, now);
    }

    /// Whether `reported` is about the same list and tells something new.
    pub(super) fn is_updated_by(&self, reported: &ListAgreement) -> bool {
        let mut known = self.agreement.clone();
        known.digest == reported.digest && known.merge(reported)
    }

    /// Merges what another entry host reports. `entries` is the list of this one, and contains the
    /// other's if `is_contained`.
    pub(super) fn merge(
        &mut self,
        reported: &ListAgreement,
        is_contained: bool,
        entries: &[EntryRecord],
        now: ClockTime,
    ) {
        if self.agreement.digest == reported.digest {
            self.agreement.merge(reported);
        } else if is_contained {
            let complete_at = self.agreement.complete_at.max(reported.complete_at);
            self.agreement.complete_at = complete_at;
        }
        self.check(entries, now);
    }

    /// Forgets the registration, because the store has returned from an older copy.
    pub(super) const fn forget_registration(&mut self) {
        self.registered_at = None;
    }

    /// Checks whether all entry hosts have the list.
    fn check(&mut self, entries: &[EntryRecord], now: ClockTime) {
        let count = entries.len();
        if self.own_index(entries).is_none() || !self.agreement.holders.is_full(count) {
            return;
        }
        self.agreed_at.get_or_insert(now);
        self.is_founder |=
            self.is_first_start == Some(true) && self.agreement.first_holders.is_full(count);
    }

    /// How this entry host shares limits with those of `entries`.
    pub(super) fn sharing(&self, entries: &[EntryRecord], clock: &StoreClock) -> EntrySharing {
        let Some(complete_at) = self.agreement.complete_at else {
            return EntrySharing::default();
        };
        let registered_at = self.registered_at.filter(|_| clock.is_known());
        let counted_at = registered_at.map(|at| clock.earliest(at) + COUNTED_AFTER);
        EntrySharing {
            entries: entries.len(),
            counted_since: match (self.agreed_at, counted_at) {
                _ if self.is_founder => Some(ClockTime(0)),
                (Some(agreed_at), Some(counted_at)) => Some(agreed_at.min(counted_at)),
                (agreed_at, counted_at) => agreed_at.or(counted_at),
            },
            valid_until: clock.earliest(complete_at) + LIST_VALID_SPAN,
        }
    }
}
