//! Load reports from hosts of backend servers to entry hosts. Each host reports to the relays of
//! its data centre, which forward digests. What a process sends and receives therefore depends on
//! the size of a data centre and the number of data centres, not on the product of entry hosts and
//! hosts.

mod digest_queue;
mod messages;
mod report_leases;
#[cfg(test)]
mod tests;

pub(crate) use digest_queue::DigestQueue;
pub(crate) use messages::{
    CrashNotice, DigestReach, LimitDigest, LoadDigest, ReportDatagram, ReportLease,
};
pub(crate) use report_leases::{LEASE_RENEWAL, ReportLeases};
