//! The data centres that the operator evacuates.
//!
//! Reports arrive in any order, from the store and from neighbours that know less. Each is ordered by
//! the store's revision of the last change, so that a late one changes nothing.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::events;
use crate::derives::message;
use crate::events::log_event;
use crate::metrics;
use crate::platform::{TableView, era_of, revision_text};

/// Limit of remembered evacuations, of which those that ended the longest ago are dropped first.
const RECORDS_MAX: usize = 128;

/// Whether a data centre is evacuated.
#[apply(message!)]
pub(crate) struct EvacuationRecord {
    /// The data centre.
    pub(crate) data_centre: ByteString,
    /// The store's revision of the last change.
    pub(crate) revision: u64,
    /// Whether it is evacuated; not any more if `false`.
    pub(crate) is_active: bool,
}

/// The known evacuations, including recent ones that have ended.
#[derive(Debug, Default)]
pub(super) struct EvacuationList {
    /// Sorted by data centre.
    records: Vec<EvacuationRecord>,
}

impl EvacuationList {
    /// All records.
    pub(super) fn records(&self) -> &[EvacuationRecord] {
        &self.records
    }

    /// The evacuated data centres, sorted.
    pub(super) fn active(&self) -> Vec<ByteString> {
        let active = self.records.iter().filter(|record| record.is_active);
        active.map(|record| record.data_centre.clone()).collect()
    }

    /// The revision of the latest change; 0 if there is none.
    pub(super) fn revision(&self) -> u64 {
        let revisions = self.records.iter().map(|record| record.revision);
        revisions.max().unwrap_or(0)
    }

    /// Merges the report that `data_centre` is evacuated, or no longer is, since `revision`.
    pub(super) fn put(&mut self, data_centre: &str, revision: u64, is_active: bool) {
        let record = EvacuationRecord {
            data_centre: data_centre.into(),
            revision,
            is_active,
        };
        let was_active = match self.find(data_centre) {
            Ok(at) if self.records[at].revision >= revision => return,
            Ok(at) => std::mem::replace(&mut self.records[at], record).is_active,
            // The end of an unknown evacuation is remembered as well: a neighbour may know its start.
            Err(at) => {
                self.records.insert(at, record);
                self.drop_oldest_ended();
                false
            }
        };
        if was_active != is_active {
            log_change(data_centre, revision, is_active);
        }
    }

    /// Merges a full read of the operator's table; `is_listed` tells which data centres it lists as
    /// evacuated.
    ///
    /// The table of a store that returned from an older copy may lack a row that the operator has
    /// not removed. Such an evacuation stays in force.
    pub(super) fn keep_listed(&mut self, view: &TableView, is_listed: impl Fn(&str) -> bool) {
        let is_ended = |record: &&EvacuationRecord| {
            record.is_active && record.revision < view.revision && !is_listed(&record.data_centre)
        };
        let unlisted: Vec<EvacuationRecord> =
            self.records.iter().filter(is_ended).cloned().collect();
        for record in unlisted {
            if era_of(record.revision) == era_of(view.revision) {
                self.put(&record.data_centre, view.revision, false);
            } else {
                log_event!(
                    events::EVACUATION_KEPT,
                    "data_centre={} revision={}",
                    record.data_centre,
                    revision_text(record.revision)
                );
            }
        }
    }

    /// Merges the records of a neighbour. `known` is the revision as of which this process knows the
    /// operator's table; an evacuation from before that it does not know has ended.
    pub(super) fn merge(&mut self, records: &[EvacuationRecord], known: Option<u64>) {
        for record in records {
            let is_outdated = known.is_some_and(|known| {
                era_of(record.revision) == era_of(known)
                    && record.revision <= known
                    && self.find(&record.data_centre).is_err()
            });
            if !is_outdated {
                self.put(&record.data_centre, record.revision, record.is_active);
            }
        }
    }

    fn find(&self, data_centre: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| (*record.data_centre).cmp(data_centre))
    }

    fn drop_oldest_ended(&mut self) {
        if self.records.len() <= RECORDS_MAX {
            return;
        }
        let ended = self.records.iter().enumerate();
        let ended = ended.filter(|(_, record)| !record.is_active);
        if let Some((at, _)) = ended.min_by_key(|(_, record)| record.revision) {
            self.records.remove(at);
        }
    }
}

fn log_change(data_centre: &str, revision: u64, is_active: bool) {
    metrics::set_gauge("evacuated", data_centre, u64::from(is_active));
    let event = if is_active {
        events::EVACUATION_BEGUN
    } else {
        events::EVACUATION_ENDED
    };
    let revision = revision_text(revision);
    log_event!(event, "data_centre={data_centre} revision={revision}");
}
