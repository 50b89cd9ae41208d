//! What the process beside an engine asks of it: its state, the staging of chunks, orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::request::Request;

use super::json_object::JsonObject;
use crate::derives::{key, plain};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{EngineHoldings, HeldLayers, ModelVersion, WeightsVersion};
use crate::overload::usual_pace;
use crate::time::WallTime;
use crate::transport::{AnswerPace, PeerClient, read_body, timeout_awake};

const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// What an engine holds, in the store's entries and in its own report.
#[derive(Default, Deserialize)]
pub(super) struct HoldingsText {
    #[serde(default)]
    pub(super) models: Vec<JsonObject<ModelText>>,
    pub(super) layers: Option<LayersText>,
}

/// A model that an engine has loaded.
#[derive(Deserialize)]
pub(super) struct ModelText {
    name: String,
    version: u64,
}

/// The layers that an engine holds.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum LayersText {
    Many(Vec<JsonObject<RangeText>>),
    One(JsonObject<RangeText>),
}

/// Layers of one version.
#[derive(Deserialize)]
pub(super) struct RangeText {
    from: u32,
    to: u32,
    version: u64,
}

pub(super) fn read_holdings(text: HoldingsText) -> EngineHoldings {
    let ranges = match text.layers {
        Some(LayersText::Many(ranges)) => ranges,
        Some(LayersText::One(range)) => vec![range],
        None => Vec::new(),
    };
    let models = text
        .models
        .into_iter()
        .map(|JsonObject(model)| ModelVersion {
            model: model.name.into(),
            version: WeightsVersion(model.version),
        });
    let layers = ranges.into_iter().map(|JsonObject(range)| HeldLayers {
        from: range.from,
        to: range.to,
        version: WeightsVersion(range.version),
    });
    EngineHoldings {
        models: models.collect(),
        layers: layers.collect(),
    }
}

/// What an engine says of itself.
#[apply(plain!)]
pub(crate) struct EngineReport {
    /// The versions and layers that it holds.
    pub(crate) holdings: EngineHoldings,
    /// When it started, by its own clock, if it says so.
    pub(crate) born: Option<WallTime>,
    /// Whether it carries out an order.
    pub(crate) is_busy: bool,
    /// How many orders it has accepted since it started; expected back with the next order.
    pub(crate) orders_accepted: u64,
    /// Requests that wait for a place.
    pub(crate) queued: u32,
    /// Requests that it works on.
    pub(crate) active: u32,
    /// How many times slower than published it is.
    pub(crate) pace: f64,
}

#[derive(Deserialize)]
struct ReportText {
    #[serde(flatten)]
    holdings: HoldingsText,
    /// The Unix millisecond of its start.
    born: Option<u64>,
    #[serde(default)]
    busy: bool,
    /// Counts orders; nothing to do with the store's revisions.
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    active: u32,
    /// Over 1 when it is slow; the wire's name suggests the opposite.
    #[serde(default = "usual_pace")]
    pace: f64,
}

/// Reads what an engine says of itself.
///
/// # Errors
///
/// `MessageInvalid` when it does not read.
pub(super) fn read_report(body: &[u8]) -> SwitchResult<EngineReport> {
    let text: ReportText = serde_json::from_slice(body).map_err(|fault| {
        SwitchError::new(ErrorKind::MessageInvalid, format!("engine report: {fault}"))
    })?;
    Ok(EngineReport {
        holdings: read_holdings(text.holdings),
        born: text.born.map(WallTime),
        is_busy: text.busy,
        orders_accepted: text.sequence,
        queued: text.queued,
        active: text.active,
        pace: text.pace,
    })
}

/// An order to load a version from what is staged.
#[apply(plain!)]
pub(crate) struct LoadOrder {
    /// What to load.
    pub(crate) target: ModelVersion,
    /// The only layer to load; all if none is named.
    pub(crate) layer: Option<u32>,
    /// The count of orders that the engine must have taken before.
    pub(crate) orders_accepted: u64,
    /// Whether requests that it works on are cut off; else they end first.
    pub(crate) aborts_requests: bool,
}

/// What became of an order.
#[apply(key!)]
pub(crate) enum OrderOutcome {
    /// It has begun.
    Started,
    /// What it asks for is so already.
    AlreadyLoaded,
    /// It does not fit the engine's state.
    Refused,
}

#[derive(Serialize)]
struct OrderText<'a> {
    operation: &'static str,
    model: &'a str,
    version: u64,
    /// Whether running requests may end first.
    strategy: &'static str,
    precondition: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    from: Option<u32>,
    /// The layer behind the last one.
    #[serde(skip_serializing_if = "Option::is_none")]
    to: Option<u32>,
}

#[derive(Deserialize)]
struct StagedText {
    #[serde(default)]
    held: Vec<u32>,
}

/// The client of the engine on this host.
#[derive(Clone)]
pub(crate) struct EngineClient {
    address: SocketAddr,
    client: Arc<PeerClient>,
}

impl EngineClient {
    /// A client of the engine at `address`.
    pub(crate) const fn new(address: SocketAddr, client: Arc<PeerClient>) -> Self {
        Self { address, client }
    }

