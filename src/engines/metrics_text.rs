//! The `metrics_text` dialect: the engine reports its state as Prometheus text, and orders carry
//! fencing numbers.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use bytestring::ByteString;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::engine_client::{CallTimeout, EngineClient, parse_json, priority_number};
use super::{
    CacheChanges, CacheEvent, EngineAdapter, EngineCall, EnginePart, EngineProfile, EngineState,
    EngineStream, LoadOrder,
};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::membership::{LoadReport, ServingVersion};
use crate::transport::PeerClient;

/// The adapter for engines that speak `metrics_text`.
pub(crate) struct MetricsTextAdapter {
    client: EngineClient,
    /// The name of the service, sent as `model` in each completion request.
    model: ByteString,
}

#[derive(Deserialize)]
struct VersionMessage {
    checks_fencing: bool,
    max_running: u32,
}

#[derive(Serialize)]
struct LoadMessage<'a> {
    version: &'a str,
    digest: String,
    size: u64,
    source: &'a str,
    fence: u64,
}

#[derive(Serialize)]
struct RoleMessage<'a> {
    role: &'a str,
    fence: u64,
}

#[derive(Serialize)]
struct CompletionMessage<'a> {
    request_id: &'a str,
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    resume_from: u32,
    priority: u8,
    stream: bool,
}

#[derive(Serialize)]
struct CancelMessage<'a> {
    request_id: &'a str,
}

#[derive(Deserialize)]
struct EventMessage {
    request_id: ByteString,
    index: Option<u32>,
    text: Option<ByteString>,
    finish_reason: Option<ByteString>,
    tokens: Option<u32>,
}

#[derive(Deserialize)]
struct CacheMessage {
    events: Vec<PrefixMessage>,
    next: u64,
    gap: bool,
}

#[derive(Deserialize)]
struct PrefixMessage {
    prefix: ByteString,
    held: bool,
}

/// Data of the event that follows the last part of an answer.
const DONE_EVENT_DATA: &str = "[DONE]";

impl MetricsTextAdapter {
    /// Creates an adapter for the engine at `address`, which serves the service `model`.
    pub(crate) const fn new(
        address: SocketAddr,
        client: Arc<PeerClient>,
        model: ByteString,
    ) -> Self {
        let client = EngineClient::new(address, client);
        Self { client, model }
    }

    async fn fetch_profile(&self) -> SwitchResult<EngineProfile> {
        let response = self
            .client
            .request(Method::GET, "/version", CallTimeout::State)
            .await?;
        response.check_success(ErrorKind::EngineFailed)?;
        let message: VersionMessage = response.json()?;
        Ok(EngineProfile {
            checks_fencing: message.checks_fencing,
            running_max: message.max_running,
        })
    }

    async fn fetch_state(&self) -> SwitchResult<EngineState> {
        let response = self
            .client
            .request(Method::GET, "/metrics", CallTimeout::State)
            .await?;
        response.check_success(ErrorKind::EngineFailed)?;
        parse_state(response.text()?)
    }

    async fn send_load(&self, order: &LoadOrder) -> SwitchResult<()> {
        let message = LoadMessage {
            version: &order.serving.version,
            digest: order.serving.digest.to_string(),
            size: order.size,
            source: &order.source_url,
            fence: order.fence,
        };
        let response = self
            .client
            .post("/control/load", &message, CallTimeout::Load)
            .await?;
        match response.status {
            StatusCode::CONFLICT => Err(response.failure(ErrorKind::OrderStale)),
            _ => response.check_success(ErrorKind::ActivationFailed),
        }
    }

    async fn send_role(&self, role: &str, fence: u64) -> SwitchResult<()> {
        let message = RoleMessage { role, fence };
        let response = self
            .client
            .post("/control/role", &message, CallTimeout::State)
            .await?;
        match response.status {
            StatusCode::CONFLICT => Err(response.failure(ErrorKind::OrderStale)),
            _ => response.check_success(ErrorKind::EngineFailed),
        }
    }

    async fn start_generation(&self, call: EngineCall) -> SwitchResult<EngineStream> {
        let message = CompletionMessage {
            request_id: &call.request,
            model: &self.model,
            prompt: &call.prompt,
            max_tokens: call.max_tokens,
            resume_from: call.resume_from,
            priority: priority_number(call.priority),
            stream: true,
        };
        self.client
            .stream("/v1/completions", &message, parse_part)
            .await
    }

    async fn send_cancel(&self, request: &str) -> SwitchResult<()> {
        let message = CancelMessage {
            request_id: request,
        };
        let response = self
            .client
            .post("/control/cancel", &message, CallTimeout::State)
            .await?;
        response.check_success(ErrorKind::EngineFailed)
    }

