//! Collects and publishes the status that this process announces about itself.

use std::sync::Arc;

use bytestring::ByteString;
use tokio::sync::watch;

use super::messages::{HostStatus, LoadReport};

/// Publishes this process's own [`HostStatus`]. Clones share the status; every change is sent to
/// all subscribers immediately.
#[derive(Clone, Debug)]
pub(crate) struct StatusPublisher {
    status: Arc<watch::Sender<HostStatus>>,
}

impl StatusPublisher {
    /// Creates the publisher with the initial status of a process.
    pub(crate) fn new(host: ByteString, incarnation: u64) -> Self {
        let status = HostStatus {
            host,
            incarnation,
            sequence: 0,
            leaving: false,
            load: LoadReport::default(),
            serving: None,
            staging: None,
        };
        Self {
            status: Arc::new(watch::Sender::new(status)),
        }
    }

    /// Applies `change` to the status. If the status differs afterwards, its sequence number is
    /// incremented and subscribers are notified.
    pub(crate) fn update(&self, change: impl FnOnce(&mut HostStatus)) {
        self.status.send_if_modified(|status| {
            let before = status.clone();
            change(status);
            let changed = *status != before;
            if changed {
                status.sequence += 1;
            }
            changed
        });
    }

    /// Subscribes to the status.
    pub(crate) fn watch(&self) -> watch::Receiver<HostStatus> {
        self.status.subscribe()
    }
}