    /// Asks for the engine's state.
    ///
    /// # Errors
    ///
    /// `PeerSilent`, `ConnectFailed` or `AnswerCut` when the engine does not answer.
    pub(crate) async fn report(&self, within: Duration) -> SwitchResult<EngineReport> {
        let called = self.call(Method::GET, "/v1/report", Bytes::new(), within);
        read_report(&whole(called.await?)?)
    }

    /// Lists the chunks of `model` that are staged, of whatever version.
    ///
    /// # Errors
    ///
    /// As [`EngineClient::report`].
    pub(crate) async fn staged(&self, model: &str, within: Duration) -> SwitchResult<Vec<u32>> {
        let path = format!("/v1/stage-get/{model}");
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), within).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(Vec::new());
        }
        let body = whole((status, body))?;
        let text: StagedText = serde_json::from_slice(&body).map_err(|fault| {
            SwitchError::new(ErrorKind::MessageInvalid, format!("staged chunks: {fault}"))
        })?;
        Ok(text.held)
    }

    /// Reads a staged chunk back; it may have gone bad since it was staged.
    ///
    /// # Errors
    ///
    /// `ChunkMissing` when it is not there, else as [`EngineClient::report`].
    pub(crate) async fn read_chunk(
        &self,
        model: &str,
        index: u32,
        within: Duration,
    ) -> SwitchResult<Bytes> {
        let path = format!("/v1/stage-get/{model}?item_count={index}");
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), within).await?;
        if status == StatusCode::NOT_FOUND {
            return Err(SwitchError::new(
                ErrorKind::ChunkMissing,
                format!("chunk {index} is not staged"),
            ));
        }
        whole((status, body))
    }

    /// Stages a chunk in place of whatever was staged under its number.
    ///
    /// # Errors
    ///
    /// As [`EngineClient::report`].
    pub(crate) async fn stage_chunk(
        &self,
        model: &str,
        index: u32,
        bytes: Bytes,
        within: Duration,
    ) -> SwitchResult<()> {
        let path = format!("/v1/stage-put/{model}?item_count={index}");
        whole(self.call(Method::PUT, &path, bytes, within).await?).map(|_| ())
    }

    /// Orders the engine to load what is staged.
    ///
    /// # Errors
    ///
    /// As [`EngineClient::report`]; the order may have been accepted all the same.
    pub(crate) async fn order_load(
        &self,
        order: &LoadOrder,
        within: Duration,
    ) -> SwitchResult<OrderOutcome> {
        let text = OrderText {
            operation: "start",
            model: &order.target.model,
            version: order.target.version.0,
            strategy: if order.aborts_requests {
                "abort"
            } else {
                "wait"
            },
            precondition: order.orders_accepted,
            from: order.layer,
            to: order.layer.map(|layer| layer + 1),
        };
        let body = serde_json::to_vec(&text)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))?;
        let called = self.call(Method::POST, "/v1/order", body.into(), within);
        match called.await? {
            (StatusCode::ACCEPTED, _) => Ok(OrderOutcome::Started),
            (StatusCode::OK, _) => Ok(OrderOutcome::AlreadyLoaded),
            (StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED, _) => {
                Ok(OrderOutcome::Refused)
            }
            answer => whole(answer).map(|_| OrderOutcome::Refused),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        within: Duration,
    ) -> SwitchResult<(StatusCode, Bytes)> {
        exchange(&self.client, self.address, (method, path, body), within).await
    }
}

/// One call with a whole answer. A call that takes too long leaves no connection behind: one that
/// went silent for good would cost every later call its time limit.
pub(super) async fn exchange(
    client: &PeerClient,
    address: SocketAddr,
    (method, path, body): (Method, &str, Bytes),
    within: Duration,
) -> SwitchResult<(StatusCode, Bytes)> {
    let request = call_request(method, path, body)?;
    let answered = async {
        let answer = client.send(address, request, within).await?;
        let status = answer.status();
        let body = read_body(answer.into_body(), ANSWER_BYTES_MAX).await?;
        Ok::<_, SwitchError>((status, body))
    };
    if let Ok(answer) = timeout_awake(within, Box::pin(answered)).await {
        return answer;
    }
    client.drop_pool(address);
    let detail = format!("{address} did not answer {path} within {within:?}");
    Err(SwitchError::new(ErrorKind::PeerSilent, detail))
}

/// The same, for an answer that may be large: it is read for as long as it arrives at `pace`.
pub(super) async fn exchange_arriving(
    client: &PeerClient,
    address: SocketAddr,
    (method, path, body): (Method, &str, Bytes),
    pace: AnswerPace,
) -> SwitchResult<(StatusCode, Bytes)> {
    let request = call_request(method, path, body)?;
    let answered = client.exchange_arriving(address, request, pace).await;
    answered.map_err(|error| {
        client.drop_pool(address);
        SwitchError::new(error.kind, format!("{path}: {}", error.detail))
    })
}

fn call_request(method: Method, path: &str, body: Bytes) -> SwitchResult<Request> {
    http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Body::from(body))
        .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))
}

fn whole((status, body): (StatusCode, Bytes)) -> SwitchResult<Bytes> {
    if status == StatusCode::OK {
        return Ok(body);
    }
    let detail = format!("answered {status}");
    Err(SwitchError::new(ErrorKind::EngineRefused, detail))
}
