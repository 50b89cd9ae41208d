//! Weights: a manifest binds a version, chunks are checked before they are kept, passed on or
//! loaded, and a host serves a version only when all of it is there and its engine says so.

mod chunk_map;
mod digest;
pub(crate) mod events;
mod manifest;
mod staged_version;
mod version_routes;
mod weights_thread;

pub use digest::WeightsDigest;

pub(crate) use weights_thread::{WeightsEdges, WeightsHandle, WeightsLimits, start_weights};
