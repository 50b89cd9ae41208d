//! The chunks that this host holds, as all of the process shares them. Chunks that are fetched stay in
//! memory until the engine has loaded their version; those of a version that it serves lie staged at
//! the engine and are read back from there.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;

use super::events;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::{ChunkDigests, EngineClient};
use crate::weights::{ChunkMap, HaveWord};

/// The engine is on the same host and answers within a few milliseconds.
const STAGE_WITHIN: Duration = Duration::from_millis(1500);
/// Versions that are held at a time: one that waits to be loaded, one that is fetched, and the one
/// that is served.
const VERSIONS_MAX: usize = 3;
/// How many staged chunks are read to see whether any of the wanted version is staged at all.
const SAMPLES: u32 = 3;
/// How often a chunk is staged again that does not read back as it was written.
const STAGE_TRIES: u32 = 3;

/// Where a version's chunks are.
#[derive(Clone, Debug)]
enum ChunkPlace {
    /// In memory, each once it has come.
    Memory(Vec<Option<Bytes>>),
    /// Staged at the engine.
    Engine,
}

/// What is held of one version.
#[derive(Clone, Debug)]
struct HeldVersion {
    target: ModelVersion,
    digests: Arc<ChunkDigests>,
    held: ChunkMap,
    claimed: ChunkMap,
    /// The chunks that were found staged, and need not be staged again.
    staged: ChunkMap,
    place: ChunkPlace,
}

/// The held chunks. Clones share them.
#[derive(Clone)]
pub(super) struct ChunkStore {
    host: ByteString,
    engine: EngineClient,
    /// Sorted by version.
    versions: Arc<Mutex<Vec<HeldVersion>>>,
}

impl ChunkStore {
    /// The chunks of the host called `host`, whose engine is `engine`.
    pub(super) fn new(host: ByteString, engine: EngineClient) -> Self {
        Self {
            host,
            engine,
            versions: Arc::default(),
        }
    }

    /// The engine serves `target`, whose chunks are staged there; other hosts may need them.
    ///
    /// # Errors
    ///
    /// When the engine does not tell what is staged.
    pub(super) async fn begin_served(
        &self,
        target: &ModelVersion,
        digests: Arc<ChunkDigests>,
    ) -> SwitchResult<()> {
        let mut held = ChunkMap::empty(digests.count());
        for index in self.engine.staged(&target.model, STAGE_WITHIN).await? {
            held.insert(index);
        }
        self.begin(target, digests, held, ChunkPlace::Engine);
        Ok(())
    }

    /// `target` is fetched from now on. What is staged of it already is taken over: an engine that
    /// crashed keeps what was staged.
    ///
    /// # Errors
    ///
    /// When the engine does not answer.
    pub(super) async fn begin_fetch(
        &self,
        target: &ModelVersion,
        digests: Arc<ChunkDigests>,
    ) -> SwitchResult<()> {
        let count = digests.count();
        let mut chunks = vec![None; usize::try_from(count).unwrap_or(0)];
        let mut held = ChunkMap::empty(count);
        let staged = self.engine.staged(&target.model, STAGE_WITHIN).await?;
        let mut misses = 0;
        for index in staged {
            let read = self
                .engine
                .read_chunk(&target.model, index, STAGE_WITHIN)
                .await;
            let slot = usize::try_from(index)
                .ok()
                .and_then(|at| chunks.get_mut(at));
            match (read, slot) {
                (Ok(bytes), Some(slot)) if digests.matches(index, &bytes) => {
                    *slot = Some(bytes);
                    held.insert(index);
                }
                _ => misses += 1,
            }
            if misses >= SAMPLES && held.len() == 0 {
                break;
            }
        }
        self.begin(target, digests, held, ChunkPlace::Memory(chunks));
        Ok(())
    }

    fn begin(
        &self,
        target: &ModelVersion,
        digests: Arc<ChunkDigests>,
        held: ChunkMap,
        place: ChunkPlace,
    ) {
        let version = HeldVersion {
            target: target.clone(),
            claimed: ChunkMap::empty(digests.count()),
            staged: held.clone(),
            digests,
            held,
            place,
        };
        let mut versions = self.lock();
        match versions.binary_search_by(|known| known.target.cmp(target)) {
            Ok(at) => versions[at] = version,
            Err(at) => versions.insert(at, version),
        }
        if versions.len() > VERSIONS_MAX {
            versions.remove(0);
        }
    }

    /// Whether `target` is held, or being fetched.
    pub(super) fn knows(&self, target: &ModelVersion) -> bool {
        self.with(target, |_| ()).is_some()
    }

    /// The newest whole version of `model` that is newer than `than` and in memory.
    pub(super) fn newest_whole(
        &self,
        model: &str,
        than: Option<WeightsVersion>,
    ) -> Option<ModelVersion> {
        let versions = self.lock();
        let mut newest = versions.iter().rev().filter(|version| {
            let is_newer = *version.target.model == *model && Some(version.target.version) > than;
            is_newer && version.held.is_full() && matches!(version.place, ChunkPlace::Memory(_))
        });
        newest.next().map(|version| version.target.clone())
    }

    /// The digests of `target`, if they are known.
    pub(super) fn digests(&self, target: &ModelVersion) -> Option<Arc<ChunkDigests>> {
        self.with(target, |version| version.digests.clone())
    }

    /// The chunks of `target` that are held.
    pub(super) fn held(&self, target: &ModelVersion) -> Option<ChunkMap> {
        self.with(target, |version| version.held.clone())
    }

