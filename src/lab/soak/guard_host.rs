//! One host process's decisions in the driver of the guard, carried out step by step.

use std::sync::Arc;
use std::time::Duration;

use arbitrary::{Result, Unstructured};
use bytestring::ByteString;
use futures::FutureExt;

use super::guard_table::{FateTable, NoObjects};
use crate::delivery::{AnswerDigest, AttemptId, RunPart, SettleReply};
use crate::errors::RunOutcome;
use crate::guard::attempt_book::AttemptState;
use crate::guard::claim_record::ClaimState;
use crate::guard::claim_store::ClaimStore;
use crate::guard::key_entry::{CallAnswer, ClaimPlan, ClaimResult, ClaimVerdict, KeyEnd};
use crate::guard::keyed_call::{KeyHash, KeyedCall};
use crate::guard::run_queue::RunQueue;
use crate::guard::shared::GuardState;
use crate::guard::slot_table::{SlotTable, SlotWrite};
use crate::leases::{LeaseHolder, LeaseRecord};
use crate::membership::LoadReport;
use crate::stores::{RowRevision, TableRow, TableStore, WriteResult};
use crate::time::{ClockTime, WallTime};

/// How long the leases last.
pub(super) const LEASE: Duration = Duration::from_secs(30);
/// Slots of the driver's service.
pub(super) const SLOTS: u16 = 2;
const SERVICE: &str = "desk";
const WRITES: usize = 2;
const RECORDS: usize = 4;

/// How often the cases came to what the driver is for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GuardCoverage {
    /// Calls handed over without a claim.
    pub(crate) unclaimed: u32,
    /// Calls handed over with a claim.
    pub(crate) claimed: u32,
    /// Calls whose claim was only read, because they may have run without one.
    pub(crate) doubted: u32,
    /// Claims of this process that were written anew.
    pub(crate) reclaimed: u32,
    /// Answers of another process's run.
    pub(crate) replayed: u32,
    /// Calls whose outcome was not known.
    pub(crate) not_known: u32,
}

/// What the backend servers saw.
#[derive(Debug, Default)]
pub(super) struct ServiceLog {
    /// What the case came to.
    pub(super) coverage: GuardCoverage,
    /// How often each key ran.
    pub(super) runs: Vec<(KeyHash, u32)>,
    /// Attempts whose run was handed over.
    pub(super) started: Vec<AttemptId>,
    /// Attempts of which "not run" was said.
    pub(super) told_not_run: Vec<AttemptId>,
}

impl ServiceLog {
    /// The key is handed over for `attempts`.
    fn run(&mut self, key: KeyHash, attempts: &[AttemptId]) {
        assert!(!attempts.is_empty(), "a key ran that nobody waited for");
        for attempt in attempts {
            let was_told = self.told_not_run.contains(attempt);
            assert!(!was_told, "an attempt ran that was told not run");
            self.started.push(*attempt);
        }
        let found = self.runs.iter().position(|(one, _)| *one == key);
        assert!(found.is_none(), "a key ran twice");
        self.runs.push((key, 1));
    }

    fn tell_not_run(&mut self, attempt: AttemptId) {
        let has_started = self.started.contains(&attempt);
        assert!(!has_started, "not run was said of an attempt that ran");
        self.told_not_run.push(attempt);
    }

    /// Whether the key ran.
    pub(super) fn has_run(&self, key: KeyHash) -> bool {
        self.runs.iter().any(|(one, _)| *one == key)
    }
}

/// How far a key's run is.
enum TaskStep {
    Waiting,
    Answered(ClaimResult),
    HandedOver,
}

struct KeyTask {
    call: KeyedCall,
    step: TaskStep,
}

/// One host process.
pub(super) struct SoakHost {
    name: ByteString,
    incarnation: u64,
    /// How far its wall clock is ahead, in milliseconds.
    ahead_ms: u64,
    /// Until when it is not scheduled.
    pub(super) paused_until: ClockTime,
    state: GuardState,
    claims: ClaimStore,
    table: Arc<FateTable>,
    tasks: Vec<KeyTask>,
    /// Writes to lease rows whose answers it has not seen yet.
    lease_answers: Vec<(SlotWrite, Option<WriteResult>)>,
    removals: Vec<(KeyHash, RowRevision)>,
}

