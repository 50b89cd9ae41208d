//! Bytes of a body that are charged to the account until they are dropped.

use super::connection_lease::ConnectionLease;
use super::resource_account::BodyOwner;
use super::shared_account::SharedAccount;
use crate::time::{ClockTime, clock_now};

/// Bytes that are charged to the account.
#[derive(Debug)]
pub(super) struct ByteLease {
    account: SharedAccount,
    owner: BodyOwner,
    bytes: usize,
    /// The connection on which the body still arrives.
    arriving: Option<ConnectionLease>,
}

impl ByteLease {
    /// Begins to charge a body that arrives on `connection`.
    pub(super) fn new(connection: ConnectionLease, owner: BodyOwner, now: ClockTime) -> Self {
        connection.begin_body(now);
        Self {
            account: connection.account().clone(),
            owner,
            bytes: 0,
            arriving: Some(connection),
        }
    }

    pub(super) const fn arriving(&self) -> Option<&ConnectionLease> {
        self.arriving.as_ref()
    }

    /// Charges bytes up to `total`; returns whether there is room.
    pub(super) fn extend_to(&mut self, total: usize, now: ClockTime) -> bool {
        let extra = total.saturating_sub(self.bytes);
        let Some(connection) = &self.arriving else {
            return extra == 0;
        };
        let owner = &self.owner;
        let has_room = extra == 0
            || self
                .account
                .change(|it| it.charge_body(connection.key(), owner, extra, now));
        if has_room {
            self.bytes += extra;
        }
        has_room
    }

    /// Records that the body has arrived. Returns whether it keeps its bytes.
    pub(super) fn finish(&mut self, now: ClockTime) -> bool {
        let Some(connection) = &self.arriving else {
            return true;
        };
        let is_kept = self
            .account
            .change(|it| it.finish_body(connection.key(), now));
        if is_kept {
            connection.note_body_read();
            self.arriving = None;
        }
        is_kept
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        let (owner, bytes) = (&self.owner, self.bytes);
        self.account.change(|it| match &self.arriving {
            Some(connection) => it.abandon_body(connection.key(), owner, bytes, clock_now()),
            None => it.release_body(owner, bytes),
        });
    }
}
