//! The HTTP client for our own processes and for everything else that speaks HTTP.

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

/// Limits of a [`PeerClient`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientLimits {
    /// How long a connection may take to open.
    pub(crate) connect: Duration,
    /// How long an idle connection is kept for reuse.
    pub(crate) idle: Duration,
    /// The largest answer that is read whole, in bytes.
    pub(crate) answer_bytes: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            idle: Duration::from_secs(10),
            answer_bytes: 64 * 1024 * 1024,
        }
    }
}

/// How long an answer may take that is worth waiting for while it arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseTimeouts {
    /// Until its head is there.
    pub(crate) head: Duration,
    /// Between two parts of its body.
    pub(crate) idle: Duration,
    /// From its head to its end.
    pub(crate) total: Duration,
}

/// An HTTP client that keeps one pool of connections per peer, so that one peer's pool can be
/// dropped when a connection to it went silent.
///
/// Open connections can go silent for good while new ones work. A shared pool would hand the next
/// request another connection of the same age, which is silent too. One would notice a run of time
/// limits towards one peer that answers its probes. Dropping the pool makes the next try a fresh
/// connection.
pub(crate) struct PeerClient {
    limits: ClientLimits,
    pools: RwLock<Vec<(SocketAddr, Client)>>,
}

impl PeerClient {
    /// A client with `limits`.
    pub(crate) const fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            pools: RwLock::new(Vec::new()),
        }
    }

    /// Sends a request and returns the answer's head and body as soon as the head is there.
    ///
    /// # Errors
    ///
    /// `ConnectFailed` when nothing was sent, `PeerSilent` when the head took longer than
    /// `head_within`, `AnswerCut` when the connection broke.
    pub(crate) async fn send(
        &self,
        peer: SocketAddr,
        mut request: Request,
        head_within: Duration,
    ) -> SwitchResult<Response> {
        let client = self.pool_of(peer)?;
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let target = format!("http://{peer}{path}");
        let mut call = client.request(request.method().clone(), target);
        *call.headers_mut() = std::mem::take(request.headers_mut());
        let sending = Box::pin(call.body(request.into_body()).send());
        let sent = stall_tolerant_timeout(head_within, sending);
        match sent.await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(fault)) => Err(client_fault(peer, &fault)),
            Err(_) => {
                let detail = format!("{peer} sent nothing for {head_within:?}");
                Err(SwitchError::new(ErrorKind::PeerSilent, detail))
            }
        }
    }

    /// Sends `message` to one of our own processes and reads its whole answer.
    pub(crate) async fn call<Q, A>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        within: Duration,
    ) -> SwitchResult<A>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let request = message_request(path, message)?;
        let complete = async {
            let answer = self.send(peer, request, within).await?;
            let answer = self.check_status(answer).await?;
            read_message(answer.into_body(), self.limits.answer_bytes).await
        };
        match stall_tolerant_timeout(within, Box::pin(complete)).await {
            Ok(answer) => answer,
            Err(_) => Err(SwitchError::new(
                ErrorKind::PeerSilent,
                format!("{peer} at {path}"),
            )),
        }
    }

    /// Sends a request and reads its whole answer, of any status, for as long as it arrives at `pace`.
    pub(crate) async fn exchange_with_timeouts(
        &self,
        peer: SocketAddr,
        request: Request,
        pace: ResponseTimeouts,
    ) -> SwitchResult<(StatusCode, Bytes)> {
        let answer = self.send(peer, request, pace.head).await?;
        let status = answer.status();
        let reading =
            read_body_with_idle_timeout(answer.into_body(), self.limits.answer_bytes, pace.idle);
        if let Ok(body) = stall_tolerant_timeout(pace.total, reading).await {
            return Ok((status, body?));
        }
        let detail = format!("{peer} did not end its answer within {:?}", pace.total);
        Err(SwitchError::new(ErrorKind::PeerSilent, detail))
    }

    /// Sends `message` to one of our own processes and reads its whole answer, for as long as it arrives at
    /// `pace`.
    pub(crate) async fn call_with_timeouts<Q, A>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        pace: ResponseTimeouts,
    ) -> SwitchResult<A>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let request = message_request(path, message)?;
        match self.exchange_with_timeouts(peer, request, pace).await? {
            (StatusCode::OK, body) => decode_message(&body),
            (status, body) => Err(decode_error_body(status, &body)),
        }
    }

    /// Sends `message` to one of our own processes and reads its answer frame by frame.
    pub(crate) async fn open_stream<Q: Serialize>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        head_within: Duration,
    ) -> SwitchResult<FrameReader> {
        let request = message_request(path, message)?;
        let answer = self.send(peer, request, head_within).await?;
        let answer = self.check_status(answer).await?;
        Ok(FrameReader::new(answer.into_body()))
    }

    /// Forgets every connection to `peer`: the next request opens a fresh one.
    pub(crate) fn drop_pool(&self, peer: SocketAddr) {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        if let Ok(at) = pools.binary_search_by_key(&peer, |(known, _)| *known) {
            pools.remove(at);
        }
    }

    fn pool_of(&self, peer: SocketAddr) -> SwitchResult<Client> {
        {
            let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
            if let Ok(at) = pools.binary_search_by_key(&peer, |(known, _)| *known) {
                return Ok(pools[at].1.clone());
            }
        }
        let client = self.build_pool()?;
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        match pools.binary_search_by_key(&peer, |(known, _)| *known) {
            Ok(at) => Ok(pools[at].1.clone()),
            Err(at) => {
                pools.insert(at, (peer, client.clone()));
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
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))
    }

    /// Turns an answer of one of our own processes that is not a success into its error.
    async fn check_status(&self, answer: Response) -> SwitchResult<Response> {
        if answer.status() == StatusCode::OK {
            return Ok(answer);
        }
        let status = answer.status();
        let text = read_body(answer.into_body(), self.limits.answer_bytes).await?;
        Err(decode_error_body(status, &text))
    }
}

/// The error in a JSON error body, as [`super::error_response`] writes it.
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
        // Whoever wrote this body is not known, so nor is whether the request ran.
        Err(_) => SwitchError::new(ErrorKind::MessageInvalid, format!("answered {status}"))
            .with_outcome(RunOutcome::NotKnown),
    }
}

fn message_request<Q: Serialize>(path: &str, message: &Q) -> SwitchResult<Request> {
    let body = Body::from(encode_message(message)?);
    http::Request::builder()
        .method(Method::POST)
        .uri(path)
        .body(body)
        .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))
}

/// The library gives a connection that could not be opened the same kind as one that broke after
/// the request was sent. Taken as one, a call that never left would be answered "not known". What
/// the two come from tells them apart.
fn client_fault(peer: SocketAddr, fault: &ClientError) -> SwitchError {
    let kind = match fault.kind() {
        ClientErrorKind::Connect => ErrorKind::ConnectFailed,
        ClientErrorKind::Request if was_never_sent(fault) => ErrorKind::ConnectFailed,
        ClientErrorKind::Builder | ClientErrorKind::Context | ClientErrorKind::LoadBalance => {
            ErrorKind::Internal
        }
        _ => ErrorKind::AnswerCut,
    };
    SwitchError::new(kind, format!("{peer}: {fault}"))
}

/// Whether the request certainly did not leave this process: the socket could not be connected, or
/// the connection was found closed before the request was put on it.
fn was_never_sent(fault: &ClientError) -> bool {
    let Some(source) = std::error::Error::source(fault) else {
        return false;
    };
    let is_unsent = |error: &hyper::Error| error.is_canceled();
    source.is::<std::io::Error>() || source.downcast_ref().is_some_and(is_unsent)
}
