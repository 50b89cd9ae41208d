//! Membership: which hosts are live, suspected, leaving or unavailable.
//!
//! The state of a host is derived from the platform's host list, which lags, from the host's own
//! announcements, and from failures of the streams that this process watches.

pub(crate) mod events;
mod identity;
mod member_table;
mod messages;
mod neighbours;
mod status_publisher;
#[cfg(test)]
mod tests;

pub(crate) use identity::HostIdentity;
pub(crate) use member_table::{MemberTable, MemberView};
pub(crate) use messages::{HostStatus, LoadReport, MemberFacts, ServingVersion, StagingProgress};
pub(crate) use neighbours::{choose_neighbours, choose_table_readers};
pub(crate) use status_publisher::StatusPublisher;
