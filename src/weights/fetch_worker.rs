//! The one task that owns the fetch plan: brings in the version that the document wants, and ends
//! the work on an older one at once when a newer is wanted.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use super::events;
use super::fetch_edge::FetchEdge;
use super::fetch_plan::{FetchLimits, FetchPlan};
use super::fetch_run::FetchRun;
use super::link_pacer::LinkPacer;
use super::manifest::VersionManifest;
use super::manifest_doubt::ManifestDoubt;
use super::manifest_edge::find_manifest;
use super::messages::ChunkAnnouncement;
use super::staged_version::{StagedVersion, VersionShelf};
use super::wanted_version::{TargetVersion, line_host, wanting_hosts};
use super::weights_thread::{WeightsContext, WeightsLimits};
use super::word_board::WordBoard;
use crate::documents::SpreadObjective;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::membership::StagingProgress;
use crate::metrics;
use crate::time::clock_now;

const TICK: Duration = Duration::from_millis(25);
const WATCH_TICKS: u32 = 8;
/// How long the first in a chunk's line has, by what the document wants to save.
const TURN_SPAN_TIME: Duration = Duration::from_millis(1500);
const TURN_SPAN_BYTES: Duration = Duration::from_secs(4);

/// What the worker works with.
pub(crate) struct FetchWorker {
    /// The process's edges.
    pub(crate) edges: WeightsContext,
    /// Settings.
    pub(crate) limits: WeightsLimits,
    /// Versions that this host holds.
    pub(crate) shelf: VersionShelf,
    /// What this host says to others.
    pub(crate) board: WordBoard,
    /// The host's link.
    pub(crate) pacer: LinkPacer,
    /// What others say of themselves when they ask.
    pub(crate) heard: mpsc::Receiver<ChunkAnnouncement>,
}

enum FetchStage {
    Idle,
    Manifest(JoinHandle<SwitchResult<VersionManifest>>),
    Chunks(Box<FetchRun>),
    Sealing(Arc<StagedVersion>, JoinHandle<SwitchResult<()>>),
    /// It does not fit; nothing is tried again until another version is wanted.
    Refused,
    Done,
}

impl FetchWorker {
    /// Works until the process ends.
    pub(crate) async fn run(mut self) {
        let mut target: Option<TargetVersion> = None;
        let mut stage = FetchStage::Idle;
        let mut doubts = 0;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tick_count: u32 = 0;
        loop {
            self.wait(&mut stage, &mut ticks).await;
            tick_count = tick_count.wrapping_add(1);
            if tick_count.is_multiple_of(WATCH_TICKS) {
                let newest = TargetVersion::read(&self.edges.control);
                if newest.as_ref().map(|newest| newest.digest)
                    != target.as_ref().map(|target| target.digest)
                {
                    doubts = 0;
                    stage.end();
                    stage = self.begin(newest.as_ref(), doubts);
                }
                target = newest;
                if let (FetchStage::Chunks(run), Some(target)) = (&mut stage, &target) {
                    self.renew_hosts(run, target);
                }
            }
            let Some(target) = &target else {
                continue;
            };
            stage = self.advance(stage, target, &mut doubts).await;
        }
    }

    /// Returns when there is something to do: at each tick, or when a step's outcome is there.
    async fn wait(&mut self, stage: &mut FetchStage, ticks: &mut tokio::time::Interval) {
        let FetchStage::Chunks(run) = stage else {
            // Words about no version under way are of no use.
            while self.heard.try_recv().is_ok() {}
            ticks.tick().await;
            return;
        };
        let now = clock_now;
        tokio::select! {
            _ = ticks.tick() => {}
            Some(news) = run.news.recv() => run.take(news),
            Some(word) = self.heard.recv() => run.plan.on_announcement(&word, now()),
        }
        while let Ok(news) = run.news.try_recv() {
            run.take(news);
        }
    }

    fn begin(&self, target: Option<&TargetVersion>, doubts: u32) -> FetchStage {
        let Some(target) = target else {
            return FetchStage::Idle;
        };
        log_event!(
            events::VERSION_WANTED,
            "{} {}",
            target.spec.version,
            target.digest
        );
        match self.shelf.find(target.digest) {
            Some(version) if version.is_complete() => FetchStage::Done,
            Some(version) => FetchStage::Chunks(Box::new(self.begin_chunks(version, target))),
            None => self.begin_manifest(target, doubts),
        }
    }

    fn begin_manifest(&self, target: &TargetVersion, doubts: u32) -> FetchStage {
        let edges = self.edges.clone();
        let limits = self.limits;
        let target = target.clone();
        FetchStage::Manifest(tokio::spawn(async move {
            find_manifest(&edges, limits, &target, doubts).await
        }))
    }

