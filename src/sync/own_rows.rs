//! The system's own rows in the store: the entry hosts, and the last target version of each model.

use bytestring::ByteString;
use macro_rules_attribute::apply;
use serde::de::DeserializeOwned;

use super::peer_messages::EntryRecord;
use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::{StoreRow, TableView, read_object};

/// Prefix of the keys of versions. The keys of entry hosts are their names, which contain no slash.
const VERSION_KEY_PREFIX: &str = "weights/";

/// The last target version of a model, as recorded in the store.
#[apply(plain!)]
pub(crate) struct VersionRecord {
    /// The target.
    pub(crate) target: ModelVersion,
    /// The store's revision of the row; 0 if there is none.
    pub(crate) revision: u64,
}

/// The decoded own rows of the system.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnRows {
    pub(super) entries: Vec<EntryRecord>,
    pub(super) records: Vec<VersionRecord>,
    /// The keys of the rows that were read, each with the result of decoding.
    pub(super) read_results: Vec<(String, SwitchResult<()>)>,
    /// Whether these are all rows of the table.
    pub(super) is_complete: bool,
    /// The store's revision as of which they were read; 0 for single rows.
    pub(super) revision: u64,
}

impl OwnRows {
    /// Decodes all rows of `view`, which is the full table. Unreadable rows are left out.
    pub(crate) fn of(view: &TableView) -> Self {
        let mut own = Self::of_rows(&view.rows);
        own.is_complete = true;
        own.revision = view.revision;
        own
    }

    /// Decodes some of the rows.
    pub(super) fn of_rows(rows: &[StoreRow]) -> Self {
        let mut own = Self::default();
        for row in rows {
            if let Some(value) = &row.value {
                let read = own.take(row, value);
                own.read_results.push((row.key.clone(), read));
            }
        }
        own
    }

    /// Only `record`, as it was written.
    pub(super) fn with_record(record: VersionRecord) -> Self {
        Self {
            read_results: vec![(version_key(&record.target.model), Ok(()))],
            records: vec![record],
            ..Self::default()
        }
    }

    /// The models whose version rows are unreadable.
    pub(super) fn faulty_records(&self) -> Vec<ByteString> {
        let faulty = self.read_results.iter().filter(|(_, read)| read.is_err());
        let models = faulty.filter_map(|(key, _)| key.strip_prefix(VERSION_KEY_PREFIX));
        models.map(ByteString::from).collect()
    }

    /// A row is valid only under the key that its writer uses. Otherwise a row written by another
    /// writer would replace the row of another entry host or model.
    fn take(&mut self, row: &StoreRow, value: &[u8]) -> SwitchResult<()> {
        if let Some(model) = row.key.strip_prefix(VERSION_KEY_PREFIX) {
            let target: ModelVersion = read(value)?;
            check(
                *target.model == *model,
                "the row's key is for another model",
            )?;
            check(
                target.version > WeightsVersion(0),
                "version 0 is invalid: versions begin with 1",
            )?;
            self.records.push(VersionRecord {
                target,
                revision: row.revision,
            });
        } else {
            let entry: EntryRecord = read(value)?;
            check(*entry.host == *row.key, "the row's key is for another host")?;
            self.entries.push(entry);
        }
        Ok(())
    }
}

fn read<T: DeserializeOwned>(value: &[u8]) -> SwitchResult<T> {
    read_object(value).map_err(|fault| invalid(&fault.to_string()))
}

fn check(holds: bool, fault: &str) -> SwitchResult<()> {
    if holds { Ok(()) } else { Err(invalid(fault)) }
}

fn invalid(fault: &str) -> SwitchError {
    SwitchError::new(ErrorKind::MessageInvalid, fault)
}

/// The key of the row that records a version of `model`.
pub(super) fn version_key(model: &str) -> String {
    format!("{VERSION_KEY_PREFIX}{model}")
}
