//! Engines: what a model engine can be asked, two vendors' dialects of it, and plain services.

mod engine_client;
#[cfg_attr(
    not(test),
    expect(dead_code, reason = "nothing decides by roles and cache news yet")
)]
mod engine_edge;
mod json_state;
mod metrics_text;
mod plain_edge;
#[cfg(test)]
mod tests;

pub(crate) use engine_edge::{
    CacheEvent, CacheNews, EngineCall, EngineEdge, EnginePart, EngineProfile, EngineState,
    EngineStream, LoadOrder,
};
pub(crate) use json_state::JsonStateEngine;
pub(crate) use metrics_text::MetricsTextEngine;
pub(crate) use plain_edge::{HttpPlain, PlainAnswer, PlainCall, PlainEdge};
