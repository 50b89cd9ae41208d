//! The object store: whole objects under a name, for what is too large for a row.

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::errors::SwitchResult;

/// The object store. Objects are written once under a name that holds their hash, so that a lost
/// answer to a write is settled by writing again.
pub(crate) trait ObjectStore: Send + Sync + 'static {
    /// Reads a whole object; `None` when there is none.
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, SwitchResult<Option<Bytes>>>;

    /// Writes a whole object.
    fn put<'a>(&'a self, name: &'a str, object: Bytes) -> BoxFuture<'a, SwitchResult<()>>;
}
