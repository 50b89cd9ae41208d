//! The queue before the backend server: bounded, urgent first, then by arrival.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::key;
use crate::documents::RequestPriority;
use crate::routing::urgent_headroom;
use crate::time::ClockTime;

/// How much of the newest run's length goes into the mean, as one in so many.
const MEAN_WEIGHT: u32 = 8;

/// One request in the queue or at the backend server.
#[apply(key!)]
pub(crate) struct RunTicket(u64);

/// Why a request does not get into the queue.
#[apply(key!)]
pub(crate) enum QueueRefusal {
    /// The queue is full.
    Full,
    /// By the length of earlier runs it would not start before its deadline.
    TooLate {
        /// How long from now until it might start.
        wait: Duration,
    },
}

/// What a request got.
#[apply(key!)]
pub(crate) enum QueueAdmission {
    /// It may start now.
    Started(RunTicket),
    /// It waits until [`RunQueue::end`] names it.
    Waiting(RunTicket),
}

/// Requests before one backend server. A request either waits or runs; as many run as the backend
/// server takes at a time.
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
    /// An empty queue before a backend server that runs `running_max` requests at a time.
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

    /// The backend server says how many requests it runs at a time. Returns who may start now.
    pub(crate) fn set_running_max(&mut self, running_max: u32, now: ClockTime) -> Vec<RunTicket> {
        self.running_max = running_max;
        self.start_waiting(now)
    }

    /// A request asks to run before `deadline`.
    ///
    /// # Errors
    ///
    /// Why it does not get in; nothing changed.
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
            assert!(is_first, "a place was free and some as urgent waited");
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

    /// A waiting request leaves. Returns whether it was still waiting: if not, it was started and
    /// has to be ended.
    pub(crate) fn withdraw(&mut self, ticket: RunTicket) -> bool {
        let found = self.waiting.iter().position(|entry| entry.ticket == ticket);
        if let Some(at) = found {
            self.waiting.remove(at);
        }
        found.is_some()
    }

    /// A started request has ended. Returns who may start now.
    pub(crate) fn end(&mut self, ticket: RunTicket, now: ClockTime) -> Vec<RunTicket> {
        let found = self.running.binary_search_by_key(&ticket, |(one, _)| *one);
        if let Ok(at) = found {
            let (_, begun) = self.running.remove(at);
            self.record_run_time(now.since(begun));
        }
        self.start_waiting(now)
    }

    /// Requests at the backend server.
    pub(crate) const fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub(crate) const fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that it takes at a time.
    pub(crate) const fn running_max(&self) -> u32 {
        self.running_max
    }

    /// Requests that it takes beyond those that it has.
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
    /// Runs are not interrupted: when long ones hold every place, an urgent request waits until the
    /// first of them ends. One would notice urgent requests that are slow under load although they
    /// are first in the queue. Some places are therefore left to them.
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

    /// How long a request of `priority` would wait, by the mean length of earlier runs.
    fn expected_wait(&self, priority: RequestPriority) -> Duration {
        let Some(mean) = self.mean_run_time else {
            return Duration::ZERO;
        };
        let ahead = self
            .waiting
            .partition_point(|other| other.priority <= priority);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        // The next place is free after a share of the mean; each place ahead adds as much.
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
