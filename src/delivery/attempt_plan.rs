//! Decides what follows a failed attempt: a retry, a query for its outcome, or an error for the
//! caller. No other module decides whether a request may be sent again, or what the error for the
//! caller says about whether it ran.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::backoff::retry_wait;
use super::messages::OutcomeReply;
use crate::derives::{key, plain};
use crate::errors::{ErrorKind, RunOutcome, SwitchError};
use crate::time::ClockTime;
use crate::weights::WeightsDigest;

/// An attempt at a repeatable request gets the remaining time until the deadline, divided by this.
const ATTEMPT_TIME_DIVISOR: u32 = 3;
/// Minimum time for one attempt.
const ATTEMPT_TIME_MIN: Duration = Duration::from_secs(1);

/// Limits and properties that all attempts at one request share.
#[apply(key!)]
pub(crate) struct AttemptPolicy {
    /// Whether the request may run again when it is unknown whether an earlier attempt ran.
    pub(crate) repeatable: bool,
    /// Maximum number of attempts.
    pub(crate) attempts_max: u32,
    /// Latest time for the first byte of the answer.
    pub(crate) deadline: ClockTime,
    /// Latest time for the last byte of the answer.
    pub(crate) stream_end: ClockTime,
}

/// The next step after a failed attempt.
#[apply(plain!)]
pub(crate) enum NextStep {
    /// Wait, then retry at another host if there is one and the retry budgets allow it.
    Retry {
        /// Wait before the retry.
        wait: Duration,
    },
    /// Query the host for the outcome of the attempt, on a new connection.
    QueryOutcome,
    /// Return the error to the caller.
    GiveUp(SwitchError),
}

/// The state of the attempts at one request.
#[derive(Debug)]
pub(crate) struct AttemptPlan {
    policy: AttemptPolicy,
    attempts: u32,
    /// Whether an attempt before the newest may have run.
    may_have_run: bool,
    /// Whether the newest attempt may have run: true from its sending until the host reports that
    /// it did not run.
    is_uncertain: bool,
    /// Whether the caller has received part of the answer.
    has_delivered: bool,
    tokens: u32,
    version: Option<WeightsDigest>,
}

impl AttemptPlan {
    /// Creates the plan of a request that has not been sent yet.
    pub(crate) const fn new(policy: AttemptPolicy) -> Self {
        Self {
            policy,
            attempts: 0,
            may_have_run: false,
            is_uncertain: false,
            has_delivered: false,
            tokens: 0,
            version: None,
        }
    }

    /// Counts an attempt that is about to be sent.
    ///
    /// # Panics
    ///
    /// If an unrepeatable call would be sent although an earlier attempt may have run: it could run
    /// twice.
    pub(crate) fn begin_attempt(&mut self) {
        assert!(
            self.policy.repeatable || !(self.may_have_run || self.is_uncertain),
            "an unrepeatable call that may have run was about to be sent again"
        );
        self.may_have_run |= self.is_uncertain;
        if self.tokens == 0 {
            self.version = None;
        }
        self.attempts += 1;
        self.is_uncertain = true;
    }

    /// Records the version of the weights that the attempt runs on. Once the caller has received
    /// tokens of one version, no other version may continue the answer.
    pub(crate) fn note_version(&mut self, version: Option<WeightsDigest>) {
        assert!(
            self.tokens == 0 || self.version == version,
            "an answer was about to mix the tokens of two versions"
        );
        self.version = version;
    }

    /// Records that a token was passed on to the caller.
    pub(crate) const fn note_token(&mut self) {
        self.has_delivered = true;
        self.tokens += 1;
    }

    /// Records that the response head of a plain service was passed on to the caller.
    pub(crate) const fn note_head(&mut self) {
        self.has_delivered = true;
    }

    /// Number of attempts that were sent.
    pub(crate) const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether the caller has received part of the answer.
    pub(crate) const fn has_delivered_part(&self) -> bool {
        self.has_delivered
    }

    /// Number of tokens that the caller has received.
    pub(crate) const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The version that has to continue the answer; `None` while the caller has received no token.
    pub(crate) fn resume_version(&self) -> Option<WeightsDigest> {
        self.version.filter(|_| self.tokens > 0)
    }

    /// Latest time for the next byte of the answer.
    pub(crate) const fn time_limit(&self) -> ClockTime {
        if self.has_delivered {
            self.policy.stream_end
        } else {
            self.policy.deadline
        }
    }

