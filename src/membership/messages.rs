//! What a process says of itself to others.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use crate::derives::message;
use crate::stores::HostEntry;
use crate::weights::WeightsDigest;

/// A process's word about itself. A greater (`incarnation`, `sequence`) replaces a smaller one.
#[apply(message!)]
pub(crate) struct HostStatus {
    /// The host's name.
    pub(crate) host: ByteString,
    /// Set once at the start of the process from the wall clock in microseconds, so that what an
    /// earlier process on the host said or promised is told apart.
    pub(crate) incarnation: u64,
    /// Grows with each change.
    pub(crate) sequence: u64,
    /// Whether it takes no new work.
    pub(crate) leaving: bool,
    /// How busy it is.
    pub(crate) load: LoadReport,
    /// What its engine serves; none for entry hosts and plain services, or when nothing is loaded.
    pub(crate) serving: Option<ServingVersion>,
    /// How far the next version is.
    pub(crate) staging: Option<StagingProgress>,
}

/// How busy a backend server is.
#[apply(message!)]
#[derive(Copy, Eq, Default)]
pub(crate) struct LoadReport {
    /// Requests that its engine runs.
    pub(crate) running: u32,
    /// Requests that wait before its engine, at the host process and inside the engine.
    pub(crate) waiting: u32,
    /// Requests that it can run at a time.
    pub(crate) capacity: u32,
    /// Requests that it takes beyond those running.
    pub(crate) queue_room: u32,
}

/// A version that an engine reported to have loaded whole.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct ServingVersion {
    /// Its name in the document.
    pub(crate) version: ByteString,
    /// The digest of its weights.
    pub(crate) digest: WeightsDigest,
}

/// A version on its way to a host.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct StagingProgress {
    /// Its name in the document.
    pub(crate) version: ByteString,
    /// Chunks that are there and checked.
    pub(crate) chunks_done: u32,
    /// Chunks of the version.
    pub(crate) chunks_all: u32,
}

/// What every process knows of a host: who it is and whether it goes. Told on from neighbour to
/// neighbour; a greater (`incarnation`, `sequence`) replaces a smaller one.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct MemberFacts {
    /// The host, as the platform's list would give it. Its state says whether the process goes.
    pub(crate) entry: HostEntry,
    /// The incarnation of the process that said so; 0 for what the platform's list says.
    pub(crate) incarnation: u64,
    /// Grows with each change of the facts within the incarnation.
    pub(crate) sequence: u64,
}

impl MemberFacts {
    /// What decides which of two words about a host is newer.
    pub(crate) const fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}
