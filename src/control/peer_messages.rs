//! What control threads say to each other. `POST /peer/control/watch` takes a [`WatchRequest`] and
//! answers with [`PeerFrame`]s for as long as both ends live; `POST /peer/control/pull` takes a
//! [`PullRequest`] and answers with a [`PullResponse`].

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::documents::DocumentVersion;
use crate::membership::{HostStatus, MemberFacts};

/// Where streams are opened.
pub(crate) const WATCH_PATH: &str = "/peer/control/watch";
/// Where documents are pulled.
pub(crate) const PULL_PATH: &str = "/peer/control/pull";
/// The largest order that is read, in bytes.
pub(crate) const ORDER_BYTES_MAX: usize = 1024 * 1024;

/// Asks for a process's word about itself and for news, from now on.
#[apply(message!)]
pub(crate) struct WatchRequest {
    /// Who asks; news to the one that is asked, too. None for one that is no host of the system.
    pub(crate) watcher: Option<MemberFacts>,
    /// Frames that are not urgent come at most this often, and some frame at least this often, in
    /// milliseconds.
    pub(crate) pace_ms: u64,
}

/// The load as it changed since the last frame: the status's new sequence, and what runs, waits,
/// fits and may queue. Without field names, since it is most of what control sends.
pub(crate) type LoadChange = (u64, [u32; 4]);

/// One frame of a watched stream. `Paced` also says how old, in milliseconds, what is in force there
/// may be: every change that the table held before then is in force there.
#[apply(message!)]
pub(crate) enum PeerFrame {
    /// The process's whole word about itself: at first, and at once when more than load changed.
    Status(Box<HostStatus>),
    /// Sent at the watcher's pace, whether anything changed or not.
    Paced(Option<LoadChange>, Option<u64>),
    /// The versions in force there at first, and at once those that changed.
    Documents(Vec<DocumentVersion>),
    /// Facts about hosts that are news there.
    Members(Vec<MemberFacts>),
}

/// Asks for the documents that are newer than these.
#[apply(message!)]
pub(crate) struct PullRequest {
    /// What the asker has in force, sorted by service.
    pub(crate) have: Vec<DocumentVersion>,
}

/// The rows of documents that the asker lacks.
#[apply(message!)]
pub(crate) struct PullResponse {
    /// Each as it stands in the table.
    pub(crate) rows: Vec<bytes::Bytes>,
}
