//! A client's request after it has been read, routed and authorised.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use http::{HeaderMap, Method, Uri};

use crate::catalog::{CatalogVersion, EngineFacts, RetryPolicy, RouteRule, ServiceCatalog};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{ColdLimit, EngineWork, VersionRequirement, WeightsVersion};
use crate::overload::{PriorityRank, is_retry};
use crate::placement::HomeRegions;
use crate::platform::{PRIORITY_MAX, RequestHead};
use crate::quarantine::{CrashSuspect, RequestParts, SuspectDigest};
use crate::routing::name_hash;
use crate::sync::DeploymentSnapshot;
use crate::time::ClockTime;

/// How long clients wait for an event of a stream, including the first one: the maximum of
/// `CLIENT_WAIT_MIN`, `CLIENT_WAIT_LATENCY_TARGETS` times the route's latency target, and
/// `CLIENT_WAIT_GAP_TARGETS` times its gap target. The platform specifies these figures.
const CLIENT_WAIT_MIN: Duration = Duration::from_secs(2);
const CLIENT_WAIT_LATENCY_TARGETS: u32 = 4;
const CLIENT_WAIT_GAP_TARGETS: u32 = 8;

/// A repeatable request of a plain service is also sent to another backend server if it has no
/// response after this many times its latency target. Late responses come from a few backend
/// servers only.
const HEAD_TIMEOUT_LATENCY_TARGETS: u32 = 2;
/// How long to wait for the first event of a stream before the request is also sent to another
/// backend server.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Engine priority of a stream that is resumed at another engine. Its client notices the pause, and
/// the slot that it used elsewhere has just become free.
const PRIORITY_RESUMED: u8 = 0;

/// How much earlier requests stop waiting for a slot at a previous version. Engines that change
/// their version pass their requests on to the other engines, where a request has waited for 1.6 s.
const QUEUE_MARGIN: Duration = Duration::from_millis(1500);

/// Properties of a request that follow from its head, before its body is read.
#[derive(Clone, Debug)]
pub(super) struct RoutedRequest {
    pub(super) rule: Arc<RouteRule>,
    /// Host that the request addresses, in lower case and without the port.
    pub(super) host: ByteString,
    pub(super) service: ByteString,
    pub(super) account: Option<ByteString>,
    pub(super) rank: PriorityRank,
    /// The regions that may serve the request, by the document of version `document`.
    pub(super) homes: HomeRegions,
    pub(super) document: CatalogVersion,
}

/// A request that may be sent to a backend server.
#[derive(Clone, Debug)]
pub(super) struct RequestJob {
    pub(super) head: RequestHead,
    pub(super) routed: RoutedRequest,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) arrived: ClockTime,
    /// End of the waiting time of the client or the route, whichever is earlier.
    pub(super) deadline: ClockTime,
}

impl RequestJob {
    /// Returns whether and how the request may be repeated.
    pub(super) fn retry_policy(&self) -> RetryPolicy {
        self.routed.rule.retry_policy
    }

    /// Returns the digest that all attempts of the same request share.
    pub(super) fn digest(&self) -> SuspectDigest {
        SuspectDigest::of_request(RequestParts {
            host: &self.routed.host,
            path: self.uri.path(),
            account: self.routed.account.as_deref(),
            body: &self.body,
        })
    }

