//! The table of all other hosts that this process knows, with their states.
//!
//! The platform's host list lags and serves only as a hint. A host's own announcement, which its
//! neighbours forward, takes precedence over it. If a watched stream from a host is silent, the
//! host becomes suspected and later unavailable.

use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::messages::{HostStatus, MemberFacts};
use crate::control::MemberState;
use crate::derives::{key, plain};
use crate::stores::{HostEntry, ListedState};
use crate::time::ClockTime;

/// Number of frame intervals without a frame on a watched stream after which the host is suspected.
const SUSPECT_INTERVALS: u32 = 3;
/// Time after which a watched host without a working stream changes from suspected to unavailable.
const UNAVAILABLE_AFTER: Duration = Duration::from_secs(15);
/// How long a host is kept in the table when it is neither listed nor heard from. Without this, a
/// delayed announcement about it would add it again.
const FORGET_AFTER: Duration = Duration::from_mins(10);
/// Number of stream losses within [`FLAP_WINDOW`] from which a host counts as flapping.
const FLAP_LOSSES: u32 = 3;
/// The loss count restarts if the previous loss is at least this long ago.
const FLAP_WINDOW: Duration = Duration::from_mins(1);
/// How long a flapping host stays suspected after its last stream loss.
const FLAP_HOLD: Duration = Duration::from_secs(20);

/// What this process knows about one host.
#[apply(plain!)]
pub(crate) struct MemberView {
    /// The host's identity and whether it is leaving.
    pub(crate) facts: MemberFacts,
    /// The host's most recent status announcement; `None` if the host is not watched or has not
    /// sent one yet.
    pub(crate) status: Option<Arc<HostStatus>>,
    /// Whether the platform's host list contains the host.
    listing: Listing,
    /// Time of the last information about the host from the list, the host itself or a neighbour.
    updated_at: ClockTime,
    watch: WatchHealth,
    /// Number of stream losses, restarted after [`FLAP_WINDOW`] without one.
    losses: u32,
    /// Time of the last stream loss.
    lost_at: ClockTime,
    state: MemberState,
}

/// Whether the platform's host list contains a host.
#[apply(key!)]
enum Listing {
    /// The host has not been in the list so far.
    NotYet,
    /// The host was in the list when it was last read.
    Listed,
    /// The host was in the list earlier, but no longer is.
    Dropped,
}

/// The condition of the stream from a host.
#[apply(plain!)]
enum WatchHealth {
    /// This process does not watch the host.
    NotWatched,
    /// The host is watched, but there has been no working stream since `since`.
    Silent { since: ClockTime },
    /// The last frame arrived at `at`; the next is due within `interval`.
    Receiving { at: ClockTime, interval: Duration },
}

impl MemberView {
    /// The host's state as of the last [`MemberTable::on_tick`].
    pub(crate) const fn state(&self) -> MemberState {
        self.state
    }

    /// Whether the host is leaving according to its facts or its status.
    fn is_leaving(&self) -> bool {
        self.facts.entry.state == ListedState::Leaving
            || self.status.as_ref().is_some_and(|status| status.leaving)
    }

    fn state_at(&self, now: ClockTime) -> MemberState {
        let health = match self.watch {
            WatchHealth::NotWatched if self.listing == Listing::Dropped => MemberState::Unavailable,
            WatchHealth::Silent { since } if now.since(since) >= UNAVAILABLE_AFTER => {
                MemberState::Unavailable
            }
            WatchHealth::Silent { .. } => MemberState::Suspected,
            WatchHealth::Receiving { at, interval }
                if now.since(at) >= interval * SUSPECT_INTERVALS =>
            {
                MemberState::Suspected
            }
            WatchHealth::Receiving { .. } if self.is_flapping(now) => MemberState::Suspected,
            WatchHealth::NotWatched | WatchHealth::Receiving { .. } => MemberState::Live,
        };
        match health {
            MemberState::Live | MemberState::Suspected if self.is_leaving() => MemberState::Leaving,
            health => health,
        }
    }

    /// Whether the stream from the host breaks repeatedly.
    ///
    /// A flapping host would attract requests at each return and fail them at each loss, which
    /// causes waves of retries. It stays suspected until it has been stable for [`FLAP_HOLD`].
    fn is_flapping(&self, now: ClockTime) -> bool {
        self.losses >= FLAP_LOSSES && now.since(self.lost_at) < FLAP_HOLD
    }
}

/// All hosts known to this process except its own, sorted by name.
#[derive(Clone, Debug)]
pub(crate) struct MemberTable {
    own_host: ByteString,
    members: Vec<MemberView>,
    changed: bool,
}

impl MemberTable {
    /// Creates an empty table for the process on `own_host`.
    pub(crate) const fn new(own_host: ByteString) -> Self {
        Self {
            own_host,
            members: Vec::new(),
            changed: false,
        }
    }

    /// All members, sorted by host name.
    pub(crate) fn members(&self) -> &[MemberView] {
        &self.members
    }

    /// The member with the name `host`.
    pub(crate) fn get(&self, host: &str) -> Option<&MemberView> {
        self.find(host).ok().map(|at| &self.members[at])
    }

    /// Whether anything visible to readers has changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Applies the platform's host list.
    pub(crate) fn on_list(&mut self, entries: &[HostEntry], now: ClockTime) {
        for member in &mut self.members {
            if member.listing == Listing::Listed {
                member.listing = Listing::Dropped;
            }
        }
        for entry in entries {
            let facts = MemberFacts {
                entry: entry.clone(),
                incarnation: 0,
                sequence: 0,
            };
            self.on_facts(&facts, now);
            if let Ok(at) = self.find(&entry.host) {
                let member = &mut self.members[at];
                member.listing = Listing::Listed;
                member.updated_at = now;
                if member.facts.incarnation == 0 && member.facts.entry != *entry {
                    member.facts.entry = entry.clone();
                    self.changed = true;
                }
            }
        }
    }

