//! The HTTP that both dialects share: JSON calls with a time limit, and answers as server-sent
//! events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use volo_http::body::Body;
use volo_http::client::sse::SseReader;
use volo_http::response::Response;

use super::{EnginePart, EngineStream};
use crate::documents::RequestPriority;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::transport::{PeerClient, read_body};

const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;
const JSON_TYPE: &str = "application/json";
/// How long an engine may take to answer a question about its state.
const STATE_WITHIN: Duration = Duration::from_secs(2);
/// How long an engine may take to load a version.
const LOAD_WITHIN: Duration = Duration::from_mins(15);
/// How long an engine may take to begin to answer, and to its first token.
const FIRST_WITHIN: Duration = Duration::from_secs(10);
/// How long an engine may take between two parts of an answer. The entry host hears all the while
/// that the host process is alive, and cannot see that the engine is not.
const PART_WITHIN: Duration = Duration::from_secs(5);

/// A client of the engine at one address.
#[derive(Clone)]
pub(super) struct EngineClient {
    address: SocketAddr,
    client: Arc<PeerClient>,
}

/// Which time limit a call has.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallLimit {
    /// A question about its state, or a short order.
    State,
    /// An order to load a version.
    Load,
}

impl CallLimit {
    const fn within(self) -> Duration {
        match self {
            Self::State => STATE_WITHIN,
            Self::Load => LOAD_WITHIN,
        }
    }
}

/// A whole answer of an engine.
pub(super) struct EngineAnswer {
    pub(super) status: StatusCode,
    body: Bytes,
}

impl EngineAnswer {
    /// The answer's JSON.
    pub(super) fn json<T: DeserializeOwned>(&self) -> SwitchResult<T> {
        serde_json::from_slice(&self.body).map_err(|fault| unreadable(&fault.to_string()))
    }

    /// The answer's text.
    pub(super) fn text(&self) -> SwitchResult<&str> {
        std::str::from_utf8(&self.body).map_err(|fault| unreadable(&fault.to_string()))
    }

    /// The failure of a call that was answered with anything but success.
    pub(super) fn failure(&self, kind: ErrorKind) -> SwitchError {
        let text = String::from_utf8_lossy(&self.body);
        SwitchError::new(kind, format!("the engine answered {}: {text}", self.status))
    }

    /// Nothing when the call succeeded, else a failure of `kind`.
    pub(super) fn expect_success(&self, kind: ErrorKind) -> SwitchResult<()> {
        if self.status.is_success() {
            Ok(())
        } else {
            Err(self.failure(kind))
        }
    }
}

impl EngineClient {
    pub(super) const fn new(address: SocketAddr, client: Arc<PeerClient>) -> Self {
        Self { address, client }
    }

    /// Sends a call without a body and reads its whole answer.
    pub(super) async fn ask(
        &self,
        method: Method,
        path: &str,
        limit: CallLimit,
    ) -> SwitchResult<EngineAnswer> {
        self.whole(method, path, Body::empty(), limit).await
    }

    /// Sends `message` as JSON and reads the whole answer.
    pub(super) async fn post<Q: Serialize>(
        &self,
        path: &str,
        message: &Q,
        limit: CallLimit,
    ) -> SwitchResult<EngineAnswer> {
        let body = json_body(message)?;
        self.whole(Method::POST, path, body, limit).await
    }

    /// Sends `message` as JSON and reads the answer's events, each by `parse`, which gives `None`
    /// for events that carry nothing.
    pub(super) async fn stream<Q: Serialize>(
        &self,
        path: &str,
        message: &Q,
        parse: fn(&str) -> SwitchResult<Option<EnginePart>>,
    ) -> SwitchResult<EngineStream> {
        let request = json_request(Method::POST, path, json_body(message)?)?;
        let answer = self.client.send(self.address, request, FIRST_WITHIN).await;
        let answer = answer.map_err(|error| self.in_doubt(error))?;
        if !answer.status().is_success() {
            return Err(refusal(answer).await);
        }
        let reader = SseReader::into_sse(answer).map_err(|fault| unreadable(&fault.to_string()))?;
        let state = Some((reader, FIRST_WITHIN));
        Ok(Box::pin(futures::stream::unfold(state, move |state| {
            next_part(state, parse)
        })))
    }

