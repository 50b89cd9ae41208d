//! One host's dealings with its service's rollout row: takes, renews and gives back its permit,
//! writes down its engine's failure, and knows when to ask again.

use std::time::Duration;

use bytestring::ByteString;

use super::activation::{ActivationInputs, ActivationStep};
use super::rollout_row::{
    HeldPermit, PermitDecision, PermitTracker, RolloutPermit, RolloutRow, RowSnapshot,
    RowWriteResult,
};
use super::target_version::TargetVersion;
use crate::errors::SwitchResult;
use crate::membership::ServingVersion;
use crate::stores::RowRevision;
use crate::time::ClockTime;
use crate::weights::LeaseHolder;

/// How long a reading of the row counts.
const ROW_FRESHNESS: Duration = Duration::from_secs(2);
/// How long a host waits for a place, for each host before it.
const BATCH_WAIT: Duration = Duration::from_millis(300);
const BATCH_WAIT_MAX: Duration = Duration::from_secs(10);
const CONFLICT_BACKOFF: Duration = Duration::from_millis(200);
const TABLE_UNAVAILABLE_BACKOFF: Duration = Duration::from_secs(2);
const STOPPED_BACKOFF: Duration = Duration::from_secs(5);

/// What a write that is under way was for.
#[derive(Clone, Copy, Debug)]
enum WritePurpose {
    Acquire(u64),
    Renew,
    Release,
    ReportFailure,
}

/// What has to come before the row can be used.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RowRequirement {
    /// It has to be read.
    Read,
    /// The table is left alone until then.
    Wait(ClockTime),
}

impl RowRequirement {
    /// The step that goes with it.
    pub(crate) const fn into_step(self) -> ActivationStep {
        match self {
            Self::Read => ActivationStep::ReadRow,
            Self::Wait(until) => ActivationStep::WaitUntil(until),
        }
    }
}

/// One host's dealings with the row.
#[derive(Debug)]
pub(crate) struct HostRolloutState {
    holder: LeaseHolder,
    snapshot: RowSnapshot,
    read_at: Option<ClockTime>,
    is_table_unavailable: bool,
    permit_tracker: PermitTracker,
    permit: Option<HeldPermit>,
    pending_write: Option<(WritePurpose, ClockTime)>,
    pending_failure: Option<(ServingVersion, ByteString)>,
    /// An earlier process on this host may have left a permit behind.
    may_hold_stale_permit: bool,
    retry_at: ClockTime,
}

impl HostRolloutState {
    /// The dealings of a process that has just started.
    pub(crate) fn new(holder: LeaseHolder, now: ClockTime) -> Self {
        Self {
            holder,
            snapshot: RowSnapshot::absent(),
            read_at: None,
            is_table_unavailable: false,
            permit_tracker: PermitTracker::default(),
            permit: None,
            pending_write: None,
            pending_failure: None,
            may_hold_stale_permit: true,
            retry_at: now,
        }
    }

    /// Whether the table did not answer the last time.
    pub(crate) const fn is_table_unavailable(&self) -> bool {
        self.is_table_unavailable
    }

    /// Why the rollout was stopped, as last seen.
    pub(crate) fn stopped(&self) -> Option<&str> {
        self.snapshot.row.stopped.as_deref()
    }

    /// Whether this host may be out of service now.
    pub(crate) fn has_permit(&self, now: ClockTime) -> bool {
        self.permit
            .as_ref()
            .is_some_and(|permit| permit.is_valid(now))
    }

    /// The fencing number for the next order to an engine that has seen `engine_fence`.
    pub(crate) fn next_fence(&self, engine_fence: u64) -> u64 {
        match &self.permit {
            Some(permit) if permit.fence > engine_fence => permit.fence,
            _ => engine_fence + 1,
        }
    }

    /// This host's engine did not load `new_version`.
    pub(crate) fn record_failure(&mut self, new_version: &ServingVersion, reason: &str) {
        self.pending_failure = Some((new_version.clone(), reason.into()));
    }

