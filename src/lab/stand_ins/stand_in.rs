//! The listener of a stand-in: it applies the configured faults before and after the request is
//! answered by the service that the stand-in replaces.

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
use super::fault::{FaultInjector, FaultSettings};
use super::host_list::HostListStandIn;
use super::plain::PlainStandIn;
use super::table::TableStandIn;
use super::weights::WeightsStandIn;
use crate::daemon::DrainState;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::transport::{HttpServer, error_response, json_response, read_body};

/// Loopback with port 0, which binds to any free port.
pub(crate) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

const BODY_BYTES_MAX: usize = 64 * 1024 * 1024;

/// The service that a stand-in replaces.
#[derive(Clone, Debug)]
pub(crate) enum StandInKind {
    /// The platform's table.
    Table(Arc<TableStandIn>),
    /// The origin of weights, or the weight store: both are the platform's object store.
    Weights(Arc<WeightsStandIn>),
    /// The platform's list of hosts.
    Hosts(Arc<HostListStandIn>),
    /// A model engine.
    Engine(Arc<EngineStandIn>),
    /// A plain service, which runs no model.
    Plain(Arc<PlainStandIn>),
}

/// A listening stand-in. It serves until the process ends.
#[derive(Clone, Debug)]
pub(crate) struct StandIn {
    address: SocketAddr,
    faults: Arc<FaultInjector>,
}

impl StandIn {
    /// Starts a stand-in of `kind` on `address`. Port 0 binds to any free port.
    ///
    /// # Errors
    ///
    /// `SettingInvalid` if `address` cannot be bound.
    pub(crate) async fn start(address: SocketAddr, kind: StandInKind) -> SwitchResult<Self> {
        let faults = Arc::new(FaultInjector::default());
        let handler = RequestHandler {
            kind,
            faults: faults.clone(),
        };
        let handler = move |peer: Address, request: Request| {
            let handler = handler.clone();
            async move { handler.handle(peer, request).await }
        };
        let server = HttpServer::bind(address, Router::new().fallback(handler)).await?;
        let address = server.local_address()?;
        let drain = DrainState::new(Duration::ZERO, Duration::ZERO);
        tokio::spawn(server.run(drain));
        Ok(Self { address, faults })
    }

    /// The address on which it listens.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the fault settings.
    pub(crate) fn set_faults(&self, settings: FaultSettings) {
        self.faults.set(settings);
    }
}

/// Answers the requests to one stand-in, with its faults applied.
#[derive(Clone)]
struct RequestHandler {
    kind: StandInKind,
    faults: Arc<FaultInjector>,
}

impl RequestHandler {
    async fn handle(self, peer: Address, request: Request) -> Response {
        if request.uri().path() == "/lab/fault" {
            return self.change_faults(request).await;
        }
        if request.uri().path().starts_with("/lab/") {
            return self.answer(request).await;
        }
        let Address::Ip(peer) = peer else {
            return refusal(
                StatusCode::BAD_REQUEST,
                "only TCP connections are supported",
            );
        };
        if self.faults.is_silent(peer) {
            return pending().await;
        }
        self.faults.record_peer(peer);
        self.faults.delay_answer().await;
        let settings = self.faults.settings();
        if settings.down {
            return refusal(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let is_write = !matches!(*request.method(), Method::GET | Method::HEAD);
        let reply = self.answer(request).await;
        let is_lost = is_write && self.faults.applies(settings.lost_answers_percent);
        if is_lost || self.faults.is_silent(peer) {
            return pending().await;
        }
        self.silence_body(peer, reply)
    }

    async fn answer(&self, request: Request) -> Response {
        let request = match StandInRequest::read(request).await {
            Ok(request) => request,
            Err(error) => return error_response(&error),
        };
        match &self.kind {
            StandInKind::Table(table) => table.answer(&request),
            StandInKind::Weights(weights) => weights.answer(&request, &self.faults),
            StandInKind::Hosts(hosts) => hosts.answer(&request, &self.faults),
            StandInKind::Engine(engine) => engine.answer(&request, &self.faults).await,
            StandInKind::Plain(plain) => plain.answer(&request).await,
        }
    }

    async fn change_faults(&self, request: Request) -> Response {
        let is_read = *request.method() == Method::GET;
        let body = match read_body(request.into_body(), BODY_BYTES_MAX).await {
            Ok(body) if !is_read => body,
            Ok(_) => return json_response(StatusCode::OK, &self.faults.settings()),
            Err(error) => return error_response(&error),
        };
        match serde_json::from_slice(&body) {
            Ok(settings) => {
                self.faults.set(settings);
                json_response(StatusCode::OK, &settings)
            }
            Err(fault) => refusal(StatusCode::BAD_REQUEST, &fault.to_string()),
        }
    }

    /// Wraps a streamed body so that it stops without an end once the faults silence the
    /// connection from `peer`. Bodies of a known length pass unchanged.
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

/// A request to a stand-in, with its body read completely.
#[derive(Debug)]
pub(crate) struct StandInRequest {
    /// The method.
    pub(crate) method: Method,
    /// The path.
    pub(crate) path: String,
    /// The query string, not decoded.
    pub(crate) query: String,
    /// The headers.
    pub(crate) headers: http::HeaderMap,
    /// The complete body.
    pub(crate) body: Bytes,
}

impl StandInRequest {
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

    /// Returns the value of query parameter `name`.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut matching = pairs.filter(|(key, _)| *key == name);
        matching.next().map(|(_, value)| value)
    }

    /// Returns query parameter `name` as a number, or `default` if it is missing or no number.
    pub(crate) fn number(&self, name: &str, default: u64) -> u64 {
        self.parameter(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    }

    /// Returns the value of header `name`, if it is visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// `BadRequest` if the body is not valid JSON for `T`.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> SwitchResult<T> {
        serde_json::from_slice(&self.body)
            .map_err(|fault| SwitchError::new(ErrorKind::BadRequest, fault.to_string()))
    }
}

#[apply(crate::derives::plain!)]
#[derive(Serialize)]
struct RefusalBody<'a> {
    error: &'a str,
}

/// Returns an error response with `text` as its reason.
pub(crate) fn refusal(status: StatusCode, text: &str) -> Response {
    json_response(status, &RefusalBody { error: text })
}

/// Returns the 404 response to a method and path that the stand-in does not serve.
pub(crate) fn unknown_path_reply(request: &StandInRequest) -> Response {
    let text = format!("no route for {} {}", request.method, request.path);
    refusal(StatusCode::NOT_FOUND, &text)
}
