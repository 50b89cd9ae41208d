//! What comes after a failed attempt. The only place that decides whether a request may be sent
//! again, and the only one that says what is known about whether it ran.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::backoff::retry_wait;
use super::messages::OutcomeReply;
use crate::derives::{key, plain};
use crate::errors::{ErrorKind, RunOutcome, SwitchError};
use crate::time::ClockTime;
use crate::weights::WeightsDigest;

/// An attempt gets this part of the time that is left to the deadline, as a divisor.
const ATTEMPT_TIME_DIVISOR: u32 = 3;
/// What an attempt gets at least.
const ATTEMPT_TIME_MIN: Duration = Duration::from_secs(1);

/// What does not change between a request's attempts.
#[apply(key!)]
pub(crate) struct AttemptPolicy {
    /// Whether it may run again when it is not known whether it ran.
    pub(crate) repeatable: bool,
    /// Attempts at most.
    pub(crate) attempts_max: u32,
    /// When the first byte of the answer is too late.
    pub(crate) deadline: ClockTime,
    /// When the last byte is too late.
    pub(crate) stream_end: ClockTime,
}

/// What to do after a failed attempt.
#[apply(plain!)]
pub(crate) enum NextStep {
    /// Wait, then try again at another host, if there is one and the budgets allow it.
    Retry {
        /// How long to wait.
        wait: Duration,
    },
    /// Ask the host, on a fresh connection, what became of the attempt.
    QueryOutcome,
    /// Tell the caller.
    GiveUp(SwitchError),
}

/// One request's attempts so far.
#[derive(Debug)]
pub(crate) struct AttemptPlan {
    policy: AttemptPolicy,
    attempts: u32,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    /// Whether the newest attempt may have run: from its sending until a word that it has not.
    is_uncertain: bool,
    /// Whether the caller has part of the answer.
    has_delivered: bool,
    tokens: u32,
    version: Option<WeightsDigest>,
}

impl AttemptPlan {
    /// The plan of a request that has not been sent yet.
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
    /// When an unrepeatable call would be sent although an earlier attempt may have run: it would run
    /// twice.
    pub(crate) fn begin_attempt(&mut self) {
        assert!(
            self.policy.repeatable || !(self.may_have_run || self.is_uncertain),
            "an unrepeatable call was about to be sent twice"
        );
        self.may_have_run |= self.is_uncertain;
        if self.tokens == 0 {
            self.version = None;
        }
        self.attempts += 1;
        self.is_uncertain = true;
    }

    /// Notes which version of the weights the attempt runs on. Once the caller has tokens of one
    /// version, no other may go on with the answer.
    pub(crate) fn note_version(&mut self, version: Option<WeightsDigest>) {
        assert!(
            self.tokens == 0 || self.version == version,
            "an answer was about to mix two versions"
        );
        self.version = version;
    }

    /// Notes that a token was passed on to the caller.
    pub(crate) const fn note_token(&mut self) {
        self.has_delivered = true;
        self.tokens += 1;
    }

    /// Notes that the head of a plain answer was passed on to the caller.
    pub(crate) const fn note_head(&mut self) {
        self.has_delivered = true;
    }

    /// Attempts that were sent.
    pub(crate) const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether the caller has part of the answer.
    pub(crate) const fn has_delivered_part(&self) -> bool {
        self.has_delivered
    }

    /// Tokens that the caller has.
    pub(crate) const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The version that the rest of the answer must come from; any while the caller has nothing.
    pub(crate) fn resume_version(&self) -> Option<WeightsDigest> {
        self.version.filter(|_| self.tokens > 0)
    }

    /// When the next byte is too late.
    pub(crate) const fn time_limit(&self) -> ClockTime {
        if self.has_delivered {
            self.policy.stream_end
        } else {
            self.policy.deadline
        }
    }

    /// When the attempt that begins now has had its time without a byte of its answer.
    ///
    /// A host goes on saying that it is alive while the connection behind it, to its backend
    /// server, is silent for good. The request would be held until its deadline, and nothing would
    /// be left of its time for another host. A repeatable one is given a part of it and tried
    /// elsewhere.
    pub(crate) fn attempt_time_limit(&self, now: ClockTime) -> ClockTime {
        let has_retries = self.attempts < self.policy.attempts_max;
        if self.has_delivered || !self.policy.repeatable || !has_retries {
            return self.time_limit();
        }
        let part = self.policy.deadline.since(now) / ATTEMPT_TIME_DIVISOR;
        (now + part.max(ATTEMPT_TIME_MIN)).min(self.time_limit())
    }

    /// Decides after `error`, the end of an attempt. `jitter` is random.
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

    /// Decides after the host's word about an attempt that ended with `error`. `None`: the host
    /// gave no word.
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

    /// The error that the caller gets: "not run" exactly when no attempt can have run.
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
        let can_go_on = (!self.has_delivered || self.can_resume(&error)) && self.may_run_again();
        let wait = retry_wait(self.attempts, jitter, error.retry_after);
        let in_time = now + wait < self.time_limit();
        if can_go_on && in_time && self.attempts < self.policy.attempts_max {
            NextStep::Retry { wait }
        } else {
            self.give_up(error)
        }
    }

    /// An unrepeatable call that may have run goes to nobody else, who could run it again.
    const fn may_run_again(&self) -> bool {
        let may_have_run = self.may_have_run || self.is_uncertain;
        self.policy.repeatable || !may_have_run
    }

    /// A model's answer goes on behind the tokens that the caller has, on the version that made
    /// them. A plain answer cannot be gone on with, nor can one of which the caller may have
    /// damaged parts: it would come to a clean end with the damage inside.
    fn can_resume(&self, error: &SwitchError) -> bool {
        self.policy.repeatable
            && self.resume_version().is_some()
            && error.kind != ErrorKind::AnswerDamaged
    }

    fn give_up(&self, error: SwitchError) -> NextStep {
        NextStep::GiveUp(self.conclude(error))
    }
}

/// Whether the host can be asked what became of the attempt.
const fn can_query_outcome(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::PeerSilent
            | ErrorKind::AnswerCut
            | ErrorKind::DeadlinePassed
            | ErrorKind::MessageInvalid
    )
}

/// Whether every host would say the same, or the host has said the last word.
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
