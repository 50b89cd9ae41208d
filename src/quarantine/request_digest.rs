//! The digest under which a request is known again, whichever attempt and entry host it comes by.

use std::fmt;
use std::str::FromStr;

use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::derives::key;

/// The digest's length in bytes.
const DIGEST_BYTES: usize = 16;

/// Names all requests with the same host, path, client account and body.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
pub(crate) struct RequestDigest([u8; DIGEST_BYTES]);

/// What a request is known by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestParts<'a> {
    /// The host that it names.
    pub(crate) host: &'a str,
    /// Its path, without the query.
    pub(crate) path: &'a str,
    /// The client account, where requests need one.
    pub(crate) account: Option<&'a str>,
    /// Its whole body.
    pub(crate) body: &'a [u8],
}

impl RequestDigest {
    /// The digest of a request.
    pub(crate) fn of(parts: RequestParts<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let account = parts.account.unwrap_or_default();
        for text in [parts.host, parts.path, account] {
            // With its length, no two different rows of texts are the same bytes.
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
        // The library reads digests of twice the length.
        let whole = blake3::Hash::from_hex(format!("{text:0<64}"))?;
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&whole.as_bytes()[..DIGEST_BYTES]);
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
