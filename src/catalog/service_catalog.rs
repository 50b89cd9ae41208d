//! The contents of a document in the form in which other modules use them.

use std::net::SocketAddr;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::route_table::RouteTable;
use crate::derives::{key, plain};
use crate::overload::EngineSpeed;
use crate::placement::HomeRegions;

/// Version of a document. Versions may skip numbers; a document replaces those with lower versions.
#[apply(key!)]
#[derive(Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct CatalogVersion(pub(crate) u64);

/// Which requests may be sent again after a failure.
#[apply(key!)]
pub(crate) enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once per attempt of the client.
    AtMostOnce,
    /// An event stream that can be resumed after the last event received.
    ResumableStream,
    /// An event stream that may run at most once.
    SingleStream,
}

impl RetryPolicy {
    /// Whether a request may be sent again if it is unknown whether the first send ran.
    pub(crate) const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is an event stream.
    pub(crate) const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::SingleStream)
    }
}

/// A service to which a route leads, with its share of the requests.
#[apply(plain!)]
pub(crate) struct ServiceShare {
    /// Name of the service.
    pub(crate) service: ByteString,
    /// Its weight, relative to the sum of the weights of all services of the route.
    pub(crate) weight: u32,
}

/// A route.
#[apply(plain!)]
pub(crate) struct RouteRule {
    /// Its name, for logs.
    pub(crate) name: ByteString,
    /// The host name in requests, in lower case.
    pub(crate) host: ByteString,
    /// Prefix of the path; starts and ends with a slash.
    pub(crate) prefix: ByteString,
    /// Whether a request may be sent again.
    pub(crate) retry_policy: RetryPolicy,
    /// Longest time that a client waits for a response.
    pub(crate) timeout: Duration,
    /// Latency target for a response, or for the first event of a stream.
    pub(crate) latency_target: Duration,
    /// Longest gap between two events of a stream before it counts as late.
    pub(crate) gap_target: Duration,
    /// Priority; 0 is the most urgent.
    pub(crate) priority: u8,
    /// The services to which requests are forwarded.
    pub(crate) shares: Vec<ServiceShare>,
    /// Maximum number of backend servers to which one attempt of a client may be sent.
    pub(crate) attempts_max: u32,
    /// Whether requests need no key.
    pub(crate) is_public: bool,
    /// The regions that may serve its requests.
    pub(crate) homes: HomeRegions,
}

impl RouteRule {
    /// Chooses the service for a request by its `hash`, in proportion to the weights.
    pub(crate) fn service_for(&self, hash: u64) -> Option<&ByteString> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut remainder = hash % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remainder < weight {
                return Some(&share.service);
            }
            remainder -= weight;
        }
        self.shares.first().map(|share| &share.service)
    }
}

/// Properties of a model service's engines, as published by the service.
#[apply(plain!)]
pub(crate) struct EngineFacts {
    /// Names of its models.
    pub(crate) models: Vec<ByteString>,
    /// Number of layers of a model.
    pub(crate) layers: u32,
    /// Speed of the engines.
    pub(crate) speed: EngineSpeed,
}

/// The origin from which weights are downloaded.
#[apply(plain!)]
pub(crate) struct WeightsOrigin {
    /// Its address.
    pub(crate) address: SocketAddr,
}

/// How the backend servers of a service behave after a start.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct ColdStart {
    /// How long they stay cold.
    pub(crate) span: Duration,
    /// Requests per second that a cold one accepts from all entry hosts together.
    pub(crate) rate: f64,
}

/// A service.
#[apply(plain!)]
pub(crate) struct BackendService {
    /// Its name.
    pub(crate) name: ByteString,
    /// Properties of its engines; set for model services.
    pub(crate) engine: Option<EngineFacts>,
    /// The origin of weights; set for the service that provides weights.
    pub(crate) origin: Option<WeightsOrigin>,
    /// How its backend servers behave after a start; none if they need no care.
    pub(crate) cold_start: Option<ColdStart>,
}

/// A client account.
#[apply(plain!)]
pub(crate) struct AccountRecord {
    /// Its name.
    pub(crate) name: ByteString,
    /// Priority of its requests, instead of the route's; 0 is the most urgent.
    pub(crate) priority: Option<u8>,
    /// The regions that may serve its requests.
    pub(crate) homes: HomeRegions,
}

/// Limits on what clients may send, and how long they may take.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct CallerLimits {
    /// Maximum size of the header fields, in bytes.
    pub(crate) header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub(crate) body_bytes: usize,
    /// Maximum time from the first byte of a head to its end.
    pub(crate) head_timeout: Duration,
    /// Maximum time from a response to the next request of a connection.
    pub(crate) idle_timeout: Duration,
}

/// A document in force.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCatalog {
    /// Version of the document.
    pub(crate) version: CatalogVersion,
    /// Its routes.
    pub(crate) routes: RouteTable,
    /// Its services, sorted by name.
    pub(crate) services: Vec<BackendService>,
    /// Its client accounts.
    pub(crate) accounts: Vec<AccountRecord>,
    /// Keys of the client accounts, each with an index into `accounts`, sorted by key.
    pub(crate) keys: Vec<(ByteString, usize)>,
    /// Limits on the size of requests.
    pub(crate) limits: CallerLimits,
}

impl ServiceCatalog {
    /// The service named `name`.
    pub(crate) fn service(&self, name: &str) -> Option<&BackendService> {
        let found = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// Whether requests need a key at all.
    pub(crate) fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The client account whose key is `api_key`.
    pub(crate) fn account_of(&self, api_key: &str) -> Option<&AccountRecord> {
        let found = self.keys.binary_search_by(|(key, _)| (**key).cmp(api_key));
        found.ok().map(|at| &self.accounts[self.keys[at].1])
    }

    /// Whether every interrupted request for `service` can resume at another backend server.
    pub(crate) fn can_resume_elsewhere(&self, service: &str) -> bool {
        let rules = self.routes.rules().iter();
        let mut rules = rules.filter(|rule| {
            let mut shares = rule.shares.iter();
            shares.any(|share| *share.service == *service)
        });
        rules.all(|rule| rule.retry_policy.is_repeatable() && rule.attempts_max > 1)
    }

    /// The origin of weights, if the document has one.
    pub(crate) fn weights_origin(&self) -> Option<&WeightsOrigin> {
        self.services
            .iter()
            .find_map(|service| service.origin.as_ref())
    }
}
