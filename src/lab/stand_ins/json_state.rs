//! The `json_state` dialect, from the engine's side. This vendor checks no fencing numbers.

use std::sync::Arc;

use http::{Method, StatusCode};
use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};
use volo_http::response::Response;

use super::engine::{EngineStandIn, LoadRefusal, LoadText, is_call};
use super::engine_stream::GenerateText;
use super::event_reply;
use super::fault::FaultBoard;
use super::stand_in::LabCall;
use crate::derives::plain;
use crate::transport::{error_response, json_response};

#[derive(Serialize)]
struct StateText {
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
struct MessageText<'a> {
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

/// The answer to `call`; `None` when it is not known.
pub(super) async fn answer(
    engine: &Arc<EngineStandIn>,
    call: &LabCall,
    faults: &Arc<FaultBoard>,
) -> Option<Response> {
    if is_call(call, &Method::GET, "/state") {
        return Some(json_response(StatusCode::OK, &state(engine, faults)));
    }
    if is_call(call, &Method::GET, "/prefixes") {
        return Some(prefixes(engine, call));
    }
    if call.method == Method::DELETE {
        engine.cancel(call.path.strip_prefix("/generate/")?);
        return Some(super::done());
    }
    if call.method != Method::POST {
        return None;
    }
    match call.path.as_str() {
        "/models/load" => Some(load(engine, call, faults).await),
        "/role" => Some(set_role(engine, call)),
        "/generate" => Some(generate(engine, call, faults)),
        _ => None,
    }
}

pub(super) fn token_event(request: &str, index: u32, text: &str) -> String {
    let token = TokenText {
        id: request,
        n: index,
        t: text,
    };
    super::event_text(&token)
}

pub(super) fn end_events(request: &str, reason: &str, tokens: u32) -> String {
    let end = EndText {
        id: request,
        done: reason,
        count: tokens,
    };
    super::event_text(&end)
}

fn state(engine: &EngineStandIn, faults: &FaultBoard) -> StateText {
    let (report, age_ms) = engine.report(faults);
    StateText {
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

fn prefixes(engine: &EngineStandIn, call: &LabCall) -> Response {
    let (events, cursor, lost) = engine.lock().cache.news(call.number("since", 0));
    let (added, dropped): (Vec<_>, Vec<_>) = events.into_iter().partition(|(_, held)| *held);
    let names = |events: Vec<(String, bool)>| events.into_iter().map(|(prefix, _)| prefix);
    let text = PrefixesText {
        added: names(added).collect(),
        dropped: names(dropped).collect(),
        cursor,
        lost,
    };
    json_response(StatusCode::OK, &text)
}

async fn load(engine: &EngineStandIn, call: &LabCall, faults: &FaultBoard) -> Response {
    let body: LoadBody = match call.json() {
        Ok(body) => body,
        Err(error) => return error_response(&error),
    };
    let order = LoadText {
        version: body.name,
        digest: body.sha,
        size: body.bytes,
        source: body.from,
        fence: None,
    };
    match engine.load(&order, faults).await {
        Ok(()) => super::done(),
        Err(LoadRefusal::Stale(_)) => message(StatusCode::BAD_REQUEST, "stale"),
        Err(LoadRefusal::Failed(text)) => message(StatusCode::BAD_REQUEST, &text),
    }
}

fn set_role(engine: &EngineStandIn, call: &LabCall) -> Response {
    match call.json::<RoleBody>() {
        Ok(body) => {
            engine.lock().role = body.role;
            super::done()
        }
        Err(error) => error_response(&error),
    }
}

fn generate(engine: &Arc<EngineStandIn>, call: &LabCall, faults: &Arc<FaultBoard>) -> Response {
    let body: GenerateBody = match call.json() {
        Ok(body) => body,
        Err(error) => return error_response(&error),
    };
    if engine.loaded().is_none() {
        return message(StatusCode::CONFLICT, "no model");
    }
    let request = GenerateText {
        request: body.id,
        prompt: body.text,
        max_tokens: body.limit,
        resume_from: body.skip,
        priority: body.prio,
    };
    match engine.generate(request, faults) {
        Some(body) => event_reply(body),
        None => message(StatusCode::TOO_MANY_REQUESTS, "takes no more"),
    }
}

fn message(status: StatusCode, text: &str) -> Response {
    json_response(status, &MessageText { message: text })
}
