//! One keyed call, from its turn to its kept answer.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use super::answer_buffer::AnswerBuffer;
use super::attempt_book::AttemptState;
use super::backend_run::RunEnd;
use super::key_entry::{CallAnswer, ClaimResult, ClaimVerdict, KeyEnd};
use super::keyed_call::KeyedCall;
use super::part_sink::{AttemptWriter, PartSink, broken_part};
use super::run_task::{call_backend, enter_gate, refused, relay_buffer};
use super::shared::{GuardShared, GuardState, refusal};
use crate::daemon::LiveGuard;
use crate::delivery::{AttemptId, RunOrder, RunPart};
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::stores::RowRevision;
use crate::time::{ClockTime, clock_now, wall_now};

/// How often a call that waits for its turn looks whether anybody still wants it.
const WANTED_EVERY: Duration = Duration::from_millis(200);
/// How often a claim is written anew when this process's own claim stands already.
const RECLAIMS_MAX: usize = 4;

/// The run of one key, shared by all calls that bring it.
#[derive(Debug, Default)]
pub(crate) struct KeyRun {
    buffer: Arc<AnswerBuffer>,
    turn: Notify,
}

impl KeyRun {
    /// Its turn has come.
    pub(super) fn give_turn(&self) {
        self.turn.notify_one();
    }

    /// The answer.
    pub(super) fn buffer(&self) -> &Arc<AnswerBuffer> {
        &self.buffer
    }
}

/// Carries out an order with a key.
pub(crate) async fn run_keyed(
    shared: Arc<GuardShared>,
    call: KeyedCall,
    order: RunOrder,
    deadline: ClockTime,
    writer: AttemptWriter,
    live: LiveGuard,
) {
    let attempt = order.attempt;
    let (run, is_new) = match join_or_begin(&shared, &call, attempt) {
        Ok(joined) => joined,
        Err(error) => {
            refused(&error);
            writer.refuse(&error).await;
            return;
        }
    };
    if is_new {
        let task = KeyTask {
            shared: Arc::clone(&shared),
            call,
            run: Arc::clone(&run),
        };
        tokio::spawn(async move {
            task.carry_out(order, deadline).await;
            drop(live);
        });
    }
    let left = deadline.since(clock_now());
    let first = timeout(left, writer.wait_for(run.buffer().read(0))).await;
    if first.is_err() {
        let never_runs = shared.lock().attempts.withdraw(attempt);
        let error = late_error(never_runs);
        refused(&error);
        writer.refuse(&error).await;
        return;
    }
    let relayed = relay_buffer(&shared, run.buffer(), &writer, is_new).await;
    if relayed.is_err() {
        shared.lock().attempts.withdraw(attempt);
    }
}

/// The refusal of a call whose deadline passed before its answer was whole.
fn late_error(never_runs: bool) -> SwitchError {
    if never_runs {
        refusal(
            ErrorKind::DeadlineUnreachable,
            "it waited here until its deadline",
        )
    } else {
        let detail = "the run of this key is still under way";
        SwitchError::new(ErrorKind::KeyInProgress, detail).with_outcome(RunOutcome::NotKnown)
    }
}

fn join_or_begin(
    shared: &GuardShared,
    call: &KeyedCall,
    attempt: AttemptId,
) -> SwitchResult<(Arc<KeyRun>, bool)> {
    let mut state = shared.lock();
    match state.on_call(call, attempt, clock_now(), wall_now()) {
        CallAnswer::Refuse(kind, outcome) => {
            Err(SwitchError::new(kind, "the key's run").with_outcome(outcome))
        }
        CallAnswer::New { has_turn } => {
            let run = Arc::new(KeyRun::default());
            if has_turn {
                run.give_turn();
            }
            state.keep_run(call.key, Arc::clone(&run));
            Ok((run, true))
        }
        CallAnswer::Joins { .. } => {
            let run = state.run_of(call.key);
            let run = run.ok_or_else(|| SwitchError::new(ErrorKind::Internal, "no run"))?;
            Ok((run, false))
        }
    }
}

/// What runs one key.
struct KeyTask {
    shared: Arc<GuardShared>,
    call: KeyedCall,
    run: Arc<KeyRun>,
}

