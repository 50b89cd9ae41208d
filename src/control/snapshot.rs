//! The control state as published to the traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::{key, plain};
use crate::documents::ServiceDocument;
use crate::membership::HostStatus;
use crate::stores::HostRole;

/// The control state at one point in time. It is immutable and replaced atomically by a newer one,
/// so that readers need no lock and never see a partial change.
#[apply(plain!)]
#[derive(Default)]
pub(crate) struct ControlSnapshot {
    /// Increases with each replacement.
    pub(crate) generation: u64,
    /// The services with an accepted document, sorted by name.
    pub(crate) services: Vec<Arc<ServiceRecord>>,
    /// The hosts, sorted by name.
    pub(crate) members: Vec<Arc<MemberRecord>>,
    /// Whether the last read of the table succeeded.
    pub(crate) table_answers: bool,
}

impl ControlSnapshot {
    /// The record of the service `name`.
    pub(crate) fn service(&self, name: &str) -> Option<&Arc<ServiceRecord>> {
        let found = self
            .services
            .binary_search_by(|record| (*record.document.service).cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// The record of the host `name`.
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
    /// The document's version; increases by one with each accepted change.
    pub(crate) version: u64,
    /// The document.
    pub(crate) document: ServiceDocument,
}

/// What this process knows about another host.
#[apply(plain!)]
pub(crate) struct MemberRecord {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The data centre in which the host is located.
    pub(crate) data_centre: ByteString,
    /// The region of that data centre.
    pub(crate) region: ByteString,
    /// The role of the host.
    pub(crate) role: HostRole,
    /// The service whose backend server runs on the host; `None` for entry hosts.
    pub(crate) service: Option<ByteString>,
    /// The address at which the system's process on the host accepts connections from others.
    pub(crate) peer_address: SocketAddr,
    /// The membership state of the host.
    pub(crate) state: MemberState,
    /// The host's most recent status announcement, if any was received.
    pub(crate) status: Option<Arc<HostStatus>>,
}

/// The membership state of a host.
#[apply(key!)]
pub(crate) enum MemberState {
    /// The host is available.
    Live,
    /// The host is silent or its stream breaks repeatedly. It gets no new requests while other
    /// hosts can serve them.
    Suspected,
    /// The host is shutting down according to its own announcement or the host list. It gets no new
    /// requests.
    Leaving,
    /// The host is considered failed or was removed.
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
