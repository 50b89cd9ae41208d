//! Where weights come from: the origin, and the platform's rate-limited weight store. Both answer
//! range reads and may ask to slow down.

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::errors::SwitchResult;

/// The origin or the weight store. An error of kind `OriginLimited` carries the wait that the
/// source asked for.
pub(crate) trait WeightSource: Send + Sync + 'static {
    /// Reads the manifest published under `name`, as JSON bytes.
    fn read_manifest<'a>(&'a self, name: &'a str) -> BoxFuture<'a, SwitchResult<Bytes>>;

    /// Reads `length` bytes of the weights `name`, from `offset`. The answer may be short, over-long
    /// or corrupt: whoever asked checks it.
    fn read_range<'a>(
        &'a self,
        name: &'a str,
        offset: u64,
        length: u64,
    ) -> BoxFuture<'a, SwitchResult<Bytes>>;
}
