//! The sends of one request that have brought no head yet. There are several from the moment on in which an
//! answer is late, until one of them begins.

use std::pin::Pin;

use bytestring::ByteString;
use futures::future::select_all;

use super::send_attempt::{OpenResponse, SendFailure};

type SendFuture = Pin<Box<dyn Future<Output = Result<OpenResponse, SendFailure>> + Send + Sync>>;

/// A send under way.
struct PendingSend {
    /// The id of its backend server.
    backend: ByteString,
    sending: SendFuture,
}

/// A send that is over.
pub(super) struct CompletedSend {
    /// The id of its backend server.
    pub(super) backend: ByteString,
    /// What it brought.
    pub(super) result: Result<OpenResponse, SendFailure>,
}

/// The sends of one request. Those that are dropped close their connections.
#[derive(Default)]
pub(super) struct PendingSends {
    sends: Vec<PendingSend>,
}

impl PendingSends {
    /// Whether none is under way.
    pub(super) const fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// One more is under way, to the backend server called `backend`.
    pub(super) fn push(
        &mut self,
        backend: ByteString,
        sending: impl Future<Output = Result<OpenResponse, SendFailure>> + Send + Sync + 'static,
    ) {
        let sending = Box::pin(sending);
        self.sends.push(PendingSend { backend, sending });
    }

    /// Waits for the first of them to end; there must be one. Nothing is lost when the wait is given up.
    pub(super) async fn next(&mut self) -> CompletedSend {
        let sends = self.sends.iter_mut().map(|send| &mut send.sending);
        let (result, at, _) = select_all(sends).await;
        let backend = self.sends.swap_remove(at).backend;
        CompletedSend { backend, result }
    }
}
