//! Weights: a manifest binds a version, chunks are checked before they are kept, passed on or
//! loaded, and a host serves a version only when all of it is there and its engine says so.

mod activation;
mod activation_edge;
mod chunk_map;
mod digest;
pub(crate) mod events;
mod fetch_choice;
mod fetch_edge;
mod fetch_plan;
mod fetch_run;
mod fetch_worker;
mod import_turns;
mod lease_holder;
mod link_pacer;
mod live_bytes;
mod manifest;
mod manifest_doubt;
mod manifest_edge;
mod messages;
mod origin_turns;
mod peer_service;
mod peer_table;
mod rollout_book;
mod rollout_row;
mod source_line;
mod staged_version;
#[cfg(test)]
mod tests;
mod version_change;
mod version_routes;
mod wanted_version;
mod weights_thread;
mod word_board;

pub use digest::WeightsDigest;

pub(crate) use activation::{ActivationInputs, ActivationMachine, ActivationStep};
pub(crate) use chunk_map::ChunkMap;
pub(crate) use fetch_plan::{ChunkSource, FetchLimits, FetchPlan, FetchStep, TransferId};
pub(crate) use lease_holder::LeaseHolder;
pub(crate) use link_pacer::{LinkDirection, LinkPacer};
pub(crate) use live_bytes::meter_live_responses;
pub(crate) use manifest::VersionManifest;
pub(crate) use messages::ChunkAnnouncement;
pub(crate) use peer_table::{PeerHost, PeerKey};
pub(crate) use rollout_row::{RolloutRow, RowSnapshot, RowWriteResult};
pub(crate) use source_line::HostLocation;
pub(crate) use staged_version::StagedVersion;
pub(crate) use wanted_version::TargetVersion;
pub(crate) use weights_thread::{
    WeightsContext, WeightsHandle, WeightsLimits, start_weights_tasks,
};