impl SoakHost {
    pub(super) fn new(name: &str, incarnation: u64, ahead_ms: u64, table: &Arc<FateTable>) -> Self {
        let name: ByteString = name.into();
        let holder = LeaseHolder {
            host: name.clone(),
            incarnation,
        };
        let slots = SlotTable::new(holder.clone(), LEASE, SLOTS);
        let claims = ClaimStore {
            service: SERVICE.into(),
            table: Arc::clone(table) as Arc<dyn TableStore>,
            objects: Arc::new(NoObjects),
        };
        Self {
            name,
            incarnation,
            ahead_ms,
            paused_until: ClockTime::default(),
            state: GuardState::new(RunQueue::new(1, 1), holder, slots),
            claims,
            table: Arc::clone(table),
            tasks: Vec::new(),
            lease_answers: Vec::new(),
            removals: Vec::new(),
        }
    }

    /// The process that comes after this one on its host.
    pub(super) fn replaced(&self) -> Self {
        Self::new(&self.name, self.incarnation + 1, self.ahead_ms, &self.table)
    }

    pub(super) const fn name(&self) -> &ByteString {
        &self.name
    }

    pub(super) fn wall(&self, now: ClockTime) -> WallTime {
        WallTime(now.0 / 1000 + self.ahead_ms)
    }

    /// Whether it may start calls of `slot`.
    pub(super) fn is_open(&self, slot: u16, now: ClockTime) -> bool {
        self.state.slots.grant(slot, now).is_some()
    }

    /// A keyed call comes.
    pub(super) fn take_call(
        &mut self,
        call: &KeyedCall,
        attempt: AttemptId,
        now: ClockTime,
        log: &mut ServiceLog,
    ) {
        self.state.attempts.arrive(attempt, now);
        let wall = self.wall(now);
        match self.state.on_call(call, attempt, now, wall) {
            CallAnswer::Refuse(_, RunOutcome::NotRun) => log.tell_not_run(attempt),
            CallAnswer::Refuse(..) => {}
            CallAnswer::New { .. } => self.tasks.push(KeyTask {
                call: call.clone(),
                step: TaskStep::Waiting,
            }),
            CallAnswer::Joins { .. } => {
                if self.state.attempts.state_of(attempt) == Some(AttemptState::Ran) {
                    assert!(log.has_run(call.key), "a replay of what never ran");
                }
            }
        }
    }

    /// An entry host asks what became of `attempt`, or its connection broke.
    pub(super) fn settle(&mut self, attempt: AttemptId, now: ClockTime, log: &mut ServiceLog) {
        if self.state.attempts.settle(attempt, now) == SettleReply::NotRun {
            log.tell_not_run(attempt);
        }
    }

    /// One of its runs goes one step on.
    pub(super) fn step_task(
        &mut self,
        u: &mut Unstructured<'_>,
        now: ClockTime,
        log: &mut ServiceLog,
    ) -> Result<()> {
        if self.tasks.is_empty() {
            return Ok(());
        }
        let index = u.choose_index(self.tasks.len())?;
        let task = self.tasks.remove(index);
        let next = self.carry_on(u, &task.call, task.step, now, log)?;
        if let Some(step) = next {
            let call = task.call;
            self.tasks.push(KeyTask { call, step });
        }
        Ok(())
    }

