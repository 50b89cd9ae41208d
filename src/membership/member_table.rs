//! What this process knows of the other hosts, and what it makes of it. The platform's list lags
//! and counts as a hint; a host's own word, told on by neighbours, goes before it; silence on a
//! stream that this process watches makes a host suspected, then gone.

use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::messages::{HostStatus, MemberFacts};
use crate::control::MemberState;
use crate::derives::{key, plain};
use crate::stores::{HostEntry, ListedState};
use crate::time::ClockTime;

/// Paces of a watched stream without a frame after which its host is suspected.
const SUSPECT_PACES: u32 = 3;
/// How long a watched host is suspected before it counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(15);
/// How long a host that is neither listed nor heard is remembered, so that an older word about it
/// that still travels does not bring it back.
const FORGET_AFTER: Duration = Duration::from_mins(10);
/// Losses within [`FLAP_WINDOW`] from which on a host counts as flapping.
const FLAP_LOSSES: u32 = 3;
/// How long losses are held against a host.
const FLAP_WINDOW: Duration = Duration::from_mins(1);
/// How long a flapping host stays suspected after it was last lost.
const FLAP_HOLD: Duration = Duration::from_secs(20);

/// One host.
#[apply(plain!)]
pub(crate) struct MemberView {
    /// Who it is and whether it goes.
    pub(crate) facts: MemberFacts,
    /// Its newest word about itself, if it is watched and has spoken.
    pub(crate) status: Option<Arc<HostStatus>>,
    /// What the platform's list says of it.
    listing: Listing,
    /// When anything was last heard about it: from the list, from itself or from a neighbour.
    noted_at: ClockTime,
    watch: WatchHealth,
    losses: u32,
    lost_at: ClockTime,
    state: MemberState,
}

/// What the platform's list says of a host.
#[apply(key!)]
enum Listing {
    /// It has not been in the list so far.
    NotYet,
    /// It was in the list when that was last read.
    Listed,
    /// It was in the list and is no longer.
    Dropped,
}

/// How the stream from a host does.
#[apply(plain!)]
enum WatchHealth {
    /// This process does not watch it.
    NotWatched,
    /// It is watched; nothing has come since `since`.
    Silent { since: ClockTime },
    /// A frame came at `at`; the next is due within `pace`.
    Heard { at: ClockTime, pace: Duration },
}

impl MemberView {
    /// Whether it can be counted on.
    pub(crate) const fn state(&self) -> MemberState {
        self.state
    }

    /// Whether the last word about it is that it goes.
    fn is_leaving(&self) -> bool {
        self.facts.entry.state == ListedState::Leaving
            || self.status.as_ref().is_some_and(|status| status.leaving)
    }

    fn state_at(&self, now: ClockTime) -> MemberState {
        let health = match self.watch {
            WatchHealth::NotWatched if self.listing == Listing::Dropped => MemberState::Unavailable,
            WatchHealth::Silent { since } if now.since(since) >= GONE_AFTER => {
                MemberState::Unavailable
            }
            WatchHealth::Silent { .. } => MemberState::Suspected,
            WatchHealth::Heard { at, pace } if now.since(at) >= pace * SUSPECT_PACES => {
                MemberState::Suspected
            }
            WatchHealth::Heard { .. } if self.is_flapping(now) => MemberState::Suspected,
            WatchHealth::NotWatched | WatchHealth::Heard { .. } => MemberState::Live,
        };
        match health {
            MemberState::Live | MemberState::Suspected if self.is_leaving() => MemberState::Leaving,
            health => health,
        }
    }

    /// A host that is lost again and again would pull work to itself at each return and drop it at
    /// each loss. One would notice retries in waves. Until it has been steady for a while it stays
    /// suspected.
    fn is_flapping(&self, now: ClockTime) -> bool {
        self.losses >= FLAP_LOSSES && now.since(self.lost_at) < FLAP_HOLD
    }
}

/// Every host that this process knows of, sorted by name, itself left out.
#[derive(Clone, Debug)]
pub(crate) struct MemberTable {
    own_host: ByteString,
    members: Vec<MemberView>,
    changed: bool,
}

impl MemberTable {
    /// An empty table of the process on `own_host`.
    pub(crate) const fn new(own_host: ByteString) -> Self {
        Self {
            own_host,
            members: Vec::new(),
            changed: false,
        }
    }

    /// All members, sorted by host.
    pub(crate) fn members(&self) -> &[MemberView] {
        &self.members
    }

    /// The member `host`.
    pub(crate) fn get(&self, host: &str) -> Option<&MemberView> {
        self.place_of(host).ok().map(|at| &self.members[at])
    }