    /// What has to be written before anything else: a failure, and the end of a permit that is no
    /// longer needed because the engine serves again.
    pub(crate) fn pending_write_step(
        &mut self,
        target: Option<&TargetVersion>,
        is_settled: bool,
        now: ClockTime,
    ) -> Option<ActivationStep> {
        let target = target?;
        if let Some((new_version, reason)) = self.pending_failure.clone() {
            if new_version != target.serving() {
                self.pending_failure = None;
                return None;
            }
            return self.with_row(now, |state, row, revision| {
                let next = row.with_failure(target, &state.holder.host, &reason);
                if next == *row {
                    state.pending_failure = None;
                    return None;
                }
                Some(state.write(WritePurpose::ReportFailure, revision, next, now))
            });
        }
        let may_hold = self.permit.is_some() || self.may_hold_stale_permit;
        if !is_settled || !may_hold {
            return None;
        }
        self.with_row(now, |state, row, revision| {
            let next = row.released(&state.holder.host);
            if next == *row {
                state.permit = None;
                state.may_hold_stale_permit = false;
                return None;
            }
            // Forgotten before it is given back: when the write's answer is lost, another host may
            // have the place already, and a change begun now would put one too many out of service.
            state.permit = None;
            state.may_hold_stale_permit = true;
            Some(state.write(WritePurpose::Release, revision, next, now))
        })
    }

    /// What the row says against loading `target` on a host that needs no permit.
    ///
    /// # Errors
    ///
    /// What has to come first.
    pub(crate) fn refusal(
        &mut self,
        target: &TargetVersion,
        jitter: f64,
        now: ClockTime,
    ) -> Result<Option<PermitDecision>, RowRequirement> {
        self.fresh_row(now)?;
        let refusal = self.snapshot.row.refusal(target);
        if refusal.is_some() {
            self.back_off(STOPPED_BACKOFF, jitter, now);
        }
        Ok(refusal)
    }

    /// The next step towards a permit for a host whose engine has seen `engine_fence`.
    pub(crate) fn permit_step(
        &mut self,
        target: &TargetVersion,
        engine_fence: u64,
        view: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        let revision = match self.fresh_row(now) {
            Ok(revision) => revision,
            Err(requirement) => return requirement.into_step(),
        };
        let lapsed = |permit: &RolloutPermit| {
            // A holder that is there may still be out of service, cut off from the table: its place
            // is taken only when it is gone too.
            self.permit_tracker.is_expired(permit, now) && !(view.is_live)(&permit.holder.host)
        };
        let answer = self
            .snapshot
            .row
            .request_permit(target, &self.holder, engine_fence, lapsed);
        match answer {
            PermitDecision::Write(row, fence) => {
                self.write(WritePurpose::Acquire(fence), revision, row, now)
            }
            PermitDecision::Full => {
                let span = (BATCH_WAIT * (view.batches_ahead + 1)).min(BATCH_WAIT_MAX);
                self.back_off(span, view.jitter, now)
            }
            PermitDecision::Stopped(_) | PermitDecision::Outdated => {
                self.back_off(STOPPED_BACKOFF, view.jitter, now)
            }
        }
    }

    /// Renews the permit in time while a change is under way.
    pub(crate) fn renew_step(&mut self, now: ClockTime) -> Option<ActivationStep> {
        let is_renewal_due = self
            .permit
            .as_ref()
            .is_some_and(|permit| permit.is_renewal_due(now));
        if !is_renewal_due || now < self.retry_at {
            return None;
        }
        self.with_row(now, |state, row, revision| {
            let Some(next) = row.renewed(&state.holder) else {
                // Taken away: this host counted as gone.
                state.permit = None;
                return None;
            };
            Some(state.write(WritePurpose::Renew, revision, next, now))
        })
    }

    /// The row, or why it could not be read.
    pub(crate) fn on_row(
        &mut self,
        answer: SwitchResult<RowSnapshot>,
        jitter: f64,
        now: ClockTime,
    ) {
        let Ok(snapshot) = answer else {
            self.is_table_unavailable = true;
            self.read_at = None;
            self.back_off(TABLE_UNAVAILABLE_BACKOFF, jitter, now);
            return;
        };
        self.is_table_unavailable = false;
        self.permit_tracker.observe(&snapshot.row, now);
        self.resolve_uncertain_write(&snapshot.row);
        self.snapshot = snapshot;
        self.read_at = Some(now);
    }

