//! The backend servers of one service, as known to one entry host.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::backend_state::{BackendState, CostLatency, Nearness};
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

/// Maximum number of backend servers per nearness that an entry host sends to. Of a larger group,
/// each entry host uses its own subset, selected by rendezvous hashing. This limits the number of
/// open connections and the cost of a pick.
const SUBSET_MAX: usize = 64;
/// Assumed age of a load report when it arrives.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Index of a backend server in the pool's arena.
#[apply(key!)]
pub(crate) struct BackendKey(u32);

/// Which backend servers may run a request.
#[apply(key!)]
pub(crate) enum PickTarget {
    /// Any backend server.
    Any,
    /// Only backend servers that serve this version.
    Version(WeightsDigest),
}

/// Criteria for a pick.
#[apply(key!)]
pub(crate) struct PickCriteria {
    /// Where it may go.
    pub(crate) target: PickTarget,
    /// Whether the request is urgent: it may use the reserved slots and may always be queued at the
    /// host.
    pub(crate) urgent: bool,
    /// Hash of the prompt's prefix, to prefer the backend server that may have it cached.
    pub(crate) prefix: Option<u64>,
    /// The backend server where the last attempt failed; used only if no other fits.
    pub(crate) avoid: Option<BackendKey>,
}

/// The picked backend server.
#[apply(plain!)]
pub(crate) struct PickedBackend {
    /// Its key in the pool.
    pub(crate) key: BackendKey,
    /// The name of its host.
    pub(crate) host: ByteString,
    /// The peer address of its host process.
    pub(crate) peer: SocketAddr,
    /// The incarnation of its host process.
    pub(crate) incarnation: u64,
}

/// Why no backend server was picked.
#[apply(key!)]
pub(crate) enum PickFailure {
    /// Some backend servers may get new work and serve the target, but all of them are full or
    /// excluded by their circuit breakers.
    Full,
    /// No backend server that may get new work serves the target.
    NoneEligible,
}

/// The backend servers of one service.
pub(crate) struct BackendPool {
    arena: Vec<Option<BackendState>>,
    /// Backend servers in the control state, sorted by host name.
    pub(super) by_host: Vec<BackendKey>,
    /// Backend servers that may get new work, grouped into tiers by nearness.
    pub(super) tiers: [Vec<BackendKey>; 4],
    pub(super) entry_hosts: u32,
    pub(super) needs_weights: bool,
    /// Time per unit of cost of this entry host's requests, over all backend servers.
    pub(super) cost_latency: CostLatency,
    pub(super) rng: StdRng,
}

impl BackendPool {
    /// Creates an empty pool. The same seed gives the same picks.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            arena: Vec::new(),
            by_host: Vec::new(),
            tiers: [const { Vec::new() }; 4],
            entry_hosts: 1,
            needs_weights: false,
            cost_latency: CostLatency::default(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Updates the pool from the control state and the document of the service.
    pub(crate) fn refresh(
        &mut self,
        snapshot: &ControlSnapshot,
        document: &ServiceDocument,
        identity: &HostIdentity,
        now: ClockTime,
    ) {
        self.needs_weights = document.kind == ServiceKind::Model;
        self.entry_hosts = sender_count(snapshot, document, identity);
        let mut listed = Vec::with_capacity(self.by_host.len());
        for member in &snapshot.members {
            if is_service_member(member, document) {
                listed.push(self.refresh_member(member, identity, now));
            }
        }
        let removed: Vec<BackendKey> = self
            .by_host
            .iter()
            .copied()
            .filter(|key| !listed.contains(key))
            .collect();
        for key in removed {
            self.remove(key);
        }
        self.by_host = listed;
        self.rebuild_tiers(name_hash(&identity.host));
    }

    /// Picks a backend server and counts the request as sent to it.
    pub(crate) fn pick(
        &mut self,
        criteria: &PickCriteria,
        now: ClockTime,
    ) -> Result<PickedBackend, PickFailure> {
        let key = self.pick_any(criteria, now)?;
        let backend = self.backend_mut(key).ok_or(PickFailure::NoneEligible)?;
        backend.breaker.note_sent(now);
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

    /// Records that a request of `cost` tokens succeeded after `took`; `load` is the load report
    /// from the end of its answer.
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
            backend.cost_latency.note(took, cost);
        }
        self.cost_latency.note(took, cost);
        self.release(key);
    }

