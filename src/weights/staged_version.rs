//! A version held by a host: verified chunks, and whether the complete version was verified.

use std::sync::{Arc, OnceLock, PoisonError, RwLock};

use bytes::Bytes;

use super::chunk_map::ChunkMap;
use super::digest::WeightsDigest;
use super::manifest::VersionManifest;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// A version that is being fetched, or is complete.
///
/// A chunk is stored, and thereby passed on, only after its bytes matched the manifest. The version
/// is given to the engine only after all chunks together matched the digest in the service
/// document. Without the first check, a memory fault of one host or a malicious peer would spread
/// corrupt chunks to all hosts, and all would fail with the same wrong digest at the end. Without
/// the second, a manifest that lists wrong chunks would bring in weights that were never published.
#[derive(Debug)]
pub(crate) struct StagedVersion {
    manifest: VersionManifest,
    chunks: Vec<OnceLock<Bytes>>,
    verified: OnceLock<()>,
}

impl StagedVersion {
    /// A version without any chunks yet. `manifest` must have been checked.
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

    /// Stores chunk `index` if `bytes` match the manifest. Has no effect if the chunk is already
    /// stored.
    ///
    /// # Errors
    ///
    /// `ChunkCorrupt` if the index, the length or the digest does not match.
    pub(crate) fn store_chunk(&self, index: u32, bytes: Bytes) -> SwitchResult<()> {
        let Some((slot, digest)) = self.slot(index) else {
            return Err(corrupt(index, "no such chunk in the version"));
        };
        let (_, length) = self.manifest.chunk_range(index);
        if u64::try_from(bytes.len()) != Ok(length) {
            let detail = format!("got {} of {length} bytes", bytes.len());
            return Err(corrupt(index, &detail));
        }
        if WeightsDigest::of(&bytes) != digest {
            return Err(corrupt(index, "digest does not match the manifest"));
        }
        // If the chunk was received twice at the same time, both copies matched and are equal.
        let _ = slot.set(bytes);
        Ok(())
    }

    /// The bytes of chunk `index`, if it is stored.
    pub(crate) fn chunk(&self, index: u32) -> Option<Bytes> {
        self.slot(index)?.0.get().cloned()
    }

    /// The chunks that are stored.
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

    /// Verifies all bytes against the digest in the service document. This takes as long as hashing
    /// them.
    ///
    /// # Errors
    ///
    /// `ChunkMissing` while a chunk is missing, `ManifestInvalid` if all chunks match the manifest
    /// but the version does not match its digest.
    pub(crate) fn verify(&self) -> SwitchResult<()> {
        let mut hasher = blake3::Hasher::new();
        for slot in &self.chunks {
            let Some(bytes) = slot.get() else {
                let detail = "cannot verify a version with missing chunks";
                return Err(SwitchError::new(ErrorKind::ChunkMissing, detail));
            };
            hasher.update(bytes);
        }
        let digest = WeightsDigest::from_hasher(&hasher);
        if digest != self.manifest.digest {
            let detail = format!(
                "digest of all chunks is {digest}, expected {}",
                self.manifest.digest
            );
            return Err(SwitchError::new(ErrorKind::ManifestInvalid, detail));
        }
        let _ = self.verified.set(());
        Ok(())
    }

    /// Whether the version is complete and [`StagedVersion::verify`] succeeded.
    pub(crate) fn is_complete(&self) -> bool {
        self.verified.get().is_some()
    }

    /// The bytes of all chunks in order; `None` before the version was verified.
    pub(crate) fn all_bytes(&self) -> Option<Vec<Bytes>> {
        self.verified.get()?;
        self.chunks.iter().map(|slot| slot.get().cloned()).collect()
    }

    fn slot(&self, index: u32) -> Option<(&OnceLock<Bytes>, WeightsDigest)> {
        let position = usize::try_from(index).ok()?;
        Some((
            self.chunks.get(position)?,
            *self.manifest.chunks.get(position)?,
        ))
    }
}

fn corrupt(index: u32, detail: &str) -> SwitchError {
    SwitchError::new(ErrorKind::ChunkCorrupt, format!("chunk {index}: {detail}"))
}

/// The versions that a host holds, completely or in part. Clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionCache {
    versions: Arc<RwLock<Vec<Arc<StagedVersion>>>>,
}

impl VersionCache {
    /// The version with `digest`.
    pub(crate) fn find(&self, digest: WeightsDigest) -> Option<Arc<StagedVersion>> {
        let versions = self.versions.read().unwrap_or_else(PoisonError::into_inner);
        let found = versions.binary_search_by_key(&digest, |version| version.digest());
        found.ok().map(|position| Arc::clone(&versions[position]))
    }

    /// Inserts `version`, replacing one with the same digest.
    pub(crate) fn insert(&self, version: Arc<StagedVersion>) {
        let digest = version.digest();
        let mut versions = self
            .versions
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        match versions.binary_search_by_key(&digest, |version| version.digest()) {
            Ok(position) => versions[position] = version,
            Err(position) => versions.insert(position, version),
        }
    }

    /// Evicts every version for which `keep` is false, and returns their digests.
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
