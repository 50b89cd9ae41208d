//! What hosts say to each other about weights. Each message about a version carries what its
//! sender holds, so that while chunks flow no message is needed only for that.
//!
//! `POST /peer/weights/DIGEST/have` takes a [`ChunkAnnouncement`] and answers with one.
//! `POST /peer/weights/DIGEST/chunk/INDEX` takes one and answers with a [`ChunkHead`] as one frame,
//! then the chunk's bytes as they are. `POST /peer/weights/DIGEST/manifest` takes a [`ChunkAnnouncement`]
//! and answers with the manifest.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::chunk_map::ChunkMap;
use super::digest::WeightsDigest;
use crate::derives::message;

/// What a host says of a version.
#[apply(message!)]
pub(crate) struct ChunkAnnouncement {
    /// The host's name.
    pub(crate) host: ByteString,
    /// The chunks that it holds.
    pub(crate) held: ChunkMap,
    /// The chunks that it is about to read from the origin.
    pub(crate) claimed: ChunkMap,
    /// How long its link is busy with uploads, in milliseconds.
    pub(crate) backlog_ms: u64,
}

/// What goes before a chunk's bytes.
#[apply(message!)]
pub(crate) struct ChunkHead {
    /// The version that the chunk belongs to.
    pub(crate) digest: WeightsDigest,
    /// Which chunk it is.
    pub(crate) index: u32,
    /// What its sender holds.
    #[serde(rename = "word")]
    pub(crate) announcement: ChunkAnnouncement,
}