impl KeyTask {
    async fn carry_out(self, order: RunOrder, deadline: ClockTime) {
        let key = self.call.key;
        if let Err(error) = self.wait_for_turn(deadline).await {
            return self.give_up(&error);
        }
        let is_wanted = move |state: &GuardState| state.is_wanted(key);
        let place = self
            .shared
            .take_place(order.priority, deadline, is_wanted)
            .await;
        let place = match place {
            Ok(place) => place,
            Err(error) => return self.give_up(&error),
        };
        let pass = match enter_gate(&self.shared, &order.call) {
            Ok(pass) => pass,
            Err(error) => return self.give_up(&error),
        };
        match self.claim().await {
            ClaimVerdict::HandOver(fence) => {
                let sink = PartSink::Kept(Arc::clone(self.run.buffer()));
                let shared = &self.shared;
                let end =
                    call_backend(shared, order, pass.as_ref(), deadline, Some(fence), &sink).await;
                drop(place);
                self.finish(end).await;
            }
            ClaimVerdict::Replay(kept) => {
                drop(place);
                self.replay(&kept).await;
            }
            ClaimVerdict::Refuse(kind, outcome, claim) => {
                drop(place);
                let error = SwitchError::new(kind, "the key was not run").with_outcome(outcome);
                let _ = self.run.buffer.push(refused(&error));
                self.remove_claim(claim).await;
            }
            ClaimVerdict::Reclaim(..) => unreachable!("claiming goes on until it is settled"),
        }
    }

    async fn wait_for_turn(&self, deadline: ClockTime) -> SwitchResult<()> {
        loop {
            let left = deadline.since(clock_now());
            let turn = timeout(left.min(WANTED_EVERY), self.run.turn.notified());
            if turn.await.is_ok() {
                return Ok(());
            }
            if !self.shared.lock().is_wanted(self.call.key) {
                return Err(refusal(ErrorKind::CallerGone, "the caller left"));
            }
            if clock_now() >= deadline {
                let detail = "calls with the same order key took until its deadline";
                return Err(refusal(ErrorKind::DeadlineUnreachable, detail));
            }
        }
    }

    /// Makes sure that nobody ran the key before.
    async fn claim(&self) -> ClaimVerdict {
        let key = self.call.key;
        let plan = {
            let mut state = self.shared.lock();
            state.plan_claim(&self.call, clock_now(), wall_now())
        };
        let mut result = match plan {
            Ok(plan) => plan.carry_out(&self.shared.claims, &self.call).await,
            Err(verdict) => return verdict,
        };
        for _ in 0..RECLAIMS_MAX {
            match self.decide(result) {
                ClaimVerdict::Reclaim(revision, record) => {
                    let claims = &self.shared.claims;
                    result = claims.write(key, revision, &record, true).await;
                }
                verdict => return verdict,
            }
        }
        self.decide(ClaimResult::Away)
    }

    fn decide(&self, result: ClaimResult) -> ClaimVerdict {
        let mut state = self.shared.lock();
        state.on_claim(&self.call, result, clock_now(), wall_now())
    }

    async fn finish(&self, end: RunEnd) {
        let key = self.call.key;
        let (key_end, state, last) = match end {
            RunEnd::Ran(last) => (KeyEnd::Ran, AttemptState::Ran, last),
            RunEnd::NotRun(error) => (KeyEnd::NotRun, AttemptState::NotRun, refused(&error)),
            RunEnd::NotKnown(error) => (
                KeyEnd::NotKnown,
                AttemptState::NotKnown,
                broken_part(&error),
            ),
        };
        // The answer is whole before anybody is told that the run is over.
        let _ = self.run.buffer.push(last);
        let bytes = self.run.buffer.bytes();
        let claim = {
            let mut guard = self.shared.lock();
            guard.on_end(key, key_end, state, bytes, clock_now())
        };
        self.shared.records.notify_one();
        self.remove_claim(claim).await;
    }

    async fn replay(&self, kept: &super::claim_record::KeptAnswer) {
        match self.shared.claims.fetch_answer(kept).await {
            Ok(parts) => {
                for part in parts {
                    let _ = self.run.buffer.push(as_replay(part));
                }
            }
            Err(error) => {
                self.shared.lock().keys.on_answer_missing(self.call.key);
                let error = error.with_outcome(RunOutcome::Run);
                let _ = self.run.buffer.push(refused(&error));
            }
        }
    }

    fn give_up(&self, error: &SwitchError) {
        self.shared.lock().give_up(self.call.key);
        let _ = self.run.buffer.push(refused(error));
    }

    async fn remove_claim(&self, claim: Option<RowRevision>) {
        if let Some(revision) = claim {
            self.shared.claims.remove(self.call.key, revision).await;
        }
    }
}

/// A part of an answer that an earlier run gave.
fn as_replay(part: RunPart) -> RunPart {
    match part {
        RunPart::End {
            digest,
            reason,
            load,
            ..
        } => RunPart::End {
            digest,
            reason,
            replayed: true,
            load,
        },
        other => other,
    }
}
