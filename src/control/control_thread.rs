//! The control thread and the handle that the rest of the process has on it.

use std::sync::Arc;

use volo_http::server::route::Router;

use super::snapshot::SharedSnapshot;
use crate::daemon::DrainState;
use crate::membership::{HostIdentity, StatusBoard};
use crate::platform::{HostList, ObjectStore, TableStore};
use crate::transport::PeerClient;

/// What the control thread works with.
#[derive(Clone)]
pub(crate) struct ControlEdges {
    /// The platform's table.
    pub(crate) table: Arc<dyn TableStore>,
    /// The platform's object store.
    pub(crate) objects: Arc<dyn ObjectStore>,
    /// The platform's list of hosts.
    pub(crate) list: Arc<dyn HostList>,
    /// The way to other processes.
    pub(crate) client: Arc<PeerClient>,
}

/// The rest of the process's hold on the control thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    identity: HostIdentity,
    snapshot: SharedSnapshot,
    board: StatusBoard,
}

/// Starts the control thread.
pub(crate) fn start_control(
    identity: HostIdentity,
    edges: ControlEdges,
    board: StatusBoard,
    drain: DrainState,
) -> ControlHandle {
    // TODO: the thread itself.
    let _ = (edges, drain);
    ControlHandle {
        identity,
        snapshot: SharedSnapshot::default(),
        board,
    }
}

impl ControlHandle {
    /// Who this process is.
    pub(crate) const fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// What the traffic threads see of the control state.
    pub(crate) fn snapshot(&self) -> SharedSnapshot {
        self.snapshot.clone()
    }

    /// What other processes may ask of this one's control thread, under `/peer/control/`.
    pub(crate) fn peer_routes(&self) -> Router {
        Router::new()
    }
}
