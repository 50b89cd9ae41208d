//! What this process knows of each attempt that reached it, or that it was asked about.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::delivery::{AttemptId, OutcomeReply};
use crate::derives::key;
use crate::time::ClockTime;

/// How long an attempt is remembered; longer than any entry host asks about one.
const RETENTION: Duration = Duration::from_mins(10);
/// Attempts remembered at most. New ones are refused when all of them are young.
const ATTEMPTS_MAX: usize = 100_000;
/// How far two hosts' wall clocks may differ, in milliseconds, and then some.
const CLOCK_SKEW_MS: u64 = 30_000;
/// Old attempts are looked for after this many new ones.
const SWEEP_EVERY: u32 = 256;

/// How far an attempt has come.
#[apply(key!)]
pub(crate) enum AttemptState {
    /// Here, but not handed over.
    Waiting,
    /// Handed to the backend server.
    Started,
    /// Ran to its end.
    Ran,
    /// Did not run and must not: it was refused, its caller left, or it was settled before it came.
    NotRun,
    /// Was handed over, and it is not known what became of it.
    NotKnown,
}

/// What an arriving order finds.
#[apply(key!)]
pub(crate) enum Arrival {
    /// It is new: it may run.
    Fresh,
    /// It was said of it that it does not run.
    Cancelled,
    /// It came before: this is a doubled message.
    Duplicate,
    /// It is so old that what was known of it is forgotten.
    TooOld,
    /// Nothing more can be remembered.
    Full,
}

/// Every attempt seen in the last ten minutes, sorted by identity.
///
/// "Not run" must stay true after it was said. An entry host that lost its connection asks what
/// became of its attempt; the order may still be on its way, and would run after the answer. One
/// would notice a call that ran although its caller was told otherwise. The book therefore buries
/// an attempt that it has not seen before it says "not run", and refuses it when it comes. What is
/// older than the newest forgotten attempt, by the time that the entry host wrote into its
/// identity, is neither run nor called "not run".
#[derive(Debug)]
pub(crate) struct AttemptLedger {
    attempts: Vec<AttemptEntry>,
    /// The time in the identity of the newest attempt that was forgotten, in milliseconds.
    expired_ms: Option<u64>,
    since_sweep: u32,
}

#[derive(Clone, Copy, Debug)]
struct AttemptEntry {
    attempt: AttemptId,
    state: AttemptState,
    seen_at: ClockTime,
}

impl AttemptLedger {
    /// A book that knows of nothing.
    pub(crate) const fn new() -> Self {
        Self {
            attempts: Vec::new(),
            expired_ms: None,
            since_sweep: 0,
        }
    }

    /// An order for `attempt` has come.
    pub(crate) fn arrive(&mut self, attempt: AttemptId, now: ClockTime) -> Arrival {
        self.sweep_if_due(now);
        match self.find(attempt) {
            Ok(at) if self.attempts[at].state == AttemptState::NotRun => Arrival::Cancelled,
            Ok(_) => Arrival::Duplicate,
            Err(_) if self.may_have_expired(attempt) => Arrival::TooOld,
            Err(_) if self.attempts.len() >= ATTEMPTS_MAX => Arrival::Full,
            Err(at) => {
                self.insert(at, attempt, AttemptState::Waiting, now);
                Arrival::Fresh
            }
        }
    }

    /// Asks to hand `attempt` over now. Returns whether it may be: not if it was settled or
    /// withdrawn meanwhile.
    pub(crate) fn start(&mut self, attempt: AttemptId) -> bool {
        let Ok(at) = self.find(attempt) else {
            return false;
        };
        let entry = &mut self.attempts[at];
        let may_start = entry.state == AttemptState::Waiting;
        if may_start {
            entry.state = AttemptState::Started;
        }
        may_start
    }

