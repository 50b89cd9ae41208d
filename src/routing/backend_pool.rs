//! The backend servers of one service and the choice among them.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::backend_server::{BackendServer, Nearness, ServicePace};
use super::events;
use super::rendezvous::{name_hash, rendezvous_weight};
use crate::control::{ControlSnapshot, MemberRecord, MemberState};
use crate::derives::{key, plain};
use crate::documents::{HostSelection, ServiceDocument, ServiceKind};
use crate::errors::ErrorKind;
use crate::events::log_event;
use crate::membership::{HostIdentity, LoadReport};
use crate::stores::HostRole;
use crate::time::ClockTime;
use crate::weights::WeightsDigest;

/// Backend servers of one nearness that an entry host sends to. Beyond it, each entry host takes
/// its own part by rendezvous: it need not keep connections to all, and a pick stays cheap.
const SUBSET_MAX: usize = 64;
/// How far behind load reports are taken to be.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// A backend server in the pool's arena.
#[apply(key!)]
pub(crate) struct BackendKey(u32);

/// Where a request may go.
#[apply(key!)]
pub(crate) enum PickTarget {
    /// Any backend server.
    Any,
    /// One that serves this version.
    Version(WeightsDigest),
}

/// What a request wants of its pick.
#[apply(key!)]
pub(crate) struct PickWish {
    /// Where it may go.
    pub(crate) target: PickTarget,
    /// Whether it may wait at the host.
    pub(crate) urgent: bool,
    /// The hash of its prompt's beginning, to meet a cached prefix.
    pub(crate) prefix: Option<u64>,
    /// Where it failed last.
    pub(crate) avoid: Option<BackendKey>,
}

/// A pick.
#[apply(plain!)]
pub(crate) struct PickedBackend {
    /// The backend server.
    pub(crate) key: BackendKey,
    /// Its host's name.
    pub(crate) host: ByteString,
    /// Where its host process listens.
    pub(crate) peer: SocketAddr,
    /// The process that is meant.
    pub(crate) incarnation: u64,
}

/// Why there is no pick.
#[apply(key!)]
pub(crate) enum NoPick {
    /// Those that could take it are full.
    Full,
    /// There is none that could take it.
    Nobody,
}

/// The backend servers of one service.
pub(crate) struct BackendPool {
    arena: Vec<Option<BackendServer>>,
    /// Those that are known, sorted by host name.
    pub(super) by_host: Vec<BackendKey>,
    /// Those that may get new work, by nearness, each list in its own order.
    pub(super) tiers: [Vec<BackendKey>; 4],
    pub(super) entries: u32,
    pub(super) needs_weights: bool,
    /// How long our requests took anywhere by their cost.
    pub(super) pace: ServicePace,
    pub(super) rng: StdRng,
}

impl BackendPool {
    /// An empty pool. The same seed gives the same picks.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            arena: Vec::new(),
            by_host: Vec::new(),
            tiers: [const { Vec::new() }; 4],
            entries: 1,
            needs_weights: false,
            pace: ServicePace::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Takes what the control state says now about the hosts of `document`'s service.
    pub(crate) fn refresh(
        &mut self,
        snapshot: &ControlSnapshot,
        document: &ServiceDocument,
        identity: &HostIdentity,
        now: ClockTime,
    ) {
        self.needs_weights = document.kind == ServiceKind::Model;
        self.entries = sender_count(snapshot, document, identity);
        let mut known = Vec::with_capacity(self.by_host.len());
        for member in &snapshot.members {
            if serves(member, document) {
                known.push(self.refresh_member(member, identity, now));
            }
        }
        let gone: Vec<BackendKey> = self
            .by_host
            .iter()
            .copied()
            .filter(|key| !known.contains(key))
            .collect();
        for key in gone {
            self.forget(key);
        }
        self.by_host = known;
        self.rebuild_tiers(name_hash(&identity.host));
    }

    /// Picks a backend server and counts the request as sent there.
    pub(crate) fn pick(
        &mut self,
        wish: &PickWish,
        now: ClockTime,
    ) -> Result<PickedBackend, NoPick> {
        let key = self.pick_any(wish, now)?;
        let backend = self.backend_mut(key).ok_or(NoPick::Nobody)?;
        backend.breaker.note_passed(now);
        backend.estimate.begin(now);
        let incarnation = backend
            .status
            .as_ref()
            .map_or(0, |status| status.incarnation);
        Ok(PickedBackend {
            key,
            host: backend.host.clone(),
            peer: backend.peer,
            incarnation,
        })
    }

    /// A request of `cost` there has ended well; `load` is what its end told of the host.
    pub(crate) fn note_success(
        &mut self,
        key: BackendKey,
        took: Duration,
        cost: u64,
        load: Option<LoadReport>,
        now: ClockTime,
    ) {
        if let Some(backend) = self.backend_mut(key) {
            backend.estimate.end(now);
            if let Some(load) = load {
                backend.estimate.take_report(load, Duration::ZERO, now);
            }
            backend.breaker.note_success();
            backend.pace.note(took, cost);
        }
        self.pace.note(took, cost);
        self.release(key);
    }

