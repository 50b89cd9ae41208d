//! Watches what each process has in force, by the stream on which it tells its neighbours.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::control::{PeerFrame, WATCH_PATH, WatchRequest};
use crate::documents::DocumentVersion;
use crate::time::{ClockTime, clock_now};
use crate::transport::{ClientLimits, PeerClient};

const PACE_MS: u64 = 500;
const OPEN_WITHIN: Duration = Duration::from_millis(500);
const SILENT_AFTER: Duration = Duration::from_secs(2);
const REOPEN_PAUSE: Duration = Duration::from_millis(20);

/// What was seen in all processes. Clones share it.
#[derive(Clone, Default)]
pub(super) struct ObserverBoard {
    state: Arc<Mutex<BoardState>>,
}

#[derive(Default)]
struct BoardState {
    /// The first moment at which a process had a version, or a greater one, in force.
    seen: Vec<Sighting>,
    reverted: u64,
}

struct Sighting {
    host: String,
    version: DocumentVersion,
    at: ClockTime,
}

impl ObserverBoard {
    /// Watches the process `host` at `address` until the task is ended.
    pub(super) fn watch(&self, host: String, address: SocketAddr) -> JoinHandle<()> {
        let board = self.clone();
        tokio::spawn(async move {
            loop {
                board.watch_once(&host, address).await;
                sleep(REOPEN_PAUSE).await;
            }
        })
    }

    async fn watch_once(&self, host: &str, address: SocketAddr) {
        let client = PeerClient::new(ClientLimits::default());
        let order = WatchRequest {
            watcher: None,
            pace_ms: PACE_MS,
        };
        let opened = client
            .open_stream(address, WATCH_PATH, &order, OPEN_WITHIN)
            .await;
        let Ok(mut stream) = opened else {
            return;
        };
        while let Ok(Ok(Some(frame))) = timeout(SILENT_AFTER, stream.next::<PeerFrame>()).await {
            if let PeerFrame::Documents(versions) = frame {
                self.note(host, versions, clock_now());
            }
        }
    }

    fn note(&self, host: &str, versions: Vec<DocumentVersion>, now: ClockTime) {
        let mut state = self.lock();
        for version in versions {
            let greatest = state.greatest(host, &version.service);
            if version.version < greatest {
                state.reverted += 1;
                eprintln!("reverted: {host} {version:?} after {greatest}");
            }
            if version.version > greatest {
                state.seen.push(Sighting {
                    host: host.to_owned(),
                    version,
                    at: now,
                });
            }
        }
    }

    /// When `host` first had `version` or a greater one of its service in force.
    pub(super) fn in_force_at(&self, host: &str, version: &DocumentVersion) -> Option<ClockTime> {
        let state = self.lock();
        let fits = |sighting: &&Sighting| {
            sighting.host == host
                && sighting.version.service == version.service
                && sighting.version.version >= version.version
        };
        state.seen.iter().find(fits).map(|sighting| sighting.at)
    }

    /// Times that a process had an older version in force than before.
    pub(super) fn reverted(&self) -> u64 {
        self.lock().reverted
    }

    fn lock(&self) -> MutexGuard<'_, BoardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BoardState {
    fn greatest(&self, host: &str, service: &str) -> u64 {
        let seen = self.seen.iter().rev();
        let newest = seen
            .filter(|sighting| sighting.host == host && *sighting.version.service == *service)
            .map(|sighting| sighting.version.version);
        newest.max().unwrap_or(0)
    }
}