    async fn fetch_cache_changes(&self, after: u64) -> SwitchResult<CacheChanges> {
        let path = format!("/cache/events?after={after}");
        let response = self
            .client
            .request(Method::GET, &path, CallTimeout::State)
            .await?;
        response.check_success(ErrorKind::EngineFailed)?;
        let message: CacheMessage = response.json()?;
        let event = |message: PrefixMessage| CacheEvent {
            prefix: message.prefix,
            is_cached: message.held,
        };
        Ok(CacheChanges {
            events: message.events.into_iter().map(event).collect(),
            next_cursor: message.next,
            has_gap: message.gap,
        })
    }
}

impl EngineAdapter for MetricsTextAdapter {
    fn read_profile(&self) -> BoxFuture<'_, SwitchResult<EngineProfile>> {
        self.fetch_profile().boxed()
    }

    fn read_state(&self) -> BoxFuture<'_, SwitchResult<EngineState>> {
        self.fetch_state().boxed()
    }

    fn load_version<'a>(&'a self, order: &'a LoadOrder) -> BoxFuture<'a, SwitchResult<()>> {
        self.send_load(order).boxed()
    }

    fn set_role<'a>(&'a self, role: &'a str, fence: u64) -> BoxFuture<'a, SwitchResult<()>> {
        self.send_role(role, fence).boxed()
    }

    fn generate(&self, call: EngineCall) -> BoxFuture<'_, SwitchResult<EngineStream>> {
        self.start_generation(call).boxed()
    }

    fn cancel<'a>(&'a self, request: &'a str) -> BoxFuture<'a, SwitchResult<()>> {
        self.send_cancel(request).boxed()
    }

    fn read_cache_changes(&self, after: u64) -> BoxFuture<'_, SwitchResult<CacheChanges>> {
        self.fetch_cache_changes(after).boxed()
    }
}

fn parse_part(data: &str) -> SwitchResult<Option<EnginePart>> {
    if data == DONE_EVENT_DATA {
        return Ok(None);
    }
    let event: EventMessage = parse_json(data)?;
    match (event.index, event.text, event.finish_reason, event.tokens) {
        (Some(index), Some(text), None, None) => Ok(Some(EnginePart::Token {
            request: event.request_id,
            index,
            text,
        })),
        (None, None, Some(reason), Some(tokens)) => Ok(Some(EnginePart::Finish {
            request: event.request_id,
            tokens,
            reason,
        })),
        _ => Err(SwitchError::new(
            ErrorKind::MessageInvalid,
            "engine: an event is neither a token nor the end of the answer",
        )),
    }
}

/// Parses the engine's state from its metrics.
fn parse_state(text: &str) -> SwitchResult<EngineState> {
    let running = metric_value(text, "engine_requests_running")?;
    let capacity: u32 = metric_value(text, "engine_max_running")?;
    let load = LoadReport {
        running,
        waiting: metric_value(text, "engine_requests_waiting")?,
        capacity,
        queue_room: capacity.saturating_sub(running),
    };
    Ok(EngineState {
        load,
        serving: parse_serving(text)?,
        fence: metric_value(text, "engine_load_fence")?,
        age_ms: metric_value(text, "engine_report_age_ms")?,
    })
}

/// Returns the value of the metric `name`, which has no labels.
fn metric_value<T: FromStr>(text: &str, name: &str) -> SwitchResult<T> {
    let value = text.lines().find_map(|line| {
        let rest = line.strip_prefix(name)?;
        rest.strip_prefix(' ')?.trim().parse().ok()
    });
    value.ok_or_else(|| {
        let detail = format!("engine: its metrics have no valid value of {name}");
        SwitchError::new(ErrorKind::MessageInvalid, detail)
    })
}

/// Parses the loaded version from the labels of `engine_weights_info`; `None` if that metric is
/// absent.
fn parse_serving(text: &str) -> SwitchResult<Option<ServingVersion>> {
    const METRIC_PREFIX: &str = "engine_weights_info{";
    let Some(labels) = text
        .lines()
        .find_map(|line| line.strip_prefix(METRIC_PREFIX))
    else {
        return Ok(None);
    };
    let version = label_value(labels, "version=\"");
    let digest = label_value(labels, "digest=\"").and_then(|digest| digest.parse().ok());
    match (version, digest) {
        (Some(version), Some(digest)) => Ok(Some(ServingVersion {
            version: version.into(),
            digest,
        })),
        _ => Err(SwitchError::new(
            ErrorKind::MessageInvalid,
            "engine: the labels of engine_weights_info are invalid",
        )),
    }
}

/// Returns the value of the label that starts with `opening`, such as `version="`.
fn label_value<'a>(labels: &'a str, opening: &str) -> Option<&'a str> {
    let value = labels.split_once(opening)?.1;
    value.split_once('"').map(|(value, _)| value)
}
