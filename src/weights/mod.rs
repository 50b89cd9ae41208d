//! Distribution and activation of weights. A manifest identifies a version, chunks are verified
//! before they are stored, passed on or loaded, and a host serves a version only if it is complete
//! on the host and the engine reports that it serves it.

mod activation;
mod activation_driver;
mod chunk_announcer;
mod chunk_fetcher;
mod chunk_map;
mod digest;
pub(crate) mod events;
mod fetch_plan;
mod fetch_selection;
mod fetch_session;
mod fetch_worker;
mod host_ranking;
mod host_rollout_state;
mod import_schedule;
mod lease_holder;
mod link_pacer;
mod live_meter;
mod manifest;
mod manifest_fetch;
mod messages;
mod mismatch_counter;
mod origin_schedule;
mod peer_service;
mod peer_table;
mod rollout_row;
mod staged_version;
mod target_version;
#[cfg(test)]
mod tests;
mod version_change;
mod version_routes;
mod weights_tasks;

pub use digest::WeightsDigest;

pub(crate) use activation::{ActivationInputs, ActivationMachine, ActivationStep};
pub(crate) use chunk_map::ChunkMap;
pub(crate) use fetch_plan::{ChunkSource, FetchLimits, FetchPlan, FetchStep, TransferId};
pub(crate) use host_ranking::HostLocation;
pub(crate) use lease_holder::LeaseHolder;
pub(crate) use link_pacer::{LinkDirection, LinkPacer};
pub(crate) use live_meter::meter_live_responses;
pub(crate) use manifest::VersionManifest;
pub(crate) use messages::ChunkAnnouncement;
pub(crate) use peer_table::{PeerHost, PeerKey};
pub(crate) use rollout_row::{RolloutRow, RowSnapshot, RowWriteResult};
pub(crate) use staged_version::StagedVersion;
pub(crate) use target_version::TargetVersion;
pub(crate) use weights_tasks::{WeightsContext, WeightsHandle, WeightsLimits, start_weights_tasks};
