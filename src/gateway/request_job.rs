//! A client's request once it is read, routed and allowed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytestring::ByteString;
use http::{HeaderMap, Method, Uri};

use crate::catalog::{EngineFacts, RepeatRule, RouteRule, ServiceCatalog};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{EngineWork, VersionNeed, WeightsVersion};
use crate::overload::is_returned;
use crate::platform::{PRIORITY_MAX, RequestHead};
use crate::quarantine::{RequestDigest, RequestParts};
use crate::routing::name_hash;
use crate::sync::ControlSnapshot;
use crate::time::ClockTime;

/// How long clients wait for an event of a stream, the first one included: at least so long, so many
/// times the route's latency target and so many times its longest pause, whichever is most. The figures
/// are the platform's.
const CLIENT_PATIENCE_LEAST: Duration = Duration::from_secs(2);
const CLIENT_PATIENCE_TARGETS: u32 = 4;
const CLIENT_PATIENCE_PAUSES: u32 = 8;

/// A repeatable request of a plain service that has no answer after this many times its latency
/// target is sent to another backend server as well: late answers come from few backend servers.
const HEAD_PATIENCE_TARGETS: u32 = 2;
/// How long the first event of a stream may take before another backend server is asked as well.
const FIRST_EVENT_WITHIN: Duration = Duration::from_millis(1200);

/// The rank of a stream that goes on at another engine: its client sees the pause, and a place that it
/// held elsewhere has just become free.
const PRIORITY_RESUMED: u8 = 0;

/// How much earlier nothing waits for a place at an older version any more: engines that change send
/// what they worked on to the others, where a request has waited 1.6 s.
const WAIT_MARGIN: Duration = Duration::from_millis(1500);

/// What a request's head says of itself, before its body is read.
#[derive(Clone, Debug)]
pub(super) struct RoutedRequest {
    pub(super) rule: Arc<RouteRule>,
    /// The host that it names, in lower case.
    pub(super) host: ByteString,
    pub(super) service: ByteString,
    pub(super) account: Option<ByteString>,
    pub(super) rank: u8,
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
    /// When the client, or the route, has waited long enough.
    pub(super) deadline: ClockTime,
}

impl RequestJob {
    /// What may be repeated of it.
    pub(super) fn repeat(&self) -> RepeatRule {
        self.routed.rule.repeat
    }

    /// What it has in common with other attempts of the same request.
    pub(super) fn digest(&self) -> RequestDigest {
        RequestDigest::of(RequestParts {
            host: &self.routed.host,
            path: self.uri.path(),
            account: self.routed.account.as_deref(),
            body: &self.body,
        })
    }

    /// How much of its time is left.
    pub(super) fn time_left(&self, now: ClockTime) -> Duration {
        self.deadline.since(now)
    }

    /// When its client stops waiting for the next event of a stream that last brought something at
    /// `since`, or was sent then.
    pub(super) fn given_up_at(&self, since: ClockTime) -> ClockTime {
        let rule = &self.routed.rule;
        let patience = CLIENT_PATIENCE_LEAST
            .max(rule.target * CLIENT_PATIENCE_TARGETS)
            .max(rule.pause * CLIENT_PATIENCE_PAUSES);
        self.deadline.min(since + patience)
    }

    /// How long the head of an answer may take before another backend server is asked as well; none if
    /// the request may run once only.
    pub(super) fn head_patience(&self) -> Option<Duration> {
        if !self.repeat().is_repeatable() {
            None
        } else if self.repeat().is_stream() {
            Some(FIRST_EVENT_WITHIN)
        } else {
            Some(self.routed.rule.target * HEAD_PATIENCE_TARGETS)
        }
    }

    /// Whether the client was refused before and came back.
    pub(super) fn is_returned(&self) -> bool {
        let timeout = self.routed.rule.timeout;
        let asked = self.head.deadline.unwrap_or(timeout);
        is_returned(asked, timeout)
    }

    /// How urgent it is to a model engine's own queue; `is_resumed` when its client has seen a part of
    /// the answer.
    pub(super) fn engine_priority(&self, is_resumed: bool) -> u8 {
        if is_resumed {
            PRIORITY_RESUMED
        } else if self.is_returned() {
            PRIORITY_MAX
        } else {
            self.routed
                .rank
                .clamp(PRIORITY_RESUMED + 1, PRIORITY_MAX - 1)
        }
    }

    /// What it asks of a model engine; none if it is for a plain service.
    pub(super) fn engine_work(&self, snapshot: &ControlSnapshot) -> Option<EngineWork> {
        let engine = self.engine_facts(snapshot)?;
        Some(EngineWork {
            speed: engine.speed,
            prompt_tokens: self.head.prompt_tokens,
        })
    }

    fn engine_facts<'a>(&self, snapshot: &'a ControlSnapshot) -> Option<&'a EngineFacts> {
        let catalog = snapshot.catalog.as_ref()?;
        catalog.service(&self.routed.service)?.engine.as_ref()
    }

    /// Which weights may answer it at `now`.
    pub(super) fn version_need(
        &self,
        snapshot: &ControlSnapshot,
        older_for: Duration,
        now: ClockTime,
    ) -> VersionNeed {
        let engine = self.engine_facts(snapshot);
        let (Some(engine), Some(model)) = (engine, &self.head.model) else {
            return VersionNeed::None;
        };
        let wait_for = older_for.saturating_sub(WAIT_MARGIN);
        VersionNeed::Model {
            model: model.clone(),
            layers: engine.layers,
            least: snapshot.oldest_allowed_version(model, older_for, now),
            least_to_wait: snapshot.oldest_allowed_version(model, wait_for, now),
        }
    }

    /// When it is taken back from a backend server that holds version `held` and has not begun it by
    /// then, `bound` after a newer version was named.
    ///
    /// A request is sent where a place seems free, but other entry hosts send there too, and engines
    /// that change their weights leave theirs to the others: it can wait at the engine until its
    /// version may no longer answer. One would notice answers of older weights behind their bound.
    /// An engine drops what waits when its connection closes.
    pub(super) fn taken_back_at(
        &self,
        snapshot: &ControlSnapshot,
        held: Option<WeightsVersion>,
        bound: Duration,
    ) -> Option<ClockTime> {
        let model = self.head.model.as_ref()?;
        held.and_then(|held| snapshot.usable_until(model, Some(held), bound))
    }
}

/// Finds the route and the client account of a request.
///
/// # Errors
///
/// `RouteUnknown` or `AccountUnknown`.
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
    let known = head
        .secret
        .as_ref()
        .and_then(|secret| catalog.account_of(secret));
    if known.is_none() && catalog.has_accounts() && !rule.is_public {
        let detail = "no client account holds the given key";
        return Err(SwitchError::new(ErrorKind::AccountUnknown, detail));
    }
    let hash = name_hash(head.attempt.as_deref().unwrap_or_default());
    let service = rule.service_for(hash).cloned().ok_or_else(|| {
        let detail = format!("route {} leads nowhere", rule.name);
        SwitchError::new(ErrorKind::NoBackend, detail)
    })?;
    Ok(RoutedRequest {
        rule: rule.clone(),
        host: host.into(),
        service,
        account: known.map(|account| account.name.clone()),
        rank: known.and_then(|account| account.rank).unwrap_or(rule.rank),
    })
}

/// The host without its port, in lower case.
fn host_name(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|digit| digit.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
