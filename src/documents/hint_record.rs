//! The hint row: one small row that tells the table's readers which documents are about to change,
//! so that they poll a few hundred bytes rather than every document.

use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::active_documents::DocumentVersion;
use crate::derives::message;

/// The key of the hint row.
pub(crate) const HINT_KEY: &str = "spread/documents";

/// Changes that the row names at most; it is read once a second by every reader, so each entry counts.
const HINT_ENTRIES: usize = 4;

/// The hint row, in JSON. It is written before the document, never after: an accepting host that
/// dies between two writes then leaves a hint without a change, which costs a few reads, and never
/// a change without a hint, which nobody would look for.
#[apply(message!)]
#[derive(Default)]
pub(crate) struct HintRecord {
    /// The newest changes under way or done, the newest last, each service once.
    pub(crate) expected: Vec<DocumentVersion>,
}

impl HintRecord {
    /// Adds the change of `service` to `version`.
    pub(crate) fn expect(&mut self, service: &ByteString, version: u64) {
        self.expected.retain(|entry| entry.service != *service);
        self.expected.push(DocumentVersion {
            service: service.clone(),
            version,
        });
        let surplus = self.expected.len().saturating_sub(HINT_ENTRIES);
        self.expected.drain(..surplus);
    }

    /// Whether changes may have come and gone since `earlier` was read: the row is full, and nothing
    /// in it was there.
    pub(crate) fn may_miss_changes(&self, earlier: &Self) -> bool {
        let is_new = |entry: &DocumentVersion| !earlier.expected.contains(entry);
        self.expected.len() >= HINT_ENTRIES && self.expected.iter().all(is_new)
    }

    /// The record in a row; a row that does not read counts as empty.
    pub(crate) fn from_row(row: &[u8]) -> Self {
        serde_json::from_slice(row).unwrap_or_default()
    }
}
