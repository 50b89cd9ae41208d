//! The engine's side of the `metrics_text` dialect.

use std::fmt::Write as _;
use std::sync::Arc;

use http::{Method, StatusCode};
use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::response::Response;

use super::engine::{EngineStandIn, LoadRefusal, LoadRequest, is_request_for};
use super::engine_stream::GenerateRequest;
use super::event_reply;
use super::fault::FaultInjector;
use super::stand_in::{StandInRequest, refusal};
use crate::derives::plain;
use crate::transport::{error_response, json_response};

#[apply(plain!)]
#[derive(Serialize)]
struct VersionReply {
    vendor: &'static str,
    checks_fencing: bool,
    max_running: usize,
}

#[apply(plain!)]
#[derive(Deserialize)]
struct LoadBody {
    version: String,
    digest: String,
    size: u64,
    source: String,
    fence: u64,
}

#[apply(plain!)]
#[derive(Deserialize)]
struct RoleBody {
    role: String,
    fence: u64,
}

#[apply(plain!)]
#[derive(Deserialize)]
struct CompletionBody {
    request_id: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    resume_from: u32,
    #[serde(default)]
    priority: u8,
}

#[apply(plain!)]
#[derive(Deserialize)]
struct CancelBody {
    request_id: String,
}

#[derive(Serialize)]
struct FenceText {
    fence: u64,
}

#[derive(Serialize)]
struct CacheEventText {
    prefix: String,
    held: bool,
}

#[derive(Serialize)]
struct CacheText {
    events: Vec<CacheEventText>,
    next: u64,
    gap: bool,
}

#[derive(Serialize)]
struct TokenText<'a> {
    request_id: &'a str,
    index: u32,
    text: &'a str,
}

#[derive(Serialize)]
struct EndText<'a> {
    request_id: &'a str,
    finish_reason: &'a str,
    tokens: u32,
}

/// Answers `request`; `None` if the dialect has no such method and path.
pub(super) async fn answer(
    engine: &Arc<EngineStandIn>,
    request: &StandInRequest,
    faults: &Arc<FaultInjector>,
) -> Option<Response> {
    if is_request_for(request, &Method::GET, "/version") {
        return Some(json_response(
            StatusCode::OK,
            &VersionReply {
                vendor: "metrics_text",
                checks_fencing: !faults.settings().ignore_fencing,
                max_running: engine.shape.running_max,
            },
        ));
    }
    if is_request_for(request, &Method::GET, "/metrics") {
        return Some(Response::new(Body::from(metrics(engine, faults))));
    }
    if is_request_for(request, &Method::GET, "/cache/events") {
        return Some(cache_events(engine, request));
    }
    if request.method != Method::POST {
        return None;
    }
    match request.path.as_str() {
        "/control/load" => Some(load(engine, request, faults).await),
        "/control/role" => Some(set_role(engine, request)),
        "/v1/completions" => Some(complete(engine, request, faults)),
        "/control/cancel" => Some(cancel(engine, request)),
        _ => None,
    }
}

pub(super) fn token_event(request_id: &str, index: u32, text: &str) -> String {
    let token = TokenText {
        request_id,
        index,
        text,
    };
    super::event_text(&token)
}

pub(super) fn end_events(request_id: &str, reason: &str, tokens: u32) -> String {
    let end = EndText {
        request_id,
        finish_reason: reason,
        tokens,
    };
    let mut events = super::event_text(&end);
    events.push_str("data: [DONE]\n\n");
    events
}

fn metrics(engine: &EngineStandIn, faults: &FaultInjector) -> String {
    let (report, age_ms) = engine.report(faults);
    let mut text = format!(
        "# TYPE engine_requests_running gauge\nengine_requests_running {}\n\
         # TYPE engine_requests_waiting gauge\nengine_requests_waiting {}\n\
         # TYPE engine_max_running gauge\nengine_max_running {}\n\
         # TYPE engine_load_fence gauge\nengine_load_fence {}\n\
         # TYPE engine_report_age_ms gauge\nengine_report_age_ms {age_ms}\n",
        report.running, report.waiting, engine.shape.running_max, report.fence
    );
    if let Some(loaded) = report.loaded {
        let _ = writeln!(
            text,
            "# TYPE engine_weights_info gauge\n\
             engine_weights_info{{version=\"{}\",digest=\"{}\"}} 1",
            loaded.version, loaded.digest
        );
    }
    text
}

fn cache_events(engine: &EngineStandIn, request: &StandInRequest) -> Response {
    let (events, next, gap) = engine.lock().cache.events_after(request.number("after", 0));
    let events = events
        .into_iter()
        .map(|(prefix, held)| CacheEventText { prefix, held })
        .collect();
    json_response(StatusCode::OK, &CacheText { events, next, gap })
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
        version: body.version,
        digest: body.digest,
        size: body.size,
        source: body.source,
        fence: Some(body.fence),
    };
    match engine.load(&load_request, faults).await {
        Ok(()) => super::empty_reply(),
        Err(LoadRefusal::Stale(fence)) => json_response(StatusCode::CONFLICT, &FenceText { fence }),
        Err(LoadRefusal::Failed(text)) => refusal(StatusCode::UNPROCESSABLE_ENTITY, &text),
    }
}

fn set_role(engine: &EngineStandIn, request: &StandInRequest) -> Response {
    let body: RoleBody = match request.json() {
        Ok(body) => body,
        Err(error) => return error_response(&error),
    };
    let mut state = engine.lock();
    if body.fence < state.fence {
        return json_response(StatusCode::CONFLICT, &FenceText { fence: state.fence });
    }
    state.fence = body.fence;
    state.role = body.role;
    super::empty_reply()
}

fn complete(
    engine: &Arc<EngineStandIn>,
    request: &StandInRequest,
    faults: &Arc<FaultInjector>,
) -> Response {
    let body: CompletionBody = match request.json() {
        Ok(body) => body,
        Err(error) => return error_response(&error),
    };
    if engine.loaded().is_none() {
        return refusal(StatusCode::CONFLICT, "no weights are loaded");
    }
    let generation = GenerateRequest {
        request_id: body.request_id,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        resume_from: body.resume_from,
        priority: body.priority,
    };
    match engine.generate(generation, faults) {
        Some(body) => event_reply(body),
        None => refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "the engine accepts no more requests",
        ),
    }
}

fn cancel(engine: &EngineStandIn, request: &StandInRequest) -> Response {
    match request.json::<CancelBody>() {
        Ok(body) => {
            engine.cancel(&body.request_id);
            super::empty_reply()
        }
        Err(error) => error_response(&error),
    }
}
