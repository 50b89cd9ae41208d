//! Client of the origin of weights, from which hosts fetch the chunks of a version and the digests
//! by which they verify them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use macro_rules_attribute::apply;
use serde::Deserialize;
use sha2::{Digest, Sha256};

use super::engine_calls::exchange;
use super::json_object::read_object;
use crate::derives::message;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::ModelVersion;
use crate::transport::PeerClient;

const DIGEST_BYTES: usize = 32;

/// The SHA-256 digests of a version's chunks, by which each chunk is verified before it is stored
/// or forwarded.
///
/// The list is never empty. With an empty one, a host would consider all chunks of the version
/// present as soon as it received the list, and order the engine to load whatever is staged.
#[apply(message!)]
#[serde(try_from = "DigestsMessage")]
pub(crate) struct ChunkDigests {
    #[serde(with = "serde_bytes")]
    digests: Vec<u8>,
}

/// The digests as received from another process, not validated yet.
#[derive(Deserialize)]
struct DigestsMessage {
    #[serde(with = "serde_bytes")]
    digests: Vec<u8>,
}

impl TryFrom<DigestsMessage> for ChunkDigests {
    type Error = &'static str;

    fn try_from(message: DigestsMessage) -> Result<Self, Self::Error> {
        Self::new(message.digests)
    }
}

impl ChunkDigests {
    fn new(digests: Vec<u8>) -> Result<Self, &'static str> {
        if digests.is_empty() {
            return Err("the list of digests is empty");
        }
        if !digests.len().is_multiple_of(DIGEST_BYTES) {
            return Err("the last digest is truncated");
        }
        Ok(Self { digests })
    }

    /// The number of chunks.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.digests.len() / DIGEST_BYTES).unwrap_or(u32::MAX)
    }

    /// Whether `bytes` have the digest of chunk `index`; false if there is no such chunk.
    pub(crate) fn matches(&self, index: u32, bytes: &[u8]) -> bool {
        let start = usize::try_from(index)
            .unwrap_or(usize::MAX)
            .saturating_mul(DIGEST_BYTES);
        let expected = self.digests.get(start..start.saturating_add(DIGEST_BYTES));
        expected.is_some_and(|expected| expected == Sha256::digest(bytes).as_slice())
    }
}

#[derive(Deserialize)]
struct DigestsText {
    model: String,
    version: u64,
    digests: Vec<String>,
}

/// A client of the origin; clones share its connections.
#[derive(Clone)]
pub(crate) struct OriginClient {
    address: SocketAddr,
    client: Arc<PeerClient>,
}

impl OriginClient {
    /// Creates a client of the origin at `address`.
    pub(crate) const fn new(address: SocketAddr, client: Arc<PeerClient>) -> Self {
        Self { address, client }
    }

    /// Reads the digests of a version's chunks.
    ///
    /// # Errors
    ///
    /// `OriginUnavailable` if the origin does not respond or fails, `ObjectMissing` if it no longer
    /// has the version, `OriginLimited` if it limits the rate of requests, and `ManifestInvalid` if
    /// the response is no list of digests of this version.
    pub(crate) async fn read_digests(
        &self,
        target: &ModelVersion,
        timeout: Duration,
    ) -> SwitchResult<ChunkDigests> {
        let path = format!("/v1/manifest/{}?version={}", target.model, target.version.0);
        let body = self.get(&path, timeout).await?;
        read_digests(target, &body)
    }

    /// Reads a chunk. The caller verifies it with [`ChunkDigests::matches`].
    ///
    /// # Errors
    ///
    /// `OriginUnavailable`, `ObjectMissing` or `OriginLimited`, as [`OriginClient::read_digests`].
    pub(crate) async fn read_chunk(
        &self,
        target: &ModelVersion,
        index: u32,
        timeout: Duration,
    ) -> SwitchResult<Bytes> {
        let (model, version) = (&target.model, target.version.0);
        let path = format!("/v1/piece/{model}?item_count={index}&version={version}");
        self.get(&path, timeout).await
    }

    async fn get(&self, path: &str, timeout: Duration) -> SwitchResult<Bytes> {
        let call = (Method::GET, path, Bytes::new());
        match exchange(&self.client, self.address, call, timeout).await {
            Ok((StatusCode::OK, body)) => Ok(body),
            Ok((StatusCode::GONE, _)) => Err(SwitchError::new(
                ErrorKind::ObjectMissing,
                "the origin no longer has this version",
            )),
            Ok((StatusCode::TOO_MANY_REQUESTS, _)) => Err(SwitchError::new(
                ErrorKind::OriginLimited,
                "responded with 429",
            )),
            Ok((status, _)) => Err(unavailable(&format!("responded with {status}"))),
            Err(error) => Err(unavailable(&error.to_string())),
        }
    }
}

/// Decodes the origin's list of the digests of `target`.
pub(super) fn read_digests(target: &ModelVersion, body: &[u8]) -> SwitchResult<ChunkDigests> {
    let text: DigestsText = read_object(body).map_err(|fault| invalid(&fault.to_string()))?;
    if *text.model != *target.model || text.version != target.version.0 {
        return Err(invalid("the list belongs to another model or version"));
    }
    let mut digests = Vec::with_capacity(text.digests.len() * DIGEST_BYTES);
    for digest in &text.digests {
        push_digest(&mut digests, digest)?;
    }
    ChunkDigests::new(digests).map_err(invalid)
}

fn push_digest(digests: &mut Vec<u8>, text: &str) -> SwitchResult<()> {
    // `from_str_radix` would also accept a sign.
    let is_hex = text.bytes().all(|digit| digit.is_ascii_hexdigit());
    if text.len() != DIGEST_BYTES * 2 || !is_hex {
        return Err(invalid("a digest does not have 64 hexadecimal digits"));
    }
    for start in (0..text.len()).step_by(2) {
        let byte = u8::from_str_radix(&text[start..start + 2], 16);
        digests.push(byte.map_err(|fault| invalid(&fault.to_string()))?);
    }
    Ok(())
}

fn invalid(reason: &str) -> SwitchError {
    let detail = format!("invalid digests from the origin: {reason}");
    SwitchError::new(ErrorKind::ManifestInvalid, detail)
}

fn unavailable(reason: &str) -> SwitchError {
    SwitchError::new(
        ErrorKind::OriginUnavailable,
        format!("the origin: {reason}"),
    )
}
