//! The chunks that this host holds, as all of the process shares them. Chunks that are fetched stay in
//! memory until the engine has loaded their version; those of a version that it serves lie staged at
//! the engine and are read back from there, for as long as it serves it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use bytestring::ByteString;

use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::{ChunkDigests, EngineClient};
use crate::weights::{ChunkMap, HaveWord};

/// Versions that are held at a time: one that waits to be loaded, one that is fetched, and the one
/// that is served.
const VERSIONS_MAX: usize = 3;

/// Where a version's chunks are.
#[derive(Clone, Debug)]
enum ChunkLocation {
    /// In memory, each once it has come.
    Memory(Vec<Option<Bytes>>),
    /// Staged at the engine, which serves the version.
    Engine,
}

impl ChunkLocation {
    fn empty(count: u32) -> Self {
        Self::Memory(vec![None; usize::try_from(count).unwrap_or(0)])
    }
}

/// A chunk that is held.
pub(super) enum ChunkSource {
    /// Here it is.
    Memory(Bytes),
    /// It lies staged at the engine, and is checked against these digests.
    Engine(Arc<ChunkDigests>),
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
    /// Whether it was looked what lies staged at this incarnation of the engine.
    is_staging_checked: bool,
    location: ChunkLocation,
}

impl HeldVersion {
    fn forget_staged(&mut self) {
        let count = self.digests.count();
        self.staged = ChunkMap::empty(count);
        self.is_staging_checked = false;
        if matches!(self.location, ChunkLocation::Engine) {
            self.location = ChunkLocation::empty(count);
            self.held = ChunkMap::empty(count);
        }
    }
}

/// The held chunks. Clones share them.
#[derive(Clone)]
pub(super) struct ChunkStore {
    host: ByteString,
    pub(super) engine: EngineClient,
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

    /// `target` is wanted from now on; nothing of it is held yet.
    pub(super) fn begin(&self, target: &ModelVersion, digests: Arc<ChunkDigests>) {
        let nothing = ChunkMap::empty(digests.count());
        let version = HeldVersion {
            target: target.clone(),
            held: nothing.clone(),
            claimed: nothing.clone(),
            staged: nothing,
            is_staging_checked: false,
            location: ChunkLocation::empty(digests.count()),
            digests,
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
    pub(super) fn newest_complete(
        &self,
        model: &str,
        than: Option<WeightsVersion>,
    ) -> Option<ModelVersion> {
        let versions = self.lock();
        let mut newest = versions.iter().rev().filter(|version| {
            let is_newer = *version.target.model == *model && Some(version.target.version) > than;
            is_newer
                && version.held.is_full()
                && matches!(version.location, ChunkLocation::Memory(_))
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
    pub(super) fn announcement(&self, target: &ModelVersion) -> Option<HaveWord> {
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
    pub(super) fn insert_checked(
        &self,
        target: &ModelVersion,
        index: u32,
        bytes: Bytes,
    ) -> SwitchResult<()> {
        let digests = self.digests(target).ok_or_else(|| missing_chunk(index))?;
        if !digests.matches(index, &bytes) {
            let detail = format!("chunk {index} does not match its digest");
            return Err(SwitchError::new(ErrorKind::ChunkCorrupt, detail));
        }
        self.with(target, |version| {
            if let ChunkLocation::Memory(chunks) = &mut version.location
                && let Some(slot) = slot_of(chunks, index)
            {
                *slot = Some(bytes);
                version.held.insert(index);
            }
        });
        Ok(())
    }

    /// Takes over the chunks of `target` that lie staged, each of which was checked.
    pub(super) fn take_staged(&self, target: &ModelVersion, found: Vec<(u32, Bytes)>) {
        self.with(target, |version| {
            version.is_staging_checked = true;
            let ChunkLocation::Memory(chunks) = &mut version.location else {
                return;
            };
            for (index, bytes) in found {
                if let Some(slot) = slot_of(chunks, index) {
                    *slot = Some(bytes);
                    version.held.insert(index);
                    version.staged.insert(index);
                }
            }
        });
    }

    /// Where chunk `index` of `target` is; none if it is not held.
    pub(super) fn find(&self, target: &ModelVersion, index: u32) -> Option<ChunkSource> {
        let found = self.with(target, |version| match &mut version.location {
            ChunkLocation::Memory(chunks) => {
                let bytes = slot_of(chunks, index).and_then(|slot| slot.clone());
                bytes.map(ChunkSource::Memory)
            }
            ChunkLocation::Engine => {
                let digests = version.digests.clone();
                let is_held = version.held.contains(index);
                is_held.then_some(ChunkSource::Engine(digests))
            }
        });
        found.flatten()
    }

    /// A staged chunk has gone bad.
    pub(super) fn drop_chunk(&self, target: &ModelVersion, index: u32) {
        self.with(target, |version| version.held.remove(index));
    }

    /// The chunks of `target` that were found staged.
    pub(super) fn staged(&self, target: &ModelVersion) -> Option<ChunkMap> {
        self.with(target, |version| version.staged.clone())
    }

    /// The engine serves `target`, of which `staged` lie staged there.
    pub(super) fn note_staged(&self, target: &ModelVersion, staged: ChunkMap) {
        self.with(target, |version| version.held = staged);
        self.note_served(target);
    }

    /// Whether `target` lies at the engine, and is no longer held here.
    pub(super) fn is_at_engine(&self, target: &ModelVersion) -> bool {
        let is_there =
            |version: &mut HeldVersion| matches!(version.location, ChunkLocation::Engine);
        self.with(target, is_there).unwrap_or(false)
    }

    /// Whether it was looked what lies staged of `target`.
    pub(super) fn is_staging_checked(&self, target: &ModelVersion) -> bool {
        let looked_at = self.with(target, |version| version.is_staging_checked);
        looked_at.unwrap_or(false)
    }

    /// The engine does not serve `target`, or no longer: what lies staged is only known again once it
    /// was looked at.
    ///
    /// An engine that started again serves nothing. As long as the version counted as served there, it
    /// was neither fetched nor loaded again; one would notice `[1302]` with empty holdings and no
    /// `[1308]` behind it.
    pub(super) fn note_unserved(&self, target: &ModelVersion) {
        self.with(target, |version| {
            if matches!(version.location, ChunkLocation::Engine) {
                version.forget_staged();
            }
        });
    }

    /// Another incarnation of the engine: what was known of the former one is looked at again. What
    /// this host itself holds stays.
    pub(super) fn forget_engine(&self) {
        for version in self.lock().iter_mut() {
            version.forget_staged();
        }
    }

    /// The engine serves `target`: its chunks lie staged, and memory is given back.
    pub(super) fn note_served(&self, target: &ModelVersion) {
        self.with(target, |version| version.location = ChunkLocation::Engine);
        // What was staged before has been written over.
        let mut versions = self.lock();
        versions.retain(|version| {
            version.target >= *target || matches!(version.location, ChunkLocation::Memory(_))
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

fn slot_of(chunks: &mut [Option<Bytes>], index: u32) -> Option<&mut Option<Bytes>> {
    chunks.get_mut(usize::try_from(index).ok()?)
}

/// Says that a chunk is not held.
pub(super) fn missing_chunk(index: u32) -> SwitchError {
    let detail = format!("chunk {index} is not here");
    SwitchError::new(ErrorKind::ChunkMissing, detail)
}
