//! The engine's side of the `json_state` dialect. This vendor does not check fencing numbers.

use std::sync::Arc;

use http::{Method, StatusCode};
use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};
use volo_http::response::Response;

use super::engine::{EngineStandIn, LoadRefusal, LoadRequest, is_request_for};
use super::engine_stream::GenerateRequest;
use super::event_reply;
use super::fault::FaultInjector;
use super::stand_in::StandInRequest;
use crate::derives::plain;
use crate::transport::{error_response, json_response};

#[derive(Serialize)]
struct StateReply {
    engine: &'static str,
    fencing: bool,
    slots: SlotsText,
    model: Option<ModelText>,
    age_ms: u64,
}

#[derive(Serialize)]
struct SlotsText {
    busy: usize,
    queued: usize,
    total: usize,
}

#[derive(Serialize)]
struct ModelText {
    name: String,
    sha: String,
}

#[apply(plain!)]
#[derive(Deserialize)]
struct LoadBody {
    name: String,
    sha: String,
    bytes: u64,
    from: String,
}

#[apply(plain!)]
#[derive(Deserialize)]
struct RoleBody {
    role: String,
}

#[apply(plain!)]
#[derive(Deserialize)]
struct GenerateBody {
    id: String,
    text: String,
    limit: u32,
    #[serde(default)]
    skip: u32,
    #[serde(default)]
    prio: u8,
}

#[derive(Serialize)]
struct MessageReply<'a> {
    message: &'a str,
}

#[derive(Serialize)]
struct PrefixesText {
    added: Vec<String>,
    dropped: Vec<String>,
    cursor: u64,
    lost: bool,
}

#[derive(Serialize)]
struct TokenText<'a> {
    id: &'a str,
    n: u32,
    t: &'a str,
}

#[derive(Serialize)]
struct EndText<'a> {
    id: &'a str,
    done: &'a str,
    count: u32,
}

/// Answers `request`; `None` if the dialect has no such method and path.
pub(super) async fn answer(
    engine: &Arc<EngineStandIn>,
    request: &StandInRequest,
    faults: &Arc<FaultInjector>,
) -> Option<Response> {
    if is_request_for(request, &Method::GET, "/state") {
        return Some(json_response(StatusCode::OK, &state(engine, faults)));
    }
    if is_request_for(request, &Method::GET, "/prefixes") {
        return Some(prefixes(engine, request));
    }
    if request.method == Method::DELETE {
        engine.cancel(request.path.strip_prefix("/generate/")?);
        return Some(super::empty_reply());
    }
    if request.method != Method::POST {
        return None;
    }
    match request.path.as_str() {
        "/models/load" => Some(load(engine, request, faults).await),
        "/role" => Some(set_role(engine, request)),
        "/generate" => Some(generate(engine, request, faults)),
        _ => None,
    }
}

pub(super) fn token_event(request_id: &str, index: u32, text: &str) -> String {
    let token = TokenText {
        id: request_id,
        n: index,
        t: text,
    };
    super::event_text(&token)
}

pub(super) fn end_events(request_id: &str, reason: &str, tokens: u32) -> String {
    let end = EndText {
        id: request_id,
        done: reason,
        count: tokens,
    };
    super::event_text(&end)
}

fn state(engine: &EngineStandIn, faults: &FaultInjector) -> StateReply {
    let (report, age_ms) = engine.report(faults);
    StateReply {
        engine: "json_state",
        fencing: false,
        slots: SlotsText {
            busy: report.running,
            queued: report.waiting,
            total: engine.shape.running_max,
        },
        model: report.loaded.map(|loaded| ModelText {
            name: loaded.version,
            sha: loaded.digest.to_string(),
        }),
        age_ms,
    }
}

fn prefixes(engine: &EngineStandIn, request: &StandInRequest) -> Response {
    let (events, cursor, lost) = engine.lock().cache.events_after(request.number("since", 0));
    let (added, dropped): (Vec<_>, Vec<_>) =
        events.into_iter().partition(|(_, is_added)| *is_added);
    let names = |events: Vec<(String, bool)>| events.into_iter().map(|(prefix, _)| prefix);
    let text = PrefixesText {
        added: names(added).collect(),
        dropped: names(dropped).collect(),
        cursor,
        lost,
    };
    json_response(StatusCode::OK, &text)
}

async fn load(
    engine: &EngineStandIn,
    request: &StandInRequest,
    faults: &FaultInjector,
) -> Response {
    let body: LoadBody = match request.json() {
        Ok(body) => body,
        Err(error) => return error_response(&error),
    };
    let load_request = LoadRequest {
        version: body.name,
        digest: body.sha,
        size: body.bytes,
        source: body.from,
        fence: None,
    };
    match engine.load(&load_request, faults).await {
        Ok(()) => super::empty_reply(),
        Err(LoadRefusal::Stale(_)) => message(StatusCode::BAD_REQUEST, "stale"),
        Err(LoadRefusal::Failed(text)) => message(StatusCode::BAD_REQUEST, &text),
    }
}

fn set_role(engine: &EngineStandIn, request: &StandInRequest) -> Response {
    match request.json::<RoleBody>() {
        Ok(body) => {
            engine.lock().role = body.role;
            super::empty_reply()
        }
        Err(error) => error_response(&error),
    }
}

fn generate(
    engine: &Arc<EngineStandIn>,
    request: &StandInRequest,
    faults: &Arc<FaultInjector>,
) -> Response {
    let body: GenerateBody = match request.json() {
        Ok(body) => body,
        Err(error) => return error_response(&error),
    };
    if engine.loaded().is_none() {
        return message(StatusCode::CONFLICT, "no model is loaded");
    }
    let generation = GenerateRequest {
        request_id: body.id,
        prompt: body.text,
        max_tokens: body.limit,
        resume_from: body.skip,
        priority: body.prio,
    };
    match engine.generate(generation, faults) {
        Some(body) => event_reply(body),
        None => message(
            StatusCode::TOO_MANY_REQUESTS,
            "the engine accepts no more requests",
        ),
    }
}

fn message(status: StatusCode, text: &str) -> Response {
    json_response(status, &MessageReply { message: text })
}
