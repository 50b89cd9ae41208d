//! The `metrics_text` dialect: state as Prometheus text, orders with fencing numbers.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use bytestring::ByteString;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::engine_client::{CallLimit, EngineClient, parse_event, priority_number};
use super::{
    CacheChanges, CacheEvent, EngineAdapter, EngineCall, EnginePart, EngineProfile, EngineState,
    EngineStream, LoadOrder,
};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::membership::{LoadReport, ServingVersion};
use crate::transport::PeerClient;

/// An engine that speaks `metrics_text`.
pub(crate) struct MetricsTextAdapter {
    client: EngineClient,
    /// The model that completions name; the service.
    model: ByteString,
}

#[derive(Deserialize)]
struct VersionText {
    checks_fencing: bool,
    max_running: u32,
}

#[derive(Serialize)]
struct LoadText<'a> {
    version: &'a str,
    digest: String,
    size: u64,
    source: &'a str,
    fence: u64,
}

#[derive(Serialize)]
struct RoleText<'a> {
    role: &'a str,
    fence: u64,
}

#[derive(Serialize)]
struct CompletionText<'a> {
    request_id: &'a str,
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    resume_from: u32,
    priority: u8,
    stream: bool,
}

#[derive(Serialize)]
struct CancelText<'a> {
    request_id: &'a str,
}

#[derive(Deserialize)]
struct EventText {
    request_id: ByteString,
    index: Option<u32>,
    text: Option<ByteString>,
    finish_reason: Option<ByteString>,
    tokens: Option<u32>,
}

#[derive(Deserialize)]
struct CacheText {
    events: Vec<PrefixText>,
    next: u64,
    gap: bool,
}

#[derive(Deserialize)]
struct PrefixText {
    prefix: ByteString,
    held: bool,
}

const LAST_EVENT: &str = "[DONE]";

impl MetricsTextAdapter {
    /// The engine at `address`, which serves `model`.
    pub(crate) const fn new(
        address: SocketAddr,
        client: Arc<PeerClient>,
        model: ByteString,
    ) -> Self {
        let client = EngineClient::new(address, client);
        Self { client, model }
    }

    async fn ask_profile(&self) -> SwitchResult<EngineProfile> {
        let answer = self
            .client
            .ask(Method::GET, "/version", CallLimit::State)
            .await?;
        answer.expect_success(ErrorKind::EngineFailed)?;
        let text: VersionText = answer.json()?;
        Ok(EngineProfile {
            checks_fencing: text.checks_fencing,
            running_max: text.max_running,
        })
    }

    async fn ask_state(&self) -> SwitchResult<EngineState> {
        let answer = self
            .client
            .ask(Method::GET, "/metrics", CallLimit::State)
            .await?;
        answer.expect_success(ErrorKind::EngineFailed)?;
        read_metrics(answer.text()?)
    }

    async fn order_load(&self, order: &LoadOrder) -> SwitchResult<()> {
        let text = LoadText {
            version: &order.serving.version,
            digest: order.serving.digest.to_string(),
            size: order.size,
            source: &order.source_url,
            fence: order.fence,
        };
        let answer = self
            .client
            .post("/control/load", &text, CallLimit::Load)
            .await?;
        match answer.status {
            StatusCode::CONFLICT => Err(answer.failure(ErrorKind::OrderStale)),
            _ => answer.expect_success(ErrorKind::ActivationFailed),
        }
    }

    async fn order_role(&self, role: &str, fence: u64) -> SwitchResult<()> {
        let text = RoleText { role, fence };
        let answer = self
            .client
            .post("/control/role", &text, CallLimit::State)
            .await?;
        match answer.status {
            StatusCode::CONFLICT => Err(answer.failure(ErrorKind::OrderStale)),
            _ => answer.expect_success(ErrorKind::EngineFailed),
        }
    }

    async fn start(&self, call: EngineCall) -> SwitchResult<EngineStream> {
        let text = CompletionText {
            request_id: &call.request,
            model: &self.model,
            prompt: &call.prompt,
            max_tokens: call.max_tokens,
            resume_from: call.resume_from,
            priority: priority_number(call.priority),
            stream: true,
        };
        self.client
            .stream("/v1/completions", &text, read_event)
            .await
    }

