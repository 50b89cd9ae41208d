//! What the administration API answers, in JSON; `savoryctl` reads the same types.

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::documents::DocumentFault;

/// A change was accepted.
#[apply(message!)]
pub(crate) struct PutReply {
    /// The service.
    pub(crate) service: String,
    /// The version that the change made.
    pub(crate) version: u64,
}

/// A document as it stands.
#[apply(message!)]
pub(crate) struct DocumentReply {
    /// Its version.
    pub(crate) version: u64,
    /// Who changed it.
    pub(crate) changed_by: String,
    /// When, in Unix milliseconds.
    pub(crate) changed_wall_ms: u64,
    /// Whether it was read from the table just now; otherwise it is what is in force on the host
    /// that answers.
    pub(crate) from_table: bool,
    /// The version in force on the host that answers.
    pub(crate) in_force_here: u64,
    /// Paths of fields that the host that answers does not know; they have no effect there.
    pub(crate) unknown: Vec<String>,
    /// The document.
    pub(crate) document: serde_json::Value,
}

/// The faults of a document; empty when it has none.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct FaultsReply {
    /// All of them.
    pub(crate) faults: Vec<DocumentFault>,
}

/// What stands instead of a change that was refused.
#[apply(message!)]
pub(crate) struct CurrentDocumentReply {
    /// The document that stands; none when there is none.
    pub(crate) standing: Option<DocumentReply>,
}

/// What one entry host knows.
#[apply(message!)]
pub(crate) struct StateReply {
    /// The host that answers.
    pub(crate) host: String,
    /// Its data centre.
    pub(crate) data_centre: String,
    /// Whether the table answered it when it last asked.
    pub(crate) table_answers: bool,
    /// How old, in milliseconds, what it has in force may be; none before it first knew.
    pub(crate) documents_age_ms: Option<u64>,
    /// The services with their versions.
    pub(crate) services: Vec<ServiceSummary>,
    /// Hosts by state.
    pub(crate) hosts: HostCounts,
}

/// One service in force.
#[apply(message!)]
pub(crate) struct ServiceSummary {
    /// The service.
    pub(crate) service: String,
    /// The team that owns it.
    pub(crate) team: String,
    /// The document's version in force.
    pub(crate) version: u64,
    /// The weights that it names.
    pub(crate) weights: Option<String>,
    /// Backend servers that can be counted on.
    pub(crate) live: usize,
    /// Backend servers whose engines report these weights.
    pub(crate) serving: usize,
}

/// Hosts by state.
#[apply(message!)]
#[derive(Copy, Eq, Default)]
pub(crate) struct HostCounts {
    /// Live.
    pub(crate) live: usize,
    /// Suspected.
    pub(crate) suspected: usize,
    /// Leaving.
    pub(crate) leaving: usize,
    /// Gone.
    pub(crate) gone: usize,
}

/// One host.
#[apply(message!)]
pub(crate) struct HostSummary {
    /// Its name.
    pub(crate) host: String,
    /// Its data centre.
    pub(crate) data_centre: String,
    /// Its region.
    pub(crate) region: String,
    /// `entry` or `backend`.
    pub(crate) role: String,
    /// The service, for backend servers.
    pub(crate) service: Option<String>,
    /// `live`, `suspected`, `leaving` or `gone`.
    pub(crate) state: String,
    /// Requests that its engine runs, if it is watched from here.
    pub(crate) running: Option<u32>,
    /// Requests that wait there.
    pub(crate) waiting: Option<u32>,
    /// The version that its engine serves.
    pub(crate) serving: Option<String>,
    /// The version on its way there, with its progress in percent.
    pub(crate) staging: Option<String>,
}

/// The hosts, sorted by name.
#[apply(message!)]
pub(crate) struct HostsReply {
    /// All of them.
    pub(crate) hosts: Vec<HostSummary>,
}

/// The versions of a document, the newest first.
#[apply(message!)]
pub(crate) struct HistoryReply {
    /// All of them.
    pub(crate) versions: Vec<DocumentReply>,
}

/// Counters of requests on the host that answers.
#[apply(message!)]
pub(crate) struct RequestsReply {
    /// Each counter.
    pub(crate) counters: Vec<CounterValue>,
}

/// One counter.
#[apply(message!)]
pub(crate) struct CounterValue {
    /// Its name.
    pub(crate) name: String,
    /// Its labels, as `name=value` separated by spaces.
    pub(crate) labels: String,
    /// Its value.
    pub(crate) value: f64,
}
