//! Finds out whether a backend server that closed connections in the middle of requests has crashed.

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
use crate::quarantine::{AnsweredLog, BackendStart, RequestDigest};
use crate::sync::SharedControlState;
use crate::time::{ClockTime, clock_now};

/// For how long requests are gathered that were cut with the first one.
const GATHER_SPAN: Duration = Duration::from_millis(20);
/// How long a probing connection may take to open or to be refused.
const PROBE_WITHIN: Duration = Duration::from_millis(300);

/// A request that was under way at a backend server that closed its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutRequest {
    /// The backend server.
    pub(super) key: BackendKey,
    /// The request.
    pub(super) request: RequestDigest,
}

/// The watch. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct CrashWatch {
    book: SharedControlState,
    /// The requests that were cut at backend servers that are probed now.
    cut: Arc<Mutex<Vec<CutRequest>>>,
    answered: Arc<Mutex<AnsweredLog>>,
}

impl CrashWatch {
    /// A watch that tells `book` of crashes.
    pub(super) fn new(book: SharedControlState) -> Self {
        Self {
            book,
            cut: Arc::default(),
            answered: Arc::default(),
        }
    }

    /// `backend` closed the connection of a request.
    pub(super) fn note_cut(&self, cut: CutRequest, backend: &BackendFacts) {
        let is_probed = {
            let mut known = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
            let is_probed = known.iter().any(|other| other.key == cut.key);
            known.push(cut);
            is_probed
        };
        if !is_probed {
            let start = BackendStart::of(&backend.id, backend.born);
            let (id, address) = (backend.id.clone(), backend.address);
            tokio::spawn(self.clone().probe(cut.key, start, (id, address)));
        }
    }

    /// A process that has crashed refuses connections; one whose connections were reset opens others.
    async fn probe(
        self,
        key: BackendKey,
        start: BackendStart,
        (id, address): (ByteString, SocketAddr),
    ) {
        sleep(GATHER_SPAN).await;
        let is_refused = refuses(address).await;
        let mut requests = self.take_cut(key);
        let now = clock_now();
        requests.retain(|request| !self.was_answered(*request, now));
        if is_refused {
            metrics::count_event("backend_crashed", 1);
            let shown: Vec<String> = requests.iter().map(ToString::to_string).collect();
            log_event!(
                events::BACKEND_CRASHED,
                "backend={id} requests={}",
                shown.join(",")
            );
            self.book
                .change(|book| book.note_crash(start, &requests, now));
        }
    }

    /// The different requests that were cut at `key`, which is no longer probed.
    fn take_cut(&self, key: BackendKey) -> Vec<RequestDigest> {
        let mut known = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = known.extract_if(.., |cut| cut.key == key);
        let mut requests: Vec<RequestDigest> = taken.map(|cut| cut.request).collect();
        requests.sort_unstable();
        requests.dedup();
        requests
    }

    /// `request` was answered whole at `now`.
    pub(super) fn note_answered(&self, request: RequestDigest, now: ClockTime) {
        self.lock_answered().push(request, now);
        let crashes = self.book.snapshot().load().crashes.clone();
        if crashes.is_at_risk(request, now) {
            self.clear(request);
        }
    }

    /// How long `request` is to be sent to no backend server from `now` on.
    pub(super) fn quarantine(&self, request: RequestDigest, now: ClockTime) -> Option<Duration> {
        let crashes = self.book.snapshot().load().crashes.clone();
        let left = crashes.quarantine(request, now)?;
        if self.was_answered(request, now) {
            // Entry hosts that have not seen it answered hold it responsible.
            self.clear(request);
            return None;
        }
        Some(left)
    }

    /// Whether anything is held against any request.
    pub(super) fn has_suspects(&self) -> bool {
        !self.book.snapshot().load().crashes.is_empty()
    }

    fn clear(&self, request: RequestDigest) {
        self.book.change(|book| book.clear_request(request));
    }

    fn was_answered(&self, request: RequestDigest, now: ClockTime) -> bool {
        self.lock_answered().has(request, now)
    }

    fn lock_answered(&self) -> MutexGuard<'_, AnsweredLog> {
        self.answered.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn refuses(address: SocketAddr) -> bool {
    let opened = timeout(PROBE_WITHIN, TcpStream::connect(address)).await;
    matches!(opened, Ok(Err(fault)) if fault.kind() == std::io::ErrorKind::ConnectionRefused)
}
