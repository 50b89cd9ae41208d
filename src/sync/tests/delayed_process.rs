//! One process of the simulation with delayed messages, and its calls.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use super::delayed_messages::{StoreAnswer, take_store_answer};
use crate::sync::SharedDeploymentState;
use crate::sync::target_update_time::FollowState;
use crate::time::{ClockTime, StoreTime};

/// The longest delay of the store's answers, in milliseconds.
const ANSWER_DELAY_MAX: u64 = 2300;
pub(super) const NEAR_DELAY_MAX: u64 = 20;

pub(super) fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An entry host or the host of an engine.
pub(super) struct Process {
    pub(super) state: SharedDeploymentState,
    /// How far its clock is ahead of real time.
    pub(super) ahead: Duration,
    /// Counts its starts; messages to a former incarnation are dropped.
    pub(super) incarnation: u32,
    pub(super) started: ClockTime,
    pub(super) follows_store: bool,
    /// The longest delay of the store's answers to it, in milliseconds.
    pub(super) store_delay: u64,
    pub(super) unreachable_until: ClockTime,
    pub(super) follow_state: FollowState,
    /// The revision up to which it has followed the operator's table; `None` before it was read.
    pub(super) seen: Option<u64>,
    /// Since when it has followed the store without a failed call.
    pub(super) followed_since: Option<ClockTime>,
    pub(super) store_call: Call,
    pub(super) revision_call: Call,
    pub(super) peer_call: Call,
    /// The last answer of the store, for failure messages.
    pub(super) answer: Option<StoreAnswer>,
}

/// The call that is open, or the pause before the next one.
#[derive(Clone, Copy, Default)]
pub(super) struct Call {
    /// Answers to former calls are dropped.
    pub(super) number: u32,
    pub(super) is_open: bool,
    /// When the call fails, or the next one begins.
    pub(super) due: ClockTime,
}

impl Call {
    pub(super) fn begin(&mut self, now: ClockTime, time_limit: Duration) -> Self {
        self.number += 1;
        self.is_open = true;
        self.due = now + time_limit;
        *self
    }

    pub(super) fn end(&mut self, due: ClockTime) {
        self.is_open = false;
        self.due = due;
    }
}

/// Identifies the process and the call that a message belongs to.
#[derive(Clone, Copy)]
pub(super) struct Caller {
    pub(super) at: usize,
    pub(super) incarnation: u32,
    pub(super) number: u32,
    /// On the caller's clock.
    pub(super) sent_at: ClockTime,
    /// When the call fails, in real time.
    pub(super) fails: ClockTime,
}

impl Process {
    pub(super) fn new(
        u: &mut Unstructured<'_>,
        now: ClockTime,
        (follows_store, is_near): (bool, bool),
    ) -> Result<Self> {
        let store_delay = if is_near {
            NEAR_DELAY_MAX
        } else {
            *u.choose(&[NEAR_DELAY_MAX, 200, 1000, ANSWER_DELAY_MAX])?
        };
        Ok(Self {
            state: SharedDeploymentState::default(),
            ahead: millis(u.int_in_range(0..=60_000)?),
            incarnation: 0,
            started: now,
            follows_store,
            store_delay,
            unreachable_until: ClockTime(0),
            follow_state: FollowState::Started,
            seen: None,
            followed_since: None,
            store_call: Call::default(),
            revision_call: Call::default(),
            peer_call: Call::default(),
            answer: None,
        })
    }

    pub(super) fn clock(&self, now: ClockTime) -> ClockTime {
        now + self.ahead
    }

    pub(super) fn caller(&self, at: usize, call: Call, now: ClockTime) -> Caller {
        Caller {
            at,
            incarnation: self.incarnation,
            number: call.number,
            sent_at: self.clock(now),
            fails: call.due,
        }
    }

    pub(super) fn expects(&self, caller: Caller, call: Call) -> bool {
        call.is_open && (self.incarnation, call.number) == (caller.incarnation, caller.number)
    }

    /// Begins the pause before the next call about another table.
    pub(super) fn end_revision_call(
        &mut self,
        now: ClockTime,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let pause = u.int_in_range(500..=1500)?;
        self.revision_call.end(now + millis(pause));
        Ok(())
    }

    /// Begins the pause before the next query to a neighbour.
    pub(super) fn end_peer_call(&mut self, now: ClockTime, u: &mut Unstructured<'_>) -> Result<()> {
        let pause = if self.follows_store {
            u.int_in_range(750..=1250)?
        } else {
            u.int_in_range(40..=300)?
        };
        self.peer_call.end(now + millis(pause));
        Ok(())
    }

    /// Merges the store's answer. Returns whether it is the first one after an outage.
    pub(super) fn take_store_answer_at(&mut self, answer: StoreAnswer, now: ClockTime) -> bool {
        take_store_answer(&self.state, &answer, self.follow_state, self.clock(now));
        let reconnects = matches!(self.follow_state, FollowState::Interrupted);
        self.follow_state = FollowState::Followed(StoreTime::from_millis(answer.store_ms));
        self.seen = self.seen.max(Some(answer.revision));
        self.followed_since.get_or_insert(now);
        self.store_call.end(now);
        self.answer = Some(answer);
        reconnects
    }

    pub(super) fn restart(&mut self, u: &mut Unstructured<'_>, now: ClockTime) -> Result<()> {
        let incarnation = self.incarnation + 1;
        let store_delay = self.store_delay;
        *self = Self::new(u, now, (self.follows_store, false))?;
        (self.incarnation, self.store_delay) = (incarnation, store_delay);
        Ok(())
    }
}
