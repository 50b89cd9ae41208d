//! Weights: a manifest binds a version, chunks are checked before they are kept, passed on or
//! loaded, and a host serves a version only when all of it is there and its engine says so.

mod activation;
mod activation_edge;
mod chunk_map;
mod digest;
pub(crate) mod events;
mod fetch_edge;
mod fetch_plan;
mod fetch_worker;
mod link_pacer;
mod manifest;
mod manifest_edge;
mod messages;
mod origin_turns;
mod peer_service;
mod peer_table;
mod rollout_book;
mod rollout_row;
mod source_line;
mod staged_version;
mod version_routes;
mod wanted_version;
mod weights_thread;
mod word_board;

pub use digest::WeightsDigest;

pub(crate) use link_pacer::{LinkDirection, LinkPacer};
pub(crate) use weights_thread::{WeightsEdges, WeightsHandle, WeightsLimits, start_weights};
