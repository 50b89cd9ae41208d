//! The body of an answer that is passed on while it comes.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use http_body::Frame;
use tokio::sync::mpsc;
use volo_http::body::Body;

use crate::delivery::CallerPart;

type BodyFault = Box<dyn std::error::Error + Send + Sync>;
type BodyFrame = Result<Frame<Bytes>, BodyFault>;

/// What one part becomes in the body.
pub(super) enum BodyStep {
    /// Nothing.
    Skip,
    /// These bytes, and more to come.
    Bytes(Bytes),
    /// These bytes are the last.
    Last(Bytes),
    /// The body breaks off here.
    Break(String),
}

/// A body made of the parts of an answer. It ends cleanly only where its shape says so: when the
/// parts stop for any other reason, the connection is broken off, so that the caller cannot take a
/// cut answer for a whole one.
pub(super) struct CallerBody<S> {
    parts: mpsc::Receiver<CallerPart>,
    shape: S,
    is_over: bool,
}

impl<S> CallerBody<S>
where
    S: FnMut(CallerPart) -> BodyStep + Send + Sync + Unpin + 'static,
{
    /// The body of `parts`, each turned into bytes by `shape`.
    pub(super) fn of(parts: mpsc::Receiver<CallerPart>, shape: S) -> Body {
        Body::from_stream(Self {
            parts,
            shape,
            is_over: false,
        })
    }

    fn step(&mut self, part: Option<CallerPart>) -> Option<BodyFrame> {
        let step = match part {
            Some(part) => (self.shape)(part),
            None => BodyStep::Break("the answer broke off".to_owned()),
        };
        match step {
            BodyStep::Skip => None,
            BodyStep::Bytes(bytes) => Some(Ok(Frame::data(bytes))),
            BodyStep::Last(bytes) => {
                self.is_over = true;
                Some(Ok(Frame::data(bytes)))
            }
            BodyStep::Break(detail) => {
                self.is_over = true;
                Some(Err(detail.into()))
            }
        }
    }
}

impl<S> Stream for CallerBody<S>
where
    S: FnMut(CallerPart) -> BodyStep + Send + Sync + Unpin + 'static,
{
    type Item = BodyFrame;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        let body = self.get_mut();
        loop {
            if body.is_over {
                return Poll::Ready(None);
            }
            let part = match body.parts.poll_recv(context) {
                Poll::Ready(part) => part,
                Poll::Pending => return Poll::Pending,
            };
            if let Some(frame) = body.step(part) {
                return Poll::Ready(Some(frame));
            }
        }
    }
}
