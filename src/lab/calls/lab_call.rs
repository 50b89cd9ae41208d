//! One caller's request and what came of it, as the caller sees it.

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
const LAST_EVENT: &str = "[DONE]";

/// A caller's request.
#[apply(plain!)]
pub(crate) struct CallRequest {
    /// The client account.
    pub(crate) account: &'static str,
    /// The service.
    pub(crate) service: &'static str,
    /// `urgent`, `normal` or `batch`.
    pub(crate) priority: &'static str,
    /// What is asked for.
    pub(crate) payload: CallPayload,
}

/// What is asked for.
#[apply(plain!)]
pub(crate) enum CallPayload {
    /// Tokens of a model.
    Completion {
        /// The prompt.
        prompt: String,
        /// Tokens at most.
        max_tokens: u32,
        /// Whether they come one by one.
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

/// What came of a request.
#[apply(plain!)]
pub(crate) enum CallOutcome {
    /// A whole answer.
    Complete {
        /// The answer's text or body.
        text: String,
        /// Tokens that came, for a stream.
        parts: u32,
    },
    /// A refusal or an error in place of an answer.
    Refused {
        /// The status.
        status: u16,
        /// The code in the body.
        code: String,
        /// Whether the request ran.
        run: RunOutcome,
        /// When to come back.
        retry_after: Option<Duration>,
        /// The message for people.
        message: String,
    },
    /// The plain service's own answer, with another status than 200.
    ServiceFault {
        /// The status.
        status: u16,
        /// The body.
        text: String,
    },
    /// A stream that ended in an explicit error.
    Broken {
        /// What had come.
        text: String,
        /// The error.
        error: String,
    },
    /// A stream that ended without its final marker and without an error.
    Truncated {
        /// What had come.
        text: String,
    },
    /// The connection broke: the caller must take it as not known.
    ConnectionLost(String),
    /// Nothing final came in time.
    NoAnswer,
}

/// What came of a request and how long it took.
#[apply(plain!)]
pub(crate) struct CallRecord {
    /// What came of it.
    pub(crate) outcome: CallOutcome,
    /// Until the first byte of the answer's body or the refusal.
    pub(crate) time_to_first_byte: Duration,
    /// Until its end.
    pub(crate) total_time: Duration,
    /// The id that the system gave it.
    pub(crate) request_id: String,
}

#[derive(Serialize)]
struct CompletionText<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

#[derive(Deserialize)]
struct AnswerText {
    choices: Vec<ChoiceText>,
}

#[derive(Deserialize)]
struct ChoiceText {
    text: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorText,
}

#[derive(Deserialize)]
struct ErrorText {
    code: String,
    message: String,
    run: RunOutcome,
    retry_after_ms: Option<u64>,
}

/// Sends callers' requests.
pub(crate) struct LabCaller {
    client: PeerClient,
    answer_timeout: Duration,
}

impl LabCaller {
    /// A caller who waits `answer_timeout` for a final answer.
    pub(crate) fn new(answer_timeout: Duration) -> Self {
        Self {
            client: PeerClient::new(ClientLimits::default()),
            answer_timeout,
        }
    }

    /// Sends `order` to the entry host at `entry`.
    pub(crate) async fn call(&self, entry: SocketAddr, order: &CallRequest) -> CallRecord {
        let begun = clock_now();
        let mut record = CallRecord {
            outcome: CallOutcome::NoAnswer,
            time_to_first_byte: self.answer_timeout,
            total_time: self.answer_timeout,
            request_id: String::new(),
        };
        let total_time = self.exchange(entry, order, &mut record);
        if let Ok(outcome) = timeout(self.answer_timeout, total_time).await {
            record.outcome = outcome;
        }
        record.total_time = clock_now().since(begun);
        record
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        order: &CallRequest,
        record: &mut CallRecord,
    ) -> CallOutcome {
        let begun = clock_now();
        let request = match build_request(order) {
            Ok(request) => request,
            Err(error) => return CallOutcome::ConnectionLost(error.to_string()),
        };
        let answer = match self.client.send(entry, request, self.answer_timeout).await {
            Ok(answer) => answer,
            Err(error) if error.kind == ErrorKind::PeerSilent => return CallOutcome::NoAnswer,
            Err(error) => {
                // A pooled connection to a process that died must not be met again.
                self.client.drop_pool(entry);
                return CallOutcome::ConnectionLost(error.to_string());
            }
        };
        record.time_to_first_byte = clock_now().since(begun);
        record.request_id = header_text(answer.headers(), "savory-request-id");
        let is_stream = matches!(order.payload, CallPayload::Completion { stream: true, .. });
        if answer.status() != StatusCode::OK {
            return read_refusal(answer).await;
        }
        if is_stream {
            return read_stream(answer, record, begun).await;
        }
        read_complete(answer, &order.payload).await
    }
}

fn build_request(order: &CallRequest) -> SwitchResult<http::Request<Body>> {
    let (method, path, body) = match &order.payload {
        CallPayload::Completion {
            prompt,
            max_tokens,
            stream,
        } => {
            let text = CompletionText {
                model: order.service,
                prompt,
                max_tokens: *max_tokens,
                stream: *stream,
            };
            let body = serde_json::to_vec(&text).unwrap_or_default();
            (Method::POST, "/v1/completions".to_owned(), body)
        }
        CallPayload::Plain { method, path, body } => {
            let path = format!("/services/{}{path}", order.service);
            (method.clone(), path, body.clone().into_bytes())
        }
    };
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header("content-type", "application/json")
        .header("savory-account", order.account)
        .header("savory-priority", order.priority)
        .header(
            "authorization",
            format!("Bearer {}", account_key(order.account)),
        );
    request
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
        Ok(text) => CallOutcome::Refused {
            status,
            code: text.error.code,
            run: text.error.run,
            retry_after: text.error.retry_after_ms.map(Duration::from_millis),
            message: text.error.message,
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
    match serde_json::from_slice::<AnswerText>(&body) {
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
        if let Ok(part) = serde_json::from_str::<AnswerText>(&event) {
            let fresh: String = part.choices.into_iter().map(|choice| choice.text).collect();
            if parts == 0 {
                record.time_to_first_byte = clock_now().since(begun);
            }
            parts += u32::from(!fresh.is_empty());
            text.push_str(&fresh);
        } else {
            return CallOutcome::Broken { text, error: event };
        }
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
