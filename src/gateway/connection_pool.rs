//! Pool of idle connections to backend servers.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use super::backend_connection::BackendConnection;
use crate::fleet::BackendKey;
use crate::time::ClockTime;

/// Idle connections per backend server. One entry host runs two or three requests at a time at
/// each; all entry hosts together have to stay below the connection limit of the backend server.
const IDLE_PER_BACKEND_MAX: usize = 4;
/// How long a connection is kept if the backend server does not advertise a keep-alive timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(2);
/// How much earlier than the backend server this entry host closes a connection. A request that
/// crosses the close by the backend server is lost.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Idle connections, the most recently used one last.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<Vec<(BackendKey, BackendConnection)>>,
}

impl ConnectionPool {
    /// Takes a usable connection to `key`, the most recently used one first.
    pub(super) fn take(&self, key: BackendKey, now: ClockTime) -> Option<BackendConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(_, connection)| connection.idle_until > now && connection.is_usable());
        let at = idle.iter().rposition(|(other, _)| *other == key)?;
        Some(idle.remove(at).1)
    }

    /// Returns a connection to the pool. `keep_alive_timeout` is the one that the backend server
    /// advertised.
    pub(super) fn put(
        &self,
        key: BackendKey,
        mut connection: BackendConnection,
        keep_alive_timeout: Option<Duration>,
        now: ClockTime,
    ) {
        let idle_time = match keep_alive_timeout {
            Some(idle_time) => idle_time.saturating_sub(IDLE_MARGIN),
            None => IDLE_TIMEOUT_DEFAULT,
        };
        connection.idle_until = now + idle_time;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.iter().filter(|(other, _)| *other == key).count() < IDLE_PER_BACKEND_MAX {
            idle.push((key, connection));
        }
    }

    /// Closes all idle connections to `key`, because they may have become unresponsive together.
    pub(super) fn remove_all(&self, key: BackendKey) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|(other, _)| *other != key);
    }
}