    /// Applies facts that a host announced about itself, received from any process. Returns whether
    /// they were new.
    pub(crate) fn on_facts(&mut self, facts: &MemberFacts, now: ClockTime) -> bool {
        let host = &facts.entry.host;
        if *host == self.own_host {
            return false;
        }
        match self.find(host) {
            Ok(at) => self.update_facts(at, facts, now),
            Err(at) => {
                let view = MemberView {
                    facts: facts.clone(),
                    status: None,
                    listing: Listing::NotYet,
                    updated_at: now,
                    watch: WatchHealth::NotWatched,
                    losses: 0,
                    lost_at: ClockTime(0),
                    state: MemberState::Suspected,
                };
                self.members.insert(at, view);
                self.changed = true;
                true
            }
        }
    }

    fn update_facts(&mut self, at: usize, facts: &MemberFacts, now: ClockTime) -> bool {
        let member = &mut self.members[at];
        if facts.order() <= member.facts.order() {
            return false;
        }
        if facts.incarnation > member.facts.incarnation {
            // A new process runs on the host, so the status of the earlier process is obsolete. The
            // status of the new process may have arrived before its facts and is kept.
            let is_obsolete = |status: &Arc<HostStatus>| status.incarnation < facts.incarnation;
            if member.status.as_ref().is_some_and(is_obsolete) {
                member.status = None;
            }
            if member.state == MemberState::Unavailable {
                member.watch = WatchHealth::Silent { since: now };
            }
        }
        member.facts = facts.clone();
        member.updated_at = now;
        self.changed = true;
        true
    }

    /// Applies a status announcement received on the host's own stream. Returns whether it was
    /// accepted; a status of an earlier process on the host, or an earlier status of the same
    /// process, is ignored.
    pub(crate) fn on_status(&mut self, status: HostStatus, now: ClockTime) -> bool {
        let Ok(at) = self.find(&status.host) else {
            return false;
        };
        let member = &mut self.members[at];
        if let Some(known) = &member.status {
            let is_newer =
                (status.incarnation, status.sequence) > (known.incarnation, known.sequence);
            if !is_newer {
                return false;
            }
        }
        if status.incarnation < member.facts.incarnation {
            return false;
        }
        if status.incarnation > member.facts.incarnation {
            // The facts of the new process follow immediately; until then its status applies.
            member.facts.incarnation = status.incarnation;
            member.facts.sequence = 0;
            member.facts.entry.state = ListedState::Live;
        }
        member.updated_at = now;
        member.status = Some(Arc::new(status));
        self.changed = true;
        true
    }

    /// This process starts watching `host`. An unavailable host stays unavailable until it sends
    /// something.
    pub(crate) fn on_watched(&mut self, host: &str, now: ClockTime) {
        if let Ok(at) = self.find(host) {
            let member = &mut self.members[at];
            if member.state != MemberState::Unavailable {
                member.watch = WatchHealth::Silent { since: now };
            }
        }
    }

    /// A frame arrived on the stream from `host`, whose frames are at most `interval` apart.
    pub(crate) fn on_frame_received(&mut self, host: &str, interval: Duration, now: ClockTime) {
        if let Ok(at) = self.find(host) {
            let member = &mut self.members[at];
            member.watch = WatchHealth::Receiving { at: now, interval };
            member.updated_at = now;
        }
    }

    /// The stream from `host` broke or could not be opened.
    pub(crate) fn on_stream_lost(&mut self, host: &str, now: ClockTime) {
        let Ok(at) = self.find(host) else {
            return;
        };
        let member = &mut self.members[at];
        if !matches!(member.watch, WatchHealth::Receiving { .. }) {
            return;
        }
        if now.since(member.lost_at) >= FLAP_WINDOW {
            member.losses = 0;
        }
        member.losses += 1;
        member.lost_at = now;
        member.watch = WatchHealth::Silent { since: now };
    }

    /// This process stops watching `host`. An unavailable host stays unavailable until it is heard
    /// from again.
    pub(crate) fn on_unwatched(&mut self, host: &str) {
        if let Ok(at) = self.find(host) {
            let member = &mut self.members[at];
            if member.state != MemberState::Unavailable {
                member.watch = WatchHealth::NotWatched;
            }
            member.status = None;
            self.changed = true;
        }
    }

    /// The process on `host` sent a request to this process, so it is running even if it was
    /// considered unavailable.
    pub(crate) fn on_contact(&mut self, host: &str, now: ClockTime) {
        if let Ok(at) = self.find(host) {
            let member = &mut self.members[at];
            member.updated_at = now;
            if member.state == MemberState::Unavailable {
                member.watch = WatchHealth::Silent { since: now };
            }
        }
    }

    /// Updates the state of every member at `now` and removes members that are neither listed nor
    /// heard from for [`FORGET_AFTER`].
    pub(crate) fn on_tick(&mut self, now: ClockTime) {
        for member in &mut self.members {
            let state = member.state_at(now);
            assert!(
                state != MemberState::Live || !member.is_leaving(),
                "a leaving host was about to be given new work"
            );
            if state != member.state {
                member.state = state;
                self.changed = true;
            }
        }
        let count = self.members.len();
        self.members.retain(|member| {
            member.listing == Listing::Listed || now.since(member.updated_at) < FORGET_AFTER
        });
        self.changed |= count != self.members.len();
    }

    fn find(&self, host: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| (*member.facts.entry.host).cmp(host))
    }
}