    fn carry_on(
        &mut self,
        u: &mut Unstructured<'_>,
        call: &KeyedCall,
        step: TaskStep,
        now: ClockTime,
        log: &mut ServiceLog,
    ) -> Result<Option<TaskStep>> {
        match step {
            TaskStep::Waiting if !self.state.keys.has_turn(call.key) => Ok(Some(step)),
            TaskStep::Waiting if u.ratio(1, 12)? => {
                let attempts = self.state.keys.attempts_of(call.key).to_vec();
                self.state.give_up(call.key);
                for attempt in attempts {
                    log.tell_not_run(attempt);
                }
                Ok(None)
            }
            TaskStep::Waiting => {
                let wall = self.wall(now);
                let attempts = self.waiting_attempts(call.key);
                match self.state.plan_claim(call, now, wall) {
                    Ok(plan) => {
                        log.coverage.doubted += u32::from(plan == ClaimPlan::Read);
                        let result = plan.carry_out(&self.claims, call).now_or_never();
                        let result = result.expect("the table's futures are ready");
                        Ok(Some(TaskStep::Answered(result)))
                    }
                    Err(verdict) => Ok(self.follow(call, verdict, &attempts, true, log)),
                }
            }
            TaskStep::Answered(result) => {
                let wall = self.wall(now);
                let attempts = self.waiting_attempts(call.key);
                let is_away = result == ClaimResult::Away;
                let verdict = self.state.on_claim(call, result, now, wall);
                Ok(self.follow(call, verdict, &attempts, is_away, log))
            }
            TaskStep::HandedOver => {
                self.hand_over(u, call, now, log)?;
                Ok(None)
            }
        }
    }

    fn waiting_attempts(&self, key: KeyHash) -> Vec<AttemptId> {
        let attempts = self.state.keys.attempts_of(key).iter().copied();
        attempts
            .filter(|attempt| self.state.attempts.is_waiting(*attempt))
            .collect()
    }

    fn follow(
        &mut self,
        call: &KeyedCall,
        verdict: ClaimVerdict,
        attempts: &[AttemptId],
        is_away: bool,
        log: &mut ServiceLog,
    ) -> Option<TaskStep> {
        let coverage = &mut log.coverage;
        match verdict {
            ClaimVerdict::HandOver(_) => {
                coverage.unclaimed += u32::from(is_away);
                coverage.claimed += u32::from(!is_away);
                Some(TaskStep::HandedOver)
            }
            ClaimVerdict::Replay(kept) => {
                coverage.replayed += 1;
                let parts = self.claims.fetch_answer(&kept).now_or_never();
                let parts = parts.expect("it is inline").expect("it reads");
                assert_eq!(parts, answer_of(call.key), "another answer was replayed");
                assert!(log.has_run(call.key), "a replay of what never ran");
                None
            }
            ClaimVerdict::Refuse(_, outcome, claim) => {
                coverage.not_known += u32::from(outcome == RunOutcome::NotKnown);
                if outcome == RunOutcome::NotRun {
                    for attempt in attempts {
                        log.tell_not_run(*attempt);
                    }
                }
                self.removals
                    .extend(claim.map(|revision| (call.key, revision)));
                None
            }
            ClaimVerdict::Reclaim(revision, record) => {
                coverage.reclaimed += 1;
                let written = self.claims.write(call.key, revision, &record, true);
                let result = written.now_or_never().expect("it is ready");
                Some(TaskStep::Answered(result))
            }
        }
    }

    /// The backend server gets the call, perhaps long after it was decided.
    fn hand_over(
        &mut self,
        u: &mut Unstructured<'_>,
        call: &KeyedCall,
        now: ClockTime,
        log: &mut ServiceLog,
    ) -> Result<()> {
        let key = call.key;
        let attempts = self.state.keys.attempts_of(key).to_vec();
        let is_started = |attempt: &AttemptId| {
            self.state.attempts.state_of(*attempt) == Some(AttemptState::Started)
        };
        let started: Vec<_> = attempts.into_iter().filter(is_started).collect();
        let (end, state) = match u.int_in_range(0..=9)? {
            0 => (KeyEnd::NotRun, AttemptState::NotRun),
            1 => (KeyEnd::NotKnown, AttemptState::NotKnown),
            _ => (KeyEnd::Ran, AttemptState::Ran),
        };
        if end == KeyEnd::NotRun {
            for attempt in &started {
                log.tell_not_run(*attempt);
            }
        } else {
            log.run(key, &started);
        }
        let claim = self.state.on_end(key, end, state, 1, now);
        self.removals.extend(claim.map(|revision| (key, revision)));
        Ok(())
    }

