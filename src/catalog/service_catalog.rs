//! The parts of a document, as the product uses them.

use std::net::SocketAddr;
use std::time::Duration;

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::route_table::RouteTable;
use crate::derives::{key, plain};
use crate::overload::EngineSpeed;

/// The version of a document. Versions grow in uneven steps; a higher one replaces a lower one.
#[apply(key!)]
#[derive(Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct CatalogVersion(pub(crate) u64);

/// What may be repeated of a request.
#[apply(key!)]
pub(crate) enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once for each attempt of a client.
    AtMostOnce,
    /// A stream of events that may be resumed behind the last event that arrived.
    ResumableStream,
    /// A stream of events that may run at most once.
    SingleStream,
}

impl RetryPolicy {
    /// Whether a second send is allowed when it is not known whether the first one ran.
    pub(crate) const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub(crate) const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::SingleStream)
    }
}

/// One of the services that a route leads to, with its share of the requests.
#[apply(plain!)]
pub(crate) struct ServiceShare {
    /// The service's name.
    pub(crate) service: ByteString,
    /// Its share, against the sum of all shares of the route.
    pub(crate) weight: u32,
}

/// A route.
#[apply(plain!)]
pub(crate) struct RouteRule {
    /// Its name, for logs.
    pub(crate) name: ByteString,
    /// The host that requests name, in lower case.
    pub(crate) host: ByteString,
    /// What the path begins with; begins and ends with a slash.
    pub(crate) prefix: ByteString,
    /// What may be repeated.
    pub(crate) repeat: RetryPolicy,
    /// How long a client is kept waiting at most.
    pub(crate) timeout: Duration,
    /// Within which time an answer, or a stream's first event, is fully useful.
    pub(crate) target: Duration,
    /// How long a stream may pause between two events without being late.
    pub(crate) pause: Duration,
    /// Its rank; 0 is the most urgent.
    pub(crate) rank: u8,
    /// Where its requests go.
    pub(crate) shares: Vec<ServiceShare>,
    /// To how many backend servers one attempt of a client may be sent.
    pub(crate) attempts_max: u32,
    /// Whether it needs no key.
    pub(crate) is_public: bool,
}

impl RouteRule {
    /// The service for a request, spread over the shares by `hash`.
    pub(crate) fn service_for(&self, hash: u64) -> Option<&ByteString> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut at = hash % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if at < weight {
                return Some(&share.service);
            }
            at -= weight;
        }
        self.shares.first().map(|share| &share.service)
    }
}

/// The figures that a model service publishes about its engines.
#[apply(plain!)]
pub(crate) struct EngineFacts {
    /// The names of its models.
    pub(crate) models: Vec<ByteString>,
    /// How many layers a model has.
    pub(crate) layers: u32,
    /// How fast they are.
    pub(crate) speed: EngineSpeed,
}

/// A service's origin of weights.
#[apply(plain!)]
pub(crate) struct WeightsOrigin {
    /// Where it answers.
    pub(crate) address: SocketAddr,
}

/// A service.
#[apply(plain!)]
pub(crate) struct BackendService {
    /// Its name.
    pub(crate) name: ByteString,
    /// Set for model services.
    pub(crate) engine: Option<EngineFacts>,
    /// Set for the service that hands out weights.
    pub(crate) origin: Option<WeightsOrigin>,
}

/// A client account.
#[apply(plain!)]
pub(crate) struct AccountRecord {
    /// Its name.
    pub(crate) name: ByteString,
    /// Its rank, which goes before the route's; 0 is the most urgent.
    pub(crate) rank: Option<u8>,
}

/// What a client may send.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct CallerLimits {
    /// The most bytes of a request's header fields.
    pub(crate) header_bytes: usize,
    /// The most bytes of a request's body.
    pub(crate) body_bytes: usize,
}

/// A document in force.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCatalog {
    /// Its version.
    pub(crate) version: CatalogVersion,
    /// Its routes.
    pub(crate) routes: RouteTable,
    /// Its services, sorted by name.
    pub(crate) services: Vec<BackendService>,
    /// Its client accounts.
    pub(crate) accounts: Vec<AccountRecord>,
    /// Keys with the place of their account in `accounts`, sorted by key.
    pub(crate) keys: Vec<(ByteString, usize)>,
    /// What clients may send.
    pub(crate) limits: CallerLimits,
}

impl ServiceCatalog {
    /// The service called `name`.
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

    /// The client account that holds `secret`.
    pub(crate) fn account_of(&self, secret: &str) -> Option<&AccountRecord> {
        let found = self.keys.binary_search_by(|(key, _)| (**key).cmp(secret));
        found.ok().map(|at| &self.accounts[self.keys[at].1])
    }

    /// Whether every request for `service` may go on elsewhere when it is cut off in the middle.
    pub(crate) fn can_resume_elsewhere(&self, service: &str) -> bool {
        let rules = self.routes.rules().iter();
        let mut rules = rules.filter(|rule| {
            let mut shares = rule.shares.iter();
            shares.any(|share| *share.service == *service)
        });
        rules.all(|rule| rule.repeat.is_repeatable() && rule.attempts_max > 1)
    }

    /// The service that hands out weights.
    pub(crate) fn weights_origin(&self) -> Option<&WeightsOrigin> {
        self.services
            .iter()
            .find_map(|service| service.origin.as_ref())
    }
}
