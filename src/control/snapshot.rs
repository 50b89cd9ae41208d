//! What the traffic threads see of the control state.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::{key, plain};
use crate::documents::ServiceDocument;
use crate::membership::HostStatus;
use crate::stores::HostRole;

/// The control state at one moment. Never changes; a newer one replaces it whole, so that a reader
/// takes no lock and never sees half of a change.
#[apply(plain!)]
#[derive(Default)]
pub(crate) struct ControlSnapshot {
    /// Grows with each replacement.
    pub(crate) generation: u64,
    /// The services with an accepted document, sorted by name.
    pub(crate) services: Vec<Arc<ServiceRecord>>,
    /// The hosts, sorted by name.
    pub(crate) members: Vec<Arc<MemberRecord>>,
    /// Whether the table answered when it was last asked.
    pub(crate) table_answers: bool,
}

impl ControlSnapshot {
    /// The record of service `name`.
    pub(crate) fn service(&self, name: &str) -> Option<&Arc<ServiceRecord>> {
        let found = self
            .services
            .binary_search_by(|record| (*record.document.service).cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// The record of host `name`.
    pub(crate) fn member(&self, name: &str) -> Option<&Arc<MemberRecord>> {
        let found = self
            .members
            .binary_search_by(|record| (*record.host).cmp(name));
        found.ok().map(|at| &self.members[at])
    }
}

/// A service with the document in force.
#[apply(plain!)]
pub(crate) struct ServiceRecord {
    /// The document's version; grows by one with each accepted change.
    pub(crate) version: u64,
    /// The document.
    pub(crate) document: ServiceDocument,
}

/// What is known of a host.
#[apply(plain!)]
pub(crate) struct MemberRecord {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The data centre it stands in.
    pub(crate) data_centre: ByteString,
    /// The region of that data centre.
    pub(crate) region: ByteString,
    /// What it is there for.
    pub(crate) role: HostRole,
    /// The service whose backend server it is; none for entry hosts.
    pub(crate) service: Option<ByteString>,
    /// Where the project's process on it listens for the project's other processes.
    pub(crate) peer_address: SocketAddr,
    /// Whether it can be counted on.
    pub(crate) state: MemberState,
    /// Its newest word about itself, if any has come.
    pub(crate) status: Option<Arc<HostStatus>>,
}

/// Whether a host can be counted on.
#[apply(key!)]
pub(crate) enum MemberState {
    /// It is there.
    Live,
    /// It has been silent; no new work while others can do it.
    Suspected,
    /// It said, or the list said, that it is going; no new work.
    Leaving,
    /// It is not there.
    Unavailable,
}

/// The newest [`ControlSnapshot`]. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedSnapshot {
    newest: Arc<ArcSwap<ControlSnapshot>>,
}

impl SharedSnapshot {
    /// The newest snapshot, without a lock.
    pub(crate) fn load(&self) -> Arc<ControlSnapshot> {
        self.newest.load_full()
    }

    /// Replaces the snapshot; only the control thread does.
    pub(crate) fn replace(&self, snapshot: ControlSnapshot) {
        debug_assert!(
            snapshot
                .services
                .is_sorted_by_key(|record| &record.document.service)
        );
        debug_assert!(snapshot.members.is_sorted_by_key(|record| &record.host));
        self.newest.store(Arc::new(snapshot));
    }
}
