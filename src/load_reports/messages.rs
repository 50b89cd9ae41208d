//! The datagrams of load reports.
//!
//! Each replaces the one before, so that a lost one needs no second try.

use std::net::SocketAddr;

use macro_rules_attribute::apply;

use crate::derives::{key, message};
use crate::fleet::{EngineHoldings, LimitWord, LoadReport};
use crate::time::WallTime;

/// Reports in a digest at most; with 40 bytes each it fits into one packet of 1,500 bytes.
const DIGEST_REPORTS_MAX: usize = 32;

/// What an entry host takes.
#[apply(message!)]
pub(crate) enum ReportDatagram {
    /// From the host of a backend server.
    Report(LoadReport),
    /// From another entry host.
    Digest(LoadDigest),
    /// From an entry host that heard of limits.
    Limits(LimitDigest),
}

/// A relay asks the host of a backend server for its reports, for a limited time.
#[apply(message!)]
pub(crate) struct ReportLease {
    /// Where the relay takes them.
    pub(crate) relay: SocketAddr,
}

/// How far a digest goes.
#[apply(key!)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum DigestReach {
    /// It ends with whoever receives it.
    Receiver,
    /// Whoever receives it passes it on to the other entry hosts of its data centre.
    DataCentre,
}

/// What backend servers said of the requests that they take.
#[apply(message!)]
pub(crate) struct LimitDigest {
    /// How far it goes.
    pub(crate) reach: DigestReach,
    /// What was heard of each.
    pub(crate) limits: Vec<LimitWord>,
}

/// The loads of several backend servers.
#[apply(message!)]
pub(crate) struct LoadDigest {
    /// How far it goes.
    pub(crate) reach: DigestReach,
    /// What their engines have loaded, each once: most of them have loaded the same.
    holdings: Vec<EngineHoldings>,
    rows: Vec<DigestRow>,
}

#[apply(message!)]
struct DigestRow {
    address: SocketAddr,
    born: Option<WallTime>,
    active: u32,
    queued: u32,
    is_loading: bool,
    pace: f64,
    /// Its place among the holdings.
    holdings: usize,
}

impl LoadDigest {
    /// Packs `reports` into as few digests as hold them.
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
                born: report.born,
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
                born: row.born,
                active: row.active,
                queued: row.queued,
                is_loading: row.is_loading,
                pace: row.pace,
                holdings: self.holdings.get(row.holdings)?.clone(),
            })
        })
    }

    /// The same digest for receivers that keep it to themselves.
    pub(crate) fn into_receiver_only(self) -> Self {
        Self {
            reach: DigestReach::Receiver,
            ..self
        }
    }
}
