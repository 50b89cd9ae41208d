//! Engines: what a model engine can be asked, and two vendors' dialects of it.

mod engine_edge;

pub(crate) use engine_edge::{
    CacheEvent, CacheNews, EngineCall, EngineEdge, EnginePart, EngineProfile, EngineState,
    EngineStream, LoadOrder,
};
