//! Starts the control thread and gives the rest of the process a handle to it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use volo_http::server::route::Router;

use super::control_loop::ControlLoop;
use super::control_machine::ControlMachine;
use super::events;
use super::gossip_state::{GossipReceiver, GossipState};
use super::peer_messages::{PeerFrame, WatchRequest};
use super::peer_routes::{PeerRouteState, peer_routes};
use super::snapshot::SharedSnapshot;
use crate::daemon::DrainState;
use crate::events::log_event;
use crate::membership::{HostIdentity, MemberFacts, StatusPublisher};
use crate::stores::{HostEntry, HostList, TableStore};
use crate::time::ClockTime;
use crate::transport::PeerClient;

/// How long an accepting host waits until a neighbour has fetched the change.
const REPLICATION_WAIT: Duration = Duration::from_millis(250);
/// Capacity of the queue of events for the control thread.
const EVENT_QUEUE_CAPACITY: usize = 1024;

/// The adapters through which the control thread reaches the platform and other processes.
#[derive(Clone)]
pub(crate) struct ControlAdapters {
    /// The platform's table.
    pub(crate) table: Arc<dyn TableStore>,
    /// The platform's host list.
    pub(crate) list: Arc<dyn HostList>,
    /// The client for requests to other processes.
    pub(crate) client: Arc<PeerClient>,
}

/// An event for the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// Rows of documents, from any source.
    Rows(Vec<Bytes>),
    /// Whether the last table read succeeded.
    TableAnswered(bool),
    /// The platform's host list was read.
    List(Vec<HostEntry>),
    /// A host started to watch this process and announced these facts about itself.
    Watcher(MemberFacts),
    /// A frame was received from a watched host.
    Frame(ByteString, Box<PeerFrame>),
    /// The stream from a watched host broke or could not be opened.
    Lost(ByteString),
    /// A neighbour returned its newer documents; `None` if the request failed.
    Pulled(ByteString, Option<Vec<Bytes>>),
}

/// The latest time at which the documents in force are known to have matched the table. Clones
/// share the value.
#[derive(Clone, Debug, Default)]
pub(crate) struct DocumentFreshness {
    micros: Arc<AtomicU64>,
}

impl DocumentFreshness {
    /// The time; `None` before it is known.
    pub(crate) fn get(&self) -> Option<ClockTime> {
        let micros = self.micros.load(Ordering::Relaxed);
        (micros > 0).then_some(ClockTime(micros))
    }

    /// Advances the time to `at` if that is later.
    pub(crate) fn advance(&self, at: ClockTime) {
        self.micros.fetch_max(at.0, Ordering::Relaxed);
    }
}

/// A handle to the control thread for the rest of the process.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    identity: HostIdentity,
    snapshot: SharedSnapshot,
    adapters: ControlAdapters,
    routes: PeerRouteState,
}

/// Starts the control thread.
pub(crate) fn start_control(
    identity: HostIdentity,
    adapters: ControlAdapters,
    publisher: StatusPublisher,
    drain: DrainState,
) -> ControlHandle {
    let snapshot = SharedSnapshot::default();
    let freshness = DocumentFreshness::default();
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (gossip, spread_receiver) = watch::channel(Arc::new(GossipState::default()));
    let control = ControlLoop::new(
        ControlMachine::new(identity.clone()),
        adapters.clone(),
        snapshot.clone(),
        gossip,
        freshness.clone(),
        (sender.clone(), receiver),
        drain.clone(),
    );
    run_on_thread(control);
    ControlHandle {
        identity,
        snapshot,
        adapters,
        routes: PeerRouteState {
            publisher,
            gossip: spread_receiver,
            events: sender,
            drain,
            freshness,
            replicated: Arc::default(),
        },
    }
}

/// Runs the control loop on a thread of its own. All control state is owned by this thread and
/// needs no lock.
fn run_on_thread(control: ControlLoop) {
    let thread = std::thread::Builder::new().name("control".to_owned());
    let started = thread.spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        match runtime {
            Ok(runtime) => runtime.block_on(control.run()),
            Err(fault) => log_event!(events::THREAD_FAILED, "{fault}"),
        }
    });
    if let Err(fault) = started {
        log_event!(events::THREAD_FAILED, "{fault}");
    }
}

impl ControlHandle {
    /// The identity of this process.
    pub(crate) const fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// The control state as published to the traffic threads.
    pub(crate) fn snapshot(&self) -> SharedSnapshot {
        self.snapshot.clone()
    }

    /// The routes under `/peer/control/` that serve requests from other processes.
    pub(crate) fn peer_routes(&self) -> Router {
        peer_routes(&self.routes)
    }

    /// The adapters that the control thread uses.
    pub(crate) const fn adapters(&self) -> &ControlAdapters {
        &self.adapters
    }

    /// The state that is sent to neighbours, which includes the rows of documents.
    pub(crate) fn gossip(&self) -> GossipReceiver {
        self.routes.gossip.clone()
    }

    /// The latest time at which the documents in force are known to have matched the table.
    pub(crate) fn fresh_at(&self) -> Option<ClockTime> {
        self.routes.freshness.get()
    }

    /// Passes the row of an accepted document to the control thread and waits until a neighbour has
    /// fetched it, at most for [`REPLICATION_WAIT`].
    ///
    /// If this host failed and the table became unavailable right after the response to the author,
    /// the accepted change would not be in force anywhere until the table is available again.
    /// Therefore a second process should have the change before the author gets the response.
    pub(crate) async fn put_in_force(&self, row: Bytes) {
        let replicated = self.routes.replicated.notified();
        // Sending fails only when the process ends, since the control thread runs until then.
        let _ = self.routes.events.send(ControlEvent::Rows(vec![row])).await;
        // Without neighbours the wait times out; the change is stored in the table anyway.
        let _ = timeout(REPLICATION_WAIT, replicated).await;
    }
}

impl WatchRequest {
    /// Creates the request of the process on `host`, whose facts are taken from `gossip`; `None` if
    /// `gossip` lacks them.
    pub(super) fn from_host(host: &str, gossip: &GossipState, pace_ms: u64) -> Option<Self> {
        let found = gossip
            .facts
            .binary_search_by(|facts| (*facts.entry.host).cmp(host));
        found.ok().map(|at| Self {
            watcher: Some((*gossip.facts[at]).clone()),
            pace_ms,
        })
    }
}
