//! The byte stream of an accepted connection. It tells the account of the process what arrives, and
//! the graceful stop which connections have bytes that are not written.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::capacity::ConnectionLease;
use crate::daemon::{DrainState, UnwrittenGuard};
use crate::time::clock_now;

/// Size and number of the reads that discard what a client has sent.
const DISCARD_BYTES: usize = 16 * 1024;
const DISCARD_READS: usize = 64;
/// Bytes of a refused request that are discarded at most, so that its client can read the response.
const LINGER_BYTES: usize = 4 * 1024 * 1024;

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
    lease: ConnectionLease,
    /// Whether the socket takes no more bytes.
    is_blocked: bool,
    /// Bytes that are still discarded before the connection is closed; none before its end.
    linger: Option<usize>,
}

impl ServedStream {
    pub(super) const fn new(
        stream: TcpStream,
        drain: DrainState,
        tracking: WriteTracking,
        lease: ConnectionLease,
    ) -> Self {
        Self {
            stream,
            drain,
            tracking,
            unwritten: None,
            lease,
            is_blocked: false,
            linger: None,
        }
    }

    /// The place of the connection in the account.
    pub(super) const fn lease(&self) -> &ConnectionLease {
        &self.lease
    }

    /// Counts the connection while the socket takes no more bytes.
    fn note_write(&mut self, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        let is_tracked = self.tracking == WriteTracking::Tracked;
        if is_tracked && written.is_pending() && self.unwritten.is_none() {
            self.unwritten = Some(self.drain.track_unwritten());
        }
        if written.is_pending() != self.is_blocked {
            self.is_blocked = written.is_pending();
            self.lease.note_blocked(self.is_blocked, clock_now());
        }
        written
    }

    /// Discards what still arrives, until the peer has closed the connection.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        let mut rest = self.linger.unwrap_or_default();
        while rest > 0 {
            let mut bytes = [MaybeUninit::uninit(); DISCARD_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer);
            if read.is_pending() {
                self.linger = Some(rest);
            }
            // After an error there is nothing left to deliver.
            let is_read = ready!(read).is_ok();
            let length = buffer.filled().len();
            if !is_read || length == 0 {
                break;
            }
            rest = rest.saturating_sub(length);
        }
        Poll::Ready(Ok(()))
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
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let begins_head = buffer.filled().len() > before && self.lease.awaits_head();
        if begins_head && !self.lease.begin_head(clock_now()) {
            let detail = "no memory for the head of a request";
            return Poll::Ready(Err(Error::new(ErrorKind::OutOfMemory, detail)));
        }
        read
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
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            let has_rest = self.lease.begin_linger(clock_now());
            self.linger = Some(if has_rest { LINGER_BYTES } else { 0 });
        }
        self.poll_discard(context)
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
