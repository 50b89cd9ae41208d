//! One stand-in on one listener: its faults before and after, what it stands for in between.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::pending;
use http::{Method, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;
use macro_rules_attribute::apply;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo::net::Address;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::Router;

use super::engine::EngineStandIn;
use super::fault::{FaultBoard, FaultSettings};
use super::host_list::HostListStandIn;
use super::plain::PlainStandIn;
use super::table::TableStandIn;
use super::weights::WeightsStandIn;
use crate::daemon::DrainState;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::transport::{HttpServer, error_reply, json_reply, read_body};

/// A free port on loopback.
pub(crate) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

const BODY_BYTES_MAX: usize = 64 * 1024 * 1024;

/// What a stand-in stands for.
#[derive(Clone, Debug)]
pub(crate) enum StandInKind {
    /// The platform's table.
    Table(Arc<TableStandIn>),
    /// The platform's object store.
    /// The origin of weights, or the weight store.
    Weights(Arc<WeightsStandIn>),
    /// The platform's list of hosts.
    Hosts(Arc<HostListStandIn>),
    /// A model engine.
    Engine(Arc<EngineStandIn>),
    /// A plain service.
    Plain(Arc<PlainStandIn>),
}

/// A stand-in that listens. It goes on until the process ends.
#[derive(Clone, Debug)]
pub(crate) struct StandIn {
    address: SocketAddr,
    faults: Arc<FaultBoard>,
}

impl StandIn {
    /// Starts `kind` on `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` when the address cannot be had.
    pub(crate) async fn start(address: SocketAddr, kind: StandInKind) -> SwitchResult<Self> {
        let faults = Arc::new(FaultBoard::default());
        let desk = RequestDesk {
            kind,
            faults: faults.clone(),
        };
        let handler = move |peer: Address, request: Request| {
            let desk = desk.clone();
            async move { desk.take(peer, request).await }
        };
        let server = HttpServer::bind(address, Router::new().fallback(handler)).await?;
        let address = server.local_address()?;
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        tokio::spawn(server.run(drain));
        Ok(Self { address, faults })
    }

    /// Where it listens.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces its faults.
    pub(crate) fn set_faults(&self, settings: FaultSettings) {
        self.faults.set(settings);
    }
}

/// Takes requests for one stand-in.
#[derive(Clone)]
struct RequestDesk {
    kind: StandInKind,
    faults: Arc<FaultBoard>,
}

impl RequestDesk {
    async fn take(self, peer: Address, request: Request) -> Response {
        if request.uri().path() == "/lab/fault" {
            return self.change_faults(request).await;
        }
        if request.uri().path().starts_with("/lab/") {
            return self.answer(request).await;
        }
        let Address::Ip(peer) = peer else {
            return refusal(StatusCode::BAD_REQUEST, "only TCP");
        };
        if self.faults.is_silent(peer) {
            return pending().await;
        }
        self.faults.saw(peer);
        self.faults.slow_down().await;
        let settings = self.faults.settings();
        if settings.down {
            return refusal(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let is_write = !matches!(*request.method(), Method::GET | Method::HEAD);
        let reply = self.answer(request).await;
        let is_lost = is_write && self.faults.strikes(settings.lost_answers_percent);
        if is_lost || self.faults.is_silent(peer) {
            return pending().await;
        }
        self.silence_body(peer, reply)
    }

    async fn answer(&self, request: Request) -> Response {
        let call = match LabCall::read(request).await {
            Ok(call) => call,
            Err(error) => return error_reply(&error),
        };
        match &self.kind {
            StandInKind::Table(table) => table.answer(&call),
            StandInKind::Weights(weights) => weights.answer(&call, &self.faults),
            StandInKind::Hosts(hosts) => hosts.answer(&call, &self.faults),
            StandInKind::Engine(engine) => engine.answer(&call, &self.faults).await,
            StandInKind::Plain(plain) => plain.answer(&call).await,
        }
    }

    async fn change_faults(&self, request: Request) -> Response {
        let is_read = *request.method() == Method::GET;
        let body = match read_body(request.into_body(), BODY_BYTES_MAX).await {
            Ok(body) if !is_read => body,
            Ok(_) => return json_reply(StatusCode::OK, &self.faults.settings()),
            Err(error) => return error_reply(&error),
        };
        match serde_json::from_slice(&body) {
            Ok(settings) => {
                self.faults.set(settings);
                json_reply(StatusCode::OK, &settings)
            }
            Err(fault) => refusal(StatusCode::BAD_REQUEST, &fault.to_string()),
        }
    }

    /// A stream under way stops when its connection goes silent.
    fn silence_body(&self, peer: SocketAddr, reply: Response) -> Response {
        let (head, body) = reply.into_parts();
        if body.size_hint().exact().is_some() {
            return Response::from_parts(head, body);
        }
        let (sender, receiver) = super::body_channel();
        let faults = self.faults.clone();
        tokio::spawn(async move {
            let mut parts = body.into_data_stream();
            while let Some(part) = parts.next().await {
                if faults.is_silent(peer) {
                    sender.closed().await;
                    return;
                }
                let frame = part.map(http_body::Frame::data);
                if sender.send(frame).await.is_err() {
                    return;
                }
            }
        });
        Response::from_parts(head, receiver)
    }
}

/// A request as the stand-ins see it.
#[derive(Debug)]
pub(crate) struct LabCall {
    /// The method.
    pub(crate) method: Method,
    /// The path.
    pub(crate) path: String,
    /// The query as it came.
    pub(crate) query: String,
    /// The headers.
    pub(crate) headers: http::HeaderMap,
    /// The whole body.
    pub(crate) body: Bytes,
}

impl LabCall {
    async fn read(request: Request) -> SwitchResult<Self> {
        let (head, body) = request.into_parts();
        Ok(Self {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body: read_body(body, BODY_BYTES_MAX).await?,
        })
    }

    /// The value of `name` in the query.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(known, _)| *known == name);
        found.next().map(|(_, value)| value)
    }

    /// The number `name` in the query; `default` when it is not there.
    pub(crate) fn number(&self, name: &str, default: u64) -> u64 {
        self.parameter(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    }

    /// The text of header `name`.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> SwitchResult<T> {
        serde_json::from_slice(&self.body)
            .map_err(|fault| SwitchError::new(ErrorKind::BadRequest, fault.to_string()))
    }
}

#[apply(crate::derives::plain!)]
#[derive(Serialize)]
struct RefusalText<'a> {
    error: &'a str,
}

/// A stand-in's refusal.
pub(crate) fn refusal(status: StatusCode, text: &str) -> Response {
    json_reply(status, &RefusalText { error: text })
}

/// What a stand-in says to a request that it does not know.
pub(crate) fn unknown(call: &LabCall) -> Response {
    let text = format!("no {} {}", call.method, call.path);
    refusal(StatusCode::NOT_FOUND, &text)
}
