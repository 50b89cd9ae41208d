//! The `json_state` dialect: state as JSON, orders without fencing numbers.

use std::net::SocketAddr;
use std::sync::Arc;

use bytestring::ByteString;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Method;
use serde::{Deserialize, Serialize};

use super::engine_client::{CallLimit, EngineClient, parse_event, priority_number};
use super::{
    CacheChanges, CacheEvent, EngineAdapter, EngineCall, EnginePart, EngineProfile, EngineState,
    EngineStream, LoadOrder,
};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::membership::{LoadReport, ServingVersion};
use crate::transport::PeerClient;
use crate::weights::WeightsDigest;

/// An engine that speaks `json_state`.
pub(crate) struct JsonStateAdapter {
    client: EngineClient,
}

#[derive(Deserialize)]
struct StateText {
    fencing: bool,
    slots: SlotsText,
    model: Option<ModelText>,
    age_ms: u64,
}

#[derive(Deserialize)]
struct SlotsText {
    busy: u32,
    queued: u32,
    total: u32,
}

#[derive(Deserialize)]
struct ModelText {
    name: ByteString,
    sha: WeightsDigest,
}

#[derive(Serialize)]
struct LoadText<'a> {
    name: &'a str,
    sha: String,
    bytes: u64,
    from: &'a str,
}

#[derive(Serialize)]
struct RoleText<'a> {
    role: &'a str,
}

#[derive(Serialize)]
struct GenerateText<'a> {
    id: &'a str,
    text: &'a str,
    limit: u32,
    skip: u32,
    prio: u8,
}

#[derive(Deserialize)]
struct EventText {
    id: ByteString,
    n: Option<u32>,
    t: Option<ByteString>,
    done: Option<ByteString>,
    count: Option<u32>,
}

#[derive(Deserialize)]
struct PrefixesText {
    added: Vec<ByteString>,
    dropped: Vec<ByteString>,
    cursor: u64,
    lost: bool,
}

impl JsonStateAdapter {
    /// The engine at `address`.
    pub(crate) const fn new(address: SocketAddr, client: Arc<PeerClient>) -> Self {
        let client = EngineClient::new(address, client);
        Self { client }
    }

    async fn ask_text(&self) -> SwitchResult<StateText> {
        let answer = self
            .client
            .ask(Method::GET, "/state", CallLimit::State)
            .await?;
        answer.expect_success(ErrorKind::EngineFailed)?;
        answer.json()
    }

    async fn ask_profile(&self) -> SwitchResult<EngineProfile> {
        let text = self.ask_text().await?;
        Ok(EngineProfile {
            checks_fencing: text.fencing,
            running_max: text.slots.total,
        })
    }

    async fn ask_state(&self) -> SwitchResult<EngineState> {
        let text = self.ask_text().await?;
        let load = LoadReport {
            running: text.slots.busy,
            waiting: text.slots.queued,
            capacity: text.slots.total,
            queue_room: text.slots.total.saturating_sub(text.slots.busy),
        };
        let serving = text.model.map(|model| ServingVersion {
            version: model.name,
            digest: model.sha,
        });
        Ok(EngineState {
            load,
            serving,
            fence: 0,
            age_ms: text.age_ms,
        })
    }

    async fn order_load(&self, order: &LoadOrder) -> SwitchResult<()> {
        let text = LoadText {
            name: &order.serving.version,
            sha: order.serving.digest.to_string(),
            bytes: order.size,
            from: &order.source_url,
        };
        let answer = self
            .client
            .post("/models/load", &text, CallLimit::Load)
            .await?;
        answer.expect_success(ErrorKind::ActivationFailed)
    }

    async fn order_role(&self, role: &str) -> SwitchResult<()> {
        let text = RoleText { role };
        let answer = self.client.post("/role", &text, CallLimit::State).await?;
        answer.expect_success(ErrorKind::EngineFailed)
    }

    async fn start(&self, call: EngineCall) -> SwitchResult<EngineStream> {
        let text = GenerateText {
            id: &call.request,
            text: &call.prompt,
            limit: call.max_tokens,
            skip: call.resume_from,
            prio: priority_number(call.priority),
        };
        self.client.stream("/generate", &text, read_event).await
    }

    async fn order_cancel(&self, request: &str) -> SwitchResult<()> {
        let path = format!("/generate/{request}");
        let answer = self
            .client
            .ask(Method::DELETE, &path, CallLimit::State)
            .await?;
        answer.expect_success(ErrorKind::EngineFailed)
    }

    async fn ask_cache(&self, after: u64) -> SwitchResult<CacheChanges> {
        let path = format!("/prefixes?since={after}");
        let answer = self
            .client
            .ask(Method::GET, &path, CallLimit::State)
            .await?;
        answer.expect_success(ErrorKind::EngineFailed)?;
        let text: PrefixesText = answer.json()?;
        let dropped = text.dropped.into_iter().map(|prefix| CacheEvent {
            prefix,
            held: false,
        });
        let added = text
            .added
            .into_iter()
            .map(|prefix| CacheEvent { prefix, held: true });
        Ok(CacheChanges {
            events: dropped.chain(added).collect(),
            next_cursor: text.cursor,
            has_gap: text.lost,
        })
    }
}

impl EngineAdapter for JsonStateAdapter {
    fn read_profile(&self) -> BoxFuture<'_, SwitchResult<EngineProfile>> {
        self.ask_profile().boxed()
    }

    fn read_state(&self) -> BoxFuture<'_, SwitchResult<EngineState>> {
        self.ask_state().boxed()
    }

    fn load_version<'a>(&'a self, order: &'a LoadOrder) -> BoxFuture<'a, SwitchResult<()>> {
        self.order_load(order).boxed()
    }

    /// The dialect has no fencing numbers: the host process is the only one that gives orders.
    fn set_role<'a>(&'a self, role: &'a str, _fence: u64) -> BoxFuture<'a, SwitchResult<()>> {
        self.order_role(role).boxed()
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
    let event: EventText = parse_event(data)?;
    match (event.n, event.t, event.done, event.count) {
        (Some(index), Some(text), None, None) => Ok(Some(EnginePart::Token {
            request: event.id,
            index,
            text,
        })),
        (None, None, Some(reason), Some(tokens)) => Ok(Some(EnginePart::Finish {
            request: event.id,
            tokens,
            reason,
        })),
        _ => Err(SwitchError::new(
            ErrorKind::MessageInvalid,
            "engine: an event is neither a token nor an end",
        )),
    }
}
