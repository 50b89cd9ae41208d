//! The deployment state of an entry host: the document, the target versions, the backend servers
//! and the other entry hosts. It follows the platform's store, and queries neighbours for what the
//! store does not answer.

mod backend_follow;
mod backend_list;
mod crash_follow;
mod crash_rows;
mod crash_state;
mod deployment_state;
mod entry_agreement;
mod evacuations;
pub(crate) mod events;
mod neighbour_exchange;
mod neighbour_queries;
mod operator_follow;
mod operator_status;
mod own_rows;
mod past_targets;
mod peer_messages;
mod peer_routes;
mod read_order;
mod revision_times;
mod shared_deployment_state;
mod snapshot;
mod store_clock;
mod store_contact;
mod store_watch;
mod sync_thread;
mod target_update_time;
mod target_versions;
#[cfg(test)]
mod tests;
mod unreadable_rows;
mod version_recorder;

pub(crate) use deployment_state::DeploymentState;
#[cfg(test)]
pub(crate) use entry_agreement::EntrySharing;
pub(crate) use own_rows::OwnRows;
pub(crate) use peer_messages::{EntryRecord, PeerView, VIEW_PATH};
pub(crate) use shared_deployment_state::SharedDeploymentState;
pub(crate) use snapshot::{DeploymentSnapshot, SharedSnapshot};
pub(crate) use store_clock::{QuerySpan, StoreClock};
pub(crate) use sync_thread::{SyncSettings, start_sync};
pub(crate) use target_update_time::TargetUpdateTime;
