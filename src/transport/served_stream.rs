//! The byte stream of an accepted connection. It tells the graceful stop which connections have
//! bytes that are not written.

use std::io::{IoSlice, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::daemon::{DrainState, UnwrittenGuard};

/// Size and number of the reads that discard what a client has sent.
const DISCARD_BYTES: usize = 16 * 1024;
const DISCARD_READS: usize = 64;

/// Whether a graceful stop waits for the unwritten bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteTracking {
    Tracked,
    Untracked,
}

/// An accepted TCP stream.
///
/// A body is dropped when the HTTP library has taken its last frame, up to 256 KiB before its last
/// byte is written. What the library holds is therefore counted here: from a write that the socket
/// does not take until the library flushes, which it does when its own buffer is empty.
#[derive(Debug)]
pub(super) struct ServedStream {
    stream: TcpStream,
    drain: DrainState,
    tracking: WriteTracking,
    unwritten: Option<UnwrittenGuard>,
}

impl ServedStream {
    pub(super) const fn new(stream: TcpStream, drain: DrainState, tracking: WriteTracking) -> Self {
        Self {
            stream,
            drain,
            tracking,
            unwritten: None,
        }
    }

    /// Counts the connection while the socket takes no more bytes.
    fn note_write(&mut self, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        let is_tracked = self.tracking == WriteTracking::Tracked;
        if is_tracked && written.is_pending() && self.unwritten.is_none() {
            self.unwritten = Some(self.drain.track_unwritten());
        }
        written
    }
}

impl Drop for ServedStream {
    /// During a graceful stop, discards what was received and not read: with such bytes the system
    /// resets a closed connection, and what it has not yet delivered of a response is lost.
    fn drop(&mut self) {
        if !self.drain.is_draining() {
            return;
        }
        let socket = SockRef::from(&self.stream);
        let mut buffer = [MaybeUninit::uninit(); DISCARD_BYTES];
        for _ in 0..DISCARD_READS {
            // The socket is non-blocking. After an error there is nothing left to deliver.
            if !socket.recv(&mut buffer).is_ok_and(|read| read > 0) {
                break;
            }
        }
    }
}

impl AsyncRead for ServedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ServedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.unwritten = None;
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note_write(written)
    }
}