    /// Latest time for the first byte of the attempt that begins at `now`.
    ///
    /// A host process keeps sending keep-alive frames while its own connection to the backend
    /// server is dead. Waiting for the deadline would leave no time for another host, so a
    /// repeatable request gets only a part of the remaining time per attempt.
    pub(crate) fn attempt_time_limit(&self, now: ClockTime) -> ClockTime {
        let has_retries = self.attempts < self.policy.attempts_max;
        if self.has_delivered || !self.policy.repeatable || !has_retries {
            return self.time_limit();
        }
        let part = self.policy.deadline.since(now) / ATTEMPT_TIME_DIVISOR;
        (now + part.max(ATTEMPT_TIME_MIN)).min(self.time_limit())
    }

    /// Decides the next step after an attempt failed with `error`. `jitter` is a random number,
    /// evenly distributed over all of `u32`.
    pub(crate) fn after_failure(
        &mut self,
        error: SwitchError,
        now: ClockTime,
        jitter: u32,
    ) -> NextStep {
        if error.run_outcome() == RunOutcome::NotRun {
            self.is_uncertain = false;
        }
        if is_final(error.kind) {
            return self.give_up(error);
        }
        if self.is_uncertain && !self.policy.repeatable {
            return self.query_or_give_up(error);
        }
        self.retry_or_give_up(error, now, jitter)
    }

    /// Decides the next step after the outcome query for an attempt that failed with `error`.
    /// `reply` is `None` when the host did not answer. `jitter` as in [`Self::after_failure`].
    pub(crate) fn after_outcome_reply(
        &mut self,
        error: SwitchError,
        reply: Option<&OutcomeReply>,
        now: ClockTime,
        jitter: u32,
    ) -> NextStep {
        match reply {
            Some(OutcomeReply::NotRun) => {
                self.is_uncertain = false;
                let error = error.with_outcome(RunOutcome::NotRun);
                self.retry_or_give_up(error, now, jitter)
            }
            Some(OutcomeReply::Running | OutcomeReply::Ran | OutcomeReply::NotKnown) | None => {
                self.give_up(error)
            }
        }
    }

    /// Returns the error for the caller: its outcome is "not run" exactly when no attempt can have
    /// run.
    pub(crate) fn conclude(&self, error: SwitchError) -> SwitchError {
        let may_have_run = self.may_have_run || self.is_uncertain;
        match (may_have_run, error.run_outcome()) {
            (true, RunOutcome::NotRun) => error.with_outcome(RunOutcome::NotKnown),
            (false, RunOutcome::NotKnown) => error.with_outcome(RunOutcome::NotRun),
            _ => error,
        }
    }

    fn query_or_give_up(&self, error: SwitchError) -> NextStep {
        if can_query_outcome(error.kind) {
            NextStep::QueryOutcome
        } else {
            self.give_up(error)
        }
    }

    fn retry_or_give_up(&self, error: SwitchError, now: ClockTime, jitter: u32) -> NextStep {
        let may_continue = (!self.has_delivered || self.can_resume(&error)) && self.may_run_again();
        let wait = retry_wait(self.attempts, jitter, error.retry_after);
        let in_time = now + wait < self.time_limit();
        if may_continue && in_time && self.attempts < self.policy.attempts_max {
            NextStep::Retry { wait }
        } else {
            self.give_up(error)
        }
    }

    /// An unrepeatable call that may have run must not be sent again: it could run twice.
    const fn may_run_again(&self) -> bool {
        let may_have_run = self.may_have_run || self.is_uncertain;
        self.policy.repeatable || !may_have_run
    }

    /// A model's answer is resumed after the tokens that the caller has received, on the version
    /// that generated them. The answer of a plain service cannot be resumed. Neither can an answer
    /// of which the caller may have received corrupt parts: it would end normally with the
    /// corruption inside.
    fn can_resume(&self, error: &SwitchError) -> bool {
        self.policy.repeatable
            && self.resume_version().is_some()
            && error.kind != ErrorKind::AnswerDamaged
    }

    fn give_up(&self, error: SwitchError) -> NextStep {
        NextStep::GiveUp(self.conclude(error))
    }
}

/// Whether the outcome of an attempt that failed with `kind` can be queried at its host.
const fn can_query_outcome(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::PeerSilent
            | ErrorKind::AnswerCut
            | ErrorKind::DeadlinePassed
            | ErrorKind::MessageInvalid
    )
}

/// Whether a retry is pointless: every host would return the same error, or the error ends the
/// request for good.
const fn is_final(kind: ErrorKind) -> bool {
    use ErrorKind as Kind;
    !matches!(
        kind,
        Kind::NoBackend
            | Kind::BackendLeaving
            | Kind::BackendBusy
            | Kind::WeightsNotReady
            | Kind::VersionMismatch
            | Kind::ConnectFailed
            | Kind::EngineRefused
            | Kind::OrderStale
            | Kind::MessageInvalid
            | Kind::PeerSilent
            | Kind::AnswerCut
            | Kind::AnswerForeign
            | Kind::AnswerDamaged
            | Kind::EngineFailed
            | Kind::DeadlinePassed
    )
}
