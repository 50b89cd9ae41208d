//! The table row that stores a service's document, its keys, and its parsing.

use bytes::Bytes;
use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::schema::ServiceDocument;
use super::unknown_fields::split_unknown;
use crate::derives::{message, plain};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};

/// The key prefix of the rows that store current documents.
pub(crate) const DOCUMENTS_PREFIX: &str = "documents/";

/// Maximum number of recent changes whose nonces a row stores.
pub(crate) const RECENT_CHANGES_MAX: usize = 16;

/// The key of the row that stores the current document of `service`.
pub(crate) fn document_key(service: &str) -> String {
    format!("{DOCUMENTS_PREFIX}{service}")
}

/// The key of the row that archives version `version` once it is replaced.
pub(crate) fn history_key(service: &str, version: u64) -> String {
    format!("{}{version:020}", history_prefix(service))
}

/// The key prefix of the rows that archive replaced versions of `service`'s document.
pub(crate) fn history_prefix(service: &str) -> String {
    format!("history/{service}/")
}

/// The content of a document's row, stored as JSON.
#[apply(message!)]
pub(crate) struct DocumentRecord {
    /// The version; increases by one with each accepted change.
    pub(crate) version: u64,
    /// Identifies the change, so that its author can distinguish its own write from others.
    pub(crate) nonce: ByteString,
    /// The author and the short digest of the key, as shown in the history.
    pub(crate) changed_by: ByteString,
    /// The time of the change, in Unix milliseconds by the wall clock of the accepting host.
    pub(crate) changed_wall_ms: u64,
    /// The most recent changes including this one, oldest first. A writer whose change was replaced
    /// before it could read the row back finds its nonce here and knows that it was accepted.
    pub(crate) recent: Vec<AcceptedChange>,
    /// The complete document. A process that does not know some of its fields still forwards them.
    pub(crate) document: serde_json::Value,
}

/// One accepted change.
#[apply(message!)]
#[derive(Eq)]
pub(crate) struct AcceptedChange {
    /// The version that the change created.
    pub(crate) version: u64,
    /// The nonce of the change.
    pub(crate) nonce: ByteString,
}

impl DocumentRecord {
    /// The version that the change with this nonce created, if it is among the recent changes.
    pub(crate) fn version_of(&self, nonce: &str) -> Option<u64> {
        let change = self.recent.iter().find(|change| change.nonce == *nonce);
        change.map(|change| change.version)
    }

    /// Parses the content of a row.
    ///
    /// # Errors
    ///
    /// `MessageInvalid` if the row is not a valid record.
    pub(crate) fn from_row(row: &[u8]) -> SwitchResult<Self> {
        serde_json::from_slice(row)
            .map_err(|fault| SwitchError::new(ErrorKind::MessageInvalid, fault.to_string()))
    }

    /// Serialises the record to the content of a row.
    ///
    /// # Errors
    ///
    /// `Internal` if serialisation fails.
    pub(crate) fn to_row(&self) -> SwitchResult<Bytes> {
        serde_json::to_vec(self)
            .map(Bytes::from)
            .map_err(|fault| SwitchError::new(ErrorKind::Internal, fault.to_string()))
    }

    /// Parses the document and lists the fields that this version of the program does not know.
    ///
    /// # Errors
    ///
    /// `MessageInvalid` if the document cannot be parsed even without the unknown fields.
    pub(crate) fn parse_document(&self) -> SwitchResult<ParsedDocument> {
        let (document, unknown) = split_unknown(&self.document)?;
        Ok(ParsedDocument { document, unknown })
    }
}

/// A parsed document.
#[apply(plain!)]
pub(crate) struct ParsedDocument {
    /// The document without unknown fields.
    pub(crate) document: ServiceDocument,
    /// JSON pointers to the fields that were omitted because this version of the program does not
    /// know them.
    pub(crate) unknown: Vec<String>,
}
