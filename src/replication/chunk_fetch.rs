//! Brings the chunks of one version to this host: carries out the fetch plan's steps and tells it
//! what came of them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep_until};

use super::chunk_messages::{ChunkAsk, ChunkReply, GET_PATH, HAVE_PATH};
use super::chunk_store::ChunkStore;
use super::events;
use super::version_retire::layer_chunks;
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

/// How often the plan is looked at when nothing happens.
const STEP_PAUSE: Duration = Duration::from_millis(40);
/// A chunk that takes longer came over a link that carries less than it should: while a version
/// spreads, half of the chunks come within 150 ms and all but a few within 550.
const PULL_SLOW: Duration = Duration::from_millis(700);
/// Hosts whose chunks are late at a time when the link of this host is slow, and not theirs.
const SLOW_SOURCES: usize = 2;
/// A chunk that takes no longer shows that the link carries what it should.
const PULL_FAST: Duration = Duration::from_millis(250);
const ASK_WITHIN: Duration = Duration::from_millis(500);
const PULL_WITHIN: Duration = Duration::from_secs(4);
/// A chunk takes 27 ms on the origin's idle link; all hosts that read share it.
const ORIGIN_WITHIN: Duration = Duration::from_millis(2500);
/// How long the first in a chunk's line has before the next looks after it. One that is there says that
/// it is about to read the chunk, and is left to it; one that died leaves its chunks unread, and the
/// origin may not be there for long.
const TURN_SPAN: Duration = Duration::from_millis(300);
/// Chunks under way to this host. More would only wait behind each other, and requests to the engine
/// behind them.
const PULLS_MAX: usize = 6;
/// Chunks under way from the origin to one host. Some eight hosts read at a time; the fewer chunks
/// share the origin's link, the sooner each of them can be passed on.
const ORIGIN_READS_MAX: usize = 1;
/// Chunks that did not match, from whatever source, after which the digests are doubted.
const MISMATCHES_MAX: u32 = 6;

/// What a fetch works with.
#[derive(Clone)]
pub(super) struct FetchEdges {
    pub(super) store: ChunkStore,
    pub(super) client: Arc<PeerClient>,
    pub(super) origin: Option<OriginClient>,
    pub(super) me: HostLocation,
    /// How long a chunk takes on this host's idle link.
    pub(super) chunk_span: Duration,
    /// This host's link.
    pub(super) pacer: LinkPacer,
    /// The host from which the last chunk came, if it came slowly.
    pub(super) slow_host: Arc<Mutex<Option<SocketAddr>>>,
}

