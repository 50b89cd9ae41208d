//! A body in one piece of memory, charged to the account.
//!
//! The parts in which a body arrives are copied. Each part would otherwise keep the buffer into
//! which it was read, up to thousands of times its own size.

use std::future::pending;

use bytes::Bytes;
use bytestring::ByteString;

use super::byte_lease::ByteLease;
use super::connection_lease::ConnectionLease;
use super::process_limits::SHORT_BODY_BYTES;
use super::resource_account::BodyOwner;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::time::ClockTime;

/// Size of the first buffer of a body whose length is not known, in bytes.
const CAPACITY_MIN: usize = 1024;

/// A body that is being read.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    /// The largest accepted body, in bytes.
    limit: usize,
    lease: Option<ByteLease>,
}

impl BodyBuffer {
    /// A buffer for a body that nobody is charged for, such as a response of another process.
    pub(crate) const fn uncharged(limit: usize) -> Self {
        Self {
            bytes: Vec::new(),
            limit,
            lease: None,
        }
    }

    /// A buffer for a body that arrives on `connection` for `account`, or for the client's address
    /// if there is none.
    pub(crate) fn charged(
        connection: ConnectionLease,
        account: Option<&ByteString>,
        limit: usize,
        now: ClockTime,
    ) -> Self {
        let owner = account
            .cloned()
            .map(BodyOwner::Account)
            .or_else(|| connection.owner());
        Self {
            bytes: Vec::new(),
            limit,
            lease: owner.map(|owner| ByteLease::new(connection, owner, now)),
        }
    }

    /// Makes room for a body whose length is known.
    ///
    /// # Errors
    ///
    /// `BodyTooLarge` over the limit, `MemoryShort` if there is no room.
    pub(crate) fn expect_length(&mut self, length: u64, now: ClockTime) -> SwitchResult<()> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > self.limit {
            return Err(self.too_large());
        }
        // The length is only what the peer says; pages of a reserved buffer are used as they are
        // written.
        self.reserve(length, now)
    }

    /// Adds the next part.
    ///
    /// # Errors
    ///
    /// As [`Self::expect_length`].
    pub(crate) fn push(&mut self, part: &[u8], now: ClockTime) -> SwitchResult<()> {
        let length = self.bytes.len() + part.len();
        if length > self.limit {
            return Err(self.too_large());
        }
        if length > self.bytes.capacity() {
            let doubled = (2 * self.bytes.capacity()).max(CAPACITY_MIN);
            self.reserve(length.max(doubled.min(self.limit)), now)?;
        }
        self.bytes.extend_from_slice(part);
        if let Some(connection) = self.lease.as_ref().and_then(ByteLease::arriving) {
            connection.note_body(length);
        }
        Ok(())
    }

    /// The number of bytes so far.
    pub(crate) const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Waits until the bytes have to be given back.
    pub(crate) async fn wait_revoked(&self) {
        match self.lease.as_ref().and_then(ByteLease::arriving) {
            Some(connection) => connection.wait_revoked().await,
            None => pending().await,
        }
    }

    /// Returns the complete body. It stays charged until its last clone is dropped.
    ///
    /// # Errors
    ///
    /// `MemoryShort` if the bytes had to be given back.
    pub(crate) fn finish(mut self, now: ClockTime) -> SwitchResult<Bytes> {
        let Some(mut lease) = self.lease.take() else {
            return Ok(self.bytes.into());
        };
        if !lease.finish(now) {
            return Err(Self::revoked());
        }
        Ok(Bytes::from_owner(ChargedBytes {
            bytes: self.bytes,
            _lease: lease,
        }))
    }

    /// The error of a body that has to give its bytes back.
    pub(crate) fn revoked() -> SwitchError {
        let detail = "the body arrived slowly and gave its memory to others";
        SwitchError::new(ErrorKind::MemoryShort, detail)
    }

    fn reserve(&mut self, capacity: usize, now: ClockTime) -> SwitchResult<()> {
        let charge = if capacity > SHORT_BODY_BYTES {
            capacity
        } else {
            0
        };
        if let Some(lease) = &mut self.lease
            && !lease.extend_to(charge, now)
        {
            let detail = format!("no memory for a body of {capacity} bytes");
            return Err(SwitchError::new(ErrorKind::MemoryShort, detail));
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    fn too_large(&self) -> SwitchError {
        let detail = format!("body exceeds the limit of {} bytes", self.limit);
        SwitchError::new(ErrorKind::BodyTooLarge, detail)
    }
}

/// The bytes of a complete body.
struct ChargedBytes {
    bytes: Vec<u8>,
    _lease: ByteLease,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
