//! One process in the world of delayed words, with its calls.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use super::delayed_words::{StoreWord, take_store_word};
use crate::sync::SharedControlState;
use crate::sync::naming_time::NamingKnowledge;
use crate::time::{ClockTime, StoreTime};

/// The longest ways of the store's answers, in milliseconds.
const STORE_ANSWER_MAX: u64 = 2300;
pub(super) const NEAR_MAX: u64 = 20;

pub(super) fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// One process, an entry host or a host of an engine.
pub(super) struct Process {
    pub(super) book: SharedControlState,
    /// What its clock shows beyond the real time.
    pub(super) ahead: Duration,
    /// Counts its starts; words to a former one find nobody.
    pub(super) life: u32,
    pub(super) started: ClockTime,
    pub(super) follows_store: bool,
    /// The longest way of the store's answers to it, in milliseconds.
    pub(super) store_way: u64,
    pub(super) cut_until: ClockTime,
    pub(super) knowledge: NamingKnowledge,
    /// How far it has followed the operator's table; none before it was read.
    pub(super) seen: Option<u64>,
    /// Since when it has followed the store without a call that failed.
    pub(super) touch_since: Option<ClockTime>,
    pub(super) store_call: Call,
    pub(super) mark_call: Call,
    pub(super) peer_call: Call,
    /// The last word of the store, for the message of a failure.
    pub(super) told: Option<StoreWord>,
}

/// The one call that is under way, or the pause before the next.
#[derive(Clone, Copy, Default)]
pub(super) struct Call {
    /// Answers to former calls are thrown away.
    pub(super) number: u32,
    pub(super) is_open: bool,
    /// When it fails, or the next begins.
    pub(super) due: ClockTime,
}

impl Call {
    pub(super) fn begin(&mut self, now: ClockTime, within: Duration) -> Self {
        self.number += 1;
        self.is_open = true;
        self.due = now + within;
        *self
    }

    pub(super) fn end(&mut self, due: ClockTime) {
        self.is_open = false;
        self.due = due;
    }
}

/// Who asks, and in which of its calls.
#[derive(Clone, Copy)]
pub(super) struct Caller {
    pub(super) at: usize,
    pub(super) life: u32,
    pub(super) number: u32,
    /// On its own clock.
    pub(super) sent_at: ClockTime,
    /// When the call fails, by the real time.
    pub(super) fails: ClockTime,
}

impl Process {
    pub(super) fn new(
        u: &mut Unstructured<'_>,
        now: ClockTime,
        (follows_store, is_near): (bool, bool),
    ) -> Result<Self> {
        let store_way = if is_near {
            NEAR_MAX
        } else {
            *u.choose(&[NEAR_MAX, 200, 1000, STORE_ANSWER_MAX])?
        };
        Ok(Self {
            book: SharedControlState::default(),
            ahead: millis(u.int_in_range(0..=60_000)?),
            life: 0,
            started: now,
            follows_store,
            store_way,
            cut_until: ClockTime(0),
            knowledge: NamingKnowledge::Started,
            seen: None,
            touch_since: None,
            store_call: Call::default(),
            mark_call: Call::default(),
            peer_call: Call::default(),
            told: None,
        })
    }

    pub(super) fn clock(&self, now: ClockTime) -> ClockTime {
        now + self.ahead
    }

    pub(super) fn caller(&self, at: usize, call: Call, now: ClockTime) -> Caller {
        Caller {
            at,
            life: self.life,
            number: call.number,
            sent_at: self.clock(now),
            fails: call.due,
        }
    }

    pub(super) fn expects(&self, caller: Caller, call: Call) -> bool {
        call.is_open && (self.life, call.number) == (caller.life, caller.number)
    }

    /// The pause before the next question about another table.
    pub(super) fn rest_mark(&mut self, now: ClockTime, u: &mut Unstructured<'_>) -> Result<()> {
        let pause = u.int_in_range(500..=1500)?;
        self.mark_call.end(now + millis(pause));
        Ok(())
    }

    /// The pause before the next question to a neighbour.
    pub(super) fn rest(&mut self, now: ClockTime, u: &mut Unstructured<'_>) -> Result<()> {
        let pause = if self.follows_store {
            u.int_in_range(750..=1250)?
        } else {
            u.int_in_range(40..=300)?
        };
        self.peer_call.end(now + millis(pause));
        Ok(())
    }

    /// The store's answer came. Returns whether it is the first behind a cut.
    pub(super) fn hear_store(&mut self, told: StoreWord, now: ClockTime) -> bool {
        take_store_word(&self.book, &told, self.knowledge, self.clock(now));
        let rejoins = matches!(self.knowledge, NamingKnowledge::Interrupted);
        self.knowledge = NamingKnowledge::Followed(StoreTime::from_millis(told.now_ms));
        self.seen = self.seen.max(Some(told.revision));
        self.touch_since.get_or_insert(now);
        self.store_call.end(now);
        self.told = Some(told);
        rejoins
    }

    pub(super) fn restart(&mut self, u: &mut Unstructured<'_>, now: ClockTime) -> Result<()> {
        let life = self.life + 1;
        let store_way = self.store_way;
        *self = Self::new(u, now, (self.follows_store, false))?;
        (self.life, self.store_way) = (life, store_way);
        Ok(())
    }
}
