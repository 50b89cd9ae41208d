//! Who is there: hosts live, suspected, leaving or gone, from the platform's lagging list, from
//! what hosts say of themselves, and from refusals.

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
