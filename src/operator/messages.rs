//! The JSON replies of the administration API, which `savoryctl` parses with the same types.

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::documents::DocumentFault;

/// The reply to an accepted change.
#[apply(message!)]
pub(crate) struct PutReply {
    /// The service.
    pub(crate) service: String,
    /// The version that the change created.
    pub(crate) version: u64,
}

/// One version of a document.
#[apply(message!)]
pub(crate) struct DocumentReply {
    /// The version number.
    pub(crate) version: u64,
    /// The author of the version and the short digest of the author's key.
    pub(crate) changed_by: String,
    /// The time of the change, in Unix milliseconds.
    pub(crate) changed_wall_ms: u64,
    /// Whether the document was read from the table for this reply. Otherwise it is the version in
    /// force on the responding host.
    pub(crate) from_table: bool,
    /// The version in force on the responding host; 0 if there is none.
    pub(crate) in_force_here: u64,
    /// JSON pointers to fields that the responding host does not know; they have no effect there.
    pub(crate) unknown: Vec<String>,
    /// The document.
    pub(crate) document: serde_json::Value,
}

/// The faults of a document; empty if it is valid.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct FaultsReply {
    /// All faults that were found.
    pub(crate) faults: Vec<DocumentFault>,
}

/// The current document, sent with the refusal of a conflicting change.
#[apply(message!)]
pub(crate) struct CurrentDocumentReply {
    /// The current document; `None` if there is none.
    pub(crate) standing: Option<DocumentReply>,
}

/// The state known to one entry host.
#[apply(message!)]
pub(crate) struct StateReply {
    /// The responding host.
    pub(crate) host: String,
    /// The data centre of the host.
    pub(crate) data_centre: String,
    /// Whether the host's last read of the table succeeded.
    pub(crate) table_answers: bool,
    /// Maximum age, in milliseconds, of the documents in force on the host; `None` before it is
    /// known.
    pub(crate) documents_age_ms: Option<u64>,
    /// The services with their versions.
    pub(crate) services: Vec<ServiceSummary>,
    /// The number of hosts in each state.
    pub(crate) hosts: HostCounts,
}

/// One service with its document in force.
#[apply(message!)]
pub(crate) struct ServiceSummary {
    /// The service.
    pub(crate) service: String,
    /// The team that owns it.
    pub(crate) team: String,
    /// The version of the document in force.
    pub(crate) version: u64,
    /// The version of the weights that the document specifies.
    pub(crate) weights: Option<String>,
    /// Number of live backend servers.
    pub(crate) live: usize,
    /// Number of backend servers whose engines report that they serve these weights.
    pub(crate) serving: usize,
}

/// The number of hosts in each membership state.
#[apply(message!)]
#[derive(Copy, Eq, Default)]
pub(crate) struct HostCounts {
    /// Live hosts.
    pub(crate) live: usize,
    /// Suspected hosts.
    pub(crate) suspected: usize,
    /// Leaving hosts.
    pub(crate) leaving: usize,
    /// Unavailable hosts.
    pub(crate) gone: usize,
}

/// One host with its state and load.
#[apply(message!)]
pub(crate) struct HostSummary {
    /// The host's name.
    pub(crate) host: String,
    /// The host's data centre.
    pub(crate) data_centre: String,
    /// The region of the data centre.
    pub(crate) region: String,
    /// `entry` or `backend`.
    pub(crate) role: String,
    /// The service; only for backend servers.
    pub(crate) service: Option<String>,
    /// The membership state: `live`, `suspected`, `leaving` or `gone` (unavailable).
    pub(crate) state: String,
    /// Number of requests that the engine is running; only if the responding host watches this
    /// host.
    pub(crate) running: Option<u32>,
    /// Number of requests waiting for the engine.
    pub(crate) waiting: Option<u32>,
    /// The version that the engine serves.
    pub(crate) serving: Option<String>,
    /// The version that the host is fetching, with the progress in percent.
    pub(crate) staging: Option<String>,
}

/// The hosts, sorted by name.
#[apply(message!)]
pub(crate) struct HostsReply {
    /// All known hosts.
    pub(crate) hosts: Vec<HostSummary>,
}

/// The versions of a document, newest first.
#[apply(message!)]
pub(crate) struct HistoryReply {
    /// The current version and the archived ones.
    pub(crate) versions: Vec<DocumentReply>,
}

/// The request counters of the responding host.
#[apply(message!)]
pub(crate) struct RequestsReply {
    /// All counters.
    pub(crate) counters: Vec<CounterValue>,
}

/// The value of one counter.
#[apply(message!)]
pub(crate) struct CounterValue {
    /// The name of the metric.
    pub(crate) name: String,
    /// The labels, as `name=value` separated by spaces.
    pub(crate) labels: String,
    /// The value.
    pub(crate) value: f64,
}
