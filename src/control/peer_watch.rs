//! Watches one neighbour through a long-lived stream of frames, which is reopened when it breaks or
//! becomes silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::control_thread::ControlEvent;
use super::gossip_state::GossipReceiver;
use super::peer_messages::{
    PULL_PATH, PeerFrame, PullRequest, PullResponse, WATCH_PATH, WatchRequest,
};
use crate::documents::DocumentVersion;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics;
use crate::transport::{FrameReader, PeerClient};

const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
const REOPEN_PAUSE_MIN: Duration = Duration::from_millis(100);
const REOPEN_PAUSE_MAX: Duration = Duration::from_secs(3);
/// Number of frame intervals without a frame after which the stream counts as silent.
const SILENT_INTERVALS: u32 = 3;
/// Additional time without a frame that is allowed, for a neighbour under load.
const SILENT_GRACE: Duration = Duration::from_millis(500);

/// The watch of one neighbour.
#[derive(Clone)]
pub(super) struct PeerWatch {
    pub(super) own_host: ByteString,
    pub(super) host: ByteString,
    pub(super) address: SocketAddr,
    pub(super) frame_interval: Duration,
    pub(super) client: Arc<PeerClient>,
    pub(super) gossip: GossipReceiver,
    pub(super) events: mpsc::Sender<ControlEvent>,
}

impl PeerWatch {
    /// Watches until the task is aborted.
    pub(super) async fn run(self) {
        let mut failures = 0;
        loop {
            let received = self.watch_once().await;
            failures = if received { 0 } else { failures + 1 };
            metrics::count_event("watch_lost", 1);
            let lost = ControlEvent::Lost(self.host.clone());
            if self.events.send(lost).await.is_err() {
                return;
            }
            // Open connections to a neighbour that became silent will not recover.
            self.client.drop_pool(self.address);
            sleep(reopen_pause(failures)).await;
        }
    }

    /// Reads one stream until it breaks; returns whether any frame was received.
    async fn watch_once(&self) -> bool {
        let Ok(mut stream) = self.open().await else {
            return false;
        };
        let silence_timeout = self.frame_interval * SILENT_INTERVALS + SILENT_GRACE;
        let mut received = false;
        while let Ok(Ok(Some(frame))) = timeout(silence_timeout, stream.next::<PeerFrame>()).await {
            received = true;
            let event = ControlEvent::Frame(self.host.clone(), Box::new(frame));
            if self.events.send(event).await.is_err() {
                return received;
            }
        }
        received
    }

    async fn open(&self) -> SwitchResult<FrameReader> {
        let pace_ms = u64::try_from(self.frame_interval.as_millis()).unwrap_or(u64::MAX);
        let request = WatchRequest::from_host(&self.own_host, &self.gossip.borrow(), pace_ms);
        let request = request.ok_or_else(|| {
            SwitchError::new(
                ErrorKind::Internal,
                "this host's own facts are not published yet",
            )
        })?;
        self.client
            .open_stream(self.address, WATCH_PATH, &request, OPEN_TIMEOUT)
            .await
    }

    /// Requests the documents that are newer than the versions in `have`.
    pub(super) async fn pull(self, have: Vec<DocumentVersion>) {
        let request = PullRequest { have };
        let response: SwitchResult<PullResponse> = self
            .client
            .call(self.address, PULL_PATH, &request, PULL_TIMEOUT)
            .await;
        let rows = match response {
            Ok(response) => Some(response.rows),
            Err(error) => {
                metrics::count_retry(error.kind);
                self.client.drop_pool(self.address);
                None
            }
        };
        // Sending fails only when the process ends, since the control thread runs until then.
        let _ = self
            .events
            .send(ControlEvent::Pulled(self.host, rows))
            .await;
    }
}

/// The pause before the next attempt to open the stream. Full jitter prevents the watchers of a
/// host that returns from connecting all at once.
fn reopen_pause(failures: u32) -> Duration {
    let pause_max = (REOPEN_PAUSE_MIN * 2u32.saturating_pow(failures.min(8))).min(REOPEN_PAUSE_MAX);
    pause_max.mul_f64(rand::rng().random())
}
