//! Simulates a store with a clock, entry hosts near it and far from it, hosts of engines, and the
//! messages in transit between them.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use super::delayed_messages::{
    StoreAnswer, has_changes, make_answer, make_query, take_answer, take_query,
    take_revision_answer,
};
use super::delayed_process::{Caller, NEAR_DELAY_MAX, Process, millis};
use super::{document, target_row};
use crate::sync::peer_messages::{PeerQuery, PeerView};
use crate::sync::target_update_time::FollowState;
use crate::time::ClockTime;

/// How long messages are delayed, and how long they are not delayed afterwards.
const DELAYED_PHASE: Duration = Duration::from_secs(25);
const CALM_PHASE: Duration = Duration::from_secs(8);
const TICK: Duration = Duration::from_millis(5);
/// Beyond eight versions the oldest is dropped, and the next one then gets its update time.
const UPDATES_MAX: usize = 6;
/// The limits of the calls, as in the processes.
const WATCH_WAIT: Duration = Duration::from_millis(1400);
const WATCH_TIMEOUT: Duration = Duration::from_millis(2300);
const READ_TIMEOUT: Duration = Duration::from_millis(900);
const ENTRY_TIMEOUT: Duration = Duration::from_millis(400);
const POLL_TIMEOUT: Duration = Duration::from_millis(1300);
const POLL_WAIT: Duration = Duration::from_millis(800);
/// The longest delay of a query, and of a neighbour's response, in milliseconds.
const QUERY_DELAY_MAX: u64 = 400;

/// Compares the state of a process after a message with the simulation.
pub(super) type Check = fn(&Simulation, usize);

/// A message in transit, or held by its receiver.
enum Message {
    ToStore(Caller, Option<u64>),
    HeldByStore(Caller, u64),
    FromStore(Caller, StoreAnswer),
    /// Calls about other tables, whose answers are short.
    RevisionToStore(Caller),
    RevisionFromStore(Caller, StoreAnswer),
    ToPeer(Caller, usize, PeerQuery),
    HeldByPeer(Caller, (usize, u32, ClockTime), PeerQuery),
    FromPeer(Caller, PeerView),
}

pub(super) struct Simulation {
    pub(super) now: ClockTime,
    is_calm: bool,
    pub(super) processes: Vec<Process>,
    /// Each message with the time at which it arrives, or is no longer held.
    messages: Vec<(ClockTime, Message)>,
    /// When each version was set, from version 2 on; its row has the same revision.
    pub(super) set_at: Vec<ClockTime>,
    /// When a process last received an answer of the store after an outage.
    pub(super) reconnected_at: ClockTime,
    /// When a process last restarted.
    pub(super) restarted_at: ClockTime,
}

impl Simulation {
    pub(super) fn new(u: &mut Unstructured<'_>) -> Result<Self> {
        let now = ClockTime::from_millis(1_000_000);
        let mut processes = Vec::new();
        // One entry host is always near the store; hosts of engines follow only entry hosts.
        for at in 0..u.int_in_range(2..=4)? {
            processes.push(Process::new(u, now, (true, at == 0))?);
        }
        for _ in 0..u.int_in_range(1..=3)? {
            processes.push(Process::new(u, now, (false, false))?);
        }
        Ok(Self {
            now,
            is_calm: false,
            processes,
            messages: Vec::new(),
            set_at: Vec::new(),
            reconnected_at: ClockTime(0),
            restarted_at: ClockTime(0),
        })
    }

    /// A random delay, short in the calm phase.
    fn delay(&self, u: &mut Unstructured<'_>, longest: u64) -> Result<Duration> {
        let longest = if self.is_calm {
            longest.min(NEAR_DELAY_MAX)
        } else {
            longest
        };
        Ok(millis(u.int_in_range(0..=longest)?))
    }

    fn is_lost(&self, u: &mut Unstructured<'_>) -> Result<bool> {
        Ok(!self.is_calm && u.ratio(1, 10)?)
    }

    fn is_cut_off(&self, at: usize) -> bool {
        self.now < self.processes[at].unreachable_until
    }

    pub(super) fn revision(&self) -> u64 {
        u64::try_from(self.set_at.len()).unwrap_or(0) + 1
    }

