//! The fetch of one version's chunks: carries out the steps of the plan and reports their results
//! to it.

use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::chunk_fetcher::ChunkFetcher;
use super::events;
use super::fetch_plan::{ChunkSource, FetchPlan, FetchStep, TransferId};
use super::messages::ChunkAnnouncement;
use super::mismatch_counter::MismatchCounter;
use super::peer_table::PeerKey;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::metrics;
use crate::time::clock_now;

/// Result of a step of the plan.
pub(super) enum FetchEvent {
    Queried(PeerKey, SwitchResult<ChunkAnnouncement>),
    Pulled(TransferId, u32, SwitchResult<ChunkAnnouncement>),
    OriginRead(TransferId, u32, SwitchResult<()>),
}

/// State of the fetch of one version.
pub(super) struct FetchSession {
    pub(super) fetcher: ChunkFetcher,
    pub(super) plan: FetchPlan,
    pub(super) mismatches: MismatchCounter,
    pub(super) is_manifest_suspect: bool,
    pub(super) transfers: Vec<(TransferId, AbortHandle)>,
    pub(super) event_sender: mpsc::UnboundedSender<FetchEvent>,
    pub(super) events: mpsc::UnboundedReceiver<FetchEvent>,
}

impl FetchSession {
    pub(super) fn step(&mut self) {
        let now = clock_now();
        for step in self.plan.next_steps(now) {
            self.execute_step(step);
        }
        let claimed = self.plan.claimed();
        self.fetcher
            .announcer
            .claim(self.fetcher.version.digest(), claimed);
    }

    fn execute_step(&mut self, step: FetchStep) {
        let fetcher = self.fetcher.clone();
        let event_sender = self.event_sender.clone();
        match step {
            FetchStep::Query(key) => {
                let address = self.plan.peers().get(key).host.address;
                tokio::spawn(async move {
                    let _ = event_sender
                        .send(FetchEvent::Queried(key, fetcher.query_peer(address).await));
                });
            }
            FetchStep::Fetch {
                transfer,
                index,
                source: ChunkSource::Peer(key),
            } => {
                let address = self.plan.peers().get(key).host.address;
                let task = tokio::spawn(async move {
                    let pulled = fetcher.pull_chunk(address, index).await;
                    let _ = event_sender.send(FetchEvent::Pulled(transfer, index, pulled));
                });
                self.transfers.push((transfer, task.abort_handle()));
            }
            FetchStep::Fetch {
                transfer,
                index,
                source: ChunkSource::Origin,
            } => {
                let task = tokio::spawn(async move {
                    let read = fetcher.read_origin(index).await;
                    let _ = event_sender.send(FetchEvent::OriginRead(transfer, index, read));
                });
                self.transfers.push((transfer, task.abort_handle()));
            }
            FetchStep::Cancel(transfer, source) => {
                metrics::count_retry(ErrorKind::PeerSilent);
                if let ChunkSource::Peer(key) = source {
                    // The kept connection may be dead while new connections to the peer work.
                    self.fetcher
                        .client
                        .drop_pool(self.plan.peers().get(key).host.address);
                }
                self.abort(transfer);
            }
        }
    }

    pub(super) fn apply_event(&mut self, event: FetchEvent) {
        let now = clock_now();
        match event {
            FetchEvent::Queried(key, answer) => {
                if let Ok(announcement) = &answer {
                    self.plan.on_announcement(announcement, now);
                }
                let failure = answer.err().map(|error| error.kind);
                self.plan.on_queried(key, failure, now);
            }
            FetchEvent::Pulled(transfer, index, pulled) => {
                if let Ok(announcement) = &pulled {
                    self.plan.on_announcement(announcement, now);
                }
                self.on_chunk(transfer, index, pulled.map(|_| ()));
            }
            FetchEvent::OriginRead(transfer, index, read) => self.on_chunk(transfer, index, read),
        }
    }

    fn on_chunk(&mut self, transfer: TransferId, index: u32, result: SwitchResult<()>) {
        let now = clock_now();
        self.transfers.retain(|(id, _)| *id != transfer);
        match result {
            Ok(()) => {
                assert!(
                    self.fetcher.version.chunk(index).is_some(),
                    "a chunk was reported that is not stored"
                );
                for duplicate in self.plan.on_delivered(transfer, now) {
                    self.abort(duplicate);
                }
            }
            Err(error) => {
                metrics::count_retry(error.kind);
                log_failure(&error);
                if error.kind == ErrorKind::ChunkCorrupt {
                    self.is_manifest_suspect |= self.mismatches.on_mismatch(index);
                }
                self.plan
                    .on_failed(transfer, error.kind, error.retry_after, now);
            }
        }
    }

    fn abort(&mut self, transfer: TransferId) {
        for (_, task) in self.transfers.iter().filter(|(id, _)| *id == transfer) {
            task.abort();
        }
        self.transfers.retain(|(id, _)| *id != transfer);
    }
}

fn log_failure(error: &SwitchError) {
    let event = match error.kind {
        ErrorKind::ChunkCorrupt | ErrorKind::BodyTooLarge => events::CHUNK_REFUSED,
        _ => events::SOURCE_FAILED,
    };
    log_event!(event, "{error}");
}
