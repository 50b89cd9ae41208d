//! The byte stream of a connection to a backend server, with a limit for the response head.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Largest response head in bytes, together with the interim responses before it. The HTTP library
/// limits each of them, but not their number.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// Value of [`HeadLimit`] while no response head is awaited.
const UNLIMITED: usize = usize::MAX;

/// The number of bytes that may still be read before the response head is complete. Clones share
/// it.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Applies from the next byte on, which begins a response.
    pub(super) fn begin(&self) {
        self.0.store(HEAD_BYTES_MAX, Ordering::Relaxed);
    }

    /// Ends with the response head.
    pub(super) fn end(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    fn is_reached(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    /// Counts bytes that were read. The last read before the limit may exceed it.
    fn count(&self, bytes: usize) {
        let count = |left| (left != UNLIMITED).then(|| usize::saturating_sub(left, bytes));
        // Nothing changes while there is no limit.
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, count);
    }
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }
}

/// A TCP stream whose reads fail once the limit is reached.
#[derive(Debug)]
pub(super) struct BackendStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl BackendStream {
    /// Applies `limit` to `stream`.
    pub(super) const fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for BackendStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.limit.is_reached() {
            let detail = format!("response head exceeds {HEAD_BYTES_MAX} bytes");
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, detail)));
        }
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.limit.count(buffer.filled().len() - filled);
        polled
    }
}

impl AsyncWrite for BackendStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}