    /// A request there has failed.
    pub(crate) fn note_failure(&mut self, key: BackendKey, kind: ErrorKind, now: ClockTime) {
        let jitter = self.rng.next_u32();
        if let Some(backend) = self.backend_mut(key) {
            backend.estimate.end(now);
            if backend.note_failure(kind, now, jitter) {
                log_event!(events::BREAKER_OPENED, "{} after {kind:?}", backend.host);
            }
            if backend.shunned {
                for tier in &mut self.tiers {
                    tier.retain(|member| *member != key);
                }
            }
        }
        self.release(key);
    }

    /// A request there has ended without a word about the backend server.
    pub(crate) fn note_nothing(&mut self, key: BackendKey, now: ClockTime) {
        if let Some(backend) = self.backend_mut(key) {
            backend.estimate.end(now);
            backend.breaker.note_nothing(now);
        }
        self.release(key);
    }

    /// Whether `key` is one of the backend servers that the control state names.
    pub(crate) fn knows(&self, key: BackendKey) -> bool {
        self.by_host.contains(&key)
    }

    pub(super) fn backend(&self, key: BackendKey) -> Option<&BackendServer> {
        self.arena.get(key.0 as usize)?.as_ref()
    }

    fn backend_mut(&mut self, key: BackendKey) -> Option<&mut BackendServer> {
        self.arena.get_mut(key.0 as usize)?.as_mut()
    }

    fn refresh_member(
        &mut self,
        member: &MemberRecord,
        identity: &HostIdentity,
        now: ClockTime,
    ) -> BackendKey {
        let near = nearness(member, identity);
        let found = self.by_host.binary_search_by(|key| {
            let known = self.backend(*key).map(|backend| &backend.host);
            known.cmp(&Some(&member.host))
        });
        let found = found.ok().map(|place| self.by_host[place]);
        let key = found.unwrap_or_else(|| self.insert(BackendServer::new(member, near, now)));
        if let Some(backend) = self.backend_mut(key) {
            backend.refresh(member, near, REPORT_LAG, now);
        }
        key
    }

    fn insert(&mut self, backend: BackendServer) -> BackendKey {
        let free = self.arena.iter().position(Option::is_none);
        let place = free.unwrap_or_else(|| {
            self.arena.push(None);
            self.arena.len() - 1
        });
        self.arena[place] = Some(backend);
        BackendKey(u32::try_from(place).expect("fewer than 4 billion backend servers"))
    }

    /// Takes a backend server out; its place in the arena is kept until its last request has
    /// ended, so that no other gets its key meanwhile.
    fn forget(&mut self, key: BackendKey) {
        if let Some(backend) = self.backend_mut(key) {
            backend.state = MemberState::Unavailable;
        }
        self.by_host.retain(|known| *known != key);
        self.release(key);
    }

    /// Frees the place of a backend server that is known no more and has no requests.
    fn release(&mut self, key: BackendKey) {
        let is_done = self
            .backend(key)
            .is_some_and(|backend| backend.estimate.own() == 0);
        if is_done && !self.knows(key) {
            self.arena[key.0 as usize] = None;
        }
    }

    fn rebuild_tiers(&mut self, own_hash: u64) {
        let mut tiers = [const { Vec::new() }; 4];
        for key in &self.by_host {
            let Some(backend) = self.backend(*key) else {
                continue;
            };
            if backend.is_usable(self.needs_weights) {
                tiers[backend.near as usize].push(*key);
            }
        }
        for tier in &mut tiers {
            if tier.len() > SUBSET_MAX {
                let weight_of = |key: &BackendKey| {
                    let member = self.backend(*key).map_or(0, |backend| backend.hash);
                    Reverse(rendezvous_weight(own_hash, member))
                };
                tier.sort_by_cached_key(weight_of);
                tier.truncate(SUBSET_MAX);
            }
        }
        self.tiers = tiers;
    }
}

fn serves(member: &MemberRecord, document: &ServiceDocument) -> bool {
    let is_named = match &document.hosts {
        HostSelection::Listed => true,
        HostSelection::Named(hosts) => hosts.contains(&member.host),
    };
    member.role == HostRole::Backend
        && member.service.as_ref() == Some(&document.service)
        && member.state != MemberState::Unavailable
        && is_named
        && document.data_centres.contains(&member.data_centre)
}

fn nearness(member: &MemberRecord, identity: &HostIdentity) -> Nearness {
    if member.state == MemberState::Suspected {
        Nearness::Suspected
    } else if member.data_centre == identity.data_centre {
        Nearness::DataCentre
    } else if member.region == identity.region {
        Nearness::Region
    } else {
        Nearness::Far
    }
}

/// Entry hosts that are there and may send to the service's backend servers, this one among them.
fn sender_count(
    snapshot: &ControlSnapshot,
    document: &ServiceDocument,
    identity: &HostIdentity,
) -> u32 {
    let others = snapshot.members.iter().filter(|member| {
        member.role == HostRole::Entry
            && member.state == MemberState::Live
            && document.data_centres.contains(&member.data_centre)
            && member.host != identity.host
    });
    u32::try_from(others.count()).unwrap_or(u32::MAX - 1) + 1
}

/// Entry hosts of this data centre that are there, this one among them.
pub(crate) fn entry_count(snapshot: &ControlSnapshot, identity: &HostIdentity) -> u32 {
    let others = snapshot.members.iter().filter(|member| {
        member.role == HostRole::Entry
            && member.state == MemberState::Live
            && member.data_centre == identity.data_centre
            && member.host != identity.host
    });
    u32::try_from(others.count()).unwrap_or(u32::MAX - 1) + 1
}
