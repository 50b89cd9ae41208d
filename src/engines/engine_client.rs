//! The HTTP client that both dialects share: JSON calls with a timeout, and answers that arrive as
//! server-sent events.

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

const RESPONSE_BYTES_MAX: usize = 4 * 1024 * 1024;
const JSON_TYPE: &str = "application/json";
/// Time limit for queries of the state and for short commands.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for loading a version.
const LOAD_TIMEOUT: Duration = Duration::from_mins(15);
/// Time limit for the response head, and again for the first token after it.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit between two parts of an answer. It has to be enforced here: the entry host receives
/// keep-alive frames from the host process meanwhile and cannot detect that the engine has stalled.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP client for the engine at one address.
#[derive(Clone)]
pub(super) struct EngineClient {
    address: SocketAddr,
    client: Arc<PeerClient>,
}

/// The time limit of a call.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallTimeout {
    /// For a query of the state or a short command: [`STATE_TIMEOUT`].
    State,
    /// For loading a version: [`LOAD_TIMEOUT`].
    Load,
}

impl CallTimeout {
    const fn duration(self) -> Duration {
        match self {
            Self::State => STATE_TIMEOUT,
            Self::Load => LOAD_TIMEOUT,
        }
    }
}

/// A response of an engine whose body has been read.
pub(super) struct EngineResponse {
    pub(super) status: StatusCode,
    body: Bytes,
}

impl EngineResponse {
    /// Parses the body as JSON; `MessageInvalid` if it is not valid JSON for `T`.
    pub(super) fn json<T: DeserializeOwned>(&self) -> SwitchResult<T> {
        serde_json::from_slice(&self.body).map_err(|fault| invalid_message(&fault.to_string()))
    }

    /// Returns the body as text; `MessageInvalid` if it is not UTF-8.
    pub(super) fn text(&self) -> SwitchResult<&str> {
        std::str::from_utf8(&self.body).map_err(|fault| invalid_message(&fault.to_string()))
    }

    /// Returns an error of `kind` with the status and the body of this response.
    pub(super) fn failure(&self, kind: ErrorKind) -> SwitchError {
        let text = String::from_utf8_lossy(&self.body);
        SwitchError::new(
            kind,
            format!("the engine responded {}: {text}", self.status),
        )
    }

