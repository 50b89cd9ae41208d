//! Messages between hosts about weights. Each message about a version carries an announcement of
//! the sender's chunks, so that no separate announcements are needed while chunks are transferred.
//!
//! - `POST /peer/weights/DIGEST/have` takes a [`ChunkAnnouncement`] and responds with one.
//! - `POST /peer/weights/DIGEST/chunk/INDEX` takes a [`ChunkAnnouncement`] and responds with a
//!   [`ChunkHead`] as one frame, followed by the raw bytes of the chunk.
//! - `POST /peer/weights/DIGEST/manifest` responds with the manifest; its body is not read.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::chunk_map::ChunkMap;
use super::digest::WeightsDigest;
use crate::derives::message;

/// Which chunks of a version a host holds.
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

/// Header of a chunk response.
#[apply(message!)]
pub(crate) struct ChunkHead {
    /// The version that the chunk belongs to.
    pub(crate) digest: WeightsDigest,
    /// The chunk's index.
    pub(crate) index: u32,
    /// The sender's announcement.
    #[serde(rename = "word")]
    pub(crate) announcement: ChunkAnnouncement,
}
