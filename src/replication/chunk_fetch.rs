//! Fetches the chunks of one version: executes the steps of the fetch plan and reports their
//! results to it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep_until};

use super::chunk_messages::{ChunkQuery, ChunkResponse, GET_PATH, HAVE_PATH};
use super::chunk_store::ChunkStore;
use super::events;
use super::weights_retirement::layer_chunks;
use crate::documents::SpreadObjective;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::fleet::ModelVersion;
use crate::metrics;
use crate::platform::OriginClient;
use crate::time::{ClockTime, clock_now};
use crate::transport::PeerClient;
use crate::weights::{
    ChunkAnnouncement, ChunkMap, ChunkSource, FetchLimits, FetchPlan, FetchStep, HostLocation,
    LinkPacer, PeerHost, PeerKey, TransferId, WeightsDigest,
};

/// How often the plan is evaluated when no update arrives.
const PLAN_INTERVAL: Duration = Duration::from_millis(40);
/// A chunk that takes longer indicates a congested link. While a version spreads, half of the
/// chunks arrive within 150 ms and all but a few within 550 ms.
const SLOW_PULL: Duration = Duration::from_millis(700);
/// Number of sources that are late at the same time when this host's own link is the slow one.
const SLOW_SOURCES: usize = 2;
/// A chunk that takes no longer shows that the link has its normal capacity.
const FAST_PULL: Duration = Duration::from_millis(250);
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
const PULL_TIMEOUT: Duration = Duration::from_secs(4);
/// A chunk takes 27 ms on the origin's idle link, which all hosts that read from it share.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long the first host in line for a chunk has before the next one reads it from the origin. A
/// live host announces that it is about to read the chunk and keeps it. One that died leaves its
/// chunks unread, and the origin may soon become unavailable.
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);
/// Chunks in transit to this host. More would only queue up in front of each other and of requests
/// to the engine.
const PULLS_MAX: usize = 6;
/// Chunks in transit from the origin to one host. About eight hosts read at a time; the fewer
/// chunks share the origin's link, the sooner each can be passed on.
const ORIGIN_READS_MAX: usize = 1;
/// Number of corrupt chunks, from any sources, after which the digests themselves are suspect.
const MISMATCHES_MAX: u32 = 6;

/// What a fetch works with.
#[derive(Clone)]
pub(super) struct FetchContext {
    pub(super) store: ChunkStore,
    pub(super) client: Arc<PeerClient>,
    pub(super) origin: Option<OriginClient>,
    pub(super) local: HostLocation,
    /// Transfer time of a chunk on this host's idle link.
    pub(super) chunk_span: Duration,
    /// Paces transfers on this host's link.
    pub(super) pacer: LinkPacer,
    /// Source of the last chunk, if that chunk was slow.
    pub(super) slow_host: Arc<Mutex<Option<SocketAddr>>>,
}

impl FetchContext {
    /// Records that a chunk from `address` arrived in `took`. Slow chunks from two different hosts
    /// in a row mean that this host's own link is slow.
    fn observe_link(&self, address: SocketAddr, took: Duration) {
        let mut slow_host = self
            .slow_host
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if took < SLOW_PULL {
            *slow_host = None;
            if took < FAST_PULL {
                self.pacer.speed_up();
            }
        } else if slow_host
            .replace(address)
            .is_some_and(|last| last != address)
        {
            log_event!(
                events::LINK_SLOW,
                "took_ms={} from={address}",
                took.as_millis()
            );
            self.pacer.slow_down();
        }
    }
}

/// Why a fetch run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchOutcome {
    /// This host holds every chunk.
    Complete,
    /// Chunks from several sources do not match: the digests may be wrong.
    DigestsSuspect,
    /// The run's time is over; check whether this version is still the target.
    Recheck,
}

enum FetchUpdate {
    Queried(PeerKey, SwitchResult<ChunkAnnouncement>),
    Pulled(TransferId, SwitchResult<ChunkAnnouncement>),
    Read(TransferId, SwitchResult<()>),
}

/// The fetch of one version.
pub(super) struct ChunkFetch {
    context: FetchContext,
    target: ModelVersion,
    plan: FetchPlan,
    update_sender: mpsc::UnboundedSender<FetchUpdate>,
    updates: mpsc::UnboundedReceiver<FetchUpdate>,
    tasks: JoinSet<()>,
    transfers: Vec<(TransferId, AbortHandle)>,
    mismatches: u32,
    /// Until when chunks in transit give no new information about the link.
    slow_until: ClockTime,
}