    /// Whether anything that readers see has changed since this was last asked.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Takes in the platform's list.
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
            if let Ok(at) = self.place_of(&entry.host) {
                let member = &mut self.members[at];
                member.listing = Listing::Listed;
                member.noted_at = now;
                if member.facts.incarnation == 0 && member.facts.entry != *entry {
                    member.facts.entry = entry.clone();
                    self.changed = true;
                }
            }
        }
    }

    /// Takes in what a host said of itself, told on by anyone. Returns whether it was news.
    pub(crate) fn on_facts(&mut self, facts: &MemberFacts, now: ClockTime) -> bool {
        let host = &facts.entry.host;
        if *host == self.own_host {
            return false;
        }
        match self.place_of(host) {
            Ok(at) => self.renew_facts(at, facts, now),
            Err(at) => {
                let view = MemberView {
                    facts: facts.clone(),
                    status: None,
                    listing: Listing::NotYet,
                    noted_at: now,
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

    fn renew_facts(&mut self, at: usize, facts: &MemberFacts, now: ClockTime) -> bool {
        let member = &mut self.members[at];
        if facts.order() <= member.facts.order() {
            return false;
        }
        if facts.incarnation > member.facts.incarnation {
            // Another process stands there now: what the earlier one said of itself is void. Its own
            // word may have come before its facts and then stays.
            let is_earlier = |status: &Arc<HostStatus>| status.incarnation < facts.incarnation;
            if member.status.as_ref().is_some_and(is_earlier) {
                member.status = None;
            }
            if member.state == MemberState::Unavailable {
                member.watch = WatchHealth::Silent { since: now };
            }
        }
        member.facts = facts.clone();
        member.noted_at = now;
        self.changed = true;
        true
    }

    /// Takes in the word of a host about itself, from its own stream. Returns whether it counts:
    /// the word of an earlier process on the host, or an earlier word of this one, does not.
    pub(crate) fn on_status(&mut self, status: HostStatus, now: ClockTime) -> bool {
        let Ok(at) = self.place_of(&status.host) else {
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
            // Its facts come right behind; until then only its own word counts.
            member.facts.incarnation = status.incarnation;
            member.facts.sequence = 0;
            member.facts.entry.state = ListedState::Live;
        }
        member.noted_at = now;
        member.status = Some(Arc::new(status));
        self.changed = true;
        true
    }

    /// This process watches `host` from now on. One that is gone stays so until it speaks.
    pub(crate) fn on_watched(&mut self, host: &str, now: ClockTime) {
        if let Ok(at) = self.place_of(host) {
            let member = &mut self.members[at];
            if member.state != MemberState::Unavailable {
                member.watch = WatchHealth::Silent { since: now };
            }
        }
    }

    /// A frame came on the stream from `host`, whose frames are at most `pace` apart.
    pub(crate) fn on_frame_received(&mut self, host: &str, pace: Duration, now: ClockTime) {
        if let Ok(at) = self.place_of(host) {
            let member = &mut self.members[at];
            member.watch = WatchHealth::Heard { at: now, pace };
            member.noted_at = now;
        }
    }

    /// The stream from `host` broke or could not be opened.
    pub(crate) fn on_stream_lost(&mut self, host: &str, now: ClockTime) {
        let Ok(at) = self.place_of(host) else {
            return;
        };
        let member = &mut self.members[at];
        if !matches!(member.watch, WatchHealth::Heard { .. }) {
            return;
        }
        if now.since(member.lost_at) >= FLAP_WINDOW {
            member.losses = 0;
        }
        member.losses += 1;
        member.lost_at = now;
        member.watch = WatchHealth::Silent { since: now };
    }

    /// This process no longer watches `host`. One that is gone stays so until it shows itself.
    pub(crate) fn on_unwatched(&mut self, host: &str) {
        if let Ok(at) = self.place_of(host) {
            let member = &mut self.members[at];
            if member.state != MemberState::Unavailable {
                member.watch = WatchHealth::NotWatched;
            }
            member.status = None;
            self.changed = true;
        }
    }

    /// The process on `host` asked this one for something: it is there, whatever was thought.
    pub(crate) fn on_contact(&mut self, host: &str, now: ClockTime) {
        if let Ok(at) = self.place_of(host) {
            let member = &mut self.members[at];
            member.noted_at = now;
            if member.state == MemberState::Unavailable {
                member.watch = WatchHealth::Silent { since: now };
            }
        }
    }

    /// Works out every member's state at `now` and forgets those long gone.
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
            member.listing == Listing::Listed || now.since(member.noted_at) < FORGET_AFTER
        });
        self.changed |= count != self.members.len();
    }

    fn place_of(&self, host: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| (*member.facts.entry.host).cmp(host))
    }
}
