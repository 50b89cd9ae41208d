//! The body of a response. Its request stays charged until the connection has taken all of it.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use motore::BoxError;
use volo_http::body::Body;

use crate::capacity::RequestLease;

/// The body of a response, with the place of its request.
pub(super) struct ChargedResponse {
    body: Body,
    _charge: RequestLease,
}

impl ChargedResponse {
    pub(super) const fn new(body: Body, charge: RequestLease) -> Self {
        Self {
            body,
            _charge: charge,
        }
    }
}

impl HttpBody for ChargedResponse {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
