//! Leases in the platform's table: who may act, under which fencing number, and until when by a
//! clock that cannot go back. Decisions only; the caller reads and writes the row.

mod lease_machine;
mod lease_record;
#[cfg(test)]
mod tests;

pub(crate) use lease_machine::{LeaseMachine, LeaseStep};
pub(crate) use lease_record::{DoubtWindow, LeaseHolder, LeaseRecord};
