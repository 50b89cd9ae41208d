//! Who is there: hosts live, suspected, leaving or gone, from the platform's lagging list, from
//! what hosts say of themselves, and from refusals.

pub(crate) mod events;
mod identity;
mod messages;
mod status_board;

pub(crate) use identity::HostIdentity;
pub(crate) use messages::{HostStatus, LoadReport, ServingVersion, SlotHold, StagingProgress};
pub(crate) use status_board::StatusBoard;
