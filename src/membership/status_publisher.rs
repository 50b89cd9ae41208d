//! Where a process's slices write what the process says of itself.

use std::sync::Arc;

use bytestring::ByteString;
use tokio::sync::watch;

use super::messages::{HostStatus, LoadReport};

/// This process's own [`HostStatus`]. Clones share it; watchers learn of every change at once.
#[derive(Clone, Debug)]
pub(crate) struct StatusPublisher {
    status: Arc<watch::Sender<HostStatus>>,
}

impl StatusPublisher {
    /// The status of a process that has just started.
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

    /// Changes the status; watchers are told when it differs.
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

    /// A watcher of changes.
    pub(crate) fn watch(&self) -> watch::Receiver<HostStatus> {
        self.status.subscribe()
    }
}
