//! Records the state of each attempt that this process received or was queried about.

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::delivery::{AttemptId, OutcomeReply};
use crate::derives::key;
use crate::time::ClockTime;

/// How long an attempt is recorded; longer than any entry host queries its outcome.
const RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of recorded attempts. New attempts are refused while all of them are within the
/// retention period.
const ATTEMPTS_MAX: usize = 100_000;
/// Upper limit, with a reserve, of the difference between two hosts' wall clocks, in milliseconds.
const CLOCK_SKEW_MS: u64 = 30_000;
/// Expired attempts are removed after this many new ones.
const SWEEP_EVERY: u32 = 256;

/// The state of an attempt.
#[apply(key!)]
pub(crate) enum AttemptState {
    /// Received, but not handed to the backend server.
    Waiting,
    /// Handed to the backend server.
    Started,
    /// Ran to its end.
    Ran,
    /// Did not run and must not run: it was refused, its caller disconnected, or it was reported as
    /// not run before it ran.
    NotRun,
    /// Was handed to the backend server; whether it ran to its end is unknown.
    NotKnown,
}

/// The result of registering an arriving order.
#[apply(key!)]
pub(crate) enum Arrival {
    /// The attempt is new and may run.
    Fresh,
    /// The attempt is recorded as not run and must not run.
    Cancelled,
    /// The attempt was received before: this order is a duplicate.
    Duplicate,
    /// The attempt is so old that its record may have expired.
    TooOld,
    /// The ledger is full.
    Full,
}

/// All attempts of the last ten minutes, sorted by id.
///
/// A reply of "not run" must stay true. An entry host that lost its connection queries the outcome
/// of its attempt while the order may still be on its way. If the order ran after the reply, a call
/// would have run although its caller was told that it had not. The ledger therefore records an
/// attempt that it has not received as not run before it replies so, and refuses the order when it
/// arrives. An attempt that is older than the newest expired record, by the creation time in its
/// id and with an allowance for clock skew, is neither run nor reported as "not run".
#[derive(Debug)]
pub(crate) struct AttemptLedger {
    attempts: Vec<AttemptEntry>,
    /// Creation time of the newest attempt whose record has expired, in wall-clock milliseconds.
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
    /// Creates an empty ledger.
    pub(crate) const fn new() -> Self {
        Self {
            attempts: Vec::new(),
            expired_ms: None,
            since_sweep: 0,
        }
    }

    /// Registers an arriving order for `attempt`.
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

    /// Marks `attempt` as handed to the backend server. Returns whether it may be handed over: not
    /// if it was reported as not run or withdrawn in the meantime.
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

    /// Withdraws `attempt` so that it does not run. Returns false if it was already handed over or
    /// is not recorded.
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

    /// Records that `attempt`, which was handed over, has ended as `state`.
    ///
    /// # Panics
    ///
    /// If `attempt` was not handed over, or `state` is not a final state.
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

    /// Whether `attempt` was received and still has to run.
    pub(crate) fn is_waiting(&self, attempt: AttemptId) -> bool {
        self.state_of(attempt) == Some(AttemptState::Waiting)
    }

    /// Returns the state of `attempt`, or `None` if it is not recorded.
    pub(crate) fn state_of(&self, attempt: AttemptId) -> Option<AttemptState> {
        self.find(attempt).ok().map(|at| self.attempts[at].state)
    }

    /// Answers a query for the outcome of `attempt`. After `NotRun` it never runs.
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
            .is_some_and(|expired| attempt.created_ms() <= expired + CLOCK_SKEW_MS)
    }

    fn sweep_if_due(&mut self, now: ClockTime) {
        if self.since_sweep < SWEEP_EVERY && self.attempts.len() < ATTEMPTS_MAX {
            return;
        }
        self.since_sweep = 0;
        let mut expired = self.expired_ms;
        self.attempts.retain(|entry| {
            let is_unfinished =
                matches!(entry.state, AttemptState::Waiting | AttemptState::Started);
            let stays = is_unfinished || now.since(entry.seen_at) < RETENTION;
            if !stays {
                expired = expired.max(Some(entry.attempt.created_ms()));
            }
            stays
        });
        self.expired_ms = expired;
    }
}
