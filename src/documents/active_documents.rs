//! The documents that this process holds in force. A version only ever grows.

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
    /// The row as it stands in the table, to be passed on as it is.
    pub(crate) row: Bytes,
    /// The document.
    pub(crate) document: Arc<ServiceDocument>,
    /// The paths of fields that this program does not know.
    pub(crate) unknown: Vec<String>,
}

/// What became of a row that came from the table or from a neighbour.
#[apply(key!)]
pub(crate) enum InstallOutcome {
    /// It is in force now.
    Installed,
    /// It was in force already.
    Known,
    /// A newer one is in force.
    Older,
}

/// The documents in force, sorted by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveDocuments {
    held: Vec<Arc<ActiveDocument>>,
}

impl ActiveDocuments {
    /// Takes in a row if it is newer than what is in force.
    ///
    /// Rows come by several ways, of which some are slow: a neighbour that was cut off, a stale
    /// read of the table, a message sent before a restart. Whichever came last would win, and an
    /// operator would see an accepted change undone for a while. Only a greater version replaces
    /// what is in force.
    ///
    /// # Errors
    ///
    /// `MessageInvalid` when the row does not read; what is in force stays.
    pub(crate) fn install_if_newer(&mut self, row: &Bytes) -> SwitchResult<InstallOutcome> {
        let record = DocumentRecord::from_row(row)?;
        let read = record.parse_document()?;
        let service = read.document.service.clone();
        let place = self.place_of(&service);
        let standing = place.ok().map(|at| self.held[at].version.version);
        match standing {
            Some(standing) if record.version < standing => return Ok(InstallOutcome::Older),
            Some(standing) if record.version == standing => return Ok(InstallOutcome::Known),
            _ => {}
        }
        let held = Arc::new(ActiveDocument {
            version: DocumentVersion {
                service,
                version: record.version,
            },
            row: row.clone(),
            document: Arc::new(read.document),
            unknown: read.unknown,
        });
        match place {
            Ok(at) => self.replace(at, held),
            Err(at) => self.held.insert(at, held),
        }
        Ok(InstallOutcome::Installed)
    }

    fn replace(&mut self, at: usize, held: Arc<ActiveDocument>) {
        assert!(
            held.version.version > self.held[at].version.version,
            "a document in force was about to be replaced by an older one"
        );
        self.held[at] = held;
    }

    /// The document of `service`.
    pub(crate) fn get(&self, service: &str) -> Option<&Arc<ActiveDocument>> {
        self.place_of(service).ok().map(|at| &self.held[at])
    }

    /// The version of `service` that is in force; 0 when there is none.
    pub(crate) fn version_of(&self, service: &str) -> u64 {
        self.get(service).map_or(0, |held| held.version.version)
    }

    /// All of them, sorted by service.
    pub(crate) fn all(&self) -> &[Arc<ActiveDocument>] {
        &self.held
    }

    /// What is in force, without the documents.
    pub(crate) fn versions(&self) -> Vec<DocumentVersion> {
        self.held.iter().map(|held| held.version.clone()).collect()
    }

    fn place_of(&self, service: &str) -> Result<usize, usize> {
        self.held
            .binary_search_by(|held| (*held.version.service).cmp(service))
    }
}
