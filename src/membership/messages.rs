//! The announcements in which processes report their own state to others.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::message;
use crate::stores::HostEntry;
use crate::weights::WeightsDigest;

/// The status that a process announces about itself. An announcement with a greater
/// (`incarnation`, `sequence`) replaces one with a smaller pair.
#[apply(message!)]
pub(crate) struct HostStatus {
    /// The host's name.
    pub(crate) host: ByteString,
    /// Start time of the process by the wall clock, in microseconds. It distinguishes announcements
    /// and promises of this process from those of earlier processes on the same host.
    pub(crate) incarnation: u64,
    /// Increases with each change of the status.
    pub(crate) sequence: u64,
    /// Whether the process is shutting down and accepts no new requests.
    pub(crate) leaving: bool,
    /// The current load.
    pub(crate) load: LoadReport,
    /// The version that the engine serves; `None` for entry hosts and plain services, and while no
    /// version is loaded.
    pub(crate) serving: Option<ServingVersion>,
    /// The progress of fetching the next version; `None` if none is being fetched.
    pub(crate) staging: Option<StagingProgress>,
}

/// The load of a backend server.
#[apply(message!)]
#[derive(Copy, Eq, Default)]
pub(crate) struct LoadReport {
    /// Number of requests that the engine is running.
    pub(crate) running: u32,
    /// Number of requests waiting for the engine, in the host process and in the engine itself.
    pub(crate) waiting: u32,
    /// Maximum number of requests that the engine runs at a time.
    pub(crate) capacity: u32,
    /// Maximum number of requests that are queued in addition to those running.
    pub(crate) queue_room: u32,
}

/// A version that the engine reported as completely loaded.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct ServingVersion {
    /// The version's name in the service document.
    pub(crate) version: ByteString,
    /// The digest of the version's weights.
    pub(crate) digest: WeightsDigest,
}

/// The progress of fetching a version to a host.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct StagingProgress {
    /// The version's name in the service document.
    pub(crate) version: ByteString,
    /// Number of chunks that have been received and verified.
    pub(crate) chunks_done: u32,
    /// Total number of chunks of the version.
    pub(crate) chunks_all: u32,
}

/// The identity of a host and whether it is leaving. Facts are forwarded from neighbour to
/// neighbour until every process has them; a greater (`incarnation`, `sequence`) replaces a smaller
/// pair.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct MemberFacts {
    /// The host in the format of the platform's host list. Its state says whether the process is
    /// leaving.
    pub(crate) entry: HostEntry,
    /// The incarnation of the process that announced the facts; 0 if they come from the platform's
    /// host list.
    pub(crate) incarnation: u64,
    /// Increases with each change of the facts within an incarnation.
    pub(crate) sequence: u64,
}

impl MemberFacts {
    /// The key by which announcements about a host are ordered; the greatest is the newest.
    pub(crate) const fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}