    /// Removes a claim, or forgets to.
    pub(super) fn step_removal(&mut self) {
        if let Some((key, revision)) = self.removals.pop() {
            let removed = self.claims.remove(key, revision).now_or_never();
            removed.expect("the table's futures are ready");
        }
    }

    /// Writes down what ran.
    pub(super) fn step_records(&mut self, now: ClockTime) {
        if !self.state.table_answers(now) {
            return;
        }
        let wall = self.wall(now);
        for pending in self.state.keys.pending_records(RECORDS, wall) {
            let mut record = pending.record.clone();
            if pending.has_ended {
                let answer = answer_of(pending.key);
                let kept = self.claims.keep_answer(&answer).now_or_never();
                let kept = kept.expect("it is ready");
                record.state = ClaimState::Finished(kept.expect("it is small"));
            }
            let written = self
                .claims
                .write(pending.key, pending.expected, &record, false);
            let result = written.now_or_never().expect("it is ready");
            let end = self.state.keys.on_record(&pending, result);
            assert!(
                end != crate::guard::key_entry::RecordEnd::Doubled,
                "another claimed a key that ran here"
            );
        }
    }

    /// Looks after its leases; `hosts` are those that it believes in.
    pub(super) fn step_leases(&mut self, hosts: &[ByteString], now: ClockTime) {
        let wall = self.wall(now);
        let runs_unclaimed = true;
        for (write, answer) in std::mem::take(&mut self.lease_answers) {
            match answer {
                Some(WriteResult::Written(revision)) => {
                    self.state.slots.on_written(write.slot, revision);
                }
                Some(WriteResult::Conflict(row)) => {
                    let row = row.as_ref().map(read_row);
                    self.state.slots.on_conflict(write.slot, row, now);
                }
                None => self.state.slots.on_doubt(write.slot),
            }
        }
        let slots = &mut self.state.slots;
        slots.on_hosts(SERVICE, hosts, runs_unclaimed, now);
        if slots.needs_reading(now) {
            let listed = self.table.list("leases/").now_or_never();
            if let Ok(rows) = listed.expect("it is ready") {
                slots.on_listed(|slot| row_of(&rows, slot), now);
            }
        }
        let keys = &self.state.keys;
        let may_renew = |slot| !keys.has_untraced(slot);
        let writes = slots.due_writes(WRITES, now, wall, may_renew);
        let releases = slots.give_back(now, |slot| keys.is_idle(slot));
        for write in writes {
            let answer = self.put(&write);
            self.lease_answers.push((write, answer));
        }
        for write in releases {
            // Its answer changes nothing here.
            let _ = self.put(&write);
        }
    }

    fn put(&self, write: &SlotWrite) -> Option<WriteResult> {
        let value = serde_json::to_vec(&write.record).expect("a record is plain");
        let key = lease_key(write.slot);
        let written = self.table.write(&key, write.expected, value.into());
        written.now_or_never().expect("it is ready").ok()
    }

    /// Whether everything that ran here has its trace in the table.
    pub(super) fn is_traced(&self) -> bool {
        (0..SLOTS).all(|slot| !self.state.keys.has_untraced(slot))
    }
}

/// The answer that the backend server gives to `key`.
fn answer_of(key: KeyHash) -> Vec<RunPart> {
    vec![RunPart::End {
        digest: AnswerDigest([0; 16]),
        reason: key.claim_key(SERVICE).into(),
        replayed: false,
        load: LoadReport::default(),
    }]
}

fn lease_key(slot: u16) -> String {
    format!("leases/{slot}")
}

fn row_of(rows: &[TableRow], slot: u16) -> Option<(RowRevision, LeaseRecord)> {
    let key = lease_key(slot);
    rows.iter().find(|row| row.key == key).map(read_row)
}

fn read_row(row: &TableRow) -> (RowRevision, LeaseRecord) {
    let record = serde_json::from_slice(&row.value).expect("the driver wrote it");
    (row.revision, record)
}
