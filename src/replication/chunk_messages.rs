//! Messages about chunks between hosts of backend servers.
//!
//! Each of these takes a [`ChunkQuery`]: `POST /peer/chunks/have` returns a [`ChunkAnnouncement`],
//! `POST /peer/chunks/get` a [`ChunkResponse`], and `POST /peer/chunks/digests` the digests of the
//! version.

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::fleet::ModelVersion;
use crate::weights::ChunkAnnouncement;

pub(super) const HAVE_PATH: &str = "/peer/chunks/have";
pub(super) const GET_PATH: &str = "/peer/chunks/get";
pub(super) const DIGESTS_PATH: &str = "/peer/chunks/digests";

/// A query about a version.
#[apply(message!)]
pub(super) struct ChunkQuery {
    /// The version.
    pub(super) target: ModelVersion,
    /// Index of the requested chunk; none for queries about the whole version.
    pub(super) index: Option<u32>,
}

/// A chunk, together with what its sender holds.
#[apply(message!)]
pub(super) struct ChunkResponse {
    /// What the sender holds of the version.
    #[serde(rename = "word")]
    pub(super) announcement: ChunkAnnouncement,
    /// Content of the chunk.
    #[serde(with = "serde_bytes")]
    pub(super) bytes: Vec<u8>,
}
