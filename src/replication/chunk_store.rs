//! The chunks that this host holds, shared by all tasks of the process. Fetched chunks stay in
//! memory until the engine has loaded their version. While the engine serves a version, its chunks
//! are read back from the engine's staging area.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use bytestring::ByteString;

use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::{ChunkDigests, EngineClient};
use crate::weights::{ChunkAnnouncement, ChunkMap};

/// Versions held at a time: the one in service, one that is ready to be loaded, and one that is
/// being fetched.
const VERSIONS_MAX: usize = 3;

/// Where the chunks of a version are.
#[derive(Clone, Debug)]
enum ChunkLocation {
    /// In memory, one entry per chunk; none until it has been fetched.
    Memory(Vec<Option<Bytes>>),
    /// In the staging area of the engine, which serves the version.
    Engine,
}

impl ChunkLocation {
    fn empty(count: u32) -> Self {
        Self::Memory(vec![None; usize::try_from(count).unwrap_or(0)])
    }
}

/// A held chunk, by where its content is.
pub(super) enum HeldChunk {
    /// Its content, from memory.
    Memory(Bytes),
    /// It is staged at the engine, and has to be checked against these digests.
    Engine(Arc<ChunkDigests>),
}

/// State of one version.
#[derive(Clone, Debug)]
struct HeldVersion {
    target: ModelVersion,
    digests: Arc<ChunkDigests>,
    held: ChunkMap,
    claimed: ChunkMap,
    /// Chunks that were found staged or were staged, and have not been replaced by those of another
    /// version since.
    staged: ChunkMap,
    /// Whether the staging area of this incarnation of the engine was checked for the version.
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

/// The chunks held by this host. Clones share them.
#[derive(Clone)]
pub(super) struct ChunkStore {
    host: ByteString,
    pub(super) engine: EngineClient,
    /// Sorted by model and version.
    versions: Arc<Mutex<Vec<HeldVersion>>>,
}

impl ChunkStore {
    /// Creates an empty store for the host named `host`, whose engine is `engine`.
    pub(super) fn new(host: ByteString, engine: EngineClient) -> Self {
        Self {
            host,
            engine,
            versions: Arc::default(),
        }
    }

    /// Starts to hold `target`, of which no chunk is present yet.
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

    /// Whether `target` is held or being fetched.
    pub(super) fn knows(&self, target: &ModelVersion) -> bool {
        self.with(target, |_| ()).is_some()
    }

    /// The newest version of `model` that is complete in memory and newer than `than`.
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

    /// The digests of `target`, if known.
    pub(super) fn digests(&self, target: &ModelVersion) -> Option<Arc<ChunkDigests>> {
        self.with(target, |version| version.digests.clone())
    }

    /// The chunks of `target` that are held.
    pub(super) fn held(&self, target: &ModelVersion) -> Option<ChunkMap> {
        self.with(target, |version| version.held.clone())
    }

    /// What this host announces about `target`; none if it does not hold the version.
    pub(super) fn announcement(&self, target: &ModelVersion) -> Option<ChunkAnnouncement> {
        self.with(target, |version| ChunkAnnouncement {
            host: self.host.clone(),
            held: version.held.clone(),
            claimed: version.claimed.clone(),
            backlog_ms: 0,
        })
    }

    /// Sets the chunks that this host is about to read from the origin.
    pub(super) fn claim(&self, target: &ModelVersion, claimed: ChunkMap) {
        self.with(target, |version| version.claimed = claimed);
    }

    /// Checks a chunk and stores it. A chunk that does not match its digest is never stored or
    /// passed on.
    ///
    /// # Errors
    ///
    /// `ChunkCorrupt` if it does not match, `ChunkMissing` if the version is not being fetched.
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

    /// Takes over staged chunks of `target` that have been checked.
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

    /// Finds chunk `index` of `target`; none if it is not held.
    pub(super) fn find(&self, target: &ModelVersion, index: u32) -> Option<HeldChunk> {
        let found = self.with(target, |version| match &mut version.location {
            ChunkLocation::Memory(chunks) => {
                let bytes = slot_of(chunks, index).and_then(|slot| slot.clone());
                bytes.map(HeldChunk::Memory)
            }
            ChunkLocation::Engine => {
                let digests = version.digests.clone();
                let is_held = version.held.contains(index);
                is_held.then_some(HeldChunk::Engine(digests))
            }
        });
        found.flatten()
    }

    /// Drops a staged chunk that is corrupt.
    pub(super) fn drop_chunk(&self, target: &ModelVersion, index: u32) {
        self.with(target, |version| version.held.remove(index));
    }

    /// Records that chunk `index` of `target` was staged. It replaces that of any other version.
    pub(super) fn note_chunk_staged(&self, target: &ModelVersion, index: u32) {
        for version in self.lock().iter_mut() {
            if version.target == *target {
                version.staged.insert(index);
            } else if version.target.model == target.model {
                version.staged.remove(index);
            }
        }
    }

    /// The chunks of `target` that need not be staged again.
    pub(super) fn staged(&self, target: &ModelVersion) -> Option<ChunkMap> {
        self.with(target, |version| version.staged.clone())
    }

    /// Records that the engine serves `target` and has `staged` chunks of it in staging.
    pub(super) fn note_staged(&self, target: &ModelVersion, staged: ChunkMap) {
        self.with(target, |version| version.held = staged);
        self.note_served(target);
    }

    /// Whether the chunks of `target` are at the engine and no longer in memory.
    pub(super) fn is_at_engine(&self, target: &ModelVersion) -> bool {
        let is_there =
            |version: &mut HeldVersion| matches!(version.location, ChunkLocation::Engine);
        self.with(target, is_there).unwrap_or(false)
    }

    /// Whether the staging area was checked for `target`.
    pub(super) fn is_staging_checked(&self, target: &ModelVersion) -> bool {
        let looked_at = self.with(target, |version| version.is_staging_checked);
        looked_at.unwrap_or(false)
    }

    /// Records that the engine does not serve `target`, or no longer does. Its staged chunks count
    /// only once they have been checked again.
    ///
    /// A restarted engine serves nothing. If the version still counted as served, it would neither
    /// be fetched nor loaded again: the log shows `[1302]` with empty holdings and no `[1308]`
    /// after it.
    pub(super) fn note_unserved(&self, target: &ModelVersion) {
        self.with(target, |version| {
            if matches!(version.location, ChunkLocation::Engine) {
                version.forget_staged();
            }
        });
    }

    /// Discards what is known of a former incarnation of the engine. Chunks in memory stay.
    pub(super) fn forget_engine(&self) {
        for version in self.lock().iter_mut() {
            version.forget_staged();
        }
    }

    /// Records that the engine serves `target`, which frees the memory of its chunks.
    pub(super) fn note_served(&self, target: &ModelVersion) {
        self.with(target, |version| version.location = ChunkLocation::Engine);
        // The staging area no longer contains the previous versions.
        let mut versions = self.lock();
        versions.retain(|version| {
            version.target >= *target || matches!(version.location, ChunkLocation::Memory(_))
        });
    }

    /// Drops a version and its chunks.
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

/// The error for a chunk that is not held.
pub(super) fn missing_chunk(index: u32) -> SwitchError {
    let detail = format!("chunk {index} is not held by this host");
    SwitchError::new(ErrorKind::ChunkMissing, detail)
}
