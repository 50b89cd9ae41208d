//! The schema of service documents.
//!
//! Unknown fields are rejected, because a misspelt limit would otherwise be ignored silently.

use bytestring::ByteString;
use macro_rules_attribute::apply;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::derives::{key, message};

/// The configuration of one service, as its team specifies it.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// The version of the document format; always 1.
    pub format: u32,
    /// The name of the service. Callers give it as the model name or in the request path.
    #[schemars(with = "String")]
    pub service: ByteString,
    /// The team that owns the document.
    #[schemars(with = "String")]
    pub team: ByteString,
    /// BLAKE3 digests, in hex, of the keys that are allowed to change this document.
    #[schemars(with = "Vec<String>")]
    pub change_key_digests: Vec<ByteString>,
    /// The kind of backend that serves the service.
    pub kind: ServiceKind,
    /// The data centres that serve the service.
    #[schemars(with = "Vec<String>")]
    pub data_centres: Vec<ByteString>,
    /// The hosts of these data centres that serve the service.
    pub hosts: HostSelection,
    /// The weights of a model service; absent for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "WeightsSpec")]
    pub weights: Option<WeightsSpec>,
    /// How a new version is rolled out to the hosts.
    #[serde(default)]
    pub rollout: RolloutSpec,
    /// The client accounts that may call the service, with their limits.
    pub accounts: Vec<AccountSpec>,
    /// The time limits of requests by priority.
    #[serde(default)]
    pub deadlines: DeadlineSpec,
    /// Rules for individual paths of a plain service; the first matching rule applies.
    #[serde(default)]
    pub routes: Vec<RouteSpec>,
    /// Limits on retries.
    #[serde(default)]
    pub retry: RetrySpec,
    /// Whether requests with the same prefix are routed to the same engine when possible, so that
    /// its prefix cache is used.
    #[serde(default)]
    pub prefix_affinity: bool,
}

/// The kind of backend that serves a service.
#[apply(key!)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, which load weights.
    Model,
    /// A service without weights, to which requests are forwarded unchanged.
    Plain,
}

/// Selects the hosts that serve a service.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum HostSelection {
    /// The hosts that the platform's host list assigns to the service.
    Listed,
    /// The hosts with these names.
    Named(#[schemars(with = "Vec<String>")] Vec<ByteString>),
}

/// The weights of a model service.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WeightsSpec {
    /// The name of the version. Every change of weights, including a rollback, needs a new name.
    #[schemars(with = "String")]
    pub version: ByteString,
    /// The name under which the origin publishes the weights.
    #[schemars(with = "String")]
    pub source: ByteString,
    /// The BLAKE3 digest of the complete weights, in hex. Data from the source with another digest
    /// is rejected.
    #[schemars(with = "String")]
    pub digest: ByteString,
    /// What the distribution of the weights minimises.
    pub objective: SpreadObjective,
}

/// What the distribution of weights minimises.
#[apply(key!)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum SpreadObjective {
    /// The time until every host has the weights.
    Time,
    /// The number of bytes read from the origin.
    OriginBytes,
}

/// How a new version is rolled out to the hosts.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RolloutSpec {
    /// The maximum number of the service's hosts that the rollout takes out of service at a time.
    pub max_out_of_service: u32,
    /// What to do while the table is unavailable and cannot grant permits.
    pub table_away: TableAwayRule,
    /// The rollout stops when the engines of this many hosts have rejected the version.
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

/// What a rollout does while the table is unavailable.
#[apply(key!)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TableAwayRule {
    /// Hosts that serve a previous version continue to serve it.
    Wait,
    /// Hosts that serve no version may activate the new one; hosts that serve a previous version
    /// wait.
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
    /// The BLAKE3 digest, in hex, of the key that the account's callers present.
    #[schemars(with = "String")]
    pub key_digest: ByteString,
    /// The maximum rate of requests per second, summed over all entry hosts of a data centre.
    pub requests_per_second: u32,
    /// The maximum number of requests in flight, summed over all entry hosts of a data centre.
    pub concurrency: u32,
    /// The account's share of capacity relative to other accounts when capacity is insufficient.
    pub weight: u32,
    /// The maximum share of urgent requests, in percent of the account's rate.
    pub urgent_percent: u32,
}

/// The time limits of requests by priority, in milliseconds.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DeadlineSpec {
    /// The deadline of urgent requests.
    pub urgent_ms: u64,
    /// The deadline of normal requests.
    pub normal_ms: u64,
    /// The deadline of batch requests.
    pub batch_ms: u64,
    /// The maximum duration of a streamed response, for every priority.
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
    /// The deadline of requests with `priority`: milliseconds from the arrival of the request to
    /// the first byte of the response.
    #[must_use]
    pub const fn for_priority(&self, priority: RequestPriority) -> u64 {
        match priority {
            RequestPriority::Urgent => self.urgent_ms,
            RequestPriority::Normal => self.normal_ms,
            RequestPriority::Batch => self.batch_ms,
        }
    }
}

/// The priority of a request, most urgent first.
#[apply(key!)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RequestPriority {
    /// Served before all other requests.
    Urgent,
    /// Served after urgent requests and before batch requests.
    Normal,
    /// Served with the remaining capacity.
    Batch,
}

impl RequestPriority {
    /// All priorities, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];
}

/// A rule for some paths of a plain service.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// The HTTP method in capital letters; absent if the rule applies to every method.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "String")]
    pub method: Option<ByteString>,
    /// The prefix of the path, relative to the service's path.
    #[schemars(with = "String")]
    pub path_prefix: ByteString,
    /// Whether a request may be executed again when it is unknown whether it was executed.
    pub repeatable: bool,
    /// Obsolete, without effect: no request depends on the table, so requests are served while it
    /// is unavailable. Documents that contain this field stay valid.
    #[serde(default)]
    pub in_outage: OutageRule,
}

/// Obsolete: how requests that must not be repeated were handled while the table was unavailable.
#[apply(key!)]
#[derive(Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum OutageRule {
    /// The requests were rejected.
    #[default]
    Refuse,
    /// Requests with a newly created key were executed.
    Lease,
}

/// Limits on retries.
#[apply(message!)]
#[derive(JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RetrySpec {
    /// The maximum number of retries in percent of requests, per service and per account.
    pub budget_percent: u32,
    /// The maximum number of attempts for one request.
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
