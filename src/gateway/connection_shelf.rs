//! Idle connections to backend servers, kept for the next request.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use super::backend_connection::BackendConnection;
use crate::fleet::BackendKey;
use crate::time::ClockTime;

/// Connections kept for one backend server. One entry host has two or three requests at each at a
/// time; all entry hosts together have to stay under the backend server's limit.
const KEPT_MAX: usize = 4;
/// How long a connection is kept when the backend server does not say.
const IDLE_UNSAID: Duration = Duration::from_secs(2);
/// How much earlier than the backend server this entry host gives a connection up: a request that
/// crosses the backend server's close is lost.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// The shelf.
#[derive(Debug, Default)]
pub(super) struct ConnectionShelf {
    kept: Mutex<Vec<(BackendKey, BackendConnection)>>,
}

impl ConnectionShelf {
    /// Takes a usable connection to `key`, the one that was used last.
    pub(super) fn take(&self, key: BackendKey, now: ClockTime) -> Option<BackendConnection> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(|(_, connection)| connection.idle_until > now && connection.is_usable());
        let at = kept.iter().rposition(|(other, _)| *other == key)?;
        Some(kept.remove(at).1)
    }

    /// Puts a connection away. `keep_alive_timeout` is how long the backend server keeps it.
    pub(super) fn put(
        &self,
        key: BackendKey,
        mut connection: BackendConnection,
        keep_alive_timeout: Option<Duration>,
        now: ClockTime,
    ) {
        let within = match keep_alive_timeout {
            Some(within) => within.saturating_sub(IDLE_MARGIN),
            None => IDLE_UNSAID,
        };
        connection.idle_until = now + within;
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.iter().filter(|(other, _)| *other == key).count() < KEPT_MAX {
            kept.push((key, connection));
        }
    }

    /// Gives up all connections to `key`: they may have gone silent together.
    pub(super) fn drop_all(&self, key: BackendKey) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(|(other, _)| *other != key);
    }
}