impl ChunkFetch {
    /// Creates a fetch of `target`, which has `layers` layers and of which `held` is present. A
    /// random layer is completed first, so that hosts differ in the layer that they complete first.
    pub(super) fn new(
        context: FetchContext,
        target: ModelVersion,
        (held, layers): (ChunkMap, u32),
    ) -> Self {
        let limits = FetchLimits {
            pulls_max: PULLS_MAX,
            takeover_delay: TAKEOVER_DELAY,
            origin_reads_max: ORIGIN_READS_MAX,
            origin_read_timeout: ORIGIN_TIMEOUT,
            ..FetchLimits::default()
        };
        let name = format!("{}/{}", target.model, target.version.0);
        let layer = rand::rng().random_range(0..layers.max(1));
        let first = layer_chunks(layer, held.count(), layers);
        let mut plan = FetchPlan::new(
            context.local.clone(),
            (
                WeightsDigest::of(name.as_bytes()),
                SpreadObjective::OriginBytes,
            ),
            held,
            limits,
            (context.chunk_span, rand::random()),
            clock_now(),
        );
        plan.prefer(first);
        let (update_sender, updates) = mpsc::unbounded_channel();
        Self {
            context,
            target,
            plan,
            update_sender,
            updates,
            tasks: JoinSet::new(),
            transfers: Vec::new(),
            mismatches: 0,
            slow_until: ClockTime(0),
        }
    }

    /// Sets the hosts that hold the version or need it.
    pub(super) fn set_hosts(&mut self, hosts: &[PeerHost]) {
        self.plan.set_hosts(hosts);
    }

    /// The part of the version's chunks that this host holds or that another host is known to hold.
    pub(super) fn known_part(&self) -> f64 {
        f64::from(self.plan.known_chunk_count()) / f64::from(self.plan.held().count().max(1))
    }

    /// Runs until the version is complete, or for at most `span`.
    pub(super) async fn run(&mut self, span: Duration) -> FetchOutcome {
        let until = clock_now() + span;
        while clock_now() < until {
            if self.plan.held().is_full() {
                return FetchOutcome::Complete;
            }
            if self.mismatches >= MISMATCHES_MAX {
                return FetchOutcome::DigestsSuspect;
            }
            self.check_pulls(clock_now());
            let pulls_max = self.context.pacer.concurrent_chunks(PULLS_MAX);
            self.plan.set_pulls_max(pulls_max);
            for step in self.plan.next_steps(clock_now()) {
                self.execute(step);
            }
            self.context.store.claim(&self.target, self.plan.claimed());
            let wake = Instant::now() + PLAN_INTERVAL;
            tokio::select! {
                updates = self.updates.recv() => {
                    if let Some(updates) = updates {
                        self.take(updates);
                    }
                }
                () = sleep_until(wake) => {}
            }
            while let Ok(updates) = self.updates.try_recv() {
                self.take(updates);
            }
            while self.tasks.try_join_next().is_some() {}
        }
        FetchOutcome::Recheck
    }

    /// Detects a slow link by chunks that are overdue, sooner than by those that arrive late.
    fn check_pulls(&mut self, now: ClockTime) {
        if now < self.slow_until || self.plan.late_source_count(SLOW_PULL, now) < SLOW_SOURCES {
            return;
        }
        self.slow_until = now + SLOW_PULL;
        log_event!(events::LINK_SLOW, "under_way_ms={}", SLOW_PULL.as_millis());
        self.context.pacer.slow_down();
    }

    fn execute(&mut self, step: FetchStep) {
        let context = self.context.clone();
        let target = self.target.clone();
        let updates = self.update_sender.clone();
        match step {
            FetchStep::Query(key) => {
                let address = self.address(key);
                self.tasks.spawn(async move {
                    let _ = updates.send(FetchUpdate::Queried(
                        key,
                        query_holdings(&context, address, target).await,
                    ));
                });
            }
            FetchStep::Fetch {
                transfer,
                index,
                source: ChunkSource::Peer(key),
            } => {
                let address = self.address(key);
                let task = self.tasks.spawn(async move {
                    let pulled = pull(&context, address, &target, index).await;
                    let _ = updates.send(FetchUpdate::Pulled(transfer, pulled));
                });
                self.transfers.push((transfer, task));
            }
            FetchStep::Fetch {
                transfer,
                index,
                source: ChunkSource::Origin,
            } => {
                let task = self.tasks.spawn(async move {
                    let read = read_origin(&context, &target, index).await;
                    let _ = updates.send(FetchUpdate::Read(transfer, read));
                });
                self.transfers.push((transfer, task));
            }
            FetchStep::Cancel(transfer, source) => {
                metrics::count_retry(ErrorKind::PeerSilent);
                if let ChunkSource::Peer(key) = source {
                    // The connection may be broken for good while new ones work.
                    self.context.client.drop_pool(self.address(key));
                }
                self.abort(transfer);
            }
        }
    }

