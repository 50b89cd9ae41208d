//! What entry hosts tell their neighbours and the hosts of backend servers.
//!
//! `POST /peer/view` takes a [`PeerQuery`] and answers with what is newer than it in a [`PeerView`]. The
//! answer may wait until there is a newer document or a newer version of weights.

use std::net::SocketAddr;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::store_clock::ClockBounds;
use super::target_update_time::TargetUpdateTime;
use crate::catalog::CatalogVersion;
use crate::derives::message;
use crate::fleet::{BackendFacts, ModelVersion};
use crate::quarantine::CrashWord;
use crate::time::StoreTime;

/// The path of the call.
pub(crate) const VIEW_PATH: &str = "/peer/view";

/// An entry host, as it enters itself in the store.
#[apply(message!)]
#[derive(Eq, PartialOrd, Ord)]
pub(crate) struct EntryRecord {
    /// Its name.
    pub(crate) host: ByteString,
    /// Its data centre.
    pub(crate) data_centre: ByteString,
    /// Where it answers other processes over HTTP.
    pub(crate) control: SocketAddr,
    /// Where it takes load reports as datagrams.
    pub(crate) reports: SocketAddr,
}

/// What the asking process knows already.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct PeerQuery {
    /// The version of its document.
    pub(crate) document: Option<CatalogVersion>,
    /// Whether a newer one can wait for a later question. A host of a backend server needs little of it,
    /// and a large document takes as long on its narrow link as a chunk of weights: in a storm of
    /// documents they left half of the link to the weights, which came 1.5 s later.
    #[serde(default)]
    pub(crate) can_wait_for_document: bool,
    /// The versions of weights that it knows to be wanted.
    #[serde(rename = "wanted")]
    pub(crate) targets: Vec<TargetAnnouncement>,
    /// The store's revision of its list of backend servers.
    pub(crate) backends_revision: u64,
    /// How many entry hosts it knows.
    pub(crate) entries: usize,
    /// For how many milliseconds the answer may wait for something urgent.
    pub(crate) wait_ms: u64,
    /// Whether it follows the operator's table by the answers.
    #[serde(default)]
    pub(crate) follows: bool,
    /// The digest of its list of backend servers, where another one is to be told at once.
    #[serde(default)]
    pub(crate) backends_digest: Option<u64>,
    /// The store's revision up to which it knows which requests crash backend servers; none where it need
    /// not know.
    #[serde(default)]
    pub(crate) crashes_revision: Option<u64>,
}

/// What changed in the list of backend servers.
#[apply(message!)]
pub(crate) struct BackendChanges {
    /// The store's revision as of which the list is known.
    pub(crate) revision: u64,
    /// Whether `entries` are all of them.
    #[serde(rename = "is_whole")]
    pub(crate) is_complete: bool,
    /// Those that changed behind the revision that whoever asks knows.
    pub(crate) entries: Vec<BackendFacts>,
    /// Those that went a short while ago.
    #[serde(rename = "gone")]
    pub(crate) removed: Vec<ByteString>,
    /// The digest of the whole list.
    pub(crate) digest: u64,
    /// When the store last told of the list.
    #[serde(rename = "told_at")]
    pub(crate) answered_at: StoreTime,
}

/// How well the answering process knows the operator's table.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct OperatorAnnouncement {
    /// When the store last told of it.
    #[serde(rename = "told_at")]
    pub(crate) answered_at: StoreTime,
    /// The store's revision as of which it is known.
    pub(crate) revision: u64,
    /// Whether the store does not answer that process.
    pub(crate) is_cut_off: bool,
}

/// A version of weights with when it was named.
#[apply(message!)]
pub(crate) struct TargetAnnouncement {
    /// What is wanted.
    pub(crate) target: ModelVersion,
    /// When it was named, on the store's clock: told from process to process, it stays the same however long
    /// a word is on its way.
    #[serde(rename = "named")]
    pub(crate) set_at: TargetUpdateTime,
}

/// What the answering process knows beyond that.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct PeerView {
    /// The document, if it is newer.
    #[serde(with = "serde_bytes")]
    pub(crate) document: Option<Vec<u8>>,
    /// What the store's clock shows as this is said, if that is known.
    #[serde(default)]
    pub(crate) clock: Option<ClockBounds>,
    /// For how many milliseconds the question was held open before.
    #[serde(default)]
    pub(crate) held_ms: u64,
    /// The versions of weights; also those that are known, since when they were named may not be.
    #[serde(rename = "wanted")]
    pub(crate) targets: Vec<TargetAnnouncement>,
    /// The list of backend servers with its revision, if that is newer.
    pub(crate) backends: Option<(u64, Vec<BackendFacts>)>,
    /// All entry hosts, if there are more.
    pub(crate) entries: Vec<EntryRecord>,
    /// How well the operator's table is known; the rest of the answer is as of that revision.
    #[serde(default)]
    pub(crate) operator: Option<OperatorAnnouncement>,
    /// What changed in the list of backend servers, for who follows it by the answers.
    #[serde(default)]
    pub(crate) backend_changes: Option<BackendChanges>,
    /// Which requests were under way at backend servers that crashed, behind what is known.
    #[serde(default)]
    pub(crate) crashes: Vec<CrashWord>,
    /// The store's revision up to which, with these, all are known; 0 for who need not know.
    #[serde(default)]
    pub(crate) crashes_revision: u64,
}
