//! The body of a whole answer. Its request counts as under way until the connection has taken all of it, so
//! that a planned stop does not cut an answer that its client reads slowly.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::daemon::RequestGuard;

/// A connection takes a part when it has written most of those before.
const PART_BYTES: usize = 16 * 1024;

/// The body.
pub(super) struct WholeBody {
    rest: Bytes,
    _live: RequestGuard,
}

impl WholeBody {
    /// The body of `bytes` that keeps `live` until it is dropped.
    pub(super) const fn new(bytes: Bytes, live: RequestGuard) -> Self {
        Self {
            rest: bytes,
            _live: live,
        }
    }
}

impl Body for WholeBody {
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