    fn begin_chunks(&self, version: Arc<StagedVersion>, target: &TargetVersion) -> FetchRun {
        let (news_sender, news) = mpsc::unbounded_channel();
        let chunk_span = self.pacer.span_of(version.manifest().chunk_size);
        let limits = FetchLimits {
            takeover_delay: match target.spec.objective {
                SpreadObjective::Time => TURN_SPAN_TIME,
                SpreadObjective::OriginBytes => TURN_SPAN_BYTES,
            },
            ..FetchLimits::default()
        };
        let plan = FetchPlan::new(
            line_host(self.edges.control.identity()),
            (target.digest, target.spec.objective),
            version.held(),
            limits,
            (chunk_span, rand::rng().random()),
            clock_now(),
        );
        let edge = FetchEdge {
            origin: Arc::clone(&self.edges.origin),
            store: self.edges.store.clone(),
            source: target.spec.source.clone(),
            client: Arc::clone(&self.edges.client),
            version,
            board: self.board.clone(),
            pacer: self.pacer.clone(),
        };
        let mut run = FetchRun {
            doubt: ManifestDoubt::new(edge.version.manifest().chunk_count()),
            is_manifest_doubted: false,
            edge,
            plan,
            under_way: Vec::new(),
            news_sender,
            news,
        };
        self.renew_hosts(&mut run, target);
        run
    }

    fn renew_hosts(&self, run: &mut FetchRun, target: &TargetVersion) {
        let snapshot = self.edges.control.snapshot().load();
        run.plan.set_hosts(&wanting_hosts(&snapshot, target.digest));
    }

    async fn advance(
        &self,
        stage: FetchStage,
        target: &TargetVersion,
        doubts: &mut u32,
    ) -> FetchStage {
        match stage {
            FetchStage::Manifest(task) if task.is_finished() => {
                self.take_manifest(task.await.ok(), target, *doubts)
            }
            FetchStage::Chunks(mut run) => {
                if run.is_manifest_doubted {
                    let error =
                        SwitchError::new(ErrorKind::ManifestInvalid, "a chunk never matches");
                    metrics::count_refusal(error.kind, "weights");
                    log_event!(events::MANIFEST_REFUSED, "{error}");
                    FetchStage::end_run(&run);
                    return self.doubt(&run.edge.version, target, doubts);
                }
                run.step();
                self.tell_progress(&run, target);
                if !run.plan.held().is_full() {
                    return FetchStage::Chunks(run);
                }
                let version = Arc::clone(&run.edge.version);
                let sealed = Arc::clone(&version);
                // Hashing the whole takes long: not on a thread that serves requests.
                let task = tokio::task::spawn_blocking(move || sealed.verify());
                FetchStage::Sealing(version, task)
            }
            FetchStage::Sealing(version, task) if task.is_finished() => {
                match task.await {
                    Ok(Ok(())) => {
                        log_event!(events::VERSION_WHOLE, "{}", version.digest());
                        FetchStage::Done
                    }
                    Ok(Err(error)) => {
                        // Every chunk matched a manifest that does not belong to the digest.
                        metrics::count_refusal(error.kind, "weights");
                        log_event!(events::WHOLE_REFUSED, "{error}");
                        self.doubt(&version, target, doubts)
                    }
                    Err(_) => self.begin(Some(target), *doubts),
                }
            }
            other => other,
        }
    }

    /// Lets go of a version whose manifest lied, and asks the origin for another.
    fn doubt(
        &self,
        version: &StagedVersion,
        target: &TargetVersion,
        doubts: &mut u32,
    ) -> FetchStage {
        self.shelf.retain(|kept| kept.digest() != version.digest());
        *doubts += 1;
        self.begin_manifest(target, *doubts)
    }

    fn take_manifest(
        &self,
        found: Option<SwitchResult<VersionManifest>>,
        target: &TargetVersion,
        doubts: u32,
    ) -> FetchStage {
        match found {
            Some(Ok(manifest)) => {
                self.make_room(&manifest);
                let version = Arc::new(StagedVersion::new(manifest));
                self.shelf.put(Arc::clone(&version));
                FetchStage::Chunks(Box::new(self.begin_chunks(version, target)))
            }
            Some(Err(error)) => {
                metrics::count_refusal(error.kind, "weights");
                log_event!(events::MEMORY_SHORT, "{}: {error}", target.spec.version);
                FetchStage::Refused
            }
            None => self.begin_manifest(target, doubts),
        }
    }

    /// Lets older versions go where they and the new one would not fit together: the engine has its
    /// own copy of what it serves. One older version stays where it fits, for peers and for a way
    /// back.
    fn make_room(&self, manifest: &VersionManifest) {
        let serving = self.edges.gate.serving().map(|serving| serving.digest);
        let mut room = self.limits.memory_bytes.saturating_sub(manifest.size);
        let kept = serving
            .and_then(|digest| self.shelf.find(digest))
            .filter(|version| version.manifest().size <= room)
            .inspect(|version| room -= version.manifest().size)
            .map(|version| version.digest());
        let gone = self.shelf.retain(|version| Some(version.digest()) == kept);
        for digest in gone {
            log_event!(events::VERSION_DROPPED, "{digest}");
        }
    }

    fn tell_progress(&self, run: &FetchRun, target: &TargetVersion) {
        let progress = StagingProgress {
            version: target.spec.version.clone(),
            chunks_done: run.plan.held().len(),
            chunks_all: run.plan.held().count(),
        };
        self.edges
            .board
            .update(|status| status.staging = Some(progress));
    }
}

impl FetchStage {
    fn end_run(run: &FetchRun) {
        run.under_way.iter().for_each(|(_, task)| task.abort());
    }

    fn end(&self) {
        match self {
            Self::Manifest(task) => task.abort(),
            Self::Chunks(run) => Self::end_run(run),
            Self::Idle | Self::Sealing(..) | Self::Refused | Self::Done => {}
        }
    }
}
