//! The account as the listeners of a process share it.

use std::fmt;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};

use super::connection_lease::{ConnectionLease, ConnectionSignals};
use super::connection_record::ListenerRole;
use super::events;
use super::process_limits::{ConnectionTimeouts, ProcessLimits};
use super::resource_account::ResourceAccount;
use crate::events::log_event;
use crate::metrics;
use crate::time::ClockTime;

/// The account of a process. Clones share it.
#[derive(Clone)]
pub(crate) struct SharedAccount {
    account: Arc<Mutex<ResourceAccount>>,
}

impl Default for SharedAccount {
    fn default() -> Self {
        Self::new(ProcessLimits::default())
    }
}

impl fmt::Debug for SharedAccount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("SharedAccount")
            .finish_non_exhaustive()
    }
}

impl SharedAccount {
    /// Creates the account of a process with `limits`.
    pub(crate) fn new(limits: ProcessLimits) -> Self {
        Self {
            account: Arc::new(Mutex::new(ResourceAccount::new(limits))),
        }
    }

    /// Takes in a connection of `role`; `None` if there is no room.
    pub(crate) fn open_connection(
        &self,
        role: ListenerRole,
        peer: IpAddr,
        now: ClockTime,
    ) -> Option<ConnectionLease> {
        let signals = Arc::new(ConnectionSignals::default());
        let opened = self.change(|it| it.open_connection(role, peer, signals.clone(), now));
        opened.map(|key| ConnectionLease::new(self.clone(), key, signals))
    }

    /// Sets what the clients of `role` may do.
    pub(crate) fn set_client_limits(
        &self,
        role: ListenerRole,
        field_bytes: usize,
        timeouts: ConnectionTimeouts,
    ) {
        self.change(|it| it.set_client_limits(role, field_bytes, timeouts));
    }

    /// Returns the largest header fields at listeners of `role`, in bytes.
    pub(crate) fn field_bytes(&self, role: ListenerRole) -> usize {
        self.change(|it| it.field_bytes(role))
    }

    /// Closes the connections of `role` that are overdue at `now`, and reports what the process
    /// holds.
    pub(crate) fn sweep(&self, role: ListenerRole, now: ClockTime) {
        let (reasons, held, connections, limited) = self.change(|it| {
            let reasons = it.close_overdue(role, now);
            (
                reasons,
                it.held(),
                it.connection_count(role),
                it.take_limited(),
            )
        });
        for reason in reasons {
            metrics::count_event(reason.as_str(), 1);
        }
        let gauge = |name, of: &str, value: usize| {
            metrics::set_gauge(name, of, u64::try_from(value).unwrap_or(u64::MAX));
        };
        gauge("open_connections", role.as_str(), connections);
        gauge("held_bytes", "connections", held.connections);
        gauge("held_bytes", "requests", held.requests);
        gauge("held_bytes", "bodies", held.bodies);
        if limited.is_any() {
            metrics::count_event("connection_made_room", limited.made_room);
            metrics::count_event("connection_refused", limited.refused);
            log_event!(
                events::HOST_LIMITED,
                "closed={} refused={} requests_refused={} bodies_revoked={} held={held:?}",
                limited.made_room,
                limited.refused,
                limited.requests_refused,
                limited.bodies_revoked
            );
        }
    }

    pub(super) fn change<T>(&self, change: impl FnOnce(&mut ResourceAccount) -> T) -> T {
        change(&mut self.account.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
