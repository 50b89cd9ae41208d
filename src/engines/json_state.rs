//! The `json_state` dialect: the engine reports its state as JSON, and orders carry no fencing
//! numbers.

use std::net::SocketAddr;
use std::sync::Arc;

use bytestring::ByteString;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Method;
use serde::{Deserialize, Serialize};

use super::engine_client::{CallTimeout, EngineClient, parse_json, priority_number};
use super::{
    CacheChanges, CacheEvent, EngineAdapter, EngineCall, EnginePart, EngineProfile, EngineState,
    EngineStream, LoadOrder,
};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::membership::{LoadReport, ServingVersion};
use crate::transport::PeerClient;
use crate::weights::WeightsDigest;

/// The adapter for engines that speak `json_state`.
pub(crate) struct JsonStateAdapter {
    client: EngineClient,
}

#[derive(Deserialize)]
struct StateMessage {
    fencing: bool,
    slots: SlotsMessage,
    model: Option<ModelMessage>,
    age_ms: u64,
}

#[derive(Deserialize)]
struct SlotsMessage {
    busy: u32,
    queued: u32,
    total: u32,
}

#[derive(Deserialize)]
struct ModelMessage {
    name: ByteString,
    sha: WeightsDigest,
}

#[derive(Serialize)]
struct LoadMessage<'a> {
    name: &'a str,
    sha: String,
    bytes: u64,
    from: &'a str,
}

#[derive(Serialize)]
struct RoleMessage<'a> {
    role: &'a str,
}

#[derive(Serialize)]
struct GenerateMessage<'a> {
    id: &'a str,
    text: &'a str,
    limit: u32,
    skip: u32,
    prio: u8,
}

#[derive(Deserialize)]
struct EventMessage {
    id: ByteString,
    n: Option<u32>,
    t: Option<ByteString>,
    done: Option<ByteString>,
    count: Option<u32>,
}

#[derive(Deserialize)]
struct PrefixesMessage {
    added: Vec<ByteString>,
    dropped: Vec<ByteString>,
    cursor: u64,
    lost: bool,
}

impl JsonStateAdapter {
    /// Creates an adapter for the engine at `address`.
    pub(crate) const fn new(address: SocketAddr, client: Arc<PeerClient>) -> Self {
        let client = EngineClient::new(address, client);
        Self { client }
    }

    async fn fetch_state_message(&self) -> SwitchResult<StateMessage> {
        let response = self
            .client
            .request(Method::GET, "/state", CallTimeout::State)
            .await?;
        response.check_success(ErrorKind::EngineFailed)?;
        response.json()
    }

    async fn fetch_profile(&self) -> SwitchResult<EngineProfile> {
        let message = self.fetch_state_message().await?;
        Ok(EngineProfile {
            checks_fencing: message.fencing,
            running_max: message.slots.total,
        })
    }

    async fn fetch_state(&self) -> SwitchResult<EngineState> {
        let message = self.fetch_state_message().await?;
        let load = LoadReport {
            running: message.slots.busy,
            waiting: message.slots.queued,
            capacity: message.slots.total,
            queue_room: message.slots.total.saturating_sub(message.slots.busy),
        };
        let serving = message.model.map(|model| ServingVersion {
            version: model.name,
            digest: model.sha,
        });
        Ok(EngineState {
            load,
            serving,
            fence: 0,
            age_ms: message.age_ms,
        })
    }

    async fn send_load(&self, order: &LoadOrder) -> SwitchResult<()> {
        let message = LoadMessage {
            name: &order.serving.version,
            sha: order.serving.digest.to_string(),
            bytes: order.size,
            from: &order.source_url,
        };
        let response = self
            .client
            .post("/models/load", &message, CallTimeout::Load)
            .await?;
        response.check_success(ErrorKind::ActivationFailed)
    }

    async fn send_role(&self, role: &str) -> SwitchResult<()> {
        let message = RoleMessage { role };
        let response = self
            .client
            .post("/role", &message, CallTimeout::State)
            .await?;
        response.check_success(ErrorKind::EngineFailed)
    }

    async fn start_generation(&self, call: EngineCall) -> SwitchResult<EngineStream> {
        let message = GenerateMessage {
            id: &call.request,
            text: &call.prompt,
            limit: call.max_tokens,
            skip: call.resume_from,
            prio: priority_number(call.priority),
        };
        self.client.stream("/generate", &message, parse_part).await
    }

    async fn send_cancel(&self, request: &str) -> SwitchResult<()> {
        let path = format!("/generate/{request}");
        let response = self
            .client
            .request(Method::DELETE, &path, CallTimeout::State)
            .await?;
        response.check_success(ErrorKind::EngineFailed)
    }

    async fn fetch_cache_changes(&self, after: u64) -> SwitchResult<CacheChanges> {
        let path = format!("/prefixes?since={after}");
        let response = self
            .client
            .request(Method::GET, &path, CallTimeout::State)
            .await?;
        response.check_success(ErrorKind::EngineFailed)?;
        let message: PrefixesMessage = response.json()?;
        let dropped = message.dropped.into_iter().map(|prefix| CacheEvent {
            prefix,
            is_cached: false,
        });
        let added = message.added.into_iter().map(|prefix| CacheEvent {
            prefix,
            is_cached: true,
        });
        Ok(CacheChanges {
            events: dropped.chain(added).collect(),
            next_cursor: message.cursor,
            has_gap: message.lost,
        })
    }
}

impl EngineAdapter for JsonStateAdapter {
    fn read_profile(&self) -> BoxFuture<'_, SwitchResult<EngineProfile>> {
        self.fetch_profile().boxed()
    }

    fn read_state(&self) -> BoxFuture<'_, SwitchResult<EngineState>> {
        self.fetch_state().boxed()
    }

    fn load_version<'a>(&'a self, order: &'a LoadOrder) -> BoxFuture<'a, SwitchResult<()>> {
        self.send_load(order).boxed()
    }

    /// Ignores the fencing number: the dialect has none, because only the host process sends orders
    /// to such an engine.
    fn set_role<'a>(&'a self, role: &'a str, _fence: u64) -> BoxFuture<'a, SwitchResult<()>> {
        self.send_role(role).boxed()
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
    let event: EventMessage = parse_json(data)?;
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
            "engine: an event is neither a token nor the end of the answer",
        )),
    }
}
