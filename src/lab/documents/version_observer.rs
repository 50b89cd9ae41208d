//! Observes which document versions each process has in force, through the stream on which the
//! process reports them to its neighbours.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::control::{PeerFrame, WATCH_PATH, WatchRequest};
use crate::documents::DocumentVersion;
use crate::time::{ClockTime, clock_now};
use crate::transport::{ClientLimits, PeerClient};

/// Requested frame interval of the stream, in milliseconds.
const FRAME_INTERVAL_MS: u64 = 500;
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// A stream without a frame for this long is reopened.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
const REOPEN_DELAY: Duration = Duration::from_millis(20);

/// Collects the observations of all processes. Clones share the same state.
#[derive(Clone, Default)]
pub(super) struct VersionObserver {
    state: Arc<Mutex<ObserverState>>,
}

#[derive(Default)]
struct ObserverState {
    /// Each increase of the version that a process has in force, in order of observation.
    seen: Vec<ObservedVersion>,
    /// Number of times that a process had an older version in force than before.
    reverted: u64,
}

/// The first time at which a process had a version in force.
struct ObservedVersion {
    host: String,
    version: DocumentVersion,
    observed_at: ClockTime,
}

impl VersionObserver {
    /// Observes the process on `host` at `address` until the returned task is aborted.
    pub(super) fn watch(&self, host: String, address: SocketAddr) -> JoinHandle<()> {
        let observer = self.clone();
        tokio::spawn(async move {
            loop {
                observer.watch_once(&host, address).await;
                sleep(REOPEN_DELAY).await;
            }
        })
    }

    /// Opens the stream once and records its frames until it fails or times out.
    async fn watch_once(&self, host: &str, address: SocketAddr) {
        let client = PeerClient::new(ClientLimits::default());
        let request = WatchRequest {
            watcher: None,
            pace_ms: FRAME_INTERVAL_MS,
        };
        let opened = client
            .open_stream(address, WATCH_PATH, &request, OPEN_TIMEOUT)
            .await;
        let Ok(mut stream) = opened else {
            return;
        };
        while let Ok(Ok(Some(frame))) = timeout(FRAME_TIMEOUT, stream.next::<PeerFrame>()).await {
            if let PeerFrame::Documents(versions) = frame {
                self.record(host, versions, clock_now());
            }
        }
    }

    /// Records newer versions as observed at `now`, and counts older ones as reverted.
    fn record(&self, host: &str, versions: Vec<DocumentVersion>, now: ClockTime) {
        let mut state = self.lock();
        for version in versions {
            let newest_version = state.newest_version(host, &version.service);
            if version.version < newest_version {
                state.reverted += 1;
                eprintln!("reverted: {host} {version:?} after {newest_version}");
            }
            if version.version > newest_version {
                state.seen.push(ObservedVersion {
                    host: host.to_owned(),
                    version,
                    observed_at: now,
                });
            }
        }
    }

    /// Returns when `host` was first observed to have `version`, or a later one of the same
    /// service, in force.
    pub(super) fn in_force_at(&self, host: &str, version: &DocumentVersion) -> Option<ClockTime> {
        let state = self.lock();
        let is_match = |observed: &&ObservedVersion| {
            observed.host == host
                && observed.version.service == version.service
                && observed.version.version >= version.version
        };
        state
            .seen
            .iter()
            .find(is_match)
            .map(|observed| observed.observed_at)
    }

    /// Returns how often a process had an older version in force than before.
    pub(super) fn reverted(&self) -> u64 {
        self.lock().reverted
    }

    fn lock(&self) -> MutexGuard<'_, ObserverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ObserverState {
    /// Returns the newest version of `service` observed on `host`; 0 if there is none.
    fn newest_version(&self, host: &str, service: &str) -> u64 {
        let seen = self.seen.iter().rev();
        let newest = seen
            .filter(|observed| observed.host == host && *observed.version.service == *service)
            .map(|observed| observed.version.version);
        newest.max().unwrap_or(0)
    }
}
