//! What a document says. Unknown fields are refused, so that a misspelt limit is not silently no
//! limit.

use bytestring::ByteString;
use macro_rules_attribute::apply;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::derives::{key, message};

/// One service, as its team wants it.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// The format of this document; 1.
    pub format: u32,
    /// The service's name; callers name it as the model or in the path.
    #[schemars(with = "String")]
    pub service: ByteString,
    /// The team that owns the document.
    #[schemars(with = "String")]
    pub team: ByteString,
    /// BLAKE3 digests, in hex, of the keys that may change this document.
    #[schemars(with = "Vec<String>")]
    pub change_key_digests: Vec<ByteString>,
    /// What stands behind the service.
    pub kind: ServiceKind,
    /// The data centres that serve it.
    #[schemars(with = "Vec<String>")]
    pub data_centres: Vec<ByteString>,
    /// Which hosts of these data centres serve it.
    pub hosts: HostSelection,
    /// The weights that a model service runs; none for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "WeightsSpec")]
    pub weights: Option<WeightsSpec>,
    /// How a change of version goes through the hosts.
    #[serde(default)]
    pub rollout: RolloutSpec,
    /// Who may call, and how much.
    pub accounts: Vec<AccountSpec>,
    /// How long requests of each priority may take.
    #[serde(default)]
    pub deadlines: DeadlineSpec,
    /// What holds for single paths of a plain service; the first that matches counts.
    #[serde(default)]
    pub routes: Vec<RouteSpec>,
    /// How much may be retried.
    #[serde(default)]
    pub retry: RetrySpec,
    /// Whether requests with the same beginning should meet the same engine, for its prefix cache.
    #[serde(default)]
    pub prefix_affinity: bool,
}

/// What stands behind a service.
#[apply(key!)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that load weights.
    Model,
    /// A plain service that gets requests as they are.
    Plain,
}

/// Which hosts serve a service.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum HostSelection {
    /// Those that the platform's list gives for the service.
    Listed,
    /// These.
    Named(#[schemars(with = "Vec<String>")] Vec<ByteString>),
}

/// The weights of a model service.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WeightsSpec {
    /// The version's name. Each change of weights needs a new one, a rollback too.
    #[schemars(with = "String")]
    pub version: ByteString,
    /// The name under which the origin publishes the weights.
    #[schemars(with = "String")]
    pub source: ByteString,
    /// The BLAKE3 digest of the whole weights, in hex; pins what the source may hold.
    #[schemars(with = "String")]
    pub digest: ByteString,
    /// What to save: time, or the bytes read from the origin.
    pub objective: SpreadObjective,
}

/// What the spread of weights should save.
#[apply(key!)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum SpreadObjective {
    /// The time until every host has them.
    Time,
    /// The bytes read from the origin.
    OriginBytes,
}

/// How a change of version goes through the hosts.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RolloutSpec {
    /// How many of the service's hosts may be out of service at a time because of it.
    pub max_out_of_service: u32,
    /// What to do while the table cannot give permits.
    pub table_away: TableAwayRule,
    /// After how many hosts whose engines refused the version it is stopped.
    pub stop_after_failures: u32,
}

impl Default for RolloutSpec {
    fn default() -> Self {
        Self {
            max_out_of_service: 1,
            table_away: TableAwayRule::Wait,
            stop_after_failures: 1,
        }
    }
}

/// What a rollout does while the table is away.
#[apply(key!)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TableAwayRule {
    /// Hosts that serve an older version go on serving it.
    Wait,
    /// Hosts that serve nothing may activate; those that serve an older version wait.
    IdleHostsOnly,
}

/// One client account.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// The account's name.
    #[schemars(with = "String")]
    pub name: ByteString,
    /// The BLAKE3 digest, in hex, of the key that its callers present.
    #[schemars(with = "String")]
    pub key_digest: ByteString,
    /// Requests a second, over all entry hosts of a data centre.
    pub requests_per_second: u32,
    /// Requests in flight, over all entry hosts of a data centre.
    pub concurrency: u32,
    /// Its share against other accounts when there is not enough for all.
    pub weight: u32,
    /// How much of what it sends may be urgent, in percent of its rate.
    pub urgent_percent: u32,
}

/// How long requests may take, by priority, in milliseconds.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DeadlineSpec {
    /// For urgent requests.
    pub urgent_ms: u64,
    /// For normal requests.
    pub normal_ms: u64,
    /// For batch requests.
    pub batch_ms: u64,
    /// How long a stream may go on, of any priority.
    pub stream_ms: u64,
}

impl Default for DeadlineSpec {
    fn default() -> Self {
        Self {
            urgent_ms: 5_000,
            normal_ms: 30_000,
            batch_ms: 120_000,
            stream_ms: 600_000,
        }
    }
}

impl DeadlineSpec {
    /// The deadline of `priority`, in milliseconds from arrival to the first byte.
    #[must_use]
    pub const fn for_priority(&self, priority: RequestPriority) -> u64 {
        match priority {
            RequestPriority::Urgent => self.urgent_ms,
            RequestPriority::Normal => self.normal_ms,
            RequestPriority::Batch => self.batch_ms,
        }
    }
}

/// How urgent a request is; the first goes first.
#[apply(key!)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RequestPriority {
    /// Before everything else.
    Urgent,
    /// The usual.
    Normal,
    /// What is left.
    Batch,
}

impl RequestPriority {
    /// All of them, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];
}

/// What holds for some paths of a plain service.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// The method, in capitals; none means every method.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "String")]
    pub method: Option<ByteString>,
    /// The beginning of the path below the service.
    #[schemars(with = "String")]
    pub path_prefix: ByteString,
    /// Whether the call may be run again when it is not known whether it ran.
    pub repeatable: bool,
    /// Has no effect any more: no call needs the table, so that calls run while it is away. Documents
    /// that name it stay valid.
    #[serde(default)]
    pub in_outage: OutageRule,
}

/// What used to be done with unrepeatable calls while the table was away.
#[apply(key!)]
#[derive(Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum OutageRule {
    /// They were refused.
    #[default]
    Refuse,
    /// Those whose key had just been made were run.
    Lease,
}

/// How much may be retried.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RetrySpec {
    /// Retries in percent of requests, by service and by account.
    pub budget_percent: u32,
    /// Attempts of one request at most.
    pub attempts_max: u32,
}

impl Default for RetrySpec {
    fn default() -> Self {
        Self {
            budget_percent: 10,
            attempts_max: 3,
        }
    }
}
