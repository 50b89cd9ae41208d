//! Requests to model services, in the completions protocol that model servers commonly implement:
//! parses the request, starts it, and encodes the answer as one JSON document or as a stream of
//! server-sent events.

use std::sync::Arc;

use bytes::Bytes;
use bytestring::ByteString;
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::mpsc;
use volo_http::request::Request;
use volo_http::response::Response;

use super::caller_headers::CallerHeaders;
use super::entry_state::{EntryState, ServiceCall};
use super::reply::{error_value, set_run_outcome};
use super::response_body::{BodyStep, ResponseBody};
use crate::delivery::{CallerPart, RunCall};
use crate::documents::ServiceKind;
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::membership::ServingVersion;
use crate::transport::json_response;

/// Token limit of requests that set no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;
const VERSION_HEADER: &str = "savory-version";
const DIGEST_HEADER: &str = "savory-weights-digest";
/// The event that ends a complete stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// The two request forms of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionForm {
    /// `/v1/completions`: the request has a prompt.
    Text,
    /// `/v1/chat/completions`: the request has a list of messages.
    Chat,
}

#[derive(Deserialize)]
struct CompletionRequest {
    model: ByteString,
    #[serde(default)]
    prompt: Option<ByteString>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize, Serialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// Answers one completion request, whose id is `id`.
///
/// # Errors
///
/// The errors of parsing and admission, and of the run until its answer starts. Later errors of a
/// streamed answer are sent as its last event.
pub(super) async fn answer_completion(
    state: &Arc<EntryState>,
    request: Request,
    form: CompletionForm,
    id: &ByteString,
) -> SwitchResult<Response> {
    let (parts, body) = request.into_parts();
    let headers = CallerHeaders::parse(&parts.headers)?;
    let completion = parse_body(&state.read_body(&parts.extensions, body).await?)?;
    let service = state.service(&completion.model)?;
    if service.document.kind != ServiceKind::Model {
        let detail = format!("\"{}\" is not a model service", completion.model);
        return Err(SwitchError::new(ErrorKind::BadRequest, detail));
    }
    let call = ServiceCall {
        run_call: RunCall::Generate {
            prompt: prompt_of(&completion, form)?,
            max_tokens: completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            resume_from: 0,
            resume_version: None,
        },
        repeatable: true,
    };
    let mut answer = state.start(&service, &headers, call)?;
    let serving = wait_for_start(&mut answer).await?;
    let encoder = AnswerEncoder {
        form,
        id: id.clone(),
        model: completion.model,
    };
    let mut reply = if completion.stream {
        encoder.stream(answer)
    } else {
        encoder.collect(answer).await?
    };
    set_run_outcome(&mut reply, RunOutcome::Run);
    if let Some(serving) = serving {
        set_version_headers(reply.headers_mut(), &serving);
    }
    Ok(reply)
}

fn parse_body(body: &Bytes) -> SwitchResult<CompletionRequest> {
    serde_json::from_slice(body).map_err(|fault| {
        SwitchError::new(
            ErrorKind::BadRequest,
            format!("invalid request body: {fault}"),
        )
    })
}

/// Returns the prompt; the messages of a chat become one line each.
fn prompt_of(completion: &CompletionRequest, form: CompletionForm) -> SwitchResult<ByteString> {
    match form {
        CompletionForm::Text => completion
            .prompt
            .clone()
            .ok_or_else(|| missing_field("prompt")),
        CompletionForm::Chat if completion.messages.is_empty() => Err(missing_field("messages")),
        CompletionForm::Chat => {
            let lines = completion
                .messages
                .iter()
                .map(|message| format!("{}: {}\n", message.role, message.content));
            Ok(lines.collect::<String>().into())
        }
    }
}

fn missing_field(field: &str) -> SwitchError {
    SwitchError::new(
        ErrorKind::BadRequest,
        format!("invalid request body: \"{field}\" is missing"),
    )
}

/// Waits until a backend server has started the answer; returns the version that it serves.
///
/// # Errors
///
/// The error with which the request failed before that. Nothing has been sent to the caller yet, so
/// it can be reported as an ordinary error response.
async fn wait_for_start(
    answer: &mut mpsc::Receiver<CallerPart>,
) -> SwitchResult<Option<ServingVersion>> {
    match answer.recv().await {
        Some(CallerPart::Started(serving)) => Ok(serving),
        Some(CallerPart::Failed(error)) => Err(error),
        _ => Err(answer_interrupted()),
    }
}

fn answer_interrupted() -> SwitchError {
    SwitchError::new(
        ErrorKind::Internal,
        "the answer ended before it was complete",
    )
}

fn set_version_headers(headers: &mut HeaderMap, serving: &ServingVersion) {
    let digest = serving.digest.to_string();
    for (name, text) in [
        (VERSION_HEADER, &*serving.version),
        (DIGEST_HEADER, &*digest),
    ] {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    }
}

/// Encodes one answer in the form of its request.
struct AnswerEncoder {
    form: CompletionForm,
    id: ByteString,
    model: ByteString,
}

impl AnswerEncoder {
    /// Collects the complete answer into one JSON response.
    async fn collect(&self, mut answer: mpsc::Receiver<CallerPart>) -> SwitchResult<Response> {
        let mut text = String::new();
        let mut tokens = 0_u32;
        loop {
            match answer.recv().await {
                Some(CallerPart::Token(token)) => {
                    text.push_str(&token);
                    tokens += 1;
                }
                Some(CallerPart::Complete { reason, .. }) => {
                    let value = self.complete_value(&text, &reason, tokens);
                    return Ok(json_response(StatusCode::OK, &value));
                }
                Some(CallerPart::Failed(error)) => return Err(error),
                Some(_) => {}
                None => return Err(answer_interrupted()),
            }
        }
    }

