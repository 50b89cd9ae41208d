//! HTTP client for requests to other savoryswitch processes, backend servers and the platform.

use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::error::client::{ClientError, ErrorKind as ClientErrorKind};
use volo_http::request::Request;
use volo_http::response::Response;

use super::frames::{FrameReader, decode_message, encode_message};
use super::server::{read_body, read_body_with_idle_timeout, read_message};
use super::stall_tolerant_timeout::stall_tolerant_timeout;
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};

const IDLE_PER_PEER: usize = 64;

/// Connection and size limits of a [`PeerClient`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientLimits {
    /// Longest time to open a connection.
    pub(crate) connect: Duration,
    /// Time for which an idle connection is kept for reuse.
    pub(crate) idle: Duration,
    /// Largest response body that is buffered completely, in bytes.
    pub(crate) response_bytes_max: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            idle: Duration::from_secs(10),
            response_bytes_max: 64 * 1024 * 1024,
        }
    }
}

/// Time limits for a response that is awaited for as long as its body keeps arriving.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseTimeouts {
    /// Longest time until the response head.
    pub(crate) head: Duration,
    /// Longest time between two parts of the body.
    pub(crate) idle: Duration,
    /// Longest time from the response head to the end of the body.
    pub(crate) total: Duration,
}

/// An HTTP client with one connection pool per peer, so that a single peer's pool can be dropped
/// when a connection to it became unresponsive.
///
/// Established connections can become unresponsive for good while new ones work. A shared pool
/// would give the next request another connection of the same age, which is unresponsive too: the
/// symptom is a series of timeouts for one peer that answers its probes. After the pool is dropped,
/// the next attempt opens a new connection.
pub(crate) struct PeerClient {
    limits: ClientLimits,
    pools: RwLock<Vec<(SocketAddr, Client)>>,
}

impl PeerClient {
    /// Creates a client without connections.
    pub(crate) const fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            pools: RwLock::new(Vec::new()),
        }
    }

    /// Sends a request and returns the response as soon as its head has arrived; the body streams.
    ///
    /// # Errors
    ///
    /// `ConnectFailed` when nothing was sent, `PeerSilent` when the head took longer than
    /// `head_timeout`, `AnswerCut` when the connection broke.
    pub(crate) async fn send(
        &self,
        peer: SocketAddr,
        mut request: Request,
        head_timeout: Duration,
    ) -> SwitchResult<Response> {
        let client = self.pool_for(peer)?;
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let target = format!("http://{peer}{path}");
        let mut call = client.request(request.method().clone(), target);
        *call.headers_mut() = std::mem::take(request.headers_mut());
        let send = Box::pin(call.body(request.into_body()).send());
        let response = stall_tolerant_timeout(head_timeout, send);
        match response.await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(classify_client_error(peer, &error)),
            Err(_) => {
                let detail = format!("{peer} sent no response head within {head_timeout:?}");
                Err(SwitchError::new(ErrorKind::PeerSilent, detail))
            }
        }
    }

    /// Sends `message` to another savoryswitch process and decodes its response. `timeout` limits
    /// the exchange from the connection to the end of the body.
    pub(crate) async fn call<Q, A>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> SwitchResult<A>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let request = message_request(path, message)?;
        let complete = async {
            let response = self.send(peer, request, timeout).await?;
            let response = self.check_status(response).await?;
            read_message(response.into_body(), self.limits.response_bytes_max).await
        };
        match stall_tolerant_timeout(timeout, Box::pin(complete)).await {
            Ok(response) => response,
            Err(_) => Err(SwitchError::new(
                ErrorKind::PeerSilent,
                format!("{peer} did not answer {path} in time"),
            )),
        }
    }

    /// Sends a request and reads the complete response, whatever its status, within `timeouts`.
    pub(crate) async fn exchange_with_timeouts(
        &self,
        peer: SocketAddr,
        request: Request,
        timeouts: ResponseTimeouts,
    ) -> SwitchResult<http::Response<Bytes>> {
        let (parts, body) = self.send(peer, request, timeouts.head).await?.into_parts();
        let reading =
            read_body_with_idle_timeout(body, self.limits.response_bytes_max, timeouts.idle);
        if let Ok(body) = stall_tolerant_timeout(timeouts.total, reading).await {
            return Ok(http::Response::from_parts(parts, body?));
        }
        let detail = format!("response of {peer} incomplete after {:?}", timeouts.total);
        Err(SwitchError::new(ErrorKind::PeerSilent, detail))
    }

    /// Sends `message` to another savoryswitch process and decodes its response, which may take as
    /// long as `timeouts` allow.
    pub(crate) async fn call_with_timeouts<Q, A>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        timeouts: ResponseTimeouts,
    ) -> SwitchResult<A>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let request = message_request(path, message)?;
        let response = self.exchange_with_timeouts(peer, request, timeouts).await?;
        match response.status() {
            StatusCode::OK => decode_message(response.body()),
            status => Err(decode_error_body(status, response.body())),
        }
    }

    /// Sends `message` to another savoryswitch process and returns a reader for its response
    /// frames.
    pub(crate) async fn open_stream<Q: Serialize>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        head_timeout: Duration,
    ) -> SwitchResult<FrameReader> {
        let request = message_request(path, message)?;
        let response = self.send(peer, request, head_timeout).await?;
        let response = self.check_status(response).await?;
        Ok(FrameReader::new(response.into_body()))
    }

    /// Drops all connections to `peer`, so that the next request opens a new one.
    pub(crate) fn drop_pool(&self, peer: SocketAddr) {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = pools.binary_search_by_key(&peer, |(address, _)| *address) {
            pools.remove(index);
        }
    }

    fn pool_for(&self, peer: SocketAddr) -> SwitchResult<Client> {
        {
            let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
            if let Ok(index) = pools.binary_search_by_key(&peer, |(address, _)| *address) {
                return Ok(pools[index].1.clone());
            }
        }
        let client = self.build_pool()?;
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        match pools.binary_search_by_key(&peer, |(address, _)| *address) {
            Ok(index) => Ok(pools[index].1.clone()),
            Err(index) => {
                pools.insert(index, (peer, client.clone()));
                Ok(client)
            }
        }
    }

    fn build_pool(&self) -> SwitchResult<Client> {
        let mut builder = Client::builder();
        builder
            .set_connect_timeout(self.limits.connect)
            .set_pool_idle_timeout(self.limits.idle)
            .set_max_idle_per_host(IDLE_PER_PEER);
        builder
            .build()
            .map_err(|error| SwitchError::new(ErrorKind::Internal, error.to_string()))
    }

    /// Decodes the error of a response whose status is not 200.
    async fn check_status(&self, response: Response) -> SwitchResult<Response> {
        if response.status() == StatusCode::OK {
            return Ok(response);
        }
        let status = response.status();
        let text = read_body(response.into_body(), self.limits.response_bytes_max).await?;
        Err(decode_error_body(status, &text))
    }
}