    /// `attempt` is not to run any more. Returns whether that is so: not if it was handed over.
    pub(crate) fn withdraw(&mut self, attempt: AttemptId) -> bool {
        let Ok(at) = self.find(attempt) else {
            return false;
        };
        let entry = &mut self.attempts[at];
        if entry.state == AttemptState::Waiting {
            entry.state = AttemptState::NotRun;
        }
        entry.state == AttemptState::NotRun
    }

    /// `attempt`, which was handed over, has ended as `state`.
    ///
    /// # Panics
    ///
    /// When it was not handed over, or is said to have neither run nor not run.
    pub(crate) fn end(&mut self, attempt: AttemptId, state: AttemptState) {
        assert!(
            !matches!(state, AttemptState::Waiting | AttemptState::Started),
            "an attempt cannot end as {state:?}"
        );
        if let Ok(at) = self.find(attempt) {
            let before = self.attempts[at].state;
            assert!(
                before == AttemptState::Started,
                "an attempt ended that was {before:?}"
            );
            self.attempts[at].state = state;
        }
    }

    /// Whether `attempt` is here and still to be run.
    pub(crate) fn is_waiting(&self, attempt: AttemptId) -> bool {
        self.state_of(attempt) == Some(AttemptState::Waiting)
    }

    /// How far `attempt` has come; `None` when nothing is known of it.
    pub(crate) fn state_of(&self, attempt: AttemptId) -> Option<AttemptState> {
        self.find(attempt).ok().map(|at| self.attempts[at].state)
    }

    /// What became of `attempt`. After `NotRun` it never runs.
    pub(crate) fn resolve(&mut self, attempt: AttemptId, now: ClockTime) -> OutcomeReply {
        self.sweep_if_due(now);
        match self.find(attempt) {
            Ok(at) => self.resolve_known(at),
            Err(_) if self.may_have_expired(attempt) => OutcomeReply::NotKnown,
            Err(_) if self.attempts.len() >= ATTEMPTS_MAX => OutcomeReply::NotKnown,
            Err(at) => {
                self.insert(at, attempt, AttemptState::NotRun, now);
                OutcomeReply::NotRun
            }
        }
    }

    fn resolve_known(&mut self, at: usize) -> OutcomeReply {
        let entry = &mut self.attempts[at];
        match entry.state {
            AttemptState::Waiting => {
                entry.state = AttemptState::NotRun;
                OutcomeReply::NotRun
            }
            AttemptState::NotRun => OutcomeReply::NotRun,
            AttemptState::Started => OutcomeReply::Running,
            AttemptState::Ran => OutcomeReply::Ran,
            AttemptState::NotKnown => OutcomeReply::NotKnown,
        }
    }

    fn find(&self, attempt: AttemptId) -> Result<usize, usize> {
        self.attempts
            .binary_search_by_key(&attempt, |entry| entry.attempt)
    }

    fn insert(&mut self, at: usize, attempt: AttemptId, state: AttemptState, now: ClockTime) {
        let entry = AttemptEntry {
            attempt,
            state,
            seen_at: now,
        };
        self.attempts.insert(at, entry);
        self.since_sweep += 1;
    }

    fn may_have_expired(&self, attempt: AttemptId) -> bool {
        self.expired_ms
            .is_some_and(|forgotten| attempt.created_ms() <= forgotten + CLOCK_SKEW_MS)
    }

    fn sweep_if_due(&mut self, now: ClockTime) {
        if self.since_sweep < SWEEP_EVERY && self.attempts.len() < ATTEMPTS_MAX {
            return;
        }
        self.since_sweep = 0;
        let mut forgotten = self.expired_ms;
        self.attempts.retain(|entry| {
            let under_way = matches!(entry.state, AttemptState::Waiting | AttemptState::Started);
            let stays = under_way || now.since(entry.seen_at) < RETENTION;
            if !stays {
                forgotten = forgotten.max(Some(entry.attempt.created_ms()));
            }
            stays
        });
        self.expired_ms = forgotten;
    }
}
