//! Watching one neighbour: a long-lived stream of frames, opened again when it breaks or goes
//! silent.

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

const OPEN_WITHIN: Duration = Duration::from_secs(1);
const PULL_WITHIN: Duration = Duration::from_secs(1);
const REOPEN_SHORTEST: Duration = Duration::from_millis(100);
const REOPEN_LONGEST: Duration = Duration::from_secs(3);
/// Paces without a frame after which the stream counts as silent.
const SILENT_PACES: u32 = 3;
/// Added to the silence that is allowed, for a neighbour that is busy.
const SILENT_GRACE: Duration = Duration::from_millis(500);

/// One neighbour to watch.
#[derive(Clone)]
pub(super) struct PeerWatch {
    pub(super) own_host: ByteString,
    pub(super) host: ByteString,
    pub(super) address: SocketAddr,
    pub(super) pace: Duration,
    pub(super) client: Arc<PeerClient>,
    pub(super) gossip: GossipReceiver,
    pub(super) events: mpsc::Sender<ControlEvent>,
}

impl PeerWatch {
    /// Watches until the task is ended.
    pub(super) async fn run(self) {
        let mut failures = 0;
        loop {
            let heard = self.watch_once().await;
            failures = if heard { 0 } else { failures + 1 };
            metrics::count_event("watch_lost", 1);
            let lost = ControlEvent::Lost(self.host.clone());
            if self.events.send(lost).await.is_err() {
                return;
            }
            // What is open towards a neighbour that went silent is silent for good.
            self.client.drop_pool(self.address);
            sleep(reopen_pause(failures)).await;
        }
    }

    /// One stream until it breaks; returns whether anything came on it.
    async fn watch_once(&self) -> bool {
        let Ok(mut stream) = self.open().await else {
            return false;
        };
        let silence = self.pace * SILENT_PACES + SILENT_GRACE;
        let mut heard = false;
        while let Ok(Ok(Some(frame))) = timeout(silence, stream.next::<PeerFrame>()).await {
            heard = true;
            let event = ControlEvent::Frame(self.host.clone(), Box::new(frame));
            if self.events.send(event).await.is_err() {
                return heard;
            }
        }
        heard
    }

    async fn open(&self) -> SwitchResult<FrameReader> {
        let pace_ms = u64::try_from(self.pace.as_millis()).unwrap_or(u64::MAX);
        let order = WatchRequest::of(&self.own_host, &self.gossip.borrow(), pace_ms);
        let order = order
            .ok_or_else(|| SwitchError::new(ErrorKind::Internal, "own facts are not spread yet"))?;
        self.client
            .open_stream(self.address, WATCH_PATH, &order, OPEN_WITHIN)
            .await
    }

    /// Asks the neighbour for the documents beyond `have`.
    pub(super) async fn pull(self, have: Vec<DocumentVersion>) {
        let order = PullRequest { have };
        let reply: SwitchResult<PullResponse> = self
            .client
            .call(self.address, PULL_PATH, &order, PULL_WITHIN)
            .await;
        let rows = match reply {
            Ok(reply) => Some(reply.rows),
            Err(error) => {
                metrics::count_retry(error.kind);
                self.client.drop_pool(self.address);
                None
            }
        };
        // The control thread ends with the process only.
        let _ = self
            .events
            .send(ControlEvent::Pulled(self.host, rows))
            .await;
    }
}

/// Full jitter, so that the watchers of a host that returns do not all come at once.
fn reopen_pause(failures: u32) -> Duration {
    let longest = (REOPEN_SHORTEST * 2u32.saturating_pow(failures.min(8))).min(REOPEN_LONGEST);
    longest.mul_f64(rand::rng().random())
}
