//! The origin of weights: the digests of a version's chunks, and the chunks.

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

/// The digests of a version's chunks, by which each is checked before it is kept or passed on.
///
/// There is at least one: with none, a host holds all chunks of the version as soon as it has heard of
/// it, and orders the engine to load whatever is staged.
#[apply(message!)]
#[serde(try_from = "DigestsMessage")]
pub(crate) struct ChunkDigests {
    #[serde(with = "serde_bytes")]
    digests: Vec<u8>,
}

/// The digests as another process sends them.
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
            return Err("there are no digests");
        }
        if !digests.len().is_multiple_of(DIGEST_BYTES) {
            return Err("the last digest is cut off");
        }
        Ok(Self { digests })
    }

    /// How many chunks there are.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.digests.len() / DIGEST_BYTES).unwrap_or(u32::MAX)
    }

    /// Whether `bytes` are chunk `index`.
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

/// The client of the origin.
#[derive(Clone)]
pub(crate) struct OriginClient {
    address: SocketAddr,
    client: Arc<PeerClient>,
}

impl OriginClient {
    /// A client of the origin at `address`.
    pub(crate) const fn new(address: SocketAddr, client: Arc<PeerClient>) -> Self {
        Self { address, client }
    }

    /// Reads the digests of a version's chunks.
    ///
    /// # Errors
    ///
    /// `OriginUnavailable` when there is no answer, `ManifestInvalid` when it is no list of digests
    /// of this version.
    pub(crate) async fn read_digests(
        &self,
        target: &ModelVersion,
        within: Duration,
    ) -> SwitchResult<ChunkDigests> {
        let path = format!("/v1/manifest/{}?version={}", target.model, target.version.0);
        let body = self.get(&path, within).await?;
        read_digests(target, &body)
    }

    /// Reads a chunk, which is not checked yet.
    ///
    /// # Errors
    ///
    /// `OriginUnavailable` when it does not come.
    pub(crate) async fn read_chunk(
        &self,
        target: &ModelVersion,
        index: u32,
        within: Duration,
    ) -> SwitchResult<Bytes> {
        let (model, version) = (&target.model, target.version.0);
        let path = format!("/v1/piece/{model}?item_count={index}&version={version}");
        self.get(&path, within).await
    }

    async fn get(&self, path: &str, within: Duration) -> SwitchResult<Bytes> {
        let call = (Method::GET, path, Bytes::new());
        match exchange(&self.client, self.address, call, within).await {
            Ok((StatusCode::OK, body)) => Ok(body),
            Ok((StatusCode::GONE, _)) => Err(SwitchError::new(
                ErrorKind::ObjectMissing,
                "the origin no longer has this version",
            )),
            Ok((StatusCode::TOO_MANY_REQUESTS, _)) => {
                Err(SwitchError::new(ErrorKind::OriginLimited, "answered 429"))
            }
            Ok((status, _)) => Err(unavailable(&format!("answered {status}"))),
            Err(error) => Err(unavailable(&error.to_string())),
        }
    }
}

/// Reads the origin's list of the digests of `target`.
pub(super) fn read_digests(target: &ModelVersion, body: &[u8]) -> SwitchResult<ChunkDigests> {
    let text: DigestsText = read_object(body).map_err(|fault| invalid(&fault.to_string()))?;
    if *text.model != *target.model || text.version != target.version.0 {
        return Err(invalid("it is of another version"));
    }
    let mut digests = Vec::with_capacity(text.digests.len() * DIGEST_BYTES);
    for digest in &text.digests {
        push_digest(&mut digests, digest)?;
    }
    ChunkDigests::new(digests).map_err(invalid)
}

fn push_digest(digests: &mut Vec<u8>, text: &str) -> SwitchResult<()> {
    // A number may begin with a sign, a digest's byte may not.
    let is_hex = text.bytes().all(|digit| digit.is_ascii_hexdigit());
    if text.len() != DIGEST_BYTES * 2 || !is_hex {
        return Err(invalid("a digest has the wrong length or is none"));
    }
    for at in (0..text.len()).step_by(2) {
        let byte = u8::from_str_radix(&text[at..at + 2], 16);
        digests.push(byte.map_err(|fault| invalid(&fault.to_string()))?);
    }
    Ok(())
}

fn invalid(what: &str) -> SwitchError {
    let detail = format!("the origin's digests do not read: {what}");
    SwitchError::new(ErrorKind::ManifestInvalid, detail)
}

fn unavailable(what: &str) -> SwitchError {
    SwitchError::new(ErrorKind::OriginUnavailable, format!("the origin: {what}"))
}
