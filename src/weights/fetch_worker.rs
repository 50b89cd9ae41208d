//! The task that owns the fetch plan. It fetches the target version, and aborts the fetch of a
//! previous one as soon as the target changes.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use super::chunk_announcer::ChunkAnnouncer;
use super::chunk_fetcher::ChunkFetcher;
use super::events;
use super::fetch_plan::{FetchLimits, FetchPlan};
use super::fetch_session::FetchSession;
use super::link_pacer::LinkPacer;
use super::manifest::VersionManifest;
use super::manifest_fetch::fetch_manifest;
use super::messages::ChunkAnnouncement;
use super::mismatch_counter::MismatchCounter;
use super::staged_version::{StagedVersion, VersionCache};
use super::target_version::{TargetVersion, host_location, target_hosts};
use super::weights_tasks::{WeightsContext, WeightsLimits};
use crate::documents::SpreadObjective;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::membership::StagingProgress;
use crate::metrics;
use crate::time::clock_now;

const TICK: Duration = Duration::from_millis(25);
const TARGET_CHECK_TICKS: u32 = 8;
/// How long each host waits before it takes over a read from the one ranked before it, for each
/// objective of the service document.
const TAKEOVER_DELAY_TIME: Duration = Duration::from_millis(1500);
const TAKEOVER_DELAY_BYTES: Duration = Duration::from_secs(4);

/// The worker and the state that it shares with other tasks.
pub(crate) struct FetchWorker {
    /// Clients and state of the process.
    pub(crate) context: WeightsContext,
    /// Settings.
    pub(crate) limits: WeightsLimits,
    /// Versions that this host holds.
    pub(crate) versions: VersionCache,
    /// This host's announcements to its peers.
    pub(crate) announcer: ChunkAnnouncer,
    /// The host's link.
    pub(crate) pacer: LinkPacer,
    /// Announcements from queries of other hosts.
    pub(crate) announcements: mpsc::Receiver<ChunkAnnouncement>,
}

enum FetchStage {
    Idle,
    Manifest(JoinHandle<SwitchResult<VersionManifest>>),
    Chunks(Box<FetchSession>),
    Verifying(Arc<StagedVersion>, JoinHandle<SwitchResult<()>>),
    /// The version does not fit into memory; no further attempt is made until the target changes.
    Rejected,
    Done,
}

