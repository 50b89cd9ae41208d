//! The sources of weights: the origin, and the platform's rate-limited weight store. Both support
//! range reads and may limit the rate of requests.

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::errors::SwitchResult;

/// The origin or the weight store. An error of kind `OriginLimited` contains the time to wait that
/// the source requested.
pub(crate) trait WeightSource: Send + Sync + 'static {
    /// Reads the manifest published under `name`, as JSON bytes.
    fn read_manifest<'a>(&'a self, name: &'a str) -> BoxFuture<'a, SwitchResult<Bytes>>;

    /// Reads `length` bytes of the weights `name`, starting at `offset`. The result may be too
    /// short, too long or corrupt, so the caller must verify it.
    fn read_range<'a>(
        &'a self,
        name: &'a str,
        offset: u64,
        length: u64,
    ) -> BoxFuture<'a, SwitchResult<Bytes>>;
}