    async fn whole(
        &self,
        method: Method,
        path: &str,
        body: Body,
        limit: CallLimit,
    ) -> SwitchResult<EngineAnswer> {
        let request = json_request(method, path, body)?;
        let within = limit.within();
        let whole = async {
            let answer = self.client.send(self.address, request, within).await?;
            let status = answer.status();
            let body = read_body(answer.into_body(), ANSWER_BYTES_MAX).await?;
            Ok(EngineAnswer { status, body })
        };
        let outcome = timeout(within, whole).await.unwrap_or_else(|_| {
            let detail = format!("the engine said nothing for {within:?}");
            Err(SwitchError::new(ErrorKind::PeerSilent, detail))
        });
        outcome.map_err(|error| self.in_doubt(error))
    }

    /// Forgets the open connections after one of them went silent.
    fn in_doubt(&self, error: SwitchError) -> SwitchError {
        if error.kind == ErrorKind::PeerSilent {
            self.client.drop_pool(self.address);
        }
        error
    }
}

/// An engine's number for a priority: the smaller goes first.
pub(super) const fn priority_number(priority: RequestPriority) -> u8 {
    match priority {
        RequestPriority::Urgent => 0,
        RequestPriority::Normal => 1,
        RequestPriority::Batch => 2,
    }
}

/// An event of an engine's answer as JSON.
pub(super) fn parse_event<T: DeserializeOwned>(data: &str) -> SwitchResult<T> {
    serde_json::from_str(data).map_err(|fault| unreadable(&fault.to_string()))
}

/// The rest of an answer, and how long its next part may take.
type EventReader = (SseReader<Body>, Duration);

async fn next_part(
    state: Option<EventReader>,
    parse: fn(&str) -> SwitchResult<Option<EnginePart>>,
) -> Option<(SwitchResult<EnginePart>, Option<EventReader>)> {
    let (mut reader, within) = state?;
    loop {
        let event = match timeout(within, reader.read()).await {
            Ok(Ok(Some(event))) => event,
            Ok(Ok(None)) => return None,
            Ok(Err(fault)) => {
                let error = SwitchError::new(ErrorKind::EngineFailed, fault.to_string());
                return Some((Err(error), None));
            }
            Err(_) => {
                let detail = format!("the engine sent no token for {within:?}");
                return Some((Err(SwitchError::new(ErrorKind::EngineFailed, detail)), None));
            }
        };
        match event.data().map(parse) {
            None | Some(Ok(None)) => {}
            Some(Ok(Some(part))) => return Some((Ok(part), Some((reader, PART_WITHIN)))),
            Some(Err(error)) => return Some((Err(error), None)),
        }
    }
}

/// Why an engine did not begin to run a request.
async fn refusal(answer: Response) -> SwitchError {
    let status = answer.status();
    let kind = match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::CONFLICT => {
            ErrorKind::EngineRefused
        }
        status if status.is_client_error() => ErrorKind::BadRequest,
        _ => ErrorKind::EngineFailed,
    };
    let body = read_body(answer.into_body(), ANSWER_BYTES_MAX).await;
    EngineAnswer {
        status,
        body: body.unwrap_or_default(),
    }
    .failure(kind)
}

fn json_body<Q: Serialize>(message: &Q) -> SwitchResult<Body> {
    match serde_json::to_vec(message) {
        Ok(text) => Ok(Body::from(text)),
        Err(fault) => Err(SwitchError::new(ErrorKind::Internal, fault.to_string())),
    }
}

fn json_request(method: Method, path: &str, body: Body) -> SwitchResult<http::Request<Body>> {
    http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::CONTENT_TYPE, JSON_TYPE)
        .body(body)
        .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))
}

fn unreadable(detail: &str) -> SwitchError {
    SwitchError::new(ErrorKind::MessageInvalid, format!("engine: {detail}"))
}
