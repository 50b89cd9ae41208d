//! Collects what a relay has to forward, and decides when.
//!
//! Load pattern: hundreds of hosts report five times a second to a hundred entry hosts. Sent
//! directly, that is one datagram per pair; collected by relays, it is one per entry host and
//! interval.

use std::net::SocketAddr;
use std::time::Duration;

use macro_rules_attribute::apply;

use super::messages::{DigestReach, LoadDigest};
use crate::derives::plain;
use crate::fleet::LoadReport;
use crate::time::ClockTime;

/// Interval of digests to entry hosts of the own data centre, equal to that of reports.
const NEAR_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of digests to another data centre, which sends requests to its own backend servers
/// first.
const FAR_INTERVAL: Duration = Duration::from_millis(400);
/// Delay until a change of weights is forwarded; requests that reach the engine meanwhile are
/// refused. Changes of several engines within it share a digest.
const CHANGE_DELAY: Duration = Duration::from_millis(10);
/// How long a backend server that no longer reports is remembered.
const REPORT_MEMORY: Duration = Duration::from_secs(10);

/// The newest report of a backend server.
#[apply(plain!)]
struct LatestReport {
    report: LoadReport,
    at: ClockTime,
}

/// The reports that wait for the next digest to one kind of receiver.
#[derive(Clone, Debug)]
struct DigestBatch {
    reach: DigestReach,
    pause: Duration,
    /// Sorted.
    pending: Vec<SocketAddr>,
    due: Option<ClockTime>,
}

impl DigestBatch {
    const fn new(reach: DigestReach, pause: Duration) -> Self {
        Self {
            reach,
            pause,
            pending: Vec::new(),
            due: None,
        }
    }

    fn push(&mut self, address: SocketAddr, is_change: bool, now: ClockTime) {
        if let Err(at) = self.pending.binary_search(&address) {
            self.pending.insert(at, address);
        }
        let pause = if is_change { CHANGE_DELAY } else { self.pause };
        let due = now + pause;
        self.due = Some(self.due.map_or(due, |known| known.min(due)));
    }

    fn take_due(&mut self, now: ClockTime) -> Option<Vec<SocketAddr>> {
        self.due.take_if(|due| *due <= now)?;
        Some(std::mem::take(&mut self.pending))
    }
}

/// The reports that a relay collects.
#[derive(Clone, Debug)]
pub(crate) struct DigestQueue {
    /// Sorted by address.
    latest: Vec<LatestReport>,
    batches: [DigestBatch; 2],
}

impl Default for DigestQueue {
    fn default() -> Self {
        Self {
            latest: Vec::new(),
            batches: [
                DigestBatch::new(DigestReach::Receiver, NEAR_INTERVAL),
                DigestBatch::new(DigestReach::DataCentre, FAR_INTERVAL),
            ],
        }
    }
}

impl DigestQueue {
    /// Adds a report that a host sent at `now`.
    pub(crate) fn push(&mut self, report: LoadReport, now: ClockTime) {
        let address = report.address;
        let found = self
            .latest
            .binary_search_by_key(&address, |latest| latest.report.address);
        let latest = LatestReport { report, at: now };
        let is_change = match found {
            Ok(at) => {
                let is_change = latest.report.changes_weights(&self.latest[at].report);
                self.latest[at] = latest;
                is_change
            }
            Err(at) => {
                self.latest.insert(at, latest);
                true
            }
        };
        for batch in &mut self.batches {
            batch.push(address, is_change, now);
        }
    }

    /// When the next digest is due; `None` if no report waits.
    pub(crate) fn due_at(&self) -> Option<ClockTime> {
        self.batches.iter().filter_map(|batch| batch.due).min()
    }

    /// The digests that are due at `now`.
    pub(crate) fn take_due(&mut self, now: ClockTime) -> Vec<LoadDigest> {
        self.latest
            .retain(|latest| now.since(latest.at) < REPORT_MEMORY);
        let mut digests = Vec::new();
        for batch in &mut self.batches {
            let Some(pending) = batch.take_due(now) else {
                continue;
            };
            let reports = self.latest.iter().map(|latest| &latest.report);
            let reports: Vec<LoadReport> = reports
                .filter(|report| pending.binary_search(&report.address).is_ok())
                .cloned()
                .collect();
            digests.extend(LoadDigest::pack(&reports, batch.reach));
        }
        digests
    }
}