    /// Returns an error of `kind` unless the status is a success.
    pub(super) fn check_success(&self, kind: ErrorKind) -> SwitchResult<()> {
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

    /// Sends a request without a body and reads the response.
    ///
    /// # Errors
    ///
    /// `PeerSilent` if the response is not complete within the timeout, and the errors of the
    /// transport. A response with an error status is returned like any other.
    pub(super) async fn request(
        &self,
        method: Method,
        path: &str,
        call_timeout: CallTimeout,
    ) -> SwitchResult<EngineResponse> {
        self.send_and_read(method, path, Body::empty(), call_timeout)
            .await
    }

    /// Sends `message` as JSON and reads the response; errors as for [`Self::request`].
    pub(super) async fn post<Q: Serialize>(
        &self,
        path: &str,
        message: &Q,
        call_timeout: CallTimeout,
    ) -> SwitchResult<EngineResponse> {
        let body = json_body(message)?;
        self.send_and_read(Method::POST, path, body, call_timeout)
            .await
    }

    /// Sends `message` as JSON and returns the answer as a stream of parts.
    ///
    /// `parse` turns the data of each event into a part; events for which it returns `None` are
    /// skipped.
    ///
    /// # Errors
    ///
    /// For a response with an error status, those of [`start_failure`]; otherwise as for
    /// [`Self::request`].
    pub(super) async fn stream<Q: Serialize>(
        &self,
        path: &str,
        message: &Q,
        parse: fn(&str) -> SwitchResult<Option<EnginePart>>,
    ) -> SwitchResult<EngineStream> {
        let request = json_request(Method::POST, path, json_body(message)?)?;
        let response = self
            .client
            .send(self.address, request, FIRST_TOKEN_TIMEOUT)
            .await;
        let response = response.map_err(|error| self.drop_pool_if_silent(error))?;
        if !response.status().is_success() {
            return Err(start_failure(response).await);
        }
        let reader =
            SseReader::into_sse(response).map_err(|fault| invalid_message(&fault.to_string()))?;
        let state = Some((reader, FIRST_TOKEN_TIMEOUT));
        Ok(Box::pin(futures::stream::unfold(state, move |state| {
            next_part(state, parse)
        })))
    }

    async fn send_and_read(
        &self,
        method: Method,
        path: &str,
        body: Body,
        call_timeout: CallTimeout,
    ) -> SwitchResult<EngineResponse> {
        let request = json_request(method, path, body)?;
        let time_limit = call_timeout.duration();
        let exchange = async {
            let response = self.client.send(self.address, request, time_limit).await?;
            let status = response.status();
            let body = read_body(response.into_body(), RESPONSE_BYTES_MAX).await?;
            Ok(EngineResponse { status, body })
        };
        let outcome = timeout(time_limit, exchange).await.unwrap_or_else(|_| {
            let detail = format!("the engine did not respond within {time_limit:?}");
            Err(SwitchError::new(ErrorKind::PeerSilent, detail))
        });
        outcome.map_err(|error| self.drop_pool_if_silent(error))
    }

    /// Returns `error`. If it reports that the engine did not respond, drops all pooled connections
    /// to it first, since they may have stopped delivering data too.
    fn drop_pool_if_silent(&self, error: SwitchError) -> SwitchError {
        if error.kind == ErrorKind::PeerSilent {
            self.client.drop_pool(self.address);
        }
        error
    }
}

/// Returns the number that engines use for a priority; smaller numbers are served first.
pub(super) const fn priority_number(priority: RequestPriority) -> u8 {
    match priority {
        RequestPriority::Urgent => 0,
        RequestPriority::Normal => 1,
        RequestPriority::Batch => 2,
    }
}

/// Parses the data of one event as JSON.
pub(super) fn parse_json<T: DeserializeOwned>(data: &str) -> SwitchResult<T> {
    serde_json::from_str(data).map_err(|fault| invalid_message(&fault.to_string()))
}

/// The unread rest of an answer, and the time limit for its next part.
type EventState = (SseReader<Body>, Duration);

/// Reads events up to the next part; `None` at the end of the answer. An error ends the stream.
async fn next_part(
    state: Option<EventState>,
    parse: fn(&str) -> SwitchResult<Option<EnginePart>>,
) -> Option<(SwitchResult<EnginePart>, Option<EventState>)> {
    let (mut reader, time_limit) = state?;
    loop {
        let event = match timeout(time_limit, reader.read()).await {
            Ok(Ok(Some(event))) => event,
            Ok(Ok(None)) => return None,
            Ok(Err(fault)) => {
                let error = SwitchError::new(ErrorKind::EngineFailed, fault.to_string());
                return Some((Err(error), None));
            }
            Err(_) => {
                let detail = format!("the engine sent no token within {time_limit:?}");
                return Some((Err(SwitchError::new(ErrorKind::EngineFailed, detail)), None));
            }
        };
        match event.data().map(parse) {
            None | Some(Ok(None)) => {}
            Some(Ok(Some(part))) => return Some((Ok(part), Some((reader, TOKEN_TIMEOUT)))),
            Some(Err(error)) => return Some((Err(error), None)),
        }
    }
}

/// Returns the error for a response with an error status: `EngineRefused` for 503, 429 and 409, by
/// which an engine refuses to start a request, `BadRequest` for other client errors, and
/// `EngineFailed` for the rest.
async fn start_failure(response: Response) -> SwitchError {
    let status = response.status();
    let kind = match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::CONFLICT => {
            ErrorKind::EngineRefused
        }
        status if status.is_client_error() => ErrorKind::BadRequest,
        _ => ErrorKind::EngineFailed,
    };
    let body = read_body(response.into_body(), RESPONSE_BYTES_MAX).await;
    EngineResponse {
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

fn invalid_message(detail: &str) -> SwitchError {
    SwitchError::new(ErrorKind::MessageInvalid, format!("engine: {detail}"))
}
