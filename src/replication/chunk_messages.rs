//! What hosts of backend servers say to each other about chunks.
//!
//! `POST /peer/chunks/have` takes a [`ChunkQuery`] and answers with a
//! [`HaveWord`](crate::weights::HaveWord), `POST /peer/chunks/get` takes one and answers with a
//! [`ChunkResponse`], `POST /peer/chunks/digests` takes one and answers with the version's digests.

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::fleet::ModelVersion;
use crate::weights::HaveWord;

pub(super) const HAVE_PATH: &str = "/peer/chunks/have";
pub(super) const GET_PATH: &str = "/peer/chunks/get";
pub(super) const DIGESTS_PATH: &str = "/peer/chunks/digests";

/// A question about a version.
#[apply(message!)]
pub(super) struct ChunkQuery {
    /// The version.
    pub(super) target: ModelVersion,
    /// The chunk that is asked for.
    pub(super) index: Option<u32>,
}

/// A chunk with what its sender holds.
#[apply(message!)]
pub(super) struct ChunkResponse {
    /// What the sender holds.
    #[serde(rename = "word")]
    pub(super) announcement: HaveWord,
    /// The chunk.
    #[serde(with = "serde_bytes")]
    pub(super) bytes: Vec<u8>,
}
