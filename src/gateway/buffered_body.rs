//! Body of a buffered response. Its request counts as in progress until the connection has taken
//! all of it, so that a graceful stop does not truncate a response that its client reads slowly.
//! What the connection has taken and not written is counted by its stream.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::daemon::RequestGuard;

/// Size of the frames that are passed to the connection. A connection takes the next frame when it
/// has written most of the earlier ones.
const PART_BYTES: usize = 16 * 1024;

/// A response body in memory, with the guard that keeps its request in progress.
pub(super) struct BufferedBody {
    rest: Bytes,
    _live: RequestGuard,
}

impl BufferedBody {
    /// Creates the body of `bytes`. It holds `live` until it is dropped.
    pub(super) const fn new(bytes: Bytes, live: RequestGuard) -> Self {
        Self {
            rest: bytes,
            _live: live,
        }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(PART_BYTES);
        let part = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
