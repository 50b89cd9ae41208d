//! Idle connections to backend servers, kept for the next request.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use super::backend_connection::BackendConnection;
use crate::fleet::BackendKey;
use crate::time::ClockTime;

/// Connections kept for one backend server. One entry host has two or three requests at each at a
/// time; all entry hosts together have to stay under the backend server's limit.
const IDLE_PER_BACKEND_MAX: usize = 4;
/// How long a connection is kept when the backend server does not say.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(2);
/// How much earlier than the backend server this entry host gives a connection up: a request that
/// crosses the backend server's close is lost.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// The shelf.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<Vec<(BackendKey, BackendConnection)>>,
}

impl ConnectionPool {
    /// Takes a usable connection to `key`, the one that was used last.
    pub(super) fn take(&self, key: BackendKey, now: ClockTime) -> Option<BackendConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(_, connection)| connection.idle_until > now && connection.is_usable());
        let at = idle.iter().rposition(|(other, _)| *other == key)?;
        Some(idle.remove(at).1)
    }

    /// Puts a connection away. `idle_within` is how long the backend server keeps it.
    pub(super) fn put(
        &self,
        key: BackendKey,
        mut connection: BackendConnection,
        idle_within: Option<Duration>,
        now: ClockTime,
    ) {
        let within = match idle_within {
            Some(within) => within.saturating_sub(IDLE_MARGIN),
            None => IDLE_TIMEOUT_DEFAULT,
        };
        connection.idle_until = now + within;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.iter().filter(|(other, _)| *other == key).count() < IDLE_PER_BACKEND_MAX {
            idle.push((key, connection));
        }
    }

    /// Gives up all connections to `key`: they may have gone silent together.
    pub(super) fn remove_all(&self, key: BackendKey) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(other, _)| *other != key);
    }
}