impl FetchEdges {
    /// A chunk came from `address` in `took`. Slow ones from two hosts in a row mean that the link of
    /// this host is slow.
    fn watch_link(&self, address: SocketAddr, took: Duration) {
        let mut slow_host = self
            .slow_host
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if took < PULL_SLOW {
            *slow_host = None;
            if took < PULL_FAST {
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

/// Why a fetch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchEnd {
    /// Every chunk is staged.
    Whole,
    /// Chunks of several sources do not match: the digests may be wrong.
    DigestsDoubted,
    /// It is to be looked again whether this version is still wanted.
    LookAgain,
}

enum FetchNews {
    Asked(PeerKey, SwitchResult<ChunkAnnouncement>),
    Pulled(TransferId, SwitchResult<ChunkAnnouncement>),
    Read(TransferId, SwitchResult<()>),
}

/// The fetch of one version.
pub(super) struct ChunkFetch {
    edges: FetchEdges,
    target: ModelVersion,
    plan: FetchPlan,
    news_sender: mpsc::UnboundedSender<FetchNews>,
    news: mpsc::UnboundedReceiver<FetchNews>,
    under_way: JoinSet<()>,
    flights: Vec<(TransferId, AbortHandle)>,
    mismatches: u32,
    /// Until when chunks under way tell nothing new of the link.
    slow_until: ClockTime,
}

impl ChunkFetch {
    /// A fetch of `target`, which has `layers` layers and of which `held` is staged. Each host has another
    /// layer whole first.
    pub(super) fn new(
        edges: FetchEdges,
        target: ModelVersion,
        (held, layers): (ChunkMap, u32),
    ) -> Self {
        let limits = FetchLimits {
            pulls_max: PULLS_MAX,
            takeover_delay: TURN_SPAN,
            origin_reads_max: ORIGIN_READS_MAX,
            origin_read_timeout: ORIGIN_WITHIN,
            ..FetchLimits::default()
        };
        let name = format!("{}/{}", target.model, target.version.0);
        let layer = rand::rng().random_range(0..layers.max(1));
        let first = layer_chunks(layer, held.count(), layers);
        let mut plan = FetchPlan::new(
            edges.me.clone(),
            (
                WeightsDigest::of(name.as_bytes()),
                SpreadObjective::OriginBytes,
            ),
            held,
            limits,
            (edges.chunk_span, rand::random()),
            clock_now(),
        );
        plan.prefer(first);
        let (news_sender, news) = mpsc::unbounded_channel();
        Self {
            edges,
            target,
            plan,
            news_sender,
            news,
            under_way: JoinSet::new(),
            flights: Vec::new(),
            mismatches: 0,
            slow_until: ClockTime(0),
        }
    }

    /// The hosts that hold or want the version.
    pub(super) fn set_hosts(&mut self, hosts: &[PeerHost]) {
        self.plan.set_hosts(hosts);
    }

    /// The part of the version's chunks that are here or at a host that is known to hold them.
    pub(super) fn known_part(&self) -> f64 {
        f64::from(self.plan.known_chunk_count()) / f64::from(self.plan.held().count().max(1))
    }

    /// Works until the version is whole, or up to `span`.
    pub(super) async fn run(&mut self, span: Duration) -> FetchEnd {
        let until = clock_now() + span;
        while clock_now() < until {
            if self.plan.held().is_full() {
                return FetchEnd::Whole;
            }
            if self.mismatches >= MISMATCHES_MAX {
                return FetchEnd::DigestsDoubted;
            }
            self.watch_pulls(clock_now());
            let pulls_max = self.edges.pacer.concurrent_chunks(PULLS_MAX);
            self.plan.set_pulls_max(pulls_max);
            for step in self.plan.next_steps(clock_now()) {
                self.carry_out(step);
            }
            self.edges.store.claim(&self.target, self.plan.claimed());
            let wake = Instant::now() + STEP_PAUSE;
            tokio::select! {
                news = self.news.recv() => {
                    if let Some(news) = news {
                        self.take(news);
                    }
                }
                () = sleep_until(wake) => {}
            }
            while let Ok(news) = self.news.try_recv() {
                self.take(news);
            }
            while self.under_way.try_join_next().is_some() {}
        }
        FetchEnd::LookAgain
    }

    /// Chunks that do not come tell of a slow link sooner than those that come late.
    fn watch_pulls(&mut self, now: ClockTime) {
        if now < self.slow_until || self.plan.late_source_count(PULL_SLOW, now) < SLOW_SOURCES {
            return;
        }
        self.slow_until = now + PULL_SLOW;
        log_event!(events::LINK_SLOW, "under_way_ms={}", PULL_SLOW.as_millis());
        self.edges.pacer.slow_down();
    }

    fn carry_out(&mut self, step: FetchStep) {
        let edges = self.edges.clone();
        let target = self.target.clone();
        let news = self.news_sender.clone();
        match step {
            FetchStep::Query(key) => {
                let address = self.address(key);
                self.under_way.spawn(async move {
                    let _ = news.send(FetchNews::Asked(key, ask(&edges, address, target).await));
                });
            }
            FetchStep::Fetch {
                transfer,
                index,
                source: ChunkSource::Peer(key),
            } => {
                let address = self.address(key);
                let task = self.under_way.spawn(async move {
                    let pulled = pull(&edges, address, &target, index).await;
                    let _ = news.send(FetchNews::Pulled(transfer, pulled));
                });
                self.flights.push((transfer, task));
            }
            FetchStep::Fetch {
                transfer,
                index,
                source: ChunkSource::Origin,
            } => {
                let task = self.under_way.spawn(async move {
                    let read = read_origin(&edges, &target, index).await;
                    let _ = news.send(FetchNews::Read(transfer, read));
                });
                self.flights.push((transfer, task));
            }
            FetchStep::Cancel(transfer, source) => {
                metrics::count_retry(ErrorKind::PeerSilent);
                if let ChunkSource::Peer(key) = source {
                    // The connection may have gone silent for good while new ones work.
                    self.edges.client.drop_pool(self.address(key));
                }
                self.abort(transfer);
            }
        }
    }

    /// Ends the work on a chunk that is of no more use.
    fn abort(&mut self, transfer: TransferId) {
        for (_, task) in self.flights.iter().filter(|(known, _)| *known == transfer) {
            task.abort();
        }
        self.flights.retain(|(known, _)| *known != transfer);
    }

    fn address(&self, key: PeerKey) -> SocketAddr {
        self.plan.peers().get(key).host.address
    }

    fn take(&mut self, news: FetchNews) {
        let now = clock_now();
        match news {
            FetchNews::Asked(key, answer) => {
                if let Ok(word) = &answer {
                    self.plan.on_announcement(word, now);
                }
                let failure = answer.err().map(|error| error.kind);
                self.plan.on_queried(key, failure, now);
            }
            FetchNews::Pulled(transfer, pulled) => {
                if let Ok(word) = &pulled {
                    self.plan.on_announcement(word, now);
                }
                self.take_chunk(transfer, pulled.map(|_| ()));
            }
            FetchNews::Read(transfer, read) => self.take_chunk(transfer, read),
        }
    }

    fn take_chunk(&mut self, transfer: TransferId, result: SwitchResult<()>) {
        let now = clock_now();
        self.flights.retain(|(known, _)| *known != transfer);
        match result {
            Ok(()) => {
                for twin in self.plan.on_delivered(transfer, now) {
                    self.abort(twin);
                }
            }
            Err(error) => {
                metrics::count_retry(error.kind);
                if error.kind == ErrorKind::ChunkCorrupt {
                    self.mismatches += 1;
                    log_event!(events::CHUNK_REFUSED, "{error}");
                } else if error.kind != ErrorKind::UploadBusy {
                    log_event!(events::SOURCE_FAILED, "{error}");
                }
                self.plan
                    .on_failed(transfer, error.kind, error.retry_after, now);
            }
        }
    }
}

async fn ask(
    edges: &FetchEdges,
    address: SocketAddr,
    target: ModelVersion,
) -> SwitchResult<ChunkAnnouncement> {
    let ask = ChunkAsk {
        target,
        index: None,
    };
    let called = edges.client.call(address, HAVE_PATH, &ask, ASK_WITHIN);
    let answer = called.await;
    if answer
        .as_ref()
        .is_err_and(|error: &SwitchError| error.kind == ErrorKind::PeerSilent)
    {
        edges.client.drop_pool(address);
    }
    answer
}

async fn pull(
    edges: &FetchEdges,
    address: SocketAddr,
    target: &ModelVersion,
    index: u32,
) -> SwitchResult<ChunkAnnouncement> {
    let ask = ChunkAsk {
        target: target.clone(),
        index: Some(index),
    };
    let called = edges
        .client
        .call::<_, ChunkReply>(address, GET_PATH, &ask, PULL_WITHIN);
    let asked_at = clock_now();
    let reply = called.await?;
    edges.watch_link(address, clock_now().since(asked_at));
    let bytes = Bytes::from(reply.bytes);
    take_in(edges, &bytes).await;
    edges.store.keep(target, index, bytes)?;
    metrics::count_event("chunks_from_hosts", 1);
    Ok(reply.word)
}

/// The next chunk is asked for when the link has taken this one in: requests to the engine come over
/// the same link.
async fn take_in(edges: &FetchEdges, bytes: &Bytes) {
    let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    edges.pacer.take_in(length).await;
}

async fn read_origin(edges: &FetchEdges, target: &ModelVersion, index: u32) -> SwitchResult<()> {
    let Some(origin) = &edges.origin else {
        let detail = "the document names no origin of weights";
        return Err(SwitchError::new(ErrorKind::OriginUnavailable, detail));
    };
    let bytes = origin.read_chunk(target, index, ORIGIN_WITHIN).await?;
    metrics::count_event("chunks_from_origin", 1);
    take_in(edges, &bytes).await;
    edges.store.keep(target, index, bytes)
}
