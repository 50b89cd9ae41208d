//! Detects whether a backend server that closed connections during requests has crashed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytestring::ByteString;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::events;
use crate::events::log_event;
use crate::fleet::{BackendFacts, BackendKey};
use crate::metrics;
use crate::quarantine::{BackendIncarnation, RecentAnswers, RequestDigest};
use crate::sync::SharedDeploymentState;
use crate::time::{ClockTime, clock_now};

/// How long requests are collected that were interrupted together with the first one.
const GATHER_SPAN: Duration = Duration::from_millis(20);
/// How long the probe waits for its connection to be accepted or refused.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A request in progress at a backend server that closed its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct InterruptedRequest {
    /// The backend server.
    pub(super) key: BackendKey,
    /// Digest of the request.
    pub(super) request: RequestDigest,
}

/// Detects crashes and records the requests that were in progress. Clones share their state.
#[derive(Clone, Debug)]
pub(super) struct CrashDetector {
    deployment_state: SharedDeploymentState,
    /// Interrupted requests at backend servers that are being probed.
    interrupted: Arc<Mutex<Vec<InterruptedRequest>>>,
    answered: Arc<Mutex<RecentAnswers>>,
}

impl CrashDetector {
    /// Creates a detector that records crashes in `deployment_state`.
    pub(super) fn new(deployment_state: SharedDeploymentState) -> Self {
        Self {
            deployment_state,
            interrupted: Arc::default(),
            answered: Arc::default(),
        }
    }

    /// Records that `backend` closed the connection of a request, and starts a probe if none is
    /// running for that backend server.
    pub(super) fn note_interrupted(&self, interrupted: InterruptedRequest, backend: &BackendFacts) {
        let is_probed = {
            let mut interrupted_requests = self
                .interrupted
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let is_probed = interrupted_requests
                .iter()
                .any(|other| other.key == interrupted.key);
            interrupted_requests.push(interrupted);
            is_probed
        };
        if !is_probed {
            let incarnation = BackendIncarnation::of(&backend.id, backend.start_time);
            let (id, address) = (backend.id.clone(), backend.address);
            tokio::spawn(
                self.clone()
                    .probe(interrupted.key, incarnation, (id, address)),
            );
        }
    }

    /// Distinguishes a crash from reset connections: a crashed process refuses new connections,
    /// while one whose connections were reset accepts them.
    async fn probe(
        self,
        key: BackendKey,
        incarnation: BackendIncarnation,
        (id, address): (ByteString, SocketAddr),
    ) {
        sleep(GATHER_SPAN).await;
        let is_refused = refuses_connections(address).await;
        let mut requests = self.take_interrupted(key);
        let now = clock_now();
        requests.retain(|request| !self.was_answered(*request, now));
        if is_refused {
            metrics::count_event("backend_crashed", 1);
            let request_list: Vec<String> = requests.iter().map(ToString::to_string).collect();
            log_event!(
                events::BACKEND_CRASHED,
                "backend={id} requests={}",
                request_list.join(",")
            );
            self.deployment_state
                .change(|state| state.note_crash(incarnation, &requests, now));
        }
    }

    /// Takes the distinct requests that were interrupted at `key`, whose probe has ended.
    fn take_interrupted(&self, key: BackendKey) -> Vec<RequestDigest> {
        let mut interrupted_requests = self
            .interrupted
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let removed = interrupted_requests.extract_if(.., |interrupted| interrupted.key == key);
        let mut requests: Vec<RequestDigest> =
            removed.map(|interrupted| interrupted.request).collect();
        requests.sort_unstable();
        requests.dedup();
        requests
    }

    /// Records that `request` was answered in full at `now`.
    pub(super) fn note_answered(&self, request: RequestDigest, now: ClockTime) {
        self.lock_answered().push(request, now);
        let crashes = self.deployment_state.snapshot().load().crashes.clone();
        if crashes.is_at_risk(request, now) {
            self.clear(request);
        }
    }

    /// Returns how long after `now` `request` must not be sent to any backend server, or `None` if
    /// it is not quarantined.
    pub(super) fn quarantine(&self, request: RequestDigest, now: ClockTime) -> Option<Duration> {
        let crashes = self.deployment_state.snapshot().load().crashes.clone();
        let left = crashes.quarantine(request, now)?;
        if self.was_answered(request, now) {
            // Entry hosts that have not seen the complete response still suspect it.
            self.clear(request);
            return None;
        }
        Some(left)
    }

    /// Returns whether there are any crash records.
    pub(super) fn has_suspects(&self) -> bool {
        !self.deployment_state.snapshot().load().crashes.is_empty()
    }

    fn clear(&self, request: RequestDigest) {
        self.deployment_state
            .change(|state| state.clear_request(request));
    }

    fn was_answered(&self, request: RequestDigest, now: ClockTime) -> bool {
        self.lock_answered().contains(request, now)
    }

    fn lock_answered(&self) -> MutexGuard<'_, RecentAnswers> {
        self.answered.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let opened = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(opened, Ok(Err(fault)) if fault.kind() == std::io::ErrorKind::ConnectionRefused)
}
