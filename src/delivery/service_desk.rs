//! Where requests for one service wait for a backend server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::control::{ControlSnapshot, ServiceRecord};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::membership::{HostIdentity, LoadReport};
use crate::routing::{BackendPool, NoPick, PickWish, PickedBackend};
use crate::time::{ClockTime, clock_now};

const POLL: Duration = Duration::from_millis(5);

/// The state shared by all requests for one service.
pub(crate) struct ServiceDesk {
    state: Mutex<DeskState>,
}

struct DeskState {
    backends: BackendPool,
    generation: Option<u64>,
}

impl ServiceDesk {
    /// The desk of a service; `seed` makes its random choices.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            state: Mutex::new(DeskState {
                backends: BackendPool::new(seed),
                generation: None,
            }),
        }
    }

    /// Takes what the control state says now.
    pub(crate) fn refresh(
        &self,
        snapshot: &ControlSnapshot,
        record: &ServiceRecord,
        identity: &HostIdentity,
        now: ClockTime,
    ) {
        let mut state = self.lock();
        if state.generation != Some(snapshot.generation) {
            state.generation = Some(snapshot.generation);
            state
                .backends
                .refresh(snapshot, &record.document, identity, now);
        }
    }

    /// Waits until a backend server has room, at most until `limit`.
    pub(crate) async fn place(
        self: &Arc<Self>,
        wish: &PickWish,
        limit: ClockTime,
    ) -> SwitchResult<PlacedAttempt> {
        loop {
            let now = clock_now();
            let picked = self.lock().backends.pick(wish, now);
            match picked {
                Ok(picked) => return Ok(PlacedAttempt::new(self.clone(), picked, now)),
                Err(NoPick::Nobody) => {
                    let detail = "no backend server can take it";
                    return Err(SwitchError::new(ErrorKind::NoBackend, detail));
                }
                Err(NoPick::Full) if now >= limit => {
                    let detail = "every backend server stayed full";
                    return Err(SwitchError::new(ErrorKind::DeadlineUnreachable, detail));
                }
                Err(NoPick::Full) => tokio::time::sleep(POLL).await,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A backend server's room that one attempt holds until it ends.
pub(crate) struct PlacedAttempt {
    desk: Arc<ServiceDesk>,
    picked: PickedBackend,
    since: ClockTime,
    ended: bool,
}

impl PlacedAttempt {
    const fn new(desk: Arc<ServiceDesk>, picked: PickedBackend, since: ClockTime) -> Self {
        Self {
            desk,
            picked,
            since,
            ended: false,
        }
    }

    /// The pick.
    pub(crate) const fn picked(&self) -> &PickedBackend {
        &self.picked
    }

    /// The attempt ended well.
    pub(crate) fn succeeded(mut self, load: LoadReport, now: ClockTime) {
        self.ended = true;
        let took = now.since(self.since);
        let mut state = self.desk.lock();
        state
            .backends
            .note_success(self.picked.key, took, load, now);
    }

    /// The attempt failed.
    pub(crate) fn failed(mut self, kind: ErrorKind, now: ClockTime) {
        self.ended = true;
        let mut state = self.desk.lock();
        state.backends.note_failure(self.picked.key, kind, now);
    }
}

impl Drop for PlacedAttempt {
    fn drop(&mut self) {
        if !self.ended {
            let now = clock_now();
            self.desk.lock().backends.note_nothing(self.picked.key, now);
        }
    }
}
