//! One version's chunks on their way: carries out the plan's steps and tells it what came of them.

use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::events;
use super::fetch_edge::FetchEdge;
use super::fetch_plan::{ChunkSource, FetchPlan, FetchStep, TransferId};
use super::manifest_doubt::ManifestDoubt;
use super::messages::ChunkAnnouncement;
use super::peer_table::PeerKey;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::metrics;
use crate::time::clock_now;

/// What happened to a step of the plan.
pub(super) enum FetchNews {
    Asked(PeerKey, SwitchResult<ChunkAnnouncement>),
    Pulled(TransferId, u32, SwitchResult<ChunkAnnouncement>),
    Read(TransferId, u32, SwitchResult<()>),
}

/// The work on one version.
pub(super) struct FetchRun {
    pub(super) edge: FetchEdge,
    pub(super) plan: FetchPlan,
    pub(super) doubt: ManifestDoubt,
    pub(super) is_manifest_doubted: bool,
    pub(super) under_way: Vec<(TransferId, AbortHandle)>,
    pub(super) news_sender: mpsc::UnboundedSender<FetchNews>,
    pub(super) news: mpsc::UnboundedReceiver<FetchNews>,
}

impl FetchRun {
    pub(super) fn step(&mut self) {
        let now = clock_now();
        for step in self.plan.next_steps(now) {
            self.carry_out(step);
        }
        let claimed = self.plan.claimed();
        self.edge.board.claim(self.edge.version.digest(), claimed);
    }

    fn carry_out(&mut self, step: FetchStep) {
        let edge = self.edge.clone();
        let news = self.news_sender.clone();
        match step {
            FetchStep::Query(key) => {
                let address = self.plan.peers().get(key).host.address;
                tokio::spawn(async move {
                    let _ = news.send(FetchNews::Asked(key, edge.ask(address).await));
                });
            }
            FetchStep::Fetch {
                transfer,
                index,
                source: ChunkSource::Peer(key),
            } => {
                let address = self.plan.peers().get(key).host.address;
                let task = tokio::spawn(async move {
                    let pulled = edge.pull(address, index).await;
                    let _ = news.send(FetchNews::Pulled(transfer, index, pulled));
                });
                self.under_way.push((transfer, task.abort_handle()));
            }
            FetchStep::Fetch {
                transfer,
                index,
                source: ChunkSource::Origin,
            } => {
                let task = tokio::spawn(async move {
                    let read = edge.read_origin(index).await;
                    let _ = news.send(FetchNews::Read(transfer, index, read));
                });
                self.under_way.push((transfer, task.abort_handle()));
            }
            FetchStep::Cancel(transfer, source) => {
                metrics::count_retry(ErrorKind::PeerSilent);
                if let ChunkSource::Peer(key) = source {
                    // The connection may have gone silent for good while new ones work.
                    self.edge
                        .client
                        .drop_pool(self.plan.peers().get(key).host.address);
                }
                self.abort(transfer);
            }
        }
    }

    pub(super) fn take(&mut self, news: FetchNews) {
        let now = clock_now();
        match news {
            FetchNews::Asked(key, answer) => {
                if let Ok(word) = &answer {
                    self.plan.on_announcement(word, now);
                }
                let failure = answer.err().map(|error| error.kind);
                self.plan.on_queried(key, failure, now);
            }
            FetchNews::Pulled(transfer, index, pulled) => {
                if let Ok(word) = &pulled {
                    self.plan.on_announcement(word, now);
                }
                self.take_chunk(transfer, index, pulled.map(|_| ()));
            }
            FetchNews::Read(transfer, index, read) => self.take_chunk(transfer, index, read),
        }
    }

    fn take_chunk(&mut self, transfer: TransferId, index: u32, result: SwitchResult<()>) {
        let now = clock_now();
        self.under_way.retain(|(known, _)| *known != transfer);
        match result {
            Ok(()) => {
                assert!(
                    self.edge.version.chunk(index).is_some(),
                    "a chunk was reported that was not kept"
                );
                for twin in self.plan.on_delivered(transfer, now) {
                    self.abort(twin);
                }
            }
            Err(error) => {
                metrics::count_retry(error.kind);
                tell_failure(&error);
                if error.kind == ErrorKind::ChunkCorrupt {
                    self.is_manifest_doubted |= self.doubt.on_mismatch(index);
                }
                self.plan
                    .on_failed(transfer, error.kind, error.retry_after, now);
            }
        }
    }

    fn abort(&mut self, transfer: TransferId) {
        for (_, task) in self
            .under_way
            .iter()
            .filter(|(known, _)| *known == transfer)
        {
            task.abort();
        }
        self.under_way.retain(|(known, _)| *known != transfer);
    }
}

fn tell_failure(error: &SwitchError) {
    let event = match error.kind {
        ErrorKind::ChunkCorrupt | ErrorKind::BodyTooLarge => events::CHUNK_REFUSED,
        _ => events::SOURCE_FAILED,
    };
    log_event!(event, "{error}");
}
