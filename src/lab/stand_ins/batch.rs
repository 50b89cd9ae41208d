//! Continuous batching: a limited number of requests runs, the others wait in order of priority,
//! and a free slot goes to the first of them at once.

use macro_rules_attribute::apply;
use tokio::sync::oneshot;

use crate::derives::key;

/// Identifies a request in the batch or its queue.
#[apply(key!)]
pub(super) struct BatchRequestId(u64);

/// The running and the waiting requests.
#[derive(Debug)]
pub(super) struct BatchState {
    running_max: usize,
    waiting_max: usize,
    last_id: u64,
    running: Vec<BatchRequestId>,
    /// Sorted by priority (lower values first), then by arrival.
    waiting: Vec<WaitingRequest>,
}

#[derive(Debug)]
struct WaitingRequest {
    priority: u8,
    id: BatchRequestId,
    ready: oneshot::Sender<()>,
}

impl BatchState {
    pub(super) const fn new(running_max: usize, waiting_max: usize) -> Self {
        Self {
            running_max,
            waiting_max,
            last_id: 0,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }

    pub(super) const fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request, and signals `ready` when it starts. Returns `None` if the queue is full.
    pub(super) fn admit(
        &mut self,
        priority: u8,
        ready: oneshot::Sender<()>,
    ) -> Option<BatchRequestId> {
        let is_full = self.running.len() >= self.running_max;
        if is_full && self.waiting.len() >= self.waiting_max {
            return None;
        }
        self.last_id += 1;
        let id = BatchRequestId(self.last_id);
        let request = WaitingRequest {
            priority,
            id,
            ready,
        };
        let position = self
            .waiting
            .partition_point(|other| (other.priority, other.id) < (priority, id));
        self.waiting.insert(position, request);
        self.start_waiting();
        Some(id)
    }

    /// Removes a request that ended or was abandoned, and starts waiting ones in its slot.
    pub(super) fn release(&mut self, id: BatchRequestId) {
        self.running.retain(|other| *other != id);
        self.waiting.retain(|request| request.id != id);
        self.start_waiting();
    }

    /// Starts waiting requests while slots are free. One whose receiver was dropped is discarded.
    fn start_waiting(&mut self) {
        while self.running.len() < self.running_max && !self.waiting.is_empty() {
            let request = self.waiting.remove(0);
            if request.ready.send(()).is_ok() {
                self.running.push(request.id);
            }
        }
    }
}
