//! Model services: the completions protocol that model servers commonly speak.

use std::sync::Arc;

use bytes::Bytes;
use bytestring::ByteString;
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::mpsc;
use volo_http::request::Request;
use volo_http::response::Response;

use super::caller_body::{BodyStep, CallerBody};
use super::caller_head::CallerHead;
use super::reply::{error_value, note_run};
use super::traffic::{CallShape, EntryTraffic};
use crate::delivery::{CallerPart, RunCall};
use crate::documents::ServiceKind;
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::membership::ServingVersion;
use crate::transport::json_response;

const DEFAULT_TOKENS: u32 = 256;
const VERSION_HEADER: &str = "savory-version";
const DIGEST_HEADER: &str = "savory-weights-digest";
const DONE: &str = "data: [DONE]\n\n";

/// Which of the two forms of the protocol a caller speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionForm {
    /// `/v1/completions`, with a prompt.
    Text,
    /// `/v1/chat/completions`, with messages.
    Chat,
}

#[derive(Deserialize)]
struct CompletionAsk {
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

/// Answers one completion.
pub(super) async fn answer_completion(
    traffic: &Arc<EntryTraffic>,
    request: Request,
    form: CompletionForm,
    id: &ByteString,
) -> SwitchResult<Response> {
    let (parts, body) = request.into_parts();
    let head = CallerHead::read(&parts.headers)?;
    let ask = read_ask(&traffic.read_body(body).await?)?;
    let service = traffic.service(&ask.model)?;
    if service.document.kind != ServiceKind::Model {
        let detail = format!("\"{}\" is no model service", ask.model);
        return Err(SwitchError::new(ErrorKind::BadRequest, detail));
    }
    let shape = CallShape {
        call: RunCall::Generate {
            prompt: prompt_of(&ask, form)?,
            max_tokens: ask.max_tokens.unwrap_or(DEFAULT_TOKENS),
            resume_from: 0,
            resume_version: None,
        },
        repeatable: true,
    };
    let mut answer = traffic.start(&service, &head, shape)?;
    let serving = first_part(&mut answer).await?;
    let text = AnswerText {
        form,
        id: id.clone(),
        model: ask.model,
    };
    let mut reply = if ask.stream {
        text.stream(answer)
    } else {
        text.whole(answer).await?
    };
    note_run(&mut reply, RunOutcome::Run);
    if let Some(serving) = serving {
        note_version(reply.headers_mut(), &serving);
    }
    Ok(reply)
}

fn read_ask(body: &Bytes) -> SwitchResult<CompletionAsk> {
    serde_json::from_slice(body)
        .map_err(|fault| SwitchError::new(ErrorKind::BadRequest, format!("the body: {fault}")))
}

fn prompt_of(ask: &CompletionAsk, form: CompletionForm) -> SwitchResult<ByteString> {
    match form {
        CompletionForm::Text => ask.prompt.clone().ok_or_else(|| missing("prompt")),
        CompletionForm::Chat if ask.messages.is_empty() => Err(missing("messages")),
        CompletionForm::Chat => {
            let lines = ask
                .messages
                .iter()
                .map(|message| format!("{}: {}\n", message.role, message.content));
            Ok(lines.collect::<String>().into())
        }
    }
}

fn missing(field: &str) -> SwitchError {
    SwitchError::new(
        ErrorKind::BadRequest,
        format!("the body: \"{field}\" is missing"),
    )
}

/// Waits until a backend server has the request; until then, a failure is a plain refusal.
async fn first_part(
    answer: &mut mpsc::Receiver<CallerPart>,
) -> SwitchResult<Option<ServingVersion>> {
    match answer.recv().await {
        Some(CallerPart::Started(serving)) => Ok(serving),
        Some(CallerPart::Failed(error)) => Err(error),
        _ => Err(broken_off()),
    }
}

fn broken_off() -> SwitchError {
    SwitchError::new(ErrorKind::Internal, "the answer broke off")
}

fn note_version(headers: &mut HeaderMap, serving: &ServingVersion) {
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

/// The text of one answer.
struct AnswerText {
    form: CompletionForm,
    id: ByteString,
    model: ByteString,
}

impl AnswerText {
    async fn whole(&self, mut answer: mpsc::Receiver<CallerPart>) -> SwitchResult<Response> {
        let mut text = String::new();
        let mut tokens = 0_u32;
        loop {
            match answer.recv().await {
                Some(CallerPart::Token(token)) => {
                    text.push_str(&token);
                    tokens += 1;
                }
                Some(CallerPart::Whole { reason, .. }) => {
                    let value = self.whole_value(&text, &reason, tokens);
                    return Ok(json_response(StatusCode::OK, &value));
                }
                Some(CallerPart::Failed(error)) => return Err(error),
                Some(_) => {}
                None => return Err(broken_off()),
            }
        }
    }

    fn stream(self, answer: mpsc::Receiver<CallerPart>) -> Response {
        let body = CallerBody::of(answer, move |part| self.step(part));
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

    /// One part as server-sent events. Only a whole answer ends with the final marker.
    fn step(&self, part: CallerPart) -> BodyStep {
        match part {
            CallerPart::Token(text) => {
                BodyStep::Bytes(event(&self.chunk_value(Some(&text), None)).into())
            }
            CallerPart::Whole { reason, .. } => {
                let last = event(&self.chunk_value(None, Some(&reason)));
                BodyStep::Last(format!("{last}{DONE}").into())
            }
            CallerPart::Failed(error) => BodyStep::Last(event(&error_value(&error)).into()),
            CallerPart::Started(_) | CallerPart::Head(_) | CallerPart::Body(_) => BodyStep::Skip,
        }
    }

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

    fn whole_value(&self, text: &str, reason: &str, tokens: u32) -> serde_json::Value {
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

fn event(value: &serde_json::Value) -> String {
    format!("data: {value}\n\n")
}