/// Decodes a JSON error body as written by [`super::error_response`].
pub(crate) fn decode_error_body(status: StatusCode, text: &[u8]) -> SwitchError {
    #[derive(serde::Deserialize)]
    struct ErrorBody {
        error: ErrorText,
    }
    #[derive(serde::Deserialize)]
    struct ErrorText {
        code: ErrorKind,
        message: String,
        run: RunOutcome,
        retry_after_ms: Option<u64>,
    }
    match serde_json::from_slice::<ErrorBody>(text) {
        Ok(body) => SwitchError {
            kind: body.error.code,
            detail: body.error.message,
            outcome: Some(body.error.run),
            retry_after: body.error.retry_after_ms.map(Duration::from_millis),
        },
        // The author of this body is unknown, so it is unknown too whether the request ran.
        Err(_) => SwitchError::new(
            ErrorKind::MessageInvalid,
            format!("status {status} without a readable error body"),
        )
        .with_outcome(RunOutcome::NotKnown),
    }
}

fn message_request<Q: Serialize>(path: &str, message: &Q) -> SwitchResult<Request> {
    let body = Body::from(encode_message(message)?);
    http::Request::builder()
        .method(Method::POST)
        .uri(path)
        .body(body)
        .map_err(|error| SwitchError::new(ErrorKind::Internal, error.to_string()))
}

/// Maps an error of the HTTP library to an error kind.
///
/// The library reports `Request` both for a connection that could not be opened and for one that
/// broke after the request was sent. The error's source distinguishes them; without that, a request
/// that was never sent would be reported as "not known".
fn classify_client_error(peer: SocketAddr, error: &ClientError) -> SwitchError {
    let kind = match error.kind() {
        ClientErrorKind::Connect => ErrorKind::ConnectFailed,
        ClientErrorKind::Request if was_never_sent(error) => ErrorKind::ConnectFailed,
        ClientErrorKind::Builder | ClientErrorKind::Context | ClientErrorKind::LoadBalance => {
            ErrorKind::Internal
        }
        _ => ErrorKind::AnswerCut,
    };
    SwitchError::new(kind, format!("{peer}: {error}"))
}

/// Whether the request was certainly not sent: the socket could not be connected, or the connection
/// was found closed before the request was written to it.
fn was_never_sent(error: &ClientError) -> bool {
    let Some(source) = std::error::Error::source(error) else {
        return false;
    };
    let is_unsent = |error: &hyper::Error| error.is_canceled();
    source.is::<std::io::Error>() || source.downcast_ref().is_some_and(is_unsent)
}