    /// Records that a request failed with an error of `kind`. `now` is the current time.
    pub(crate) fn note_failure(&mut self, key: BackendKey, kind: ErrorKind, now: ClockTime) {
        let jitter = self.rng.next_u32();
        if let Some(backend) = self.backend_mut(key) {
            backend.estimate.end(now);
            if backend.note_failure(kind, now, jitter) {
                log_event!(events::BREAKER_OPENED, "{} after {kind:?}", backend.host);
            }
            if backend.has_refused_work {
                for tier in &mut self.tiers {
                    tier.retain(|member| *member != key);
                }
            }
        }
        self.release(key);
    }

    /// Records that a request ended in a way that says nothing about the backend server's health.
    pub(crate) fn note_inconclusive(&mut self, key: BackendKey, now: ClockTime) {
        if let Some(backend) = self.backend_mut(key) {
            backend.estimate.end(now);
            backend.breaker.note_inconclusive(now);
        }
        self.release(key);
    }

    /// Whether the control state lists the backend server.
    pub(crate) fn contains_key(&self, key: BackendKey) -> bool {
        self.by_host.contains(&key)
    }

    pub(super) fn backend(&self, key: BackendKey) -> Option<&BackendState> {
        self.arena.get(key.0 as usize)?.as_ref()
    }

    fn backend_mut(&mut self, key: BackendKey) -> Option<&mut BackendState> {
        self.arena.get_mut(key.0 as usize)?.as_mut()
    }

    fn refresh_member(
        &mut self,
        member: &MemberRecord,
        identity: &HostIdentity,
        now: ClockTime,
    ) -> BackendKey {
        let nearness = nearness(member, identity);
        let found = self.by_host.binary_search_by(|key| {
            let known = self.backend(*key).map(|backend| &backend.host);
            known.cmp(&Some(&member.host))
        });
        let found = found.ok().map(|index| self.by_host[index]);
        let key = found.unwrap_or_else(|| self.insert(BackendState::new(member, nearness, now)));
        if let Some(backend) = self.backend_mut(key) {
            backend.refresh(member, nearness, REPORT_LAG, now);
        }
        key
    }

    fn insert(&mut self, backend: BackendState) -> BackendKey {
        let free = self.arena.iter().position(Option::is_none);
        let index = free.unwrap_or_else(|| {
            self.arena.push(None);
            self.arena.len() - 1
        });
        self.arena[index] = Some(backend);
        BackendKey(u32::try_from(index).expect("fewer than 4 billion backend servers"))
    }

    /// Removes a backend server. Its entry in the arena stays until its last request has ended, so
    /// that its key is not reused before.
    fn remove(&mut self, key: BackendKey) {
        if let Some(backend) = self.backend_mut(key) {
            backend.state = MemberState::Unavailable;
        }
        self.by_host.retain(|known| *known != key);
        self.release(key);
    }

    /// Frees the arena entry of a backend server that was removed and has no requests left.
    fn release(&mut self, key: BackendKey) {
        let is_done = self
            .backend(key)
            .is_some_and(|backend| backend.estimate.own_count() == 0);
        if is_done && !self.contains_key(key) {
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
                tiers[backend.nearness as usize].push(*key);
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

fn is_service_member(member: &MemberRecord, document: &ServiceDocument) -> bool {
    let is_selected = match &document.hosts {
        HostSelection::Listed => true,
        HostSelection::Named(hosts) => hosts.contains(&member.host),
    };
    member.role == HostRole::Backend
        && member.service.as_ref() == Some(&document.service)
        && member.state != MemberState::Unavailable
        && is_selected
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

/// Number of live entry hosts that may send to the service's backend servers, including this one.
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

/// Number of live entry hosts in this data centre, including this one.
pub(crate) fn entry_count(snapshot: &ControlSnapshot, identity: &HostIdentity) -> u32 {
    let others = snapshot.members.iter().filter(|member| {
        member.role == HostRole::Entry
            && member.state == MemberState::Live
            && member.data_centre == identity.data_centre
            && member.host != identity.host
    });
    u32::try_from(others.count()).unwrap_or(u32::MAX - 1) + 1
}
