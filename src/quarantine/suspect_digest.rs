//! Digests that identify what requests have in common across attempts and entry hosts.

use std::fmt;
use std::str::FromStr;

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use super::prompt_part::PromptPart;
use crate::derives::key;
use crate::routing::name_hash;

/// Length of the digest.
const DIGEST_BYTES: usize = 16;

/// Identifies what may crash a backend server: all requests with the same host, path, client account
/// and body, or all with the same part of their prompts.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
pub(crate) struct SuspectDigest([u8; DIGEST_BYTES]);

/// The parts of a request that the digest covers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestParts<'a> {
    /// Host from the request, without the port.
    pub(crate) host: &'a str,
    /// Path without the query.
    pub(crate) path: &'a str,
    /// Client account, if the route requires one.
    pub(crate) account: Option<&'a str>,
    /// Complete body.
    pub(crate) body: &'a [u8],
}

impl SuspectDigest {
    /// Computes the digest of whole requests.
    pub(crate) fn of_request(parts: RequestParts<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let account = parts.account.unwrap_or_default();
        for text in [parts.host, parts.path, account] {
            // The length prefix prevents different texts from hashing the same bytes.
            hasher.update(&text.len().to_be_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(parts.body);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// Returns the digest of `part` in prompts for `model`. It ends with the id of the part, so that
    /// operators find it in logs and rows of the store.
    pub(crate) fn of_part(model: Option<&str>, part: PromptPart) -> Self {
        let scope = name_hash(&format!("part/{}", model.unwrap_or_default()));
        let mut bytes = [0; DIGEST_BYTES];
        bytes[..DIGEST_BYTES / 2].copy_from_slice(&scope.to_be_bytes());
        bytes[DIGEST_BYTES / 2..].copy_from_slice(&part.0.to_be_bytes());
        Self(bytes)
    }
}

impl FromStr for SuspectDigest {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The library parses digests of twice the length only.
        let padded = blake3::Hash::from_hex(format!("{text:0<64}"))?;
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&padded.as_bytes()[..DIGEST_BYTES]);
        Ok(Self(bytes))
    }
}

impl fmt::Display for SuspectDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
