//! The messages between control threads.
//!
//! `POST /peer/control/watch` takes a [`WatchRequest`] and responds with a stream of [`PeerFrame`]s
//! that lasts until either process ends. `POST /peer/control/pull` takes a [`PullRequest`] and
//! responds with a [`PullResponse`].

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::documents::DocumentVersion;
use crate::membership::{HostStatus, MemberFacts};

/// The path at which streams are opened.
pub(crate) const WATCH_PATH: &str = "/peer/control/watch";
/// The path at which documents are pulled.
pub(crate) const PULL_PATH: &str = "/peer/control/pull";
/// Maximum size of a request in bytes.
pub(crate) const REQUEST_BYTES_MAX: usize = 1024 * 1024;

/// Subscribes to the status of a process and to changes of documents and host facts that it knows.
#[apply(message!)]
pub(crate) struct WatchRequest {
    /// The facts of the requesting process, which may be new to the receiver; `None` if the sender
    /// is not a host of the system.
    pub(crate) watcher: Option<MemberFacts>,
    /// The frame interval in milliseconds. Frames that are not urgent are sent at most once per
    /// interval, and at least one frame is sent per interval.
    pub(crate) pace_ms: u64,
}

/// A change of the load since the last frame: the new sequence number of the status, and the
/// running requests, waiting requests, capacity and queue room of
/// [`crate::membership::LoadReport`]. It has no field names because it makes up most of the control
/// traffic.
pub(crate) type LoadChange = (u64, [u32; 4]);

/// One frame of a watched stream.
#[apply(message!)]
pub(crate) enum PeerFrame {
    /// The complete status of the process. Sent first, and immediately when the process starts to
    /// leave or serves another version; other changes except load wait for the frame interval.
    Status(Box<HostStatus>),
    /// The change of the load, if any, and the maximum age of the sender's documents in
    /// milliseconds: every change that the table contained before then is in force at the sender.
    /// Sent at the frame interval, whether or not anything changed.
    Paced(Option<LoadChange>, Option<u64>),
    /// The versions in force at the sender: all of them at first, afterwards the changed ones
    /// immediately.
    Documents(Vec<DocumentVersion>),
    /// Facts about hosts that are new at the sender.
    Members(Vec<MemberFacts>),
}

/// Requests the documents that are newer than the given versions.
#[apply(message!)]
pub(crate) struct PullRequest {
    /// The versions in force at the requesting process, sorted by service.
    pub(crate) have: Vec<DocumentVersion>,
}

/// The rows of documents that the requesting process lacks.
#[apply(message!)]
pub(crate) struct PullResponse {
    /// The rows, exactly as stored in the table.
    pub(crate) rows: Vec<bytes::Bytes>,
}
