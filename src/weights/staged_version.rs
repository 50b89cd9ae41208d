//! A version on a host: chunks that were checked, and the word that the whole is right.

use std::sync::{Arc, OnceLock, PoisonError, RwLock};

use bytes::Bytes;

use super::chunk_map::ChunkMap;
use super::digest::WeightsDigest;
use super::manifest::VersionManifest;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// A version on its way to this host, or whole.
///
/// A chunk is kept, and so passed on, only after its bytes matched the manifest; the whole is given
/// to the engine only after all chunks together matched the digest that the document pins. Without
/// the first check one host's bad memory or a lying peer would spread to all; one would notice the
/// same wrong digest on many hosts at the end. Without the second, a manifest that lies about its
/// chunks would bring in weights that nobody published.
#[derive(Debug)]
pub(crate) struct StagedVersion {
    manifest: VersionManifest,
    chunks: Vec<OnceLock<Bytes>>,
    verified: OnceLock<()>,
}

impl StagedVersion {
    /// A version of which nothing is there yet. `manifest` was checked.
    pub(crate) fn new(manifest: VersionManifest) -> Self {
        let chunks = manifest.chunks.iter().map(|_| OnceLock::new()).collect();
        Self {
            manifest,
            chunks,
            verified: OnceLock::new(),
        }
    }

    /// Its manifest.
    pub(crate) const fn manifest(&self) -> &VersionManifest {
        &self.manifest
    }

    /// Its digest.
    pub(crate) const fn digest(&self) -> WeightsDigest {
        self.manifest.digest
    }

    /// Keeps chunk `index` if `bytes` are what the manifest says. A chunk that is there already
    /// stays.
    ///
    /// # Errors
    ///
    /// `ChunkCorrupt` when length or digest differ.
    pub(crate) fn store_chunk(&self, index: u32, bytes: Bytes) -> SwitchResult<()> {
        let Some((slot, digest)) = self.slot(index) else {
            return Err(corrupt(index, "the version has no such chunk"));
        };
        let (_, length) = self.manifest.chunk_range(index);
        if u64::try_from(bytes.len()) != Ok(length) {
            let detail = format!("{} bytes in place of {length}", bytes.len());
            return Err(corrupt(index, &detail));
        }
        if WeightsDigest::of(&bytes) != digest {
            return Err(corrupt(index, "the digest differs"));
        }
        // A chunk that came twice at the same time is the same chunk: both matched.
        let _ = slot.set(bytes);
        Ok(())
    }

    /// The bytes of chunk `index`, when they are there.
    pub(crate) fn chunk(&self, index: u32) -> Option<Bytes> {
        self.slot(index)?.0.get().cloned()
    }

    /// Which chunks are there.
    pub(crate) fn held(&self) -> ChunkMap {
        let mut map = ChunkMap::empty(self.manifest.chunk_count());
        for index in 0..self.manifest.chunk_count() {
            if self
                .slot(index)
                .is_some_and(|(slot, _)| slot.get().is_some())
            {
                map.insert(index);
            }
        }
        map
    }

    /// Checks the whole against the digest that the document pins. Takes as long as hashing it.
    ///
    /// # Errors
    ///
    /// `ChunkMissing` while one is missing, `ManifestInvalid` when all chunks match the manifest
    /// but the whole does not match its digest.
    pub(crate) fn verify(&self) -> SwitchResult<()> {
        let mut hasher = blake3::Hasher::new();
        for slot in &self.chunks {
            let Some(bytes) = slot.get() else {
                let detail = "a version with a gap cannot be whole";
                return Err(SwitchError::new(ErrorKind::ChunkMissing, detail));
            };
            hasher.update(bytes);
        }
        let digest = WeightsDigest::from_hasher(&hasher);
        if digest != self.manifest.digest {
            let detail = format!("the chunks make {digest}, not {}", self.manifest.digest);
            return Err(SwitchError::new(ErrorKind::ManifestInvalid, detail));
        }
        let _ = self.verified.set(());
        Ok(())
    }

    /// Whether the whole was checked.
    pub(crate) fn is_complete(&self) -> bool {
        self.verified.get().is_some()
    }

    /// The whole, in order; `None` before it was checked.
    pub(crate) fn all_bytes(&self) -> Option<Vec<Bytes>> {
        self.verified.get()?;
        self.chunks.iter().map(|slot| slot.get().cloned()).collect()
    }

    fn slot(&self, index: u32) -> Option<(&OnceLock<Bytes>, WeightsDigest)> {
        let at = usize::try_from(index).ok()?;
        Some((self.chunks.get(at)?, *self.manifest.chunks.get(at)?))
    }
}

fn corrupt(index: u32, detail: &str) -> SwitchError {
    SwitchError::new(ErrorKind::ChunkCorrupt, format!("chunk {index}: {detail}"))
}

/// The versions that a host holds, whole or in part. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionCache {
    versions: Arc<RwLock<Vec<Arc<StagedVersion>>>>,
}

impl VersionCache {
    /// The version with `digest`.
    pub(crate) fn find(&self, digest: WeightsDigest) -> Option<Arc<StagedVersion>> {
        let versions = self.versions.read().unwrap_or_else(PoisonError::into_inner);
        let found = versions.binary_search_by_key(&digest, |version| version.digest());
        found.ok().map(|at| Arc::clone(&versions[at]))
    }

    /// Puts `version` in, in place of one with the same digest.
    pub(crate) fn insert(&self, version: Arc<StagedVersion>) {
        let digest = version.digest();
        let mut versions = self
            .versions
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        match versions.binary_search_by_key(&digest, |version| version.digest()) {
            Ok(at) => versions[at] = version,
            Err(at) => versions.insert(at, version),
        }
    }

    /// Lets go of every version that `keep` does not name, and returns their digests.
    pub(crate) fn retain(&self, keep: impl Fn(&StagedVersion) -> bool) -> Vec<WeightsDigest> {
        let mut versions = self
            .versions
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let (kept, evicted): (Vec<_>, Vec<_>) =
            versions.drain(..).partition(|version| keep(version));
        *versions = kept;
        evicted.iter().map(|version| version.digest()).collect()
    }
}
