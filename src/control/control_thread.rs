//! The control thread and the handle that the rest of the process has on it.

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

/// How long an accepting host waits for a neighbour to take over the change.
const PASSED_ON_WITHIN: Duration = Duration::from_millis(250);
/// Events that wait for the control thread at most.
const EVENTS_WAITING: usize = 1024;

/// What the control thread works with.
#[derive(Clone)]
pub(crate) struct ControlAdapters {
    /// The platform's table.
    pub(crate) table: Arc<dyn TableStore>,
    /// The platform's list of hosts.
    pub(crate) list: Arc<dyn HostList>,
    /// The way to other processes.
    pub(crate) client: Arc<PeerClient>,
}

/// What the control thread is told.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// Rows of documents, from wherever.
    Rows(Vec<Bytes>),
    /// Whether the table answered.
    TableAnswered(bool),
    /// The platform's list.
    List(Vec<HostEntry>),
    /// What a host said of itself when it asked for this process's word.
    Watcher(MemberFacts),
    /// A frame from a watched host.
    Frame(ByteString, Box<PeerFrame>),
    /// The stream from a watched host broke or could not be opened.
    Lost(ByteString),
    /// The documents that a neighbour had beyond this process's; `None` when it did not answer.
    Pulled(ByteString, Option<Vec<Bytes>>),
}

/// The time as of which the documents in force are known to be the table's. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct DocumentFreshness {
    micros: Arc<AtomicU64>,
}

impl DocumentFreshness {
    /// When, if ever.
    pub(crate) fn get(&self) -> Option<ClockTime> {
        let micros = self.micros.load(Ordering::Relaxed);
        (micros > 0).then_some(ClockTime(micros))
    }

    /// Moves the mark forward to `at`.
    pub(crate) fn advance(&self, at: ClockTime) {
        self.micros.fetch_max(at.0, Ordering::Relaxed);
    }
}

/// The rest of the process's hold on the control thread.
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
    let fresh = DocumentFreshness::default();
    let (sender, receiver) = mpsc::channel(EVENTS_WAITING);
    let (gossip, spread_receiver) = watch::channel(Arc::new(GossipState::default()));
    let control = ControlLoop::new(
        ControlMachine::new(identity.clone()),
        adapters.clone(),
        snapshot.clone(),
        gossip,
        fresh.clone(),
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
            fresh,
            passed_on: Arc::default(),
        },
    }
}

/// One thread for all control state, so that no part of it needs a lock.
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
        peer_routes(&self.routes)
    }

    /// The edges that the control thread works with.
    pub(crate) const fn adapters(&self) -> &ControlAdapters {
        &self.adapters
    }

    /// What is passed on to neighbours: the documents' rows among it.
    pub(crate) fn gossip(&self) -> GossipReceiver {
        self.routes.gossip.clone()
    }

    /// The time as of which the documents in force are known to be the table's.
    pub(crate) fn fresh_at(&self) -> Option<ClockTime> {
        self.routes.fresh.get()
    }

    /// Hands the row of an accepted document to the control thread, and returns when a neighbour has
    /// taken it over, or after a short while.
    ///
    /// If this host died and the table went away at the same moment, right behind the author's
    /// answer, nobody would know of the change until the table is back. One would notice an accepted
    /// change that is in force nowhere. So a second process has it before the author is told.
    pub(crate) async fn put_in_force(&self, row: Bytes) {
        let passed_on = self.routes.passed_on.notified();
        // The control thread ends with the process only.
        let _ = self.routes.events.send(ControlEvent::Rows(vec![row])).await;
        // Nobody takes it over when there is no neighbour; it stands in the table all the same.
        let _ = timeout(PASSED_ON_WITHIN, passed_on).await;
    }
}

impl WatchRequest {
    /// The order of the process that passes on `gossip`.
    pub(super) fn of(host: &str, gossip: &GossipState, pace_ms: u64) -> Option<Self> {
        let found = gossip
            .facts
            .binary_search_by(|facts| (*facts.entry.host).cmp(host));
        found.ok().map(|at| Self {
            watcher: Some((*gossip.facts[at]).clone()),
            pace_ms,
        })
    }
}
