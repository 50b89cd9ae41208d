//! Messages by which entry hosts report to neighbours and to the hosts of backend servers.
//!
//! `POST /peer/view` takes a [`PeerQuery`] and returns in a [`PeerView`] what is newer than the
//! state in the query. The response may be held until there is a newer document or target version.

use std::net::SocketAddr;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::entry_agreement::ListAgreement;
use super::evacuations::EvacuationRecord;
use super::store_clock::ClockBounds;
use super::target_update_time::TargetUpdateTime;
use crate::catalog::CatalogVersion;
use crate::derives::message;
use crate::fleet::{BackendFacts, ModelVersion};
use crate::quarantine::StoredCrash;
use crate::time::StoreTime;

/// Path of the call.
pub(crate) const VIEW_PATH: &str = "/peer/view";

/// An entry host, as it registers itself in the store.
#[apply(message!)]
#[derive(Eq, PartialOrd, Ord)]
pub(crate) struct EntryRecord {
    /// Its name.
    pub(crate) host: ByteString,
    /// Its data centre.
    pub(crate) data_centre: ByteString,
    /// Address of its HTTP endpoint for other processes.
    pub(crate) control: SocketAddr,
    /// Address at which it receives load reports as datagrams.
    pub(crate) reports: SocketAddr,
}

/// What the querying process knows already.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct PeerQuery {
    /// The version of its document.
    pub(crate) document: Option<CatalogVersion>,
    /// Whether a newer document can wait for a later query. The host of a backend server needs
    /// little of it, and a large document takes as long on its narrow link as a chunk of weights: a
    /// burst of documents took half of the link and delayed the weights by 1.5 s.
    #[serde(default)]
    pub(crate) can_wait_for_document: bool,
    /// The target versions that it knows.
    #[serde(rename = "wanted")]
    pub(crate) targets: Vec<TargetAnnouncement>,
    /// The store's revision of its list of backend servers.
    pub(crate) backends_revision: u64,
    /// The number of entry hosts that it knows.
    pub(crate) entries: usize,
    /// Digest of their list, if another list with as many is to be reported too.
    #[serde(default)]
    pub(crate) entries_digest: Option<u64>,
    /// How long, in milliseconds, the response may be held until there is an urgent change.
    pub(crate) wait_ms: u64,
    /// Whether it follows the operator's table through the responses.
    #[serde(default)]
    pub(crate) follows: bool,
    /// Digest of its list of backend servers, if a different list is to be reported at once.
    #[serde(default)]
    pub(crate) backends_digest: Option<u64>,
    /// The store's revision up to which it knows the requests that crash backend servers; `None` if
    /// it doesn't need them.
    #[serde(default)]
    pub(crate) crashes_revision: Option<u64>,
    /// The store's revision of the latest evacuation that it knows, or of its end.
    #[serde(default)]
    pub(crate) evacuations_revision: u64,
    /// Which entry hosts have its list of them; `None` if it is not one of them.
    #[serde(default)]
    pub(crate) agreement: Option<ListAgreement>,
    /// The entry host that sends the query; none if another process does.
    #[serde(default)]
    pub(crate) sender: Option<EntryRecord>,
}

/// Changes of the list of backend servers.
#[apply(message!)]
pub(crate) struct BackendChanges {
    /// The store's revision as of which the list is known.
    pub(crate) revision: u64,
    /// Whether `entries` is the full list.
    #[serde(rename = "is_whole")]
    pub(crate) is_complete: bool,
    /// The entries that changed after the revision in the query.
    pub(crate) entries: Vec<BackendFacts>,
    /// The ids of those removed recently.
    #[serde(rename = "gone")]
    pub(crate) removed: Vec<ByteString>,
    /// Those whose entry was removed from the store and may still return.
    #[serde(default)]
    pub(crate) lapsed: Vec<LapsedBackend>,
    /// Digest of the full list.
    pub(crate) digest: u64,
    /// When the store last reported the list, on its clock.
    #[serde(rename = "told_at")]
    pub(crate) answered_at: StoreTime,
}

/// A backend server whose entry was removed, during the grace period in which it may return.
#[apply(message!)]
pub(crate) struct LapsedBackend {
    /// Its id.
    pub(crate) id: ByteString,
    /// What is left of the grace period, in milliseconds.
    pub(crate) grace_ms: u64,
}

/// How well the responding process knows the operator's table.
#[apply(message!)]
#[derive(Copy)]
pub(crate) struct OperatorAnnouncement {
    /// When the store last reported the table, on its clock.
    #[serde(rename = "told_at")]
    pub(crate) answered_at: StoreTime,
    /// The store's revision as of which the table is known.
    pub(crate) revision: u64,
    /// Whether the store does not answer that process.
    pub(crate) is_cut_off: bool,
}

/// A target version and when it was set.
#[apply(message!)]
pub(crate) struct TargetAnnouncement {
    /// The target.
    pub(crate) target: ModelVersion,
    /// When it was set, on the store's clock, so that the value does not depend on how long the
    /// announcement is in transit or how often it is forwarded.
    #[serde(rename = "named")]
    pub(crate) set_at: TargetUpdateTime,
}

/// What the responding process knows beyond the query.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct PeerView {
    /// The document, if it is newer.
    #[serde(with = "serde_bytes")]
    pub(crate) document: Option<Vec<u8>>,
    /// Bounds of the store's clock at the time of the response, if known.
    #[serde(default)]
    pub(crate) clock: Option<ClockBounds>,
    /// How long, in milliseconds, the query was held open.
    #[serde(default)]
    pub(crate) held_ms: u64,
    /// All target versions. Those in the query are included because their update times may be
    /// better known here.
    #[serde(rename = "wanted")]
    pub(crate) targets: Vec<TargetAnnouncement>,
    /// The list of backend servers with its revision, if that is newer.
    pub(crate) backends: Option<(u64, Vec<BackendFacts>)>,
    /// All entry hosts, if there are more, or as many but different ones.
    pub(crate) entries: Vec<EntryRecord>,
    /// Which entry hosts have the same list of them as the responding process, for another entry
    /// host.
    #[serde(default)]
    pub(crate) agreement: Option<ListAgreement>,
    /// How well the operator's table is known; the rest of the response is as of that revision.
    #[serde(default)]
    pub(crate) operator: Option<OperatorAnnouncement>,
    /// Changes of the list of backend servers, for a process that follows it through responses.
    #[serde(default)]
    pub(crate) backend_changes: Option<BackendChanges>,
    /// The requests that were running on crashed backend servers, after the revision in the query.
    #[serde(default)]
    pub(crate) crashes: Vec<StoredCrash>,
    /// The store's revision up to which all crashes are known with these; 0 if they weren't
    /// requested.
    #[serde(default)]
    pub(crate) crashes_revision: u64,
    /// The evacuations, including recent ones that have ended.
    #[serde(default)]
    pub(crate) evacuations: Vec<EvacuationRecord>,
}