impl FetchWorker {
    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        let mut target: Option<TargetVersion> = None;
        let mut stage = FetchStage::Idle;
        let mut rejected_manifests = 0;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tick_count: u32 = 0;
        loop {
            self.wait(&mut stage, &mut ticks).await;
            tick_count = tick_count.wrapping_add(1);
            if tick_count.is_multiple_of(TARGET_CHECK_TICKS) {
                let newest = TargetVersion::read(&self.context.control);
                if newest.as_ref().map(|newest| newest.digest)
                    != target.as_ref().map(|target| target.digest)
                {
                    rejected_manifests = 0;
                    stage.abort();
                    stage = self.begin(newest.as_ref(), rejected_manifests);
                }
                target = newest;
                if let (FetchStage::Chunks(session), Some(target)) = (&mut stage, &target) {
                    self.refresh_hosts(session, target);
                }
            }
            let Some(target) = &target else {
                continue;
            };
            stage = self.advance(stage, target, &mut rejected_manifests).await;
        }
    }

    /// Waits for the next tick, or for the result of a step if that comes first.
    async fn wait(&mut self, stage: &mut FetchStage, ticks: &mut tokio::time::Interval) {
        let FetchStage::Chunks(session) = stage else {
            // No fetch of chunks is running, so that these announcements are not needed.
            while self.announcements.try_recv().is_ok() {}
            ticks.tick().await;
            return;
        };
        let now = clock_now;
        tokio::select! {
            _ = ticks.tick() => {}
            Some(event) = session.events.recv() => session.apply_event(event),
            Some(announcement) = self.announcements.recv() => session
                .plan
                .on_announcement(&announcement, now()),
        }
        while let Ok(event) = session.events.try_recv() {
            session.apply_event(event);
        }
    }

    fn begin(&self, target: Option<&TargetVersion>, rejected_manifests: u32) -> FetchStage {
        let Some(target) = target else {
            return FetchStage::Idle;
        };
        log_event!(
            events::VERSION_TARGETED,
            "{} {}",
            target.spec.version,
            target.digest
        );
        match self.versions.find(target.digest) {
            Some(version) if version.is_complete() => FetchStage::Done,
            Some(version) => FetchStage::Chunks(Box::new(self.begin_chunks(version, target))),
            None => self.begin_manifest(target, rejected_manifests),
        }
    }

    fn begin_manifest(&self, target: &TargetVersion, rejected_manifests: u32) -> FetchStage {
        let context = self.context.clone();
        let limits = self.limits;
        let target = target.clone();
        FetchStage::Manifest(tokio::spawn(async move {
            fetch_manifest(&context, limits, &target, rejected_manifests).await
        }))
    }

    fn begin_chunks(&self, version: Arc<StagedVersion>, target: &TargetVersion) -> FetchSession {
        let (event_sender, events) = mpsc::unbounded_channel();
        let chunk_time = self.pacer.transfer_time(version.manifest().chunk_size);
        let limits = FetchLimits {
            takeover_delay: match target.spec.objective {
                SpreadObjective::Time => TAKEOVER_DELAY_TIME,
                SpreadObjective::OriginBytes => TAKEOVER_DELAY_BYTES,
            },
            ..FetchLimits::default()
        };
        let plan = FetchPlan::new(
            host_location(self.context.control.identity()),
            (target.digest, target.spec.objective),
            version.held(),
            limits,
            (chunk_time, rand::rng().random()),
            clock_now(),
        );
        let fetcher = ChunkFetcher {
            origin: Arc::clone(&self.context.origin),
            store: self.context.store.clone(),
            source: target.spec.source.clone(),
            client: Arc::clone(&self.context.client),
            version,
            announcer: self.announcer.clone(),
            pacer: self.pacer.clone(),
        };
        let mut session = FetchSession {
            mismatches: MismatchCounter::new(fetcher.version.manifest().chunk_count()),
            is_manifest_suspect: false,
            fetcher,
            plan,
            transfers: Vec::new(),
            event_sender,
            events,
        };
        self.refresh_hosts(&mut session, target);
        session
    }

    fn refresh_hosts(&self, session: &mut FetchSession, target: &TargetVersion) {
        let snapshot = self.context.control.snapshot().load();
        session
            .plan
            .set_hosts(&target_hosts(&snapshot, target.digest));
    }

    async fn advance(
        &self,
        stage: FetchStage,
        target: &TargetVersion,
        rejected_manifests: &mut u32,
    ) -> FetchStage {
        match stage {
            FetchStage::Manifest(task) if task.is_finished() => {
                self.on_manifest(task.await.ok(), target, *rejected_manifests)
            }
            FetchStage::Chunks(mut session) => {
                if session.is_manifest_suspect {
                    let error = SwitchError::new(
                        ErrorKind::ManifestInvalid,
                        "a chunk repeatedly does not match the manifest",
                    );
                    metrics::count_refusal(error.kind, "weights");
                    log_event!(events::MANIFEST_REFUSED, "{error}");
                    FetchStage::abort_transfers(&session);
                    return self.reject_manifest(
                        &session.fetcher.version,
                        target,
                        rejected_manifests,
                    );
                }
                session.step();
                self.publish_progress(&session, target);
                if !session.plan.held().is_full() {
                    return FetchStage::Chunks(session);
                }
                let version = Arc::clone(&session.fetcher.version);
                let unverified = Arc::clone(&version);
                // Hashing a complete version takes long and must not block a thread that serves
                // requests.
                let task = tokio::task::spawn_blocking(move || unverified.verify());
                FetchStage::Verifying(version, task)
            }
            FetchStage::Verifying(version, task) if task.is_finished() => {
                match task.await {
                    Ok(Ok(())) => {
                        log_event!(events::VERSION_COMPLETE, "{}", version.digest());
                        FetchStage::Done
                    }
                    Ok(Err(error)) => {
                        // Every chunk matched the manifest, but the manifest does not belong to the
                        // digest.
                        metrics::count_refusal(error.kind, "weights");
                        log_event!(events::VERSION_REFUSED, "{error}");
                        self.reject_manifest(&version, target, rejected_manifests)
                    }
                    Err(_) => self.begin(Some(target), *rejected_manifests),
                }
            }
            other => other,
        }
    }

    /// Evicts a version with an invalid manifest, and fetches a new manifest from the origin.
    fn reject_manifest(
        &self,
        version: &StagedVersion,
        target: &TargetVersion,
        rejected_manifests: &mut u32,
    ) -> FetchStage {
        self.versions
            .retain(|kept| kept.digest() != version.digest());
        *rejected_manifests += 1;
        self.begin_manifest(target, *rejected_manifests)
    }

    fn on_manifest(
        &self,
        found: Option<SwitchResult<VersionManifest>>,
        target: &TargetVersion,
        rejected_manifests: u32,
    ) -> FetchStage {
        match found {
            Some(Ok(manifest)) => {
                self.evict_versions(&manifest);
                let version = Arc::new(StagedVersion::new(manifest));
                self.versions.insert(Arc::clone(&version));
                FetchStage::Chunks(Box::new(self.begin_chunks(version, target)))
            }
            Some(Err(error)) => {
                metrics::count_refusal(error.kind, "weights");
                log_event!(events::MEMORY_TOO_SMALL, "{}: {error}", target.spec.version);
                FetchStage::Rejected
            }
            None => self.begin_manifest(target, rejected_manifests),
        }
    }

    /// Evicts all versions except the serving one, and that one too if it does not fit into memory
    /// together with the new version. The engine has its own copy of what it serves; the copy here
    /// is kept for peers and for a rollback.
    fn evict_versions(&self, manifest: &VersionManifest) {
        let serving = self.context.gate.serving().map(|serving| serving.digest);
        let mut free_bytes = self.limits.memory_bytes.saturating_sub(manifest.size);
        let kept = serving
            .and_then(|digest| self.versions.find(digest))
            .filter(|version| version.manifest().size <= free_bytes)
            .inspect(|version| free_bytes -= version.manifest().size)
            .map(|version| version.digest());
        let evicted = self
            .versions
            .retain(|version| Some(version.digest()) == kept);
        for digest in evicted {
            log_event!(events::VERSION_EVICTED, "{digest}");
        }
    }

    fn publish_progress(&self, session: &FetchSession, target: &TargetVersion) {
        let progress = StagingProgress {
            version: target.spec.version.clone(),
            chunks_done: session.plan.held().len(),
            chunks_all: session.plan.held().count(),
        };
        self.context
            .publisher
            .update(|status| status.staging = Some(progress));
    }
}

impl FetchStage {
    fn abort_transfers(session: &FetchSession) {
        session.transfers.iter().for_each(|(_, task)| task.abort());
    }

    fn abort(&self) {
        match self {
            Self::Manifest(task) => task.abort(),
            Self::Chunks(session) => Self::abort_transfers(session),
            Self::Idle | Self::Verifying(..) | Self::Rejected | Self::Done => {}
        }
    }
}
