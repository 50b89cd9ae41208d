//! Client of the engine on the same host: reads its state, stages chunks of weights, and orders it
//! to load them. Also has the call functions that the other clients of the platform use.

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
use crate::transport::{PeerClient, ResponseTimeouts, read_body, stall_tolerant_timeout};

const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The weights that an engine holds, as its report and its entry in the store give them.
#[derive(Default, Deserialize)]
pub(super) struct HoldingsText {
    #[serde(default)]
    pub(super) models: Vec<JsonObject<ModelText>>,
    pub(super) layers: Option<LayersText>,
}

/// A loaded model.
#[derive(Deserialize)]
pub(super) struct ModelText {
    name: String,
    version: u64,
}

/// The loaded layers: one range or a list of them.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum LayersText {
    Many(Vec<JsonObject<RangeText>>),
    One(JsonObject<RangeText>),
}

/// The layers `from..to` of one version.
#[derive(Deserialize)]
pub(super) struct RangeText {
    from: u32,
    to: u32,
    version: u64,
}

/// Converts the decoded holdings.
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

/// The state of an engine, by its own report.
#[apply(plain!)]
pub(crate) struct EngineReport {
    /// The versions and layers that are loaded.
    pub(crate) holdings: EngineHoldings,
    /// The start of the engine by its own clock; none if it does not report one.
    pub(crate) start_time: Option<WallTime>,
    /// Whether the engine is carrying out an order.
    pub(crate) is_busy: bool,
    /// The number of orders accepted since the start. The next order must carry this number.
    pub(crate) orders_accepted: u64,
    /// The number of requests that wait for a slot.
    pub(crate) queued: u32,
    /// The number of requests that the engine is running.
    pub(crate) active: u32,
    /// How many times slower the engine is than the document says.
    pub(crate) pace: f64,
}

#[derive(Deserialize)]
struct ReportText {
    #[serde(flatten)]
    holdings: HoldingsText,
    /// The start of the engine in Unix milliseconds.
    #[serde(rename = "born")]
    start_time: Option<u64>,
    #[serde(default)]
    busy: bool,
    /// The number of accepted orders; unrelated to the store's revisions.
    #[serde(default)]
    sequence: u64,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    active: u32,
    /// Above 1 for a slow engine, although the name suggests the opposite.
    #[serde(default = "usual_pace")]
    pace: f64,
}

/// Decodes the report of an engine.
///
/// # Errors
///
/// `MessageInvalid` if the report cannot be decoded.
pub(super) fn read_report(body: &[u8]) -> SwitchResult<EngineReport> {
    let text: ReportText = serde_json::from_slice(body).map_err(|fault| {
        SwitchError::new(ErrorKind::MessageInvalid, format!("engine report: {fault}"))
    })?;
    Ok(EngineReport {
        holdings: read_holdings(text.holdings),
        start_time: text.start_time.map(WallTime),
        is_busy: text.busy,
        orders_accepted: text.sequence,
        queued: text.queued,
        active: text.active,
        pace: text.pace,
    })
}

/// An order to load a version from the staged chunks.
#[apply(plain!)]
pub(crate) struct LoadOrder {
    /// The version to load.
    pub(crate) target: ModelVersion,
    /// The only layer to load; none for all layers.
    pub(crate) layer: Option<u32>,
    /// The number of orders that the engine must have accepted before; it refuses the order
    /// otherwise.
    pub(crate) orders_accepted: u64,
    /// Whether the engine aborts its running requests; otherwise it completes them first.
    pub(crate) aborts_requests: bool,
}

/// The outcome of an order.
#[apply(key!)]
pub(crate) enum OrderOutcome {
    /// The engine has started to carry it out.
    Started,
    /// The engine has loaded the ordered version already.
    AlreadyLoaded,
    /// The engine refused it, because it does not match the engine's state.
    Refused,
}

#[derive(Serialize)]
struct OrderText<'a> {
    operation: &'static str,
    model: &'a str,
    version: u64,
    /// `wait` to complete running requests first, `abort` to abort them.
    strategy: &'static str,
    precondition: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    from: Option<u32>,
    /// The end of the range of layers, exclusive.
    #[serde(skip_serializing_if = "Option::is_none")]
    to: Option<u32>,
}

#[derive(Deserialize)]
struct StagedText {
    #[serde(default)]
    held: Vec<u32>,
}

/// A client of the engine on this host; clones share its connections.
#[derive(Clone)]
pub(crate) struct EngineClient {
    address: SocketAddr,
    client: Arc<PeerClient>,
}

impl EngineClient {
    /// Creates a client of the engine at `address`.
    pub(crate) const fn new(address: SocketAddr, client: Arc<PeerClient>) -> Self {
        Self { address, client }
    }