    fn store_answer(&self, caller: Caller, since: Option<u64>) -> StoreAnswer {
        let rows = match since {
            // A full read contains only the last update, a watch each of them.
            None => std::iter::once(document(1))
                .chain((self.revision() > 1).then(|| target_row(self.revision())))
                .collect(),
            Some(since) => (since + 1..=self.revision()).map(target_row).collect(),
        };
        let store_ms = self.now.0 / 1000 + 7_000_000;
        StoreAnswer {
            rows,
            is_complete: since.is_none(),
            revision: self.revision(),
            store_ms,
            sent_at: caller.sent_at,
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>, check: Check) -> Result<()> {
        self.now = self.now + TICK;
        for at in 0..self.processes.len() {
            self.begin_calls(at, u)?;
        }
        let mut at = 0;
        while at < self.messages.len() {
            if self.is_deliverable(&self.messages[at]) {
                let (_, message) = self.messages.swap_remove(at);
                self.deliver(message, u, check)?;
            } else {
                at += 1;
            }
        }
        Ok(())
    }

    /// Whether a message has arrived, or the change that it is held for has happened.
    fn is_deliverable(&self, (due, message): &(ClockTime, Message)) -> bool {
        let has_changed = match message {
            Message::HeldByStore(_, since) => self.revision() > *since,
            Message::HeldByPeer(_, (at, _, _), query) => {
                has_changes(&self.processes[*at].state, query)
            }
            _ => false,
        };
        *due <= self.now || has_changed
    }

    /// Begins calls that are due, and fails calls whose time limit is over.
    fn begin_calls(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let now = self.now;
        let process = &mut self.processes[at];
        if process.follows_store && process.store_call.due <= now {
            if process.store_call.is_open {
                if !matches!(process.follow_state, FollowState::Started) {
                    process.follow_state = FollowState::Interrupted;
                }
                process.followed_since = None;
                let pause = u.int_in_range(50..=800)?;
                process.store_call.end(now + millis(pause));
            } else {
                let time_limit = process.seen.map_or(READ_TIMEOUT, |_| WATCH_TIMEOUT);
                let call = process.store_call.begin(now, time_limit);
                let message = Message::ToStore(process.caller(at, call, now), process.seen);
                let delay = self.delay(u, self.processes[at].store_delay.min(QUERY_DELAY_MAX))?;
                self.messages.push((now + delay, message));
            }
        }
        if self.processes[at].follows_store && self.processes[at].revision_call.due <= now {
            self.begin_revision_call(at, u)?;
        }
        if self.processes[at].peer_call.due <= now {
            self.begin_peer_call(at, u)?;
        }
        Ok(())
    }

    fn begin_revision_call(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let now = self.now;
        let process = &mut self.processes[at];
        if process.revision_call.is_open {
            return process.end_revision_call(now, u);
        }
        let call = process.revision_call.begin(now, READ_TIMEOUT);
        let message = Message::RevisionToStore(process.caller(at, call, now));
        let delay = self.delay(u, self.processes[at].store_delay.min(QUERY_DELAY_MAX))?;
        self.messages.push((now + delay, message));
        Ok(())
    }

    fn begin_peer_call(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let now = self.now;
        let entries: Vec<usize> = (0..self.processes.len())
            .filter(|other| *other != at && self.processes[*other].follows_store)
            .collect();
        let process = &mut self.processes[at];
        if process.peer_call.is_open {
            return process.end_peer_call(now, u);
        }
        let (time_limit, wait) = if process.follows_store {
            (ENTRY_TIMEOUT, Duration::ZERO)
        } else {
            (POLL_TIMEOUT, POLL_WAIT)
        };
        let call = process.peer_call.begin(now, time_limit);
        let caller = process.caller(at, call, now);
        let query = make_query(&process.state, wait);
        let message = Message::ToPeer(caller, *u.choose(&entries)?, query);
        let delay = self.delay(u, QUERY_DELAY_MAX)?;
        if !self.is_lost(u)? {
            self.messages.push((now + delay, message));
        }
        Ok(())
    }

    fn deliver(&mut self, message: Message, u: &mut Unstructured<'_>, check: Check) -> Result<()> {
        let now = self.now;
        match message {
            Message::ToStore(caller, since) => {
                if !self.is_cut_off(caller.at) {
                    match since {
                        Some(since) => self
                            .messages
                            .push((now + WATCH_WAIT, Message::HeldByStore(caller, since))),
                        None => self.answer_store(caller, None, u)?,
                    }
                }
            }
            Message::HeldByStore(caller, since) => self.answer_store(caller, Some(since), u)?,
            Message::FromStore(caller, answer) => {
                let is_cut_off = self.is_cut_off(caller.at);
                let process = &mut self.processes[caller.at];
                if !is_cut_off && process.expects(caller, process.store_call) {
                    if process.take_store_answer_at(answer, now) {
                        self.reconnected_at = now;
                    }
                    check(self, caller.at);
                }
            }
            Message::RevisionToStore(caller) => {
                if !self.is_cut_off(caller.at) {
                    let answer = self.store_answer(caller, Some(self.revision()));
                    let delay = self.answer_delay(caller, u)?;
                    self.messages
                        .push((now + delay, Message::RevisionFromStore(caller, answer)));
                }
            }
            Message::RevisionFromStore(caller, answer) => {
                let is_cut_off = self.is_cut_off(caller.at);
                let process = &mut self.processes[caller.at];
                if !is_cut_off && process.expects(caller, process.revision_call) {
                    take_revision_answer(&process.state, &answer, process.clock(now));
                    process.end_revision_call(now, u)?;
                    check(self, caller.at);
                }
            }
            Message::ToPeer(caller, at, query) => {
                let process = &self.processes[at];
                take_query(&process.state, &query, process.clock(now));
                let held = Message::HeldByPeer(
                    caller,
                    (at, process.incarnation, process.clock(now)),
                    query.clone(),
                );
                self.messages.push((now + millis(query.wait_ms), held));
                check(self, at);
            }
            Message::HeldByPeer(caller, (at, incarnation, arrived_at), query) => {
                let process = &self.processes[at];
                let view = make_answer(&process.state, &query, arrived_at, process.clock(now));
                let is_same_run = process.incarnation == incarnation;
                let delay = self.delay(u, QUERY_DELAY_MAX)?;
                if is_same_run && !self.is_lost(u)? {
                    self.messages
                        .push((now + delay, Message::FromPeer(caller, view)));
                }
            }
            Message::FromPeer(caller, view) => {
                let process = &mut self.processes[caller.at];
                if process.expects(caller, process.peer_call) {
                    take_answer(&process.state, view, caller.sent_at, process.clock(now));
                    process.end_peer_call(now, u)?;
                    check(self, caller.at);
                }
            }
        }
        Ok(())
    }

    /// The delay of the store's answer, which arrives within the caller's time limit: a slow link
    /// is not an outage.
    fn answer_delay(&self, caller: Caller, u: &mut Unstructured<'_>) -> Result<Duration> {
        let left = (caller.fails - 2 * TICK).since(self.now).as_millis();
        let longest = self.processes[caller.at].store_delay;
        self.delay(u, longest.min(u64::try_from(left).unwrap_or(0)))
    }

    fn answer_store(
        &mut self,
        caller: Caller,
        since: Option<u64>,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let answer = self.store_answer(caller, since);
        let delay = self.answer_delay(caller, u)?;
        let message = Message::FromStore(caller, answer);
        self.messages.push((self.now + delay, message));
        Ok(())
    }

    /// Each process queries each entry host, without delay.
    fn exchange_all(&self) {
        for requester in &self.processes {
            for responder in self
                .processes
                .iter()
                .filter(|process| process.follows_store)
            {
                let query = make_query(&requester.state, Duration::ZERO);
                take_query(&responder.state, &query, responder.clock(self.now));
                let view = make_answer(
                    &responder.state,
                    &query,
                    responder.clock(self.now),
                    responder.clock(self.now),
                );
                take_answer(
                    &requester.state,
                    view,
                    requester.clock(self.now),
                    requester.clock(self.now),
                );
            }
        }
    }

    /// Cuts an entry host off from the store for a while, or restarts a process.
    fn disturb(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let at = u.choose_index(self.processes.len())?;
        let now = self.now;
        if self.processes[at].follows_store && u.arbitrary()? {
            let span = u.int_in_range(200..=6000)?;
            self.processes[at].unreachable_until = now + millis(span);
        } else {
            self.restarted_at = now;
            self.processes[at].restart(u, now)?;
        }
        Ok(())
    }

    pub(super) fn run(&mut self, u: &mut Unstructured<'_>, check: Check) -> Result<()> {
        let started_at = self.now;
        let is_disturbed = u.arbitrary()?;
        let mut update_due = started_at + millis(3000);
        let mut disturbance_due = started_at + millis(4000);
        while self.now.since(started_at) < DELAYED_PHASE {
            if self.now >= update_due && self.set_at.len() < UPDATES_MAX {
                self.set_at.push(self.now);
                update_due = self.now + millis(u.int_in_range(100..=6000)?);
            }
            if is_disturbed && self.now >= disturbance_due {
                self.disturb(u)?;
                disturbance_due = self.now + millis(u.int_in_range(1000..=8000)?);
            }
            self.step(u, check)?;
        }
        self.is_calm = true;
        for process in &mut self.processes {
            process.unreachable_until = ClockTime(0);
        }
        let calm_at = self.now;
        while self.now.since(calm_at) < CALM_PHASE {
            self.step(u, check)?;
        }
        for _ in 0..2 {
            self.exchange_all();
        }
        Ok(())
    }
}
