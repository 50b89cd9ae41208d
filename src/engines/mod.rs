//! Engines: what a model engine can be asked, two vendors' dialects of it, and plain services.

#[cfg_attr(
    not(test),
    expect(dead_code, reason = "nothing decides by roles and cache news yet")
)]
mod engine_adapter;
mod engine_client;
mod json_state;
mod metrics_text;
mod plain_adapter;
#[cfg(test)]
mod tests;

pub(crate) use engine_adapter::{
    CacheChanges, CacheEvent, EngineAdapter, EngineCall, EnginePart, EngineProfile, EngineState,
    EngineStream, LoadOrder,
};
pub(crate) use json_state::JsonStateAdapter;
pub(crate) use metrics_text::MetricsTextAdapter;
pub(crate) use plain_adapter::{HttpPlainAdapter, PlainAdapter, PlainAnswer, PlainCall};