    /// Reads the engine's state.
    ///
    /// # Errors
    ///
    /// `PeerSilent`, `ConnectFailed` or `AnswerCut` if the engine does not respond completely,
    /// `EngineRefused` if it responds with another status than 200, and `MessageInvalid` if the
    /// response cannot be decoded.
    pub(crate) async fn report(&self, timeout: Duration) -> SwitchResult<EngineReport> {
        let called = self.call(Method::GET, "/v1/report", Bytes::new(), timeout);
        read_report(&success_body(called.await?)?)
    }

    /// Lists the indexes of the staged chunks of `model`, whatever version they belong to.
    ///
    /// # Errors
    ///
    /// As [`EngineClient::report`].
    pub(crate) async fn staged(&self, model: &str, timeout: Duration) -> SwitchResult<Vec<u32>> {
        let path = format!("/v1/stage-get/{model}");
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), timeout).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(Vec::new());
        }
        let body = success_body((status, body))?;
        let text: StagedText = serde_json::from_slice(&body).map_err(|fault| {
            SwitchError::new(ErrorKind::MessageInvalid, format!("staged chunks: {fault}"))
        })?;
        Ok(text.held)
    }

    /// Reads a staged chunk back. It is not verified and may have become corrupt in the staging
    /// area.
    ///
    /// # Errors
    ///
    /// `ChunkMissing` if the chunk is not staged, otherwise as [`EngineClient::report`].
    pub(crate) async fn read_chunk(
        &self,
        model: &str,
        index: u32,
        timeout: Duration,
    ) -> SwitchResult<Bytes> {
        let path = format!("/v1/stage-get/{model}?item_count={index}");
        let (status, body) = self.call(Method::GET, &path, Bytes::new(), timeout).await?;
        if status == StatusCode::NOT_FOUND {
            return Err(SwitchError::new(
                ErrorKind::ChunkMissing,
                format!("chunk {index} is not staged"),
            ));
        }
        success_body((status, body))
    }

    /// Stages a chunk, replacing the one with the same index.
    ///
    /// # Errors
    ///
    /// As [`EngineClient::report`].
    pub(crate) async fn stage_chunk(
        &self,
        model: &str,
        index: u32,
        bytes: Bytes,
        timeout: Duration,
    ) -> SwitchResult<()> {
        let path = format!("/v1/stage-put/{model}?item_count={index}");
        success_body(self.call(Method::PUT, &path, bytes, timeout).await?).map(|_| ())
    }

    /// Orders the engine to load the staged chunks.
    ///
    /// # Errors
    ///
    /// As [`EngineClient::report`]; the engine may have accepted the order nevertheless.
    pub(crate) async fn order_load(
        &self,
        order: &LoadOrder,
        timeout: Duration,
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
        let called = self.call(Method::POST, "/v1/order", body.into(), timeout);
        match called.await? {
            (StatusCode::ACCEPTED, _) => Ok(OrderOutcome::Started),
            (StatusCode::OK, _) => Ok(OrderOutcome::AlreadyLoaded),
            (StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED, _) => {
                Ok(OrderOutcome::Refused)
            }
            response => success_body(response).map(|_| OrderOutcome::Refused),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> SwitchResult<(StatusCode, Bytes)> {
        exchange(&self.client, self.address, (method, path, body), timeout).await
    }
}

/// Makes one call and reads the complete response within `timeout`.
///
/// After a timeout the pooled connections to `address` are closed. Otherwise every later call could
/// wait for its timeout on a connection that no longer responds.
pub(super) async fn exchange(
    client: &PeerClient,
    address: SocketAddr,
    (method, path, body): (Method, &str, Bytes),
    timeout: Duration,
) -> SwitchResult<(StatusCode, Bytes)> {
    let request = call_request(method, path, body)?;
    let exchanged = async {
        let response = client.send(address, request, timeout).await?;
        let status = response.status();
        let body = read_body(response.into_body(), RESPONSE_BYTES_MAX).await?;
        Ok::<_, SwitchError>((status, body))
    };
    if let Ok(result) = stall_tolerant_timeout(timeout, Box::pin(exchanged)).await {
        return result;
    }
    client.drop_pool(address);
    let detail = format!("{address} did not respond to {path} within {timeout:?}");
    Err(SwitchError::new(ErrorKind::PeerSilent, detail))
}

/// Makes one call whose response may be large, and reads it for as long as it keeps to `pace`.
pub(super) async fn exchange_with_timeouts(
    client: &PeerClient,
    address: SocketAddr,
    (method, path, body): (Method, &str, Bytes),
    pace: ResponseTimeouts,
) -> SwitchResult<http::Response<Bytes>> {
    let request = call_request(method, path, body)?;
    let exchanged = client.exchange_with_timeouts(address, request, pace).await;
    exchanged.map_err(|error| {
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

/// The body of a response with status 200; `EngineRefused` for another status.
fn success_body((status, body): (StatusCode, Bytes)) -> SwitchResult<Bytes> {
    if status == StatusCode::OK {
        return Ok(body);
    }
    let detail = format!("responded with {status}");
    Err(SwitchError::new(ErrorKind::EngineRefused, detail))
}
