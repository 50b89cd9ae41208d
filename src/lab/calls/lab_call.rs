//! Sends one request of a caller and classifies its outcome from the caller's view.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;
use volo_http::body::Body;
use volo_http::client::sse::SseReader;
use volo_http::response::Response;

use crate::derives::plain;
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::lab::launch::account_key;
use crate::time::clock_now;
use crate::transport::{ClientLimits, PeerClient, read_body};

const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Data of the event that marks the end of a complete stream.
const LAST_EVENT: &str = "[DONE]";

/// A caller's request.
#[apply(plain!)]
pub(crate) struct CallRequest {
    /// The client account.
    pub(crate) account: &'static str,
    /// The name of the service or model.
    pub(crate) service: &'static str,
    /// `urgent`, `normal` or `batch`.
    pub(crate) priority: &'static str,
    /// What the request asks the service for.
    pub(crate) payload: CallPayload,
}

/// What a request asks the service for.
#[apply(plain!)]
pub(crate) enum CallPayload {
    /// A completion by a model.
    Completion {
        /// The prompt.
        prompt: String,
        /// The largest number of tokens.
        max_tokens: u32,
        /// Whether the answer is a stream of tokens.
        stream: bool,
    },
    /// A call to a plain service.
    Plain {
        /// The method.
        method: Method,
        /// The path below the service.
        path: String,
        /// The body.
        body: String,
    },
}

/// The outcome of a request.
#[apply(plain!)]
pub(crate) enum CallOutcome {
    /// A complete answer.
    Complete {
        /// The text of a completion or the body of a plain answer.
        text: String,
        /// Number of non-empty events of a stream; 0 otherwise.
        parts: u32,
    },
    /// A refusal or an error of the system instead of an answer.
    Refused {
        /// The status.
        status: u16,
        /// The code in the body.
        code: String,
        /// Whether the request ran.
        run: RunOutcome,
        /// How long to wait before a retry; `None` if the request must not be retried.
        retry_after: Option<Duration>,
        /// The message for people.
        message: String,
    },
    /// An answer with a status other than 200 that is not in the system's error format: the plain
    /// service's own.
    ServiceFault {
        /// The status.
        status: u16,
        /// The body.
        text: String,
    },
    /// A stream that ended with an explicit error.
    Broken {
        /// The text received before the error.
        text: String,
        /// The error.
        error: String,
    },
    /// A stream that ended without its final marker and without an error.
    Truncated {
        /// The text received before the end.
        text: String,
    },
    /// The connection failed, or the answer was unreadable; with the error. The caller cannot know
    /// whether the request ran.
    ConnectionLost(String),
    /// No final answer arrived in time.
    NoAnswer,
}

/// The outcome of a request and its times.
#[apply(plain!)]
pub(crate) struct CallRecord {
    /// The outcome.
    pub(crate) outcome: CallOutcome,
    /// Time until the response head, or until the first event of a stream.
    pub(crate) time_to_first_byte: Duration,
    /// Time until the end of the answer.
    pub(crate) total_time: Duration,
    /// The request id that the system assigned; empty if unknown.
    pub(crate) request_id: String,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

#[derive(Deserialize)]
struct CompletionAnswer {
    choices: Vec<CompletionChoice>,
}

#[derive(Deserialize)]
struct CompletionChoice {
    text: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    code: String,
    message: String,
    run: RunOutcome,
    retry_after_ms: Option<u64>,
}

/// Sends requests as a caller.
pub(crate) struct LabCaller {
    client: PeerClient,
    answer_timeout: Duration,
}

impl LabCaller {
    /// Creates a caller that waits `answer_timeout` for a final answer.
    pub(crate) fn new(answer_timeout: Duration) -> Self {
        Self {
            client: PeerClient::new(ClientLimits::default()),
            answer_timeout,
        }
    }

