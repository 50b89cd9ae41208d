//! Which entry hosts the host of a backend server reports to.
//!
//! Relays ask for reports and renew that while they live, so that a host needs no view of its own of
//! which entry hosts are up. While nobody asks, it reports to all that it knows.

use std::net::SocketAddr;
use std::time::Duration;

use bytestring::ByteString;

use crate::sync::EntryRecord;
use crate::time::ClockTime;

/// How often a relay renews its lease.
pub(crate) const LEASE_RENEWAL: Duration = Duration::from_millis(500);
/// How long a lease holds: two renewals may be lost.
const LEASE_SPAN: Duration = Duration::from_millis(1600);
/// Leases at a time; more entry hosts than that read the store only while most of them fail.
const LEASES_MAX: usize = 6;
/// Of the reports without a lease, one in so many goes to entry hosts elsewhere.
const FAR_REPORT_EVERY: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct LeaseRecord {
    relay: SocketAddr,
    until: ClockTime,
}

/// The leases of a host.
#[derive(Clone, Debug)]
pub(crate) struct ReportLeases {
    data_centre: ByteString,
    leases: Vec<LeaseRecord>,
    /// Counts reports that were made without a lease.
    unleased: u32,
}

impl ReportLeases {
    /// No leases yet, of a host in `data_centre`.
    pub(crate) const fn new(data_centre: ByteString) -> Self {
        Self {
            data_centre,
            leases: Vec::new(),
            unleased: 0,
        }
    }

    /// `relay` asked at `now`.
    pub(crate) fn renew(&mut self, relay: SocketAddr, now: ClockTime) {
        self.leases
            .retain(|lease| lease.relay != relay && lease.until > now);
        if self.leases.len() < LEASES_MAX {
            let until = now + LEASE_SPAN;
            self.leases.push(LeaseRecord { relay, until });
        }
    }

    /// Where a report at `now` goes, if `entries` are all known entry hosts. One that tells of a change
    /// of weights goes to all that are reached without a relay.
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
