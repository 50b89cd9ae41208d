//! The transactional table: rows of bytes under a text key, written by compare-and-set.

use bytes::Bytes;
use futures::future::BoxFuture;
use macro_rules_attribute::apply;
use serde::{Deserialize, Serialize};

use crate::derives::{key, plain};
use crate::errors::SwitchResult;

/// The revision of a row. Grows with each write to the row; a row that was removed and made anew
/// never gets an old revision back.
#[apply(key!)]
#[derive(Serialize, Deserialize)]
pub(crate) struct RowRevision(pub(crate) u64);

impl RowRevision {
    /// The revision that a writer expects of a row that must not exist yet.
    pub(crate) const ABSENT: Self = Self(0);
}

/// A row as it stood when it was read.
#[apply(plain!)]
pub(crate) struct TableRow {
    /// The row's key, segments separated by `/`.
    pub(crate) key: String,
    /// The revision to give back with a write.
    pub(crate) revision: RowRevision,
    /// The row's bytes.
    pub(crate) value: Bytes,
}

/// What became of a compare-and-set that the table answered.
#[apply(plain!)]
pub(crate) enum WriteResult {
    /// It took effect; this is the new revision.
    Written(RowRevision),
    /// Another write came first; this is what stands, `None` if the row is absent.
    Conflict(Option<TableRow>),
}

/// The table. An error of kind `TableUnavailable` after a write leaves open whether the write took
/// effect: the answer may have been lost. The writer settles it by reading the row back.
pub(crate) trait TableStore: Send + Sync + 'static {
    /// Reads one row.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, SwitchResult<Option<TableRow>>>;

    /// Reads every row whose key begins with `prefix`, sorted by key.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, SwitchResult<Vec<TableRow>>>;

    /// Writes a row if it stands at revision `expected`.
    fn write<'a>(
        &'a self,
        key: &'a str,
        expected: RowRevision,
        value: Bytes,
    ) -> BoxFuture<'a, SwitchResult<WriteResult>>;
}
