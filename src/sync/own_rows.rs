//! The rows that the system keeps of itself in the store: which entry hosts there are, and which
//! version of each model's weights was named last.

use macro_rules_attribute::apply;

use super::events;
use super::peer_messages::EntryRecord;
use crate::derives::plain;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::fleet::ModelVersion;
use crate::platform::{StoreRow, TableView};

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
}

impl OwnRows {
    /// Reads the rows of `view`. One that does not read is told, and the others hold.
    pub(crate) fn of(view: &TableView) -> Self {
        let mut own = Self::default();
        for row in &view.rows {
            if let Err(error) = own.take(row) {
                log_event!(events::ENTRY_UNREADABLE, "{error}");
            }
        }
        own
    }

    /// Just `record`.
    pub(super) fn with_record(record: VersionRecord) -> Self {
        Self {
            entries: Vec::new(),
            records: vec![record],
        }
    }

    fn take(&mut self, row: &StoreRow) -> SwitchResult<()> {
        let Some(value) = &row.value else {
            return Ok(());
        };
        let unreadable = |fault: serde_json::Error| {
            let detail = format!("the own row {}: {fault}", row.key);
            SwitchError::new(ErrorKind::MessageInvalid, detail)
        };
        if row.key.starts_with(VERSION_KEY_PREFIX) {
            self.records.push(VersionRecord {
                target: serde_json::from_slice(value).map_err(unreadable)?,
                revision: row.revision,
            });
        } else {
            let entry = serde_json::from_slice(value).map_err(unreadable)?;
            self.entries.push(entry);
        }
        Ok(())
    }
}

/// The key of the row that records a version of `model`.
pub(super) fn version_key(model: &str) -> String {
    format!("{VERSION_KEY_PREFIX}{model}")
}
