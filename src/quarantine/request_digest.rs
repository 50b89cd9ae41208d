//! Digest that identifies the same request across attempts and entry hosts.

use std::fmt;
use std::str::FromStr;

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::derives::key;

/// Length of the digest.
const DIGEST_BYTES: usize = 16;

/// Identifies all requests with the same host, path, client account and body.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
pub(crate) struct RequestDigest([u8; DIGEST_BYTES]);

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

impl RequestDigest {
    /// Computes the digest of a request.
    pub(crate) fn of(parts: RequestParts<'_>) -> Self {
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
}

impl FromStr for RequestDigest {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The library parses digests of twice the length only.
        let padded = blake3::Hash::from_hex(format!("{text:0<64}"))?;
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&padded.as_bytes()[..DIGEST_BYTES]);
        Ok(Self(bytes))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
