//! HTTP response bodies that are streamed to the caller while the answer arrives from a host.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use http_body::Frame;
use tokio::sync::mpsc;
use volo_http::body::Body;

use crate::delivery::CallerPart;

type BodyError = Box<dyn std::error::Error + Send + Sync>;
type BodyFrame = Result<Frame<Bytes>, BodyError>;

/// The effect of one answer part on the response body.
pub(super) enum BodyStep {
    /// The part adds nothing to the body.
    Skip,
    /// Appends these bytes; more parts follow.
    Bytes(Bytes),
    /// Appends these bytes and ends the body.
    Last(Bytes),
    /// Aborts the body with this error text.
    Abort(String),
}

/// A response body that encodes the parts of an answer as they arrive.
///
/// The body ends cleanly only on [`BodyStep::Last`]. If the parts stop for any other reason, the
/// connection is aborted, so that the caller cannot mistake a truncated answer for a complete one.
pub(super) struct ResponseBody<S> {
    parts: mpsc::Receiver<CallerPart>,
    encode: S,
    has_ended: bool,
}

impl<S> ResponseBody<S>
where
    S: FnMut(CallerPart) -> BodyStep + Send + Sync + Unpin + 'static,
{
    /// Creates the body from `parts`, each turned into bytes by `encode`.
    pub(super) fn from_parts(parts: mpsc::Receiver<CallerPart>, encode: S) -> Body {
        Body::from_stream(Self {
            parts,
            encode,
            has_ended: false,
        })
    }

    /// Returns the frame for `part`, if it has one; `None` as `part` means that the channel closed.
    fn next_frame(&mut self, part: Option<CallerPart>) -> Option<BodyFrame> {
        let step = match part {
            Some(part) => (self.encode)(part),
            None => BodyStep::Abort("the answer ended before it was complete".to_owned()),
        };
        match step {
            BodyStep::Skip => None,
            BodyStep::Bytes(bytes) => Some(Ok(Frame::data(bytes))),
            BodyStep::Last(bytes) => {
                self.has_ended = true;
                Some(Ok(Frame::data(bytes)))
            }
            BodyStep::Abort(detail) => {
                self.has_ended = true;
                Some(Err(detail.into()))
            }
        }
    }
}

impl<S> Stream for ResponseBody<S>
where
    S: FnMut(CallerPart) -> BodyStep + Send + Sync + Unpin + 'static,
{
    type Item = BodyFrame;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        let body = self.get_mut();
        loop {
            if body.has_ended {
                return Poll::Ready(None);
            }
            let part = match body.parts.poll_recv(context) {
                Poll::Ready(part) => part,
                Poll::Pending => return Poll::Pending,
            };
            if let Some(frame) = body.next_frame(part) {
                return Poll::Ready(Some(frame));
            }
        }
    }
}
