//! How entry hosts hear of the load of backend servers: each host reports to the relays of its data
//! centre, which pass digests on. What a process sends and receives depends on the size of a data
//! centre and on the number of data centres, not on the number of entry hosts times that of hosts.

mod digest_queue;
mod messages;
mod report_leases;
#[cfg(test)]
mod tests;

pub(crate) use digest_queue::DigestQueue;
pub(crate) use messages::{DigestReach, LimitDigest, LoadDigest, ReportDatagram, ReportLease};
pub(crate) use report_leases::{LEASE_RENEWAL, ReportLeases};
