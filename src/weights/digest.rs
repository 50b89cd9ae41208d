//! The digest that identifies the bytes of a version or chunk.

use std::fmt;
use std::str::FromStr;

use macro_rules_attribute::apply;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::derives::key;

/// The BLAKE3 digest of a complete version, or of one chunk.
#[apply(key!)]
pub struct WeightsDigest([u8; 32]);

impl WeightsDigest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The digest of the bytes that `hasher` has read.
    #[must_use]
    pub fn from_hasher(hasher: &blake3::Hasher) -> Self {
        Self(*hasher.finalize().as_bytes())
    }

    /// The 32 bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for WeightsDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl FromStr for WeightsDigest {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(*blake3::Hash::from_hex(text)?.as_bytes()))
    }
}

impl Serialize for WeightsDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_bytes(&self.0)
        }
    }
}

impl<'de> Deserialize<'de> for WeightsDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            let bytes = serde_bytes::ByteBuf::deserialize(deserializer)?;
            let bytes = bytes
                .as_slice()
                .try_into()
                .map_err(serde::de::Error::custom)?;
            Ok(Self(bytes))
        }
    }
}
