//! The row that a service's document is kept in, and what a process makes of it.

use bytes::Bytes;
use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::schema::ServiceDocument;
use super::unknown_fields::split_unknown;
use crate::derives::{message, plain};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// The prefix of every document's row.
pub(crate) const DOCUMENTS_PREFIX: &str = "documents/";

/// How many earlier changes a row remembers by their nonces.
pub(crate) const RECENT_CHANGES: usize = 16;

/// The key of the row that holds the document of `service`.
pub(crate) fn document_key(service: &str) -> String {
    format!("{DOCUMENTS_PREFIX}{service}")
}

/// The key of the row that keeps version `version` after it was replaced.
pub(crate) fn history_key(service: &str, version: u64) -> String {
    format!("{}{version:020}", history_prefix(service))
}

/// The prefix of the rows that keep replaced versions.
pub(crate) fn history_prefix(service: &str) -> String {
    format!("history/{service}/")
}

/// A document as its row holds it, in JSON.
#[apply(message!)]
pub(crate) struct DocumentRecord {
    /// Grows by one with each accepted change.
    pub(crate) version: u64,
    /// Names the change, so that its author can tell its own write from another's.
    pub(crate) nonce: ByteString,
    /// Who changed it, for people.
    pub(crate) changed_by: ByteString,
    /// When, in wall-clock milliseconds of the accepting host.
    pub(crate) changed_wall_ms: u64,
    /// The newest changes with their nonces, this one included, oldest first: a writer whose change
    /// was replaced before it read back still learns that it was accepted.
    pub(crate) recent: Vec<AcceptedChange>,
    /// The document, whole: a process that does not know all of its fields passes on all of them.
    pub(crate) document: serde_json::Value,
}

/// One accepted change.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct AcceptedChange {
    /// The version that it made.
    pub(crate) version: u64,
    /// The change's nonce.
    pub(crate) nonce: ByteString,
}

impl DocumentRecord {
    /// The version that the change `nonce` made, if the row remembers it.
    pub(crate) fn version_of(&self, nonce: &str) -> Option<u64> {
        let mark = self.recent.iter().find(|mark| mark.nonce == *nonce);
        mark.map(|mark| mark.version)
    }

    /// The record in a row.
    ///
    /// # Errors
    ///
    /// `MessageInvalid` when the row does not read as one.
    pub(crate) fn from_row(row: &[u8]) -> SwitchResult<Self> {
        serde_json::from_slice(row)
            .map_err(|fault| SwitchError::new(ErrorKind::MessageInvalid, fault.to_string()))
    }

    /// The row that holds the record.
    pub(crate) fn to_row(&self) -> SwitchResult<Bytes> {
        serde_json::to_vec(self)
            .map(Bytes::from)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))
    }

    /// The document, and the paths of fields in it that this version of the program does not know.
    ///
    /// # Errors
    ///
    /// `MessageInvalid` when what is known of it does not read either.
    pub(crate) fn parse_document(&self) -> SwitchResult<ParsedDocument> {
        let (document, unknown) = split_unknown(&self.document)?;
        Ok(ParsedDocument { document, unknown })
    }
}

/// A document as this process understands it.
#[apply(plain!)]
pub(crate) struct ParsedDocument {
    /// The document.
    pub(crate) document: ServiceDocument,
    /// The paths of the fields that were left out because this program does not know them.
    pub(crate) unknown: Vec<String>,
}
