//! The documents that are in force in this process. The version of a document never decreases.

use std::sync::Arc;

use bytes::Bytes;
use bytestring::ByteString;
use macro_rules_attribute::apply;

use super::document_record::DocumentRecord;
use super::schema::ServiceDocument;
use crate::derives::{key, message, plain};
use crate::errors::SwitchResult;

/// A service and a version of its document.
#[apply(message!)]
#[derive(Eq, PartialOrd, Ord)]
pub(crate) struct DocumentVersion {
    /// The service.
    pub(crate) service: ByteString,
    /// The version.
    pub(crate) version: u64,
}

/// A document in force.
#[apply(plain!)]
pub(crate) struct ActiveDocument {
    /// Its service and version.
    pub(crate) version: DocumentVersion,
    /// The row exactly as stored in the table, to be forwarded unchanged to other processes.
    pub(crate) row: Bytes,
    /// The parsed document, without unknown fields.
    pub(crate) document: Arc<ServiceDocument>,
    /// JSON pointers to the fields that this version of the program does not know.
    pub(crate) unknown: Vec<String>,
}

/// The outcome of installing a row received from the table or from a neighbour.
#[apply(key!)]
pub(crate) enum InstallOutcome {
    /// The row's version was newer and is now in force.
    Installed,
    /// The row's version was in force already.
    Known,
    /// A newer version is in force.
    Older,
}

/// The documents in force, sorted by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveDocuments {
    documents: Vec<Arc<ActiveDocument>>,
}

impl ActiveDocuments {
    /// Puts the document in `row` in force if its version is newer than the one in force.
    ///
    /// Rows arrive over several paths, and some of them are delayed: a neighbour that was
    /// partitioned, a stale read of the table, or a message sent before a restart. If the last
    /// arrival won, an accepted change could be undone temporarily. Therefore only a greater
    /// version replaces the one in force.
    ///
    /// # Errors
    ///
    /// `MessageInvalid` if the row cannot be parsed; the document in force is kept.
    pub(crate) fn install_if_newer(&mut self, row: &Bytes) -> SwitchResult<InstallOutcome> {
        let record = DocumentRecord::from_row(row)?;
        let parsed = record.parse_document()?;
        let service = parsed.document.service.clone();
        let position = self.find(&service);
        let current = position.ok().map(|at| self.documents[at].version.version);
        match current {
            Some(current) if record.version < current => return Ok(InstallOutcome::Older),
            Some(current) if record.version == current => return Ok(InstallOutcome::Known),
            _ => {}
        }
        let active = Arc::new(ActiveDocument {
            version: DocumentVersion {
                service,
                version: record.version,
            },
            row: row.clone(),
            document: Arc::new(parsed.document),
            unknown: parsed.unknown,
        });
        match position {
            Ok(at) => self.replace(at, active),
            Err(at) => self.documents.insert(at, active),
        }
        Ok(InstallOutcome::Installed)
    }

    fn replace(&mut self, at: usize, active: Arc<ActiveDocument>) {
        assert!(
            active.version.version > self.documents[at].version.version,
            "a document in force was about to be replaced by an older one"
        );
        self.documents[at] = active;
    }

    /// The document in force for `service`.
    pub(crate) fn get(&self, service: &str) -> Option<&Arc<ActiveDocument>> {
        self.find(service).ok().map(|at| &self.documents[at])
    }

    /// The version of the document in force for `service`; 0 if there is none.
    pub(crate) fn version_of(&self, service: &str) -> u64 {
        self.get(service)
            .map_or(0, |document| document.version.version)
    }

    /// All documents in force, sorted by service.
    pub(crate) fn all(&self) -> &[Arc<ActiveDocument>] {
        &self.documents
    }

    /// The versions in force, sorted by service.
    pub(crate) fn versions(&self) -> Vec<DocumentVersion> {
        self.documents
            .iter()
            .map(|document| document.version.clone())
            .collect()
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.documents
            .binary_search_by(|document| (*document.version.service).cmp(service))
    }
}
