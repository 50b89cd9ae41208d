//! The datagrams of load reports.
//!
//! Each replaces the previous one, so that a lost datagram is not sent again.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::derives::{key, message};
use crate::fleet::{EngineHoldings, LimitAnnouncement, LoadReport};
use crate::quarantine::{AnswerCount, CrashRecord};
use crate::time::WallTime;

/// Limit of reports in a digest; at 40 bytes each they fit into one packet of 1,500 bytes.
const DIGEST_REPORTS_MAX: usize = 32;

/// A datagram that an entry host receives.
#[apply(message!)]
pub(crate) enum ReportDatagram {
    /// From the host of a backend server.
    Report(LoadReport),
    /// From another entry host.
    Digest(LoadDigest),
    /// From an entry host that received limits.
    Limits(LimitDigest),
    /// From an entry host that saw a crash, or answers to requests that are suspected of one.
    Crashes(CrashNotice),
}

/// Sent by a relay to the host of a backend server, to receive its reports for a limited time.
#[apply(message!)]
pub(crate) struct ReportLease {
    /// Address at which the relay receives reports.
    pub(crate) relay: SocketAddr,
}

/// How far a digest is forwarded.
#[apply(key!)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum DigestReach {
    /// Not beyond its receiver.
    Receiver,
    /// By its receiver to the other entry hosts of the receiver's data centre.
    DataCentre,
}

/// The limits that backend servers announced for the requests that they accept.
#[apply(message!)]
pub(crate) struct LimitDigest {
    /// How far it is forwarded.
    pub(crate) reach: DigestReach,
    /// The newest limit of each backend server.
    #[serde(rename = "words")]
    pub(crate) limits: Vec<LimitAnnouncement>,
}

/// What an entry host saw of requests that may crash backend servers. Notices that are late or
/// repeated change nothing.
#[apply(message!)]
pub(crate) struct CrashNotice {
    /// How far it is forwarded.
    pub(crate) reach: DigestReach,
    /// The crashes and clearings.
    pub(crate) records: Vec<CrashRecord>,
    /// Counts of answers to requests with suspected parts.
    pub(crate) answers: Vec<AnswerCount>,
}

impl CrashNotice {
    /// Largest number of records or counts. At about 60 bytes each they fit into one packet of 1,500
    /// bytes.
    pub(crate) const RECORDS_MAX: usize = 20;
}

/// The loads of several backend servers.
#[apply(message!)]
pub(crate) struct LoadDigest {
    /// How far it is forwarded.
    pub(crate) reach: DigestReach,
    /// The loaded weights, without duplicates, since most engines have loaded the same.
    holdings: Vec<EngineHoldings>,
    rows: Vec<DigestRow>,
}

#[apply(message!)]
struct DigestRow {
    address: SocketAddr,
    #[serde(rename = "born")]
    start_time: Option<WallTime>,
    active: u32,
    queued: u32,
    is_loading: bool,
    pace: f64,
    /// Index into the holdings of the digest.
    holdings: usize,
}

impl LoadDigest {
    /// Packs `reports` into as few digests as possible.
    pub(crate) fn pack(reports: &[LoadReport], reach: DigestReach) -> Vec<Self> {
        let parts = reports.chunks(DIGEST_REPORTS_MAX);
        parts.map(|part| Self::of(part, reach)).collect()
    }

    fn of(reports: &[LoadReport], reach: DigestReach) -> Self {
        let mut holdings: Vec<EngineHoldings> = Vec::new();
        let rows = reports.iter().map(|report| {
            let found = holdings.iter().position(|held| *held == report.holdings);
            let at = found.unwrap_or_else(|| {
                holdings.push(report.holdings.clone());
                holdings.len() - 1
            });
            DigestRow {
                address: report.address,
                start_time: report.start_time,
                active: report.active,
                queued: report.queued,
                is_loading: report.is_loading,
                pace: report.pace,
                holdings: at,
            }
        });
        Self {
            reach,
            rows: rows.collect(),
            holdings,
        }
    }

    /// The reports, without rows whose holdings are missing.
    pub(crate) fn unpack(&self) -> impl Iterator<Item = LoadReport> + '_ {
        self.rows.iter().filter_map(|row| {
            Some(LoadReport {
                address: row.address,
                start_time: row.start_time,
                active: row.active,
                queued: row.queued,
                is_loading: row.is_loading,
                pace: row.pace,
                holdings: self.holdings.get(row.holdings)?.clone(),
            })
        })
    }

    /// The same digest for receivers that don't forward it.
    pub(crate) fn into_receiver_only(self) -> Self {
        Self {
            reach: DigestReach::Receiver,
            ..self
        }
    }
}
