//! The place of one accepted connection in the account, and that of its request.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use futures::FutureExt;
use tokio::sync::Notify;

use super::connection_record::ConnectionKey;
use super::resource_account::BodyOwner;
use super::shared_account::SharedAccount;
use crate::time::{ClockTime, clock_now};

/// How the account reaches the task of a connection.
#[derive(Debug, Default)]
pub(super) struct ConnectionSignals {
    close: Notify,
    revoke_body: Notify,
    /// Bytes of the body that is arriving.
    received: AtomicUsize,
}

impl ConnectionSignals {
    pub(super) fn close(&self) {
        self.close.notify_one();
    }

    pub(super) fn revoke_body(&self) {
        self.revoke_body.notify_one();
    }

    pub(super) fn received(&self) -> usize {
        self.received.load(Ordering::Relaxed)
    }
}

/// The place of an accepted connection in the account. Clones share it; it is free once the last
/// one is dropped.
#[derive(Clone)]
pub(crate) struct ConnectionLease {
    shared: Arc<LeaseShared>,
}

struct LeaseShared {
    account: SharedAccount,
    key: ConnectionKey,
    signals: Arc<ConnectionSignals>,
    /// Whether the next byte is the first of a head.
    awaits_head: AtomicBool,
    /// Whether a part of the last request's body has not been read.
    has_unread_body: AtomicBool,
}

impl Drop for LeaseShared {
    fn drop(&mut self) {
        self.account.change(|it| it.remove_connection(self.key));
    }
}

impl fmt::Debug for ConnectionLease {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("ConnectionLease")
            .field(&self.shared.key)
            .finish()
    }
}

impl ConnectionLease {
    pub(super) fn new(
        account: SharedAccount,
        key: ConnectionKey,
        signals: Arc<ConnectionSignals>,
    ) -> Self {
        Self {
            shared: Arc::new(LeaseShared {
                account,
                key,
                signals,
                awaits_head: AtomicBool::new(true),
                has_unread_body: AtomicBool::new(false),
            }),
        }
    }

    /// Waits until the connection has to close.
    pub(crate) async fn wait_close(&self) {
        self.shared.signals.close.notified().await;
    }

    /// Returns whether the next byte is the first of a head.
    pub(crate) fn awaits_head(&self) -> bool {
        self.shared.awaits_head.load(Ordering::Relaxed)
    }

    /// Records that the first byte of a head has arrived. Returns whether there is room for it.
    pub(crate) fn begin_head(&self, now: ClockTime) -> bool {
        let shared = &self.shared;
        shared.awaits_head.store(false, Ordering::Relaxed);
        shared.account.change(|it| it.begin_head(shared.key, now))
    }

    /// Records that a head is complete, with room for `fields` header fields, and whether a body
    /// follows; `None` if there is no room for the request.
    pub(crate) fn begin_request(
        &self,
        fields: usize,
        has_body: bool,
        now: ClockTime,
    ) -> Option<RequestLease> {
        let shared = &self.shared;
        shared.awaits_head.store(false, Ordering::Relaxed);
        shared.has_unread_body.store(has_body, Ordering::Relaxed);
        let lease = RequestLease {
            connection: self.clone(),
        };
        let has_room = shared
            .account
            .change(|it| it.begin_request(shared.key, fields, now));
        has_room.then_some(lease)
    }

    /// Records whether the peer takes no more bytes at present.
    pub(crate) fn note_blocked(&self, is_blocked: bool, now: ClockTime) {
        let shared = &self.shared;
        shared
            .account
            .change(|it| it.note_blocked(shared.key, is_blocked, now));
    }

    /// Records that the connection is written to no more. Returns whether the rest of a request has
    /// to be discarded, so that the peer can read the response.
    pub(crate) fn begin_linger(&self, now: ClockTime) -> bool {
        let shared = &self.shared;
        let has_unread_body = shared.has_unread_body.load(Ordering::Relaxed);
        shared
            .account
            .change(|it| it.begin_linger(shared.key, has_unread_body, now))
    }

    /// Returns who is charged for a body if no client account is.
    pub(super) fn owner(&self) -> Option<BodyOwner> {
        let shared = &self.shared;
        shared
            .account
            .change(|it| it.peer(shared.key))
            .map(BodyOwner::Address)
    }

    pub(super) fn account(&self) -> &SharedAccount {
        &self.shared.account
    }

    pub(super) fn key(&self) -> ConnectionKey {
        self.shared.key
    }

    pub(super) fn begin_body(&self, now: ClockTime) {
        let shared = &self.shared;
        shared.signals.received.store(0, Ordering::Relaxed);
        // A signal that came too late for the last body is not for this one.
        let _ = shared.signals.revoke_body.notified().now_or_never();
        shared.account.change(|it| it.begin_body(shared.key, now));
    }

    pub(super) fn note_body(&self, received: usize) {
        self.shared
            .signals
            .received
            .store(received, Ordering::Relaxed);
    }

    /// Records that the body has been read to its end.
    pub(super) fn note_body_read(&self) {
        self.shared.has_unread_body.store(false, Ordering::Relaxed);
    }

    /// Waits until the arriving body has to give its bytes back.
    pub(super) async fn wait_revoked(&self) {
        self.shared.signals.revoke_body.notified().await;
    }
}

/// The place of a request in progress; free once it is dropped.
#[derive(Debug)]
pub(crate) struct RequestLease {
    connection: ConnectionLease,
}

impl Drop for RequestLease {
    fn drop(&mut self) {
        let shared = &self.connection.shared;
        shared
            .account
            .change(|it| it.end_request(shared.key, clock_now()));
        shared.awaits_head.store(true, Ordering::Relaxed);
    }
}