    /// Aborts a transfer that is no longer needed.
    fn abort(&mut self, transfer: TransferId) {
        for (_, task) in self
            .transfers
            .iter()
            .filter(|(known, _)| *known == transfer)
        {
            task.abort();
        }
        self.transfers.retain(|(known, _)| *known != transfer);
    }

    fn address(&self, key: PeerKey) -> SocketAddr {
        self.plan.peers().get(key).host.address
    }

    fn take(&mut self, updates: FetchUpdate) {
        let now = clock_now();
        match updates {
            FetchUpdate::Queried(key, answer) => {
                if let Ok(announcement) = &answer {
                    self.plan.on_announcement(announcement, now);
                }
                let failure = answer.err().map(|error| error.kind);
                self.plan.on_queried(key, failure, now);
            }
            FetchUpdate::Pulled(transfer, pulled) => {
                if let Ok(announcement) = &pulled {
                    self.plan.on_announcement(announcement, now);
                }
                self.finish_chunk(transfer, pulled.map(|_| ()));
            }
            FetchUpdate::Read(transfer, read) => self.finish_chunk(transfer, read),
        }
    }

    fn finish_chunk(&mut self, transfer: TransferId, result: SwitchResult<()>) {
        let now = clock_now();
        self.transfers.retain(|(known, _)| *known != transfer);
        match result {
            Ok(()) => {
                for duplicate in self.plan.on_delivered(transfer, now) {
                    self.abort(duplicate);
                }
            }
            Err(error) => {
                metrics::count_retry(error.kind);
                if error.kind == ErrorKind::ChunkCorrupt {
                    self.mismatches += 1;
                    log_event!(events::CHUNK_CORRUPT, "{error}");
                } else if error.kind != ErrorKind::UploadBusy {
                    log_event!(events::CHUNK_FETCH_FAILED, "{error}");
                }
                self.plan
                    .on_failed(transfer, error.kind, error.retry_after, now);
            }
        }
    }
}

async fn query_holdings(
    context: &FetchContext,
    address: SocketAddr,
    target: ModelVersion,
) -> SwitchResult<ChunkAnnouncement> {
    let query_holdings = ChunkQuery {
        target,
        index: None,
    };
    let called = context
        .client
        .call(address, HAVE_PATH, &query_holdings, QUERY_TIMEOUT);
    let answer = called.await;
    if answer
        .as_ref()
        .is_err_and(|error: &SwitchError| error.kind == ErrorKind::PeerSilent)
    {
        context.client.drop_pool(address);
    }
    answer
}

async fn pull(
    context: &FetchContext,
    address: SocketAddr,
    target: &ModelVersion,
    index: u32,
) -> SwitchResult<ChunkAnnouncement> {
    let query_holdings = ChunkQuery {
        target: target.clone(),
        index: Some(index),
    };
    let called =
        context
            .client
            .call::<_, ChunkResponse>(address, GET_PATH, &query_holdings, PULL_TIMEOUT);
    let queried_at = clock_now();
    let reply = called.await?;
    context.observe_link(address, clock_now().since(queried_at));
    let bytes = Bytes::from(reply.bytes);
    pace_download(context, &bytes).await;
    context.store.insert_checked(target, index, bytes)?;
    metrics::count_event("chunks_from_hosts", 1);
    Ok(reply.announcement)
}

/// Delays the next chunk until the link has had time to transfer this one, since requests to the
/// engine arrive over the same link.
async fn pace_download(context: &FetchContext, bytes: &Bytes) {
    let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    context.pacer.take_in(length).await;
}

async fn read_origin(
    context: &FetchContext,
    target: &ModelVersion,
    index: u32,
) -> SwitchResult<()> {
    let Some(origin) = &context.origin else {
        let detail = "the document has no origin of weights";
        return Err(SwitchError::new(ErrorKind::OriginUnavailable, detail));
    };
    let bytes = origin.read_chunk(target, index, ORIGIN_TIMEOUT).await?;
    metrics::count_event("chunks_from_origin", 1);
    pace_download(context, &bytes).await;
    context.store.insert_checked(target, index, bytes)
}
