//! The manifest of a version: its size, the digests of its chunks and the digest of all bytes. It
//! is checked for consistency, against the service document and against the host's memory before
//! the first byte is fetched.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::digest::WeightsDigest;
use crate::derives::message;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// Maximum size of a chunk in bytes. A chunk is held in memory twice while it is verified, and it
/// is sent in one piece, so that a larger one would block the link for live requests.
pub(crate) const CHUNK_BYTES_MAX: u64 = 32 * 1024 * 1024;
/// Maximum number of chunks of a version. Bounds the size of a chunk map in a message.
pub(crate) const CHUNKS_MAX: u64 = 1 << 17;

/// A version's manifest, as the origin publishes it in JSON.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct VersionManifest {
    /// The name under which the origin publishes the weights.
    pub(crate) name: ByteString,
    /// Size of the version in bytes.
    pub(crate) size: u64,
    /// Size in bytes of each chunk except the last, which may be smaller.
    pub(crate) chunk_size: u64,
    /// The digest of each chunk.
    pub(crate) chunks: Vec<WeightsDigest>,
    /// The digest of the complete version.
    pub(crate) digest: WeightsDigest,
}

impl VersionManifest {
    /// Parses the JSON in `text`, which must describe the weights with the digest `expected` and
    /// fit into `memory_bytes`.
    ///
    /// # Errors
    ///
    /// `ManifestInvalid` if it cannot be parsed, is inconsistent or describes other weights,
    /// `MemoryTooSmall` if the host cannot hold the version.
    pub(crate) fn read(
        text: &[u8],
        expected: WeightsDigest,
        memory_bytes: u64,
    ) -> SwitchResult<Self> {
        let manifest: Self =
            serde_json::from_slice(text).map_err(|error| invalid(error.to_string()))?;
        manifest.check(expected, memory_bytes)?;
        Ok(manifest)
    }

    /// Checks the manifest as [`VersionManifest::read`] does.
    pub(crate) fn check(&self, expected: WeightsDigest, memory_bytes: u64) -> SwitchResult<()> {
        if self.digest != expected {
            let detail = format!("manifest describes {}, expected {expected}", self.digest);
            return Err(invalid(detail));
        }
        if self.chunk_size == 0 || self.chunk_size > CHUNK_BYTES_MAX {
            let detail = format!(
                "chunk size of {} bytes is not in 1 to {CHUNK_BYTES_MAX}",
                self.chunk_size
            );
            return Err(invalid(detail));
        }
        let chunk_count = self.size.div_ceil(self.chunk_size);
        if chunk_count == 0 || chunk_count > CHUNKS_MAX {
            return Err(invalid(format!(
                "{chunk_count} chunks is not in 1 to {CHUNKS_MAX}"
            )));
        }
        if usize::try_from(chunk_count) != Ok(self.chunks.len()) {
            let detail = format!(
                "{} chunk digests, but {} bytes make {chunk_count} chunks",
                self.chunks.len(),
                self.size
            );
            return Err(invalid(detail));
        }
        if self.size > memory_bytes {
            let detail = format!(
                "version of {} bytes; the host may hold {memory_bytes}",
                self.size
            );
            return Err(SwitchError::new(ErrorKind::MemoryTooSmall, detail));
        }
        Ok(())
    }

    /// Number of chunks.
    pub(crate) fn chunk_count(&self) -> u32 {
        u32::try_from(self.chunks.len()).unwrap_or(u32::MAX)
    }

    /// Offset and length of chunk `index`, in bytes.
    pub(crate) fn chunk_range(&self, index: u32) -> (u64, u64) {
        let offset = u64::from(index) * self.chunk_size;
        let length = self.chunk_size.min(self.size.saturating_sub(offset));
        (offset, length)
    }
}

fn invalid(detail: String) -> SwitchError {
    SwitchError::new(ErrorKind::ManifestInvalid, detail)
}
