//! Decides which entry hosts receive the reports of a backend server's host.
//!
//! Relays request reports with a lease, which they renew while they are running, so that the host
//! need not know which entry hosts are available. Without any lease it reports to all entry hosts
//! that it knows.

use std::net::SocketAddr;
use std::time::Duration;

use bytestring::ByteString;

use crate::sync::EntryRecord;
use crate::time::ClockTime;

/// Interval at which a relay renews its lease.
pub(crate) const LEASE_RENEWAL: Duration = Duration::from_millis(500);
/// Duration of a lease; two renewals may be lost.
const LEASE_SPAN: Duration = Duration::from_millis(1600);
/// Limit of leases at a time. More entry hosts than that read the store only while most of them
/// fail.
const LEASES_MAX: usize = 6;
/// Without a lease, one in this many reports is also sent to entry hosts in other data centres.
const FAR_REPORT_EVERY: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct LeaseRecord {
    relay: SocketAddr,
    until: ClockTime,
}

/// The leases that a host has granted.
#[derive(Clone, Debug)]
pub(crate) struct ReportLeases {
    data_centre: ByteString,
    leases: Vec<LeaseRecord>,
    /// Counts reports that were sent without a lease.
    unleased: u32,
}

impl ReportLeases {
    /// Without leases, for a host in `data_centre`.
    pub(crate) const fn new(data_centre: ByteString) -> Self {
        Self {
            data_centre,
            leases: Vec::new(),
            unleased: 0,
        }
    }

    /// Grants or renews the lease of `relay` at `now`.
    pub(crate) fn renew(&mut self, relay: SocketAddr, now: ClockTime) {
        self.leases
            .retain(|lease| lease.relay != relay && lease.until > now);
        if self.leases.len() < LEASES_MAX {
            let until = now + LEASE_SPAN;
            self.leases.push(LeaseRecord { relay, until });
        }
    }

    /// The receivers of a report at `now`, given all known entry hosts. Without a lease, a report
    /// of a change of weights goes to all entry hosts.
    pub(crate) fn receivers(
        &mut self,
        entries: &[EntryRecord],
        is_change: bool,
        now: ClockTime,
    ) -> Vec<SocketAddr> {
        self.leases.retain(|lease| lease.until > now);
        if !self.leases.is_empty() {
            return self.leases.iter().map(|lease| lease.relay).collect();
        }
        let goes_far = is_change || self.unleased.is_multiple_of(FAR_REPORT_EVERY);
        self.unleased = self.unleased.wrapping_add(1);
        entries
            .iter()
            .filter(|entry| goes_far || entry.data_centre == self.data_centre)
            .map(|entry| entry.reports)
            .collect()
    }
}
