//! Adapters to backend servers: the interface to model engines with its implementations for two
//! vendors' dialects, and the interface to plain services.

#[cfg_attr(
    not(test),
    expect(dead_code, reason = "no component uses roles and cache changes yet")
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
