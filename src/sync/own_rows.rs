//! The rows that the system keeps of itself in the store: which entry hosts there are, and which
//! version of each model's weights was named last.

use bytestring::ByteString;
use macro_rules_attribute::apply;
use serde::de::DeserializeOwned;

use super::peer_messages::EntryRecord;
use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::fleet::{ModelVersion, WeightsVersion};
use crate::platform::{StoreRow, TableView, read_object};

/// Begins the keys of versions; those of entry hosts are their names, which hold no slash.
const VERSION_KEY_PREFIX: &str = "weights/";

/// A version that was named last, as it is recorded in the store.
#[apply(plain!)]
pub(crate) struct VersionRecord {
    /// What was named.
    pub(crate) target: ModelVersion,
    /// The store's revision of the row; 0 where there is none.
    pub(crate) revision: u64,
}

/// What the system's own rows say.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnRows {
    pub(super) entries: Vec<EntryRecord>,
    pub(super) records: Vec<VersionRecord>,
    /// The keys of the rows that were read, each with whether it did.
    pub(super) read_results: Vec<(String, SwitchResult<()>)>,
    /// Whether these are all rows that there are.
    pub(super) is_complete: bool,
    /// The store's revision as of which they were read; 0 for single rows.
    pub(super) revision: u64,
}

impl OwnRows {
    /// Reads the rows of `view`, which has all of them. Where one does not read, the others hold.
    pub(crate) fn of(view: &TableView) -> Self {
        let mut own = Self::of_rows(&view.rows);
        own.is_complete = true;
        own.revision = view.revision;
        own
    }

    /// Reads some of the rows.
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

    /// Just `record`, as it was written.
    pub(super) fn with_record(record: VersionRecord) -> Self {
        Self {
            read_results: vec![(version_key(&record.target.model), Ok(()))],
            records: vec![record],
            ..Self::default()
        }
    }

    /// The models whose versions stand in rows that do not read.
    pub(super) fn faulty_records(&self) -> Vec<ByteString> {
        let faulty = self.read_results.iter().filter(|(_, read)| read.is_err());
        let models = faulty.filter_map(|(key, _)| key.strip_prefix(VERSION_KEY_PREFIX));
        models.map(ByteString::from).collect()
    }

    /// A row counts only under the key that its writer gives it: taken for what it says, one that
    /// somebody else wrote would replace the row of another entry host or model.
    fn take(&mut self, row: &StoreRow, value: &[u8]) -> SwitchResult<()> {
        if let Some(model) = row.key.strip_prefix(VERSION_KEY_PREFIX) {
            let target: ModelVersion = read(value)?;
            check(*target.model == *model, "it is of another model")?;
            check(target.version > WeightsVersion(0), "versions begin with 1")?;
            self.records.push(VersionRecord {
                target,
                revision: row.revision,
            });
        } else {
            let entry: EntryRecord = read(value)?;
            check(*entry.host == *row.key, "it is of another host")?;
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
