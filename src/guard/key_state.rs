//! Keyed calls and their attempts, together: what each event means for both.

use std::sync::Arc;

use super::attempt_book::AttemptState;
use super::key_entry::{CallAnswer, ClaimPlan, ClaimResult, ClaimVerdict, KeyEnd, KeyPhase};
use super::keyed_call::{KeyHash, KeyedCall};
use super::keyed_run::KeyRun;
use super::shared::GuardState;
use crate::delivery::AttemptId;
use crate::errors::RunOutcome;
use crate::stores::RowRevision;
use crate::time::{ClockTime, WallTime};

impl GuardState {
    /// A keyed call has come in `attempt`.
    pub(crate) fn on_call(
        &mut self,
        call: &KeyedCall,
        attempt: AttemptId,
        now: ClockTime,
        wall: WallTime,
    ) -> CallAnswer {
        let grant = self.slots.grant(call.slot, now);
        let answer = self.keys.on_call(call, attempt, grant.as_ref(), now, wall);
        match answer {
            CallAnswer::Refuse(_, outcome) => self.end_unstarted(&[attempt], outcome),
            CallAnswer::Joins { phase } if phase != KeyPhase::Before => {
                self.attempts.start(attempt);
                if phase == KeyPhase::Ran {
                    self.attempts.end(attempt, AttemptState::Ran);
                }
            }
            CallAnswer::New { .. } | CallAnswer::Joins { .. } => {}
        }
        answer
    }

    /// How to claim the key of `call`, whose turn it is.
    ///
    /// # Errors
    ///
    /// What to do without asking the table.
    pub(crate) fn plan_claim(
        &mut self,
        call: &KeyedCall,
        now: ClockTime,
        wall: WallTime,
    ) -> Result<ClaimPlan, ClaimVerdict> {
        let grant = self.slots.grant(call.slot, now);
        let (answers, is_wanted) = (self.table_answers(now), self.is_wanted(call.key));
        let attempts = self.keys.attempts_of(call.key).to_vec();
        let plan = self
            .keys
            .plan_claim(call.key, grant.as_ref(), answers, is_wanted, wall);
        if let Err(verdict) = &plan {
            self.apply_verdict(call.key, verdict, &attempts);
        }
        plan
    }

    /// The table answered to the plan, or did not.
    pub(crate) fn on_claim(
        &mut self,
        call: &KeyedCall,
        result: ClaimResult,
        now: ClockTime,
        wall: WallTime,
    ) -> ClaimVerdict {
        if result == ClaimResult::Away {
            self.table_failed(now);
        }
        let grant = self.slots.grant(call.slot, now);
        let is_wanted = self.is_wanted(call.key);
        let attempts = self.keys.attempts_of(call.key).to_vec();
        let verdict = self
            .keys
            .on_claim(call.key, result, grant.as_ref(), is_wanted, wall);
        self.apply_verdict(call.key, &verdict, &attempts);
        verdict
    }

    /// The run of `key` ended, and with it the attempts that brought it, as `state`. The claim at
    /// the returned revision is to be removed.
    pub(crate) fn on_end(
        &mut self,
        key: KeyHash,
        end: KeyEnd,
        state: AttemptState,
        bytes: usize,
        now: ClockTime,
    ) -> Option<RowRevision> {
        let attempts = self.keys.attempts_of(key).to_vec();
        for attempt in attempts {
            if self.attempts.state_of(attempt) == Some(AttemptState::Started) {
                self.attempts.end(attempt, state);
            }
        }
        let claim = self.keys.on_end(key, end, bytes, now);
        self.pass_turn(key);
        claim
    }

    /// `key` does not run this time.
    pub(crate) fn give_up(&mut self, key: KeyHash) {
        let attempts = self.keys.attempts_of(key).to_vec();
        self.keys.give_up(key);
        self.end_unstarted(&attempts, RunOutcome::NotRun);
        self.pass_turn(key);
    }

    /// Whether any caller still waits for `key` to run.
    pub(crate) fn is_wanted(&self, key: KeyHash) -> bool {
        let mut attempts = self.keys.attempts_of(key).iter();
        attempts.any(|attempt| self.attempts.is_waiting(*attempt))
    }

    /// The run of `key`.
    pub(super) fn run_of(&self, key: KeyHash) -> Option<Arc<KeyRun>> {
        let found = self.runs.binary_search_by_key(&key, |(one, _)| *one);
        found.ok().map(|at| Arc::clone(&self.runs[at].1))
    }

    /// Keeps the run of `key`, and forgets those of keys that are forgotten.
    pub(super) fn keep_run(&mut self, key: KeyHash, run: Arc<KeyRun>) {
        let keys = &self.keys;
        self.runs
            .retain(|(other, _)| *other != key && keys.knows(*other));
        let at = self.runs.partition_point(|(other, _)| *other < key);
        self.runs.insert(at, (key, run));
    }

    /// Marks the calls that wait for `key` as `verdict` says.
    fn apply_verdict(&mut self, key: KeyHash, verdict: &ClaimVerdict, attempts: &[AttemptId]) {
        match verdict {
            ClaimVerdict::HandOver(_) => {
                for attempt in attempts {
                    self.attempts.start(*attempt);
                }
            }
            ClaimVerdict::Replay(_) => {
                for attempt in attempts {
                    if self.attempts.start(*attempt) {
                        self.attempts.end(*attempt, AttemptState::Ran);
                    }
                }
                self.pass_turn(key);
            }
            ClaimVerdict::Refuse(_, outcome, _) => {
                self.end_unstarted(attempts, *outcome);
                self.pass_turn(key);
            }
            ClaimVerdict::Reclaim(..) => {}
        }
    }

    fn pass_turn(&mut self, key: KeyHash) {
        if let Some(next) = self.keys.next_turn(key)
            && let Some(run) = self.run_of(next)
        {
            run.give_turn();
        }
    }

    /// Notes what is known of attempts that this process did not start.
    fn end_unstarted(&mut self, attempts: &[AttemptId], outcome: RunOutcome) {
        for attempt in attempts {
            if outcome == RunOutcome::NotRun {
                self.attempts.withdraw(*attempt);
            } else if self.attempts.start(*attempt) {
                self.attempts.end(*attempt, AttemptState::NotKnown);
            }
        }
    }
}
