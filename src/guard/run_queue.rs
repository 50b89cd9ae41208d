//! The bounded queue for the backend server, sorted by priority, then arrival.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::key;
use crate::documents::RequestPriority;
use crate::routing::urgent_headroom;
use crate::time::ClockTime;

/// The newest run time enters the mean with one part in this many.
const MEAN_WEIGHT: u32 = 8;

/// Identifies a request in the queue or at the backend server.
#[apply(key!)]
pub(crate) struct RunTicket(u64);

/// Why a request is not admitted to the queue.
#[apply(key!)]
pub(crate) enum QueueRefusal {
    /// The queue is full.
    Full,
    /// By the mean run time of earlier requests it would not start before its deadline.
    TooLate {
        /// Expected time until it could start.
        wait: Duration,
    },
}

/// The result of admitting a request.
#[apply(key!)]
pub(crate) enum QueueAdmission {
    /// The request may start now.
    Started(RunTicket),
    /// The request waits until [`RunQueue::end`] or [`RunQueue::set_running_max`] returns its
    /// ticket.
    Waiting(RunTicket),
}

/// The requests for one backend server. A request either waits or runs; at most `running_max`
/// requests run at a time.
#[derive(Debug)]
pub(crate) struct RunQueue {
    running_max: u32,
    waiting_max: usize,
    /// Sorted by priority, then arrival.
    waiting: Vec<WaitingRun>,
    /// Sorted by ticket.
    running: Vec<(RunTicket, ClockTime)>,
    next_ticket: u64,
    mean_run_time: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRun {
    priority: RequestPriority,
    ticket: RunTicket,
}

impl RunQueue {
    /// Creates an empty queue for a backend server that runs `running_max` requests at a time.
    pub(crate) const fn new(running_max: u32, waiting_max: usize) -> Self {
        Self {
            running_max,
            waiting_max,
            waiting: Vec::new(),
            running: Vec::new(),
            next_ticket: 0,
            mean_run_time: None,
        }
    }

    /// Sets how many requests the backend server runs at a time. Returns the requests that may
    /// start now.
    pub(crate) fn set_running_max(&mut self, running_max: u32, now: ClockTime) -> Vec<RunTicket> {
        self.running_max = running_max;
        self.start_waiting(now)
    }

    /// Admits a request that has to start before `deadline`.
    ///
    /// # Errors
    ///
    /// The reason for the refusal. The queue is unchanged then.
    pub(crate) fn offer(
        &mut self,
        priority: RequestPriority,
        deadline: ClockTime,
        now: ClockTime,
    ) -> Result<QueueAdmission, QueueRefusal> {
        if self.has_free_slot(priority) {
            let is_first = self
                .waiting
                .first()
                .is_none_or(|one| one.priority > priority);
            assert!(
                is_first,
                "a slot was free although a request of the same or a higher priority waited"
            );
            let ticket = self.new_ticket();
            self.running.push((ticket, now));
            return Ok(QueueAdmission::Started(ticket));
        }
        if self.waiting.len() >= self.waiting_max {
            return Err(QueueRefusal::Full);
        }
        let wait = self.expected_wait(priority);
        if now + wait > deadline {
            return Err(QueueRefusal::TooLate { wait });
        }
        let ticket = self.new_ticket();
        let entry = WaitingRun { priority, ticket };
        let at = self
            .waiting
            .partition_point(|other| other.priority <= priority);
        self.waiting.insert(at, entry);
        Ok(QueueAdmission::Waiting(ticket))
    }

    /// Removes a waiting request. Returns false if it does not wait any more; it was started then
    /// and has to be ended.
    pub(crate) fn withdraw(&mut self, ticket: RunTicket) -> bool {
        let found = self.waiting.iter().position(|entry| entry.ticket == ticket);
        if let Some(at) = found {
            self.waiting.remove(at);
        }
        found.is_some()
    }

    /// Removes a started request that has ended. Returns the requests that may start now.
    pub(crate) fn end(&mut self, ticket: RunTicket, now: ClockTime) -> Vec<RunTicket> {
        let found = self.running.binary_search_by_key(&ticket, |(one, _)| *one);
        if let Ok(at) = found {
            let (_, started_at) = self.running.remove(at);
            self.record_run_time(now.since(started_at));
        }
        self.start_waiting(now)
    }

    /// Number of requests at the backend server.
    pub(crate) const fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    pub(crate) const fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that the backend server runs at a time.
    pub(crate) const fn running_max(&self) -> u32 {
        self.running_max
    }

    /// Number of further requests that would be admitted: free slots and free places in the queue.
    pub(crate) fn room(&self) -> usize {
        let slots = count(self.running_max).saturating_sub(self.running.len());
        slots + self.waiting_max.saturating_sub(self.waiting.len())
    }

    fn start_waiting(&mut self, now: ClockTime) -> Vec<RunTicket> {
        let mut started = Vec::new();
        while let Some(first) = self.waiting.first()
            && self.has_free_slot(first.priority)
        {
            let ticket = self.waiting.remove(0).ticket;
            let at = self.running.partition_point(|(one, _)| *one < ticket);
            self.running.insert(at, (ticket, now));
            started.push(ticket);
        }
        started
    }

    /// Whether a request of `priority` may start.
    ///
    /// Some slots are reserved for urgent requests. Running requests are not interrupted: if long
    /// ones held all slots, an urgent request would have to wait until the first of them ends, even
    /// at the head of the queue.
    fn has_free_slot(&self, priority: RequestPriority) -> bool {
        let slots = match priority {
            RequestPriority::Urgent => self.running_max,
            RequestPriority::Normal | RequestPriority::Batch => {
                self.running_max - urgent_headroom(self.running_max)
            }
        };
        self.running.len() < count(slots)
    }

    fn new_ticket(&mut self) -> RunTicket {
        self.next_ticket += 1;
        RunTicket(self.next_ticket)
    }

    /// Returns how long a request of `priority` would wait, by the mean run time of earlier
    /// requests.
    fn expected_wait(&self, priority: RequestPriority) -> Duration {
        let Some(mean) = self.mean_run_time else {
            return Duration::ZERO;
        };
        let ahead = self
            .waiting
            .partition_point(|other| other.priority <= priority);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        // With all slots busy, one slot becomes free every `mean / running_max` on average. Each
        // request ahead adds as much.
        mean.saturating_mul(ahead.saturating_add(1)) / self.running_max.max(1)
    }

    fn record_run_time(&mut self, run: Duration) {
        let mean = self.mean_run_time.unwrap_or(run);
        self.mean_run_time = Some((mean * (MEAN_WEIGHT - 1) + run) / MEAN_WEIGHT);
    }
}

fn count(slots: u32) -> usize {
    usize::try_from(slots).unwrap_or(usize::MAX)
}
