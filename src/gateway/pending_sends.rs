//! The sends of one request that have no response head yet. There are several of them once a
//! response is late, until one head arrives.

use std::pin::Pin;

use bytestring::ByteString;
use futures::future::select_all;

use super::send_attempt::{OpenResponse, SendFailure};

type SendFuture = Pin<Box<dyn Future<Output = Result<OpenResponse, SendFailure>> + Send + Sync>>;

/// A send in progress.
struct PendingSend {
    /// Id of its backend server.
    backend: ByteString,
    sending: SendFuture,
}

/// A send that has ended.
pub(super) struct CompletedSend {
    /// Id of its backend server.
    pub(super) backend: ByteString,
    /// Response with an open body, or the failure.
    pub(super) result: Result<OpenResponse, SendFailure>,
}

/// The sends of one request that are in progress. Dropping a send closes its connection.
#[derive(Default)]
pub(super) struct PendingSends {
    sends: Vec<PendingSend>,
}

impl PendingSends {
    /// Returns whether no send is in progress.
    pub(super) const fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Adds a send to the backend server `backend`.
    pub(super) fn push(
        &mut self,
        backend: ByteString,
        sending: impl Future<Output = Result<OpenResponse, SendFailure>> + Send + Sync + 'static,
    ) {
        let sending = Box::pin(sending);
        self.sends.push(PendingSend { backend, sending });
    }

    /// Waits for the first send to end; there must be at least one. Cancel-safe.
    pub(super) async fn next(&mut self) -> CompletedSend {
        let sends = self.sends.iter_mut().map(|send| &mut send.sending);
        let (result, at, _) = select_all(sends).await;
        let backend = self.sends.swap_remove(at).backend;
        CompletedSend { backend, result }
    }
}
