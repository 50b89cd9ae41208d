//! The platform's transactional table: rows of bytes with text keys, written by compare-and-set.

use bytes::Bytes;
use futures::future::BoxFuture;
use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::derives::{key, plain};
use crate::errors::SwitchResult;

/// The revision of a row. It increases with each write to the row. A row that is deleted and
/// created again never reuses an earlier revision.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
pub(crate) struct RowRevision(pub(crate) u64);

impl RowRevision {
    /// The expected revision of a row that must not exist yet.
    pub(crate) const ABSENT: Self = Self(0);
}

/// A row with its content and revision at the time of the read.
#[apply(plain!)]
pub(crate) struct TableRow {
    /// The key of the row, with segments separated by `/`.
    pub(crate) key: String,
    /// The revision to expect in a later write of the row.
    pub(crate) revision: RowRevision,
    /// The content of the row.
    pub(crate) value: Bytes,
}

/// The outcome of a compare-and-set to which the table responded.
#[apply(plain!)]
pub(crate) enum WriteResult {
    /// The write took effect; this is the new revision.
    Written(RowRevision),
    /// The row has another revision than expected. Contains the current row, or `None` if it does
    /// not exist.
    Conflict(Option<TableRow>),
}

/// The platform's table.
///
/// After an error of kind `TableUnavailable` from a write, it is unknown whether the write took
/// effect, since only the response may have been lost. The writer finds out by reading the row.
pub(crate) trait TableStore: Send + Sync + 'static {
    /// Reads one row.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, SwitchResult<Option<TableRow>>>;

    /// Reads all rows whose keys begin with `prefix`, sorted by key.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, SwitchResult<Vec<TableRow>>>;

    /// Writes a row if its current revision is `expected`.
    fn write<'a>(
        &'a self,
        key: &'a str,
        expected: RowRevision,
        value: Bytes,
    ) -> BoxFuture<'a, SwitchResult<WriteResult>>;
}