    /// What this host says of `target`; nothing if it does not know it.
    pub(super) fn word(&self, target: &ModelVersion) -> Option<HaveWord> {
        self.with(target, |version| HaveWord {
            host: self.host.clone(),
            held: version.held.clone(),
            claimed: version.claimed.clone(),
            backlog_ms: 0,
        })
    }

    /// Says which chunks this host is about to read from the origin.
    pub(super) fn claim(&self, target: &ModelVersion, claimed: ChunkMap) {
        self.with(target, |version| version.claimed = claimed);
    }

    /// Checks a chunk and keeps it. One that does not match is never kept or passed on.
    ///
    /// # Errors
    ///
    /// `ChunkCorrupt` when it does not match, `ChunkMissing` when the version is not fetched.
    pub(super) fn keep(&self, target: &ModelVersion, index: u32, bytes: Bytes) -> SwitchResult<()> {
        let digests = self.digests(target).ok_or_else(|| missing(index))?;
        if !digests.matches(index, &bytes) {
            let detail = format!("chunk {index} does not match its digest");
            return Err(SwitchError::new(ErrorKind::ChunkCorrupt, detail));
        }
        self.with(target, |version| {
            if let ChunkPlace::Memory(chunks) = &mut version.place
                && let Some(slot) = usize::try_from(index)
                    .ok()
                    .and_then(|at| chunks.get_mut(at))
            {
                *slot = Some(bytes);
                version.held.insert(index);
            }
        });
        Ok(())
    }

    /// A chunk, read back and checked if it is staged. One that has gone bad is no longer held.
    ///
    /// # Errors
    ///
    /// `ChunkMissing` when it is not held or has gone bad.
    pub(super) async fn read(&self, target: &ModelVersion, index: u32) -> SwitchResult<Bytes> {
        let place = self.with(target, |version| {
            let in_memory = match &version.place {
                ChunkPlace::Memory(chunks) => {
                    let at = usize::try_from(index).unwrap_or(usize::MAX);
                    Some(chunks.get(at).cloned().flatten())
                }
                ChunkPlace::Engine => None,
            };
            (
                in_memory,
                version.held.contains(index),
                version.digests.clone(),
            )
        });
        match place {
            Some((Some(Some(bytes)), _, _)) => Ok(bytes),
            Some((None, true, digests)) => self.read_staged(target, index, &digests).await,
            _ => Err(missing(index)),
        }
    }

    async fn read_staged(
        &self,
        target: &ModelVersion,
        index: u32,
        digests: &ChunkDigests,
    ) -> SwitchResult<Bytes> {
        let read = self
            .engine
            .read_chunk(&target.model, index, STAGE_WITHIN)
            .await;
        match read {
            Ok(bytes) if digests.matches(index, &bytes) => Ok(bytes),
            Err(error) if error.kind != ErrorKind::ChunkMissing => Err(error),
            _ => {
                log_event!(
                    events::STAGED_CHUNK_BAD,
                    "model={} chunk={index}",
                    target.model
                );
                self.with(target, |version| version.held.remove(index));
                Err(missing(index))
            }
        }
    }

    /// Stages a whole version at the engine and reads every chunk back: staged bytes go bad, and
    /// the engine loads whatever is there.
    ///
    /// # Errors
    ///
    /// When the engine does not answer, or a chunk does not read back as it was written.
    pub(super) async fn stage(&self, target: &ModelVersion) -> SwitchResult<()> {
        let digests = self.digests(target).ok_or_else(|| missing(0))?;
        let staged = self.with(target, |version| version.staged.clone());
        let staged = staged.ok_or_else(|| missing(0))?;
        for index in (0..digests.count()).filter(|index| !staged.contains(*index)) {
            self.stage_chunk(target, index, &digests).await?;
        }
        for index in 0..digests.count() {
            let read = self.engine.read_chunk(&target.model, index, STAGE_WITHIN);
            if !digests.matches(index, &read.await?) {
                log_event!(
                    events::STAGED_CHUNK_BAD,
                    "model={} chunk={index}",
                    target.model
                );
                self.stage_chunk(target, index, &digests).await?;
            }
        }
        Ok(())
    }

    async fn stage_chunk(
        &self,
        target: &ModelVersion,
        index: u32,
        digests: &ChunkDigests,
    ) -> SwitchResult<()> {
        for _ in 0..STAGE_TRIES {
            let bytes = self.read(target, index).await?;
            if !digests.matches(index, &bytes) {
                continue;
            }
            let staging = self
                .engine
                .stage_chunk(&target.model, index, bytes, STAGE_WITHIN);
            return staging.await;
        }
        Err(missing(index))
    }

    /// The engine serves `target`: its chunks lie staged, and memory is given back.
    pub(super) fn note_served(&self, target: &ModelVersion) {
        self.with(target, |version| version.place = ChunkPlace::Engine);
        // What was staged before has been written over.
        let mut versions = self.lock();
        versions.retain(|version| {
            version.target >= *target || matches!(version.place, ChunkPlace::Memory(_))
        });
    }

    /// A version is no longer fetched; its chunks go.
    pub(super) fn forget(&self, target: &ModelVersion) {
        self.lock().retain(|version| version.target != *target);
    }

    fn with<T>(
        &self,
        target: &ModelVersion,
        action: impl FnOnce(&mut HeldVersion) -> T,
    ) -> Option<T> {
        let mut versions = self.lock();
        let found = versions.binary_search_by(|version| version.target.cmp(target));
        found.ok().map(|at| action(&mut versions[at]))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<HeldVersion>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn missing(index: u32) -> SwitchError {
    let detail = format!("chunk {index} is not here");
    SwitchError::new(ErrorKind::ChunkMissing, detail)
}