    /// Sends `request` to the entry host at `entry`.
    pub(crate) async fn call(&self, entry: SocketAddr, request: &CallRequest) -> CallRecord {
        let begun = clock_now();
        let mut record = CallRecord {
            outcome: CallOutcome::NoAnswer,
            time_to_first_byte: self.answer_timeout,
            total_time: self.answer_timeout,
            request_id: String::new(),
        };
        let exchange = self.exchange(entry, request, &mut record);
        if let Ok(outcome) = timeout(self.answer_timeout, exchange).await {
            record.outcome = outcome;
        }
        record.total_time = clock_now().since(begun);
        record
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        request: &CallRequest,
        record: &mut CallRecord,
    ) -> CallOutcome {
        let begun = clock_now();
        let http_request = match build_request(request) {
            Ok(http_request) => http_request,
            Err(error) => return CallOutcome::ConnectionLost(error.to_string()),
        };
        let answer = match self
            .client
            .send(entry, http_request, self.answer_timeout)
            .await
        {
            Ok(answer) => answer,
            Err(error) if error.kind == ErrorKind::PeerSilent => return CallOutcome::NoAnswer,
            Err(error) => {
                // Pooled connections to a process that died must not be reused.
                self.client.drop_pool(entry);
                return CallOutcome::ConnectionLost(error.to_string());
            }
        };
        record.time_to_first_byte = clock_now().since(begun);
        record.request_id = header_text(answer.headers(), "savory-request-id");
        let is_stream = matches!(
            request.payload,
            CallPayload::Completion { stream: true, .. }
        );
        if answer.status() != StatusCode::OK {
            return read_refusal(answer).await;
        }
        if is_stream {
            return read_stream(answer, record, begun).await;
        }
        read_complete(answer, &request.payload).await
    }
}

fn build_request(request: &CallRequest) -> SwitchResult<http::Request<Body>> {
    let (method, path, body) = match &request.payload {
        CallPayload::Completion {
            prompt,
            max_tokens,
            stream,
        } => {
            let text = CompletionBody {
                model: request.service,
                prompt,
                max_tokens: *max_tokens,
                stream: *stream,
            };
            let body = serde_json::to_vec(&text).unwrap_or_default();
            (Method::POST, "/v1/completions".to_owned(), body)
        }
        CallPayload::Plain { method, path, body } => {
            let path = format!("/services/{}{path}", request.service);
            (method.clone(), path, body.clone().into_bytes())
        }
    };
    let builder = http::Request::builder()
        .method(method)
        .uri(path)
        .header("content-type", "application/json")
        .header("savory-account", request.account)
        .header("savory-priority", request.priority)
        .header(
            "authorization",
            format!("Bearer {}", account_key(request.account)),
        );
    builder
        .body(Body::from(Bytes::from(body)))
        .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))
}

async fn read_refusal(answer: Response) -> CallOutcome {
    let status = answer.status().as_u16();
    let body = match read_body(answer.into_body(), ANSWER_BYTES_MAX).await {
        Ok(body) => body,
        Err(error) => return CallOutcome::ConnectionLost(error.to_string()),
    };
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => CallOutcome::Refused {
            status,
            code: body.error.code,
            run: body.error.run,
            retry_after: body.error.retry_after_ms.map(Duration::from_millis),
            message: body.error.message,
        },
        Err(_) => CallOutcome::ServiceFault {
            status,
            text: String::from_utf8_lossy(&body).into_owned(),
        },
    }
}

async fn read_complete(answer: Response, payload: &CallPayload) -> CallOutcome {
    let body = match read_body(answer.into_body(), ANSWER_BYTES_MAX).await {
        Ok(body) => body,
        Err(error) => return CallOutcome::ConnectionLost(error.to_string()),
    };
    if matches!(payload, CallPayload::Plain { .. }) {
        let text = String::from_utf8_lossy(&body).into_owned();
        return CallOutcome::Complete { text, parts: 0 };
    }
    match serde_json::from_slice::<CompletionAnswer>(&body) {
        Ok(text) => CallOutcome::Complete {
            text: text.choices.into_iter().map(|choice| choice.text).collect(),
            parts: 0,
        },
        Err(fault) => CallOutcome::ConnectionLost(fault.to_string()),
    }
}

async fn read_stream(
    answer: Response,
    record: &mut CallRecord,
    begun: crate::time::ClockTime,
) -> CallOutcome {
    let mut events = match SseReader::into_sse(answer) {
        Ok(events) => events,
        Err(fault) => return CallOutcome::ConnectionLost(fault.to_string()),
    };
    let mut text = String::new();
    let mut parts = 0;
    loop {
        let event = match events.read().await {
            Ok(Some(event)) => event.data.unwrap_or_default(),
            Ok(None) => return CallOutcome::Truncated { text },
            Err(fault) => return CallOutcome::ConnectionLost(fault.to_string()),
        };
        if event == LAST_EVENT {
            return CallOutcome::Complete { text, parts };
        }
        if let Ok(part) = serde_json::from_str::<CompletionAnswer>(&event) {
            let new_text: String = part.choices.into_iter().map(|choice| choice.text).collect();
            if parts == 0 {
                record.time_to_first_byte = clock_now().since(begun);
            }
            parts += u32::from(!new_text.is_empty());
            text.push_str(&new_text);
        } else {
            return CallOutcome::Broken { text, error: event };
        }
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