    /// Returns the parts of the prompt that other requests may share, as possible causes of crashes.
    pub(super) fn suspect_parts(&self) -> impl Iterator<Item = CrashSuspect> + '_ {
        CrashSuspect::of_parts(self.head.model.as_deref(), &self.head.shared_parts)
    }

    /// Returns the parts of the prompt that other requests may share, as text for logs.
    pub(super) fn parts_text(&self) -> String {
        let parts: Vec<String> = self
            .head
            .shared_parts
            .iter()
            .map(ToString::to_string)
            .collect();
        if parts.is_empty() {
            "-".to_owned()
        } else {
            parts.join(",")
        }
    }

    /// Returns the time until the deadline.
    pub(super) fn time_left(&self, now: ClockTime) -> Duration {
        self.deadline.since(now)
    }

    /// Returns when the client stops waiting for the next event of a stream; `since` is the time of
    /// the last event, or of the send if there was none.
    pub(super) fn client_timeout_at(&self, since: ClockTime) -> ClockTime {
        let rule = &self.routed.rule;
        let client_wait = CLIENT_WAIT_MIN
            .max(rule.latency_target * CLIENT_WAIT_LATENCY_TARGETS)
            .max(rule.gap_target * CLIENT_WAIT_GAP_TARGETS);
        self.deadline.min(since + client_wait)
    }

    /// Returns how long to wait for a response head before the request is also sent to another
    /// backend server; `None` if the request may run only once.
    pub(super) fn head_timeout(&self) -> Option<Duration> {
        if !self.retry_policy().is_repeatable() {
            None
        } else if self.retry_policy().is_stream() {
            Some(FIRST_EVENT_TIMEOUT)
        } else {
            Some(self.routed.rule.latency_target * HEAD_TIMEOUT_LATENCY_TARGETS)
        }
    }

    /// Returns whether the client retries after a refusal.
    pub(super) fn is_retry(&self) -> bool {
        let timeout = self.routed.rule.timeout;
        let client_wait = self.head.deadline.unwrap_or(timeout);
        is_retry(client_wait, timeout)
    }

    /// Returns the priority for the queue of a model engine; lower values are more urgent.
    /// `is_resumed` says whether the client has received a part of the response.
    pub(super) fn engine_priority(&self, is_resumed: bool) -> u8 {
        if is_resumed {
            PRIORITY_RESUMED
        } else if self.is_retry() {
            PRIORITY_MAX
        } else {
            (PRIORITY_RESUMED + 1 + self.routed.rank.engine_level()).min(PRIORITY_MAX - 1)
        }
    }

    /// Returns the work that the request causes at a model engine; `None` for a plain service.
    pub(super) fn engine_work(&self, snapshot: &DeploymentSnapshot) -> Option<EngineWork> {
        let engine = self.engine_facts(snapshot)?;
        Some(EngineWork {
            speed: engine.speed,
            prompt_tokens: self.head.prompt_tokens,
        })
    }

    fn engine_facts<'a>(&self, snapshot: &'a DeploymentSnapshot) -> Option<&'a EngineFacts> {
        let catalog = snapshot.catalog.as_ref()?;
        catalog.service(&self.routed.service)?.engine.as_ref()
    }

    /// Returns the regions that may serve the request by the document of `snapshot`. If that no
    /// longer has the request's route or account, those of the document with which it came.
    pub(super) fn homes(&self, snapshot: &DeploymentSnapshot) -> HomeRegions {
        let newer = snapshot
            .catalog
            .as_ref()
            .filter(|catalog| catalog.version != self.routed.document);
        let routed = newer.and_then(|catalog| {
            route_request(catalog, &self.head, &self.routed.host, self.uri.path()).ok()
        });
        routed.map_or_else(|| self.routed.homes.clone(), |routed| routed.homes)
    }

    /// Returns what cold backend servers of the request's service accept, if one second may exceed
    /// that by the factor `overshoot`; `None` if there is no limit.
    pub(super) fn cold_limit(
        &self,
        snapshot: &DeploymentSnapshot,
        overshoot: Option<f64>,
    ) -> Option<ColdLimit> {
        let catalog = snapshot.catalog.as_ref()?;
        let cold_start = catalog.service(&self.routed.service)?.cold_start?;
        Some(ColdLimit::new(cold_start, overshoot?))
    }

    /// Returns the versions of weights that may answer the request at `now`.
    pub(super) fn version_requirement(
        &self,
        snapshot: &DeploymentSnapshot,
        previous_version_span: Duration,
        now: ClockTime,
    ) -> VersionRequirement {
        let engine = self.engine_facts(snapshot);
        let (Some(engine), Some(model)) = (engine, &self.head.model) else {
            return VersionRequirement::None;
        };
        let queue_span = previous_version_span.saturating_sub(QUEUE_MARGIN);
        VersionRequirement::Model {
            model: model.clone(),
            layers: engine.layers,
            minimum: snapshot.oldest_allowed_version(model, previous_version_span, now),
            minimum_to_queue: snapshot.oldest_allowed_version(model, queue_span, now),
        }
    }

    /// Returns when to cancel the request at a backend server that holds `version`, unless it has
    /// started by then: `cancel_after` later than the target update to a newer version.
    ///
    /// A request is sent to an engine that seems to have a free slot. Other entry hosts send there
    /// as well, and engines that change their version pass their requests on, so that a request can
    /// wait at the engine until its version may no longer answer. The symptom is responses of a
    /// previous version after its deadline. An engine discards a waiting request when its
    /// connection closes.
    pub(super) fn cancel_at(
        &self,
        snapshot: &DeploymentSnapshot,
        version: Option<WeightsVersion>,
        cancel_after: Duration,
    ) -> Option<ClockTime> {
        let model = self.head.model.as_ref()?;
        version.and_then(|version| snapshot.usable_until(model, Some(version), cancel_after))
    }
}

/// Finds the route and the client account of a request.
///
/// # Errors
///
/// `RouteUnknown`, `AccountUnknown`, or `NoBackend` if the route has no service.
pub(super) fn route_request(
    catalog: &ServiceCatalog,
    head: &RequestHead,
    host: &str,
    path: &str,
) -> SwitchResult<RoutedRequest> {
    let host = host_name(host);
    let Some(rule) = catalog.routes.find(&host, path) else {
        let detail = format!("no route for {path} at this host");
        return Err(SwitchError::new(ErrorKind::RouteUnknown, detail));
    };
    let account = head
        .api_key
        .as_ref()
        .and_then(|api_key| catalog.account_of(api_key));
    if account.is_none() && catalog.has_accounts() && !rule.is_public {
        let detail = "no client account has the given key";
        return Err(SwitchError::new(ErrorKind::AccountUnknown, detail));
    }
    let hash = name_hash(head.attempt.as_deref().unwrap_or_default());
    let service = rule.service_for(hash).cloned().ok_or_else(|| {
        let detail = format!("route {} has no service", rule.name);
        SwitchError::new(ErrorKind::NoBackend, detail)
    })?;
    Ok(RoutedRequest {
        rule: rule.clone(),
        host: host.into(),
        service,
        account: account.map(|account| account.name.clone()),
        rank: PriorityRank::new(account.and_then(|account| account.priority), rule.priority),
        homes: account.map_or_else(
            || rule.homes.clone(),
            |account| rule.homes.intersect(&account.homes),
        ),
        document: catalog.version,
    })
}

/// Returns the host in lower case, without the port.
fn host_name(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|digit| digit.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