    /// Returns a response that sends the answer as server-sent events while it arrives.
    fn stream(self, answer: mpsc::Receiver<CallerPart>) -> Response {
        let body = ResponseBody::from_parts(answer, move |part| self.encode(part));
        let mut reply = Response::new(body);
        let content_type = HeaderValue::from_static("text/event-stream");
        let headers = reply.headers_mut();
        headers.insert(http::header::CONTENT_TYPE, content_type);
        headers.insert(
            http::header::CACHE_CONTROL,
            HeaderValue::from_static("no-cache"),
        );
        reply
    }

    /// Encodes one part as server-sent events. Only a complete answer ends with [`DONE_EVENT`].
    fn encode(&self, part: CallerPart) -> BodyStep {
        match part {
            CallerPart::Token(text) => {
                BodyStep::Bytes(sse_event(&self.chunk_value(Some(&text), None)).into())
            }
            CallerPart::Complete { reason, .. } => {
                let last = sse_event(&self.chunk_value(None, Some(&reason)));
                BodyStep::Last(format!("{last}{DONE_EVENT}").into())
            }
            CallerPart::Failed(error) => BodyStep::Last(sse_event(&error_value(&error)).into()),
            CallerPart::Started(_) | CallerPart::Head(_) | CallerPart::Body(_) => BodyStep::Skip,
        }
    }

    /// The JSON of one stream event, with the next text or the reason for the end.
    fn chunk_value(&self, text: Option<&str>, reason: Option<&str>) -> serde_json::Value {
        match self.form {
            CompletionForm::Text => json!({
                "id": &*self.id,
                "object": "text_completion",
                "model": &*self.model,
                "choices": [{"index": 0, "text": text.unwrap_or(""), "finish_reason": reason}],
            }),
            CompletionForm::Chat => {
                let delta = text.map_or_else(|| json!({}), |text| json!({"content": text}));
                json!({
                    "id": &*self.id,
                    "object": "chat.completion.chunk",
                    "model": &*self.model,
                    "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
                })
            }
        }
    }

    /// The JSON of a complete answer.
    fn complete_value(&self, text: &str, reason: &str, tokens: u32) -> serde_json::Value {
        let usage = json!({"completion_tokens": tokens});
        match self.form {
            CompletionForm::Text => json!({
                "id": &*self.id,
                "object": "text_completion",
                "model": &*self.model,
                "choices": [{"index": 0, "text": text, "finish_reason": reason}],
                "usage": usage,
            }),
            CompletionForm::Chat => {
                let message = json!({"role": "assistant", "content": text});
                json!({
                    "id": &*self.id,
                    "object": "chat.completion",
                    "model": &*self.model,
                    "choices": [{"index": 0, "message": message, "finish_reason": reason}],
                    "usage": usage,
                })
            }
        }
    }
}

/// Formats one server-sent event.
fn sse_event(value: &serde_json::Value) -> String {
    format!("data: {value}\n\n")
}