    /// What became of a write: the new revision, or what stands instead, or no answer.
    pub(crate) fn on_written(
        &mut self,
        answer: SwitchResult<RowWriteResult>,
        jitter: f64,
        now: ClockTime,
    ) {
        match answer {
            Ok(RowWriteResult::Written) => {
                if let Some((purpose, sent_at)) = self.pending_write.take() {
                    self.apply_write(purpose, sent_at);
                }
                // The row is read again before the next write.
                self.read_at = None;
            }
            Ok(RowWriteResult::Conflict(current)) => {
                self.pending_write = None;
                self.on_row(Ok(current), jitter, now);
                self.back_off(CONFLICT_BACKOFF, jitter, now);
            }
            Err(_) => {
                // It may have been written: reading the row back settles it.
                self.may_hold_stale_permit = true;
                self.is_table_unavailable = true;
                self.read_at = None;
                self.back_off(CONFLICT_BACKOFF, jitter, now);
            }
        }
    }

    /// The answer to a write was lost: what stands tells whether it took effect. The permit counts
    /// from when the write was sent, not from when it was read back.
    fn resolve_uncertain_write(&mut self, row: &RolloutRow) {
        let Some((purpose, sent_at)) = self.pending_write.take() else {
            return;
        };
        let own = row
            .permits
            .iter()
            .find(|permit| permit.holder == self.holder);
        if let (WritePurpose::Acquire(fence), Some(permit)) = (purpose, own)
            && permit.fence == fence
        {
            self.apply_write(purpose, sent_at);
        }
    }

    fn apply_write(&mut self, purpose: WritePurpose, sent_at: ClockTime) {
        match purpose {
            WritePurpose::Acquire(fence) => {
                self.permit = Some(HeldPermit {
                    fence,
                    renewed_at: sent_at,
                });
                self.may_hold_stale_permit = false;
            }
            WritePurpose::Renew => {
                if let Some(permit) = self.permit.as_mut() {
                    permit.renewed_at = sent_at;
                }
            }
            WritePurpose::Release => {
                self.permit = None;
                self.may_hold_stale_permit = false;
            }
            WritePurpose::ReportFailure => self.pending_failure = None,
        }
    }

    fn fresh_row(&self, now: ClockTime) -> Result<RowRevision, RowRequirement> {
        if now < self.retry_at {
            return Err(RowRequirement::Wait(self.retry_at));
        }
        let is_fresh = self
            .read_at
            .is_some_and(|read_at| now.since(read_at) < ROW_FRESHNESS);
        if is_fresh {
            Ok(self.snapshot.revision)
        } else {
            Err(RowRequirement::Read)
        }
    }

    /// What `act` does with a fresh row; nothing while the table rests.
    fn with_row(
        &mut self,
        now: ClockTime,
        act: impl FnOnce(&mut Self, &RolloutRow, RowRevision) -> Option<ActivationStep>,
    ) -> Option<ActivationStep> {
        match self.fresh_row(now) {
            Ok(revision) => {
                let row = self.snapshot.row.clone();
                act(self, &row, revision)
            }
            Err(RowRequirement::Read) => Some(ActivationStep::ReadRow),
            Err(RowRequirement::Wait(_)) => None,
        }
    }

    fn write(
        &mut self,
        purpose: WritePurpose,
        expected: RowRevision,
        row: RolloutRow,
        now: ClockTime,
    ) -> ActivationStep {
        self.pending_write = Some((purpose, now));
        ActivationStep::WriteRow { expected, row }
    }

    /// Rests for a random part of `span` (full jitter), so that hosts that were refused together do
    /// not come back together.
    fn back_off(&mut self, span: Duration, jitter: f64, now: ClockTime) -> ActivationStep {
        self.retry_at = now + span.mul_f64(jitter.clamp(0.05, 1.0));
        self.read_at = None;
        ActivationStep::WaitUntil(self.retry_at)
    }
}
