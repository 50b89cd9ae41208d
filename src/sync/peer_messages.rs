//! What entry hosts tell their neighbours and the hosts of backend servers.
//!
//! `POST /peer/view` takes a [`PeerAsk`] and answers with what is newer than it in a [`PeerView`]. The
//! answer may wait until there is a newer document or a newer version of weights.

use std::net::SocketAddr;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::naming_time::NamingTime;
use super::store_clock::ClockWord;
use crate::catalog::CatalogVersion;
use crate::derives::message;
use crate::fleet::{BackendFacts, ModelVersion};

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
pub(crate) struct PeerAsk {
    /// The version of its document.
    pub(crate) document: Option<CatalogVersion>,
    /// Whether a newer one can wait for a later question. A host of a backend server needs little of it,
    /// and a large document takes as long on its narrow link as a chunk of weights: in a storm of
    /// documents they left half of the link to the weights, which came 1.5 s later.
    #[serde(default)]
    pub(crate) can_wait_for_document: bool,
    /// The versions of weights that it knows to be wanted.
    pub(crate) wanted: Vec<WantedWord>,
    /// The store's revision of its list of backend servers.
    pub(crate) backends_revision: u64,
    /// How many entry hosts it knows.
    pub(crate) entries: usize,
    /// For how many milliseconds the answer may wait for something urgent.
    pub(crate) wait_ms: u64,
}

/// A version of weights with when it was named.
#[apply(message!)]
pub(crate) struct WantedWord {
    /// What is wanted.
    pub(crate) target: ModelVersion,
    /// When it was named, on the store's clock: told from process to process, it stays the same however long
    /// a word is on its way.
    pub(crate) named: NamingTime,
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
    pub(crate) clock: Option<ClockWord>,
    /// For how many milliseconds the question was held open before.
    #[serde(default)]
    pub(crate) held_ms: u64,
    /// The versions of weights; also those that are known, since when they were named may not be.
    pub(crate) wanted: Vec<WantedWord>,
    /// The list of backend servers with its revision, if that is newer.
    pub(crate) backends: Option<(u64, Vec<BackendFacts>)>,
    /// All entry hosts, if there are more.
    pub(crate) entries: Vec<EntryRecord>,
}