    async fn order_cancel(&self, request: &str) -> SwitchResult<()> {
        let text = CancelText {
            request_id: request,
        };
        let answer = self
            .client
            .post("/control/cancel", &text, CallLimit::State)
            .await?;
        answer.expect_success(ErrorKind::EngineFailed)
    }

    async fn ask_cache(&self, after: u64) -> SwitchResult<CacheChanges> {
        let path = format!("/cache/events?after={after}");
        let answer = self
            .client
            .ask(Method::GET, &path, CallLimit::State)
            .await?;
        answer.expect_success(ErrorKind::EngineFailed)?;
        let text: CacheText = answer.json()?;
        let event = |text: PrefixText| CacheEvent {
            prefix: text.prefix,
            held: text.held,
        };
        Ok(CacheChanges {
            events: text.events.into_iter().map(event).collect(),
            next_cursor: text.next,
            has_gap: text.gap,
        })
    }
}

impl EngineAdapter for MetricsTextAdapter {
    fn read_profile(&self) -> BoxFuture<'_, SwitchResult<EngineProfile>> {
        self.ask_profile().boxed()
    }

    fn read_state(&self) -> BoxFuture<'_, SwitchResult<EngineState>> {
        self.ask_state().boxed()
    }

    fn load_version<'a>(&'a self, order: &'a LoadOrder) -> BoxFuture<'a, SwitchResult<()>> {
        self.order_load(order).boxed()
    }

    fn set_role<'a>(&'a self, role: &'a str, fence: u64) -> BoxFuture<'a, SwitchResult<()>> {
        self.order_role(role, fence).boxed()
    }

    fn generate(&self, call: EngineCall) -> BoxFuture<'_, SwitchResult<EngineStream>> {
        self.start(call).boxed()
    }

    fn cancel<'a>(&'a self, request: &'a str) -> BoxFuture<'a, SwitchResult<()>> {
        self.order_cancel(request).boxed()
    }

    fn read_cache_changes(&self, after: u64) -> BoxFuture<'_, SwitchResult<CacheChanges>> {
        self.ask_cache(after).boxed()
    }
}

fn read_event(data: &str) -> SwitchResult<Option<EnginePart>> {
    if data == LAST_EVENT {
        return Ok(None);
    }
    let event: EventText = parse_event(data)?;
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
            "engine: an event is neither a token nor an end",
        )),
    }
}

/// The state in an engine's metrics.
fn read_metrics(text: &str) -> SwitchResult<EngineState> {
    let running = number(text, "engine_requests_running")?;
    let capacity: u32 = number(text, "engine_max_running")?;
    let load = LoadReport {
        running,
        waiting: number(text, "engine_requests_waiting")?,
        capacity,
        queue_room: capacity.saturating_sub(running),
    };
    Ok(EngineState {
        load,
        serving: read_serving(text)?,
        fence: number(text, "engine_load_fence")?,
        age_ms: number(text, "engine_report_age_ms")?,
    })
}

fn number<T: FromStr>(text: &str, name: &str) -> SwitchResult<T> {
    let value = text.lines().find_map(|line| {
        let rest = line.strip_prefix(name)?;
        rest.strip_prefix(' ')?.trim().parse().ok()
    });
    value.ok_or_else(|| {
        let detail = format!("engine: no number {name} in its metrics");
        SwitchError::new(ErrorKind::MessageInvalid, detail)
    })
}

fn read_serving(text: &str) -> SwitchResult<Option<ServingVersion>> {
    const NAME: &str = "engine_weights_info{";
    let Some(labels) = text.lines().find_map(|line| line.strip_prefix(NAME)) else {
        return Ok(None);
    };
    let version = label(labels, "version=\"");
    let digest = label(labels, "digest=\"").and_then(|digest| digest.parse().ok());
    match (version, digest) {
        (Some(version), Some(digest)) => Ok(Some(ServingVersion {
            version: version.into(),
            digest,
        })),
        _ => Err(SwitchError::new(
            ErrorKind::MessageInvalid,
            "engine: the loaded version does not read",
        )),
    }
}

fn label<'a>(labels: &'a str, opening: &str) -> Option<&'a str> {
    let value = labels.split_once(opening)?.1;
    value.split_once('"').map(|(value, _)| value)
}
