//! How an entry host knows the document, the wanted weights, the backend servers and the other entry
//! hosts: from the platform's store, and from its neighbours while the store does not answer it.

mod backend_follow;
mod backend_list;
mod crash_book;
mod crash_follow;
mod crash_rows;
pub(crate) mod events;
mod naming_time;
mod neighbour_asks;
mod neighbour_words;
mod operator_follow;
mod operator_reading;
mod own_rows;
mod past_namings;
mod peer_messages;
mod peer_routes;
mod read_order;
mod shared_book;
mod snapshot;
mod store_clock;
mod store_contact;
mod store_marks;
mod store_watch;
mod sync_thread;
#[cfg(test)]
mod tests;
mod unreadable_rows;
mod version_recorder;
mod view_book;
mod wanted_versions;

pub(crate) use naming_time::TargetUpdateTime;
pub(crate) use own_rows::OwnRows;
pub(crate) use peer_messages::{EntryRecord, PeerView, VIEW_PATH};
pub(crate) use shared_book::SharedControlState;
pub(crate) use snapshot::{ControlSnapshot, SharedSnapshot};
pub(crate) use store_clock::{QuerySpan, StoreClock};
pub(crate) use sync_thread::{SyncSettings, start_sync};
pub(crate) use view_book::ControlState;
