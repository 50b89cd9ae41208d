//! The hint row: one small row of the table that lists documents with recent or imminent changes.
//!
//! Processes that read the table poll this row, a few hundred bytes, instead of every document.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::active_documents::DocumentVersion;
use crate::derives::message;

/// The key of the hint row.
pub(crate) const HINT_KEY: &str = "spread/documents";

/// Maximum number of changes in the row. It is small because every reader fetches the row once per
/// second.
const HINT_ENTRIES_MAX: usize = 4;

/// The content of the hint row, stored as JSON.
///
/// The row is written before the document. If the accepting host fails between the two writes, it
/// leaves a hint without a change, which costs a few reads. In the opposite order it could leave a
/// change without a hint, which the readers would not look for.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct HintRecord {
    /// The most recent changes, completed or in progress, newest last. Each service occurs at most
    /// once.
    pub(crate) expected: Vec<DocumentVersion>,
}

impl HintRecord {
    /// Records that the document of `service` changes to `version`.
    pub(crate) fn add_change(&mut self, service: &ByteString, version: u64) {
        self.expected.retain(|entry| entry.service != *service);
        self.expected.push(DocumentVersion {
            service: service.clone(),
            version,
        });
        let surplus = self.expected.len().saturating_sub(HINT_ENTRIES_MAX);
        self.expected.drain(..surplus);
    }

    /// Whether changes since `earlier` was read may be missing from this row: the row is full and
    /// shares no entry with `earlier`.
    pub(crate) fn may_miss_changes(&self, earlier: &Self) -> bool {
        let is_new = |entry: &DocumentVersion| !earlier.expected.contains(entry);
        self.expected.len() >= HINT_ENTRIES_MAX && self.expected.iter().all(is_new)
    }

    /// Parses the content of the row; an invalid row is treated as empty.
    pub(crate) fn from_row(row: &[u8]) -> Self {
        serde_json::from_slice(row).unwrap_or_default()
    }
}
