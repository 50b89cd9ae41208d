//! Continuous batching: so many requests run, the rest wait by priority, a place that falls free
//! is taken at once.

use macro_rules_attribute::apply;
use tokio::sync::oneshot;

use crate::derives::key;

/// A request's place.
#[apply(key!)]
pub(super) struct BatchPlace(u64);

/// What runs and what waits.
#[derive(Debug)]
pub(super) struct BatchState {
    running_max: usize,
    waiting_max: usize,
    next_place: u64,
    running: Vec<BatchPlace>,
    /// Sorted by priority, then by arrival.
    waiting: Vec<WaitingRequest>,
}

#[derive(Debug)]
struct WaitingRequest {
    priority: u8,
    place: BatchPlace,
    ready: oneshot::Sender<()>,
}

impl BatchState {
    pub(super) const fn new(running_max: usize, waiting_max: usize) -> Self {
        Self {
            running_max,
            waiting_max,
            next_place: 0,
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

    /// Takes a place; `ready` is told when it runs. `None` when no more may wait.
    pub(super) fn ask(&mut self, priority: u8, ready: oneshot::Sender<()>) -> Option<BatchPlace> {
        let is_full = self.running.len() >= self.running_max;
        if is_full && self.waiting.len() >= self.waiting_max {
            return None;
        }
        self.next_place += 1;
        let place = BatchPlace(self.next_place);
        let request = WaitingRequest {
            priority,
            place,
            ready,
        };
        let at = self
            .waiting
            .partition_point(|other| (other.priority, other.place) < (priority, place));
        self.waiting.insert(at, request);
        self.fill();
        Some(place)
    }

    /// Gives a place back.
    pub(super) fn leave(&mut self, place: BatchPlace) {
        self.running.retain(|known| *known != place);
        self.waiting.retain(|request| request.place != place);
        self.fill();
    }

    fn fill(&mut self) {
        while self.running.len() < self.running_max && !self.waiting.is_empty() {
            let request = self.waiting.remove(0);
            if request.ready.send(()).is_ok() {
                self.running.push(request.place);
            }
        }
    }
}
