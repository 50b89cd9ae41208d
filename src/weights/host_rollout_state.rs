//! One host's part in the rollout of its service: acquires, renews and releases its permit, reports
//! load failures of its engine in the rollout row, and paces its accesses to the table.

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

/// How long a row that was read may be used.
const ROW_FRESHNESS: Duration = Duration::from_secs(2);
/// How long a host waits before it requests a permit again, for each batch up to and including its
/// own.
const BATCH_WAIT: Duration = Duration::from_millis(300);
const BATCH_WAIT_MAX: Duration = Duration::from_secs(10);
const CONFLICT_BACKOFF: Duration = Duration::from_millis(200);
const TABLE_UNAVAILABLE_BACKOFF: Duration = Duration::from_secs(2);
const STOPPED_BACKOFF: Duration = Duration::from_secs(5);

/// Purpose of a write in progress.
#[derive(Clone, Copy, Debug)]
enum WritePurpose {
    Acquire(u64),
    Renew,
    Release,
    ReportFailure,
}

/// What is needed before the row can be used.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RowRequirement {
    /// The row has to be read.
    Read,
    /// The table must not be accessed before this time.
    Wait(ClockTime),
}

impl RowRequirement {
    /// The corresponding step of the activation machine.
    pub(crate) const fn into_step(self) -> ActivationStep {
        match self {
            Self::Read => ActivationStep::ReadRow,
            Self::Wait(until) => ActivationStep::WaitUntil(until),
        }
    }
}

/// One host's state in the rollout of its service.
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
    /// A previous process on this host may have left a permit in the row.
    may_hold_stale_permit: bool,
    retry_at: ClockTime,
}

impl HostRolloutState {
    /// The state of a process that has just started.
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

    /// Whether the last access to the table failed.
    pub(crate) const fn is_table_unavailable(&self) -> bool {
        self.is_table_unavailable
    }

    /// Why the rollout was stopped, according to the row read last.
    pub(crate) fn stopped(&self) -> Option<&str> {
        self.snapshot.row.stopped.as_deref()
    }

    /// Whether this host may be out of service now.
    pub(crate) fn has_permit(&self, now: ClockTime) -> bool {
        self.permit
            .as_ref()
            .is_some_and(|permit| permit.is_valid(now))
    }

    /// The fencing number of the next order to an engine whose latest fencing number is
    /// `engine_fence`.
    pub(crate) fn next_fence(&self, engine_fence: u64) -> u64 {
        match &self.permit {
            Some(permit) if permit.fence > engine_fence => permit.fence,
            _ => engine_fence + 1,
        }
    }

    /// Records that this host's engine failed to load `new_version`; it is written to the row
    /// later.
    pub(crate) fn record_failure(&mut self, new_version: &ServingVersion, reason: &str) {
        self.pending_failure = Some((new_version.clone(), reason.into()));
    }

    /// The write that has precedence over everything else, if any: a load failure, or the release
    /// of a permit that is no longer needed because the engine serves again.
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
            // The permit is dropped before its release is written. If the response to the write is
            // lost, another host may already hold a permit in its place, and a change started now
            // would put one host too many out of service.
            state.permit = None;
            state.may_hold_stale_permit = true;
            Some(state.write(WritePurpose::Release, revision, next, now))
        })
    }

    /// Why the row forbids loading `target` on a host that needs no permit; `None` if it does not.
    ///
    /// # Errors
    ///
    /// The requirement to meet first if no fresh row is available.
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
        inputs: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        let revision = match self.fresh_row(now) {
            Ok(revision) => revision,
            Err(requirement) => return requirement.into_step(),
        };
        let is_lapsed = |permit: &RolloutPermit| {
            // A live holder may still be out of service while it cannot reach the table. Its permit
            // may be revoked only if the holder is not live either.
            self.permit_tracker.is_expired(permit, now) && !(inputs.is_live)(&permit.holder.host)
        };
        let answer =
            self.snapshot
                .row
                .request_permit(target, &self.holder, engine_fence, is_lapsed);
        match answer {
            PermitDecision::Write(row, fence) => {
                self.write(WritePurpose::Acquire(fence), revision, row, now)
            }
            PermitDecision::Full => {
                let span = (BATCH_WAIT * (inputs.batches_ahead + 1)).min(BATCH_WAIT_MAX);
                self.back_off(span, inputs.jitter, now)
            }
            PermitDecision::Stopped(_) | PermitDecision::Outdated => {
                self.back_off(STOPPED_BACKOFF, inputs.jitter, now)
            }
        }
    }

    /// The renewal of the permit when it is due while a change is in progress.
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
                // The permit was revoked because this host counted as failed.
                state.permit = None;
                return None;
            };
            Some(state.write(WritePurpose::Renew, revision, next, now))
        })
    }

    /// The rollout row was read, or reading it failed.
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

    /// A write succeeded, conflicted with another write, or its result is unknown.
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
                // The row has to be read again before the next write.
                self.read_at = None;
            }
            Ok(RowWriteResult::Conflict(current)) => {
                self.pending_write = None;
                self.on_row(Ok(current), jitter, now);
                self.back_off(CONFLICT_BACKOFF, jitter, now);
            }
            Err(_) => {
                // The write may have taken effect; reading the row resolves this.
                self.may_hold_stale_permit = true;
                self.is_table_unavailable = true;
                self.read_at = None;
                self.back_off(CONFLICT_BACKOFF, jitter, now);
            }
        }
    }

    /// Resolves a write whose response was lost by the row that was read afterwards. A permit is
    /// valid from the time of the write, not from the time of this read.
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

    /// Calls `action` with a fresh row; returns the step that reads the row if it is not fresh, and
    /// `None` during a back-off.
    fn with_row(
        &mut self,
        now: ClockTime,
        action: impl FnOnce(&mut Self, &RolloutRow, RowRevision) -> Option<ActivationStep>,
    ) -> Option<ActivationStep> {
        match self.fresh_row(now) {
            Ok(revision) => {
                let row = self.snapshot.row.clone();
                action(self, &row, revision)
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

    /// Backs off for a random part of `span` (full jitter), so that hosts that were refused at the
    /// same time do not retry at the same time.
    fn back_off(&mut self, span: Duration, jitter: f64, now: ClockTime) -> ActivationStep {
        self.retry_at = now + span.mul_f64(jitter.clamp(0.05, 1.0));
        self.read_at = None;
        ActivationStep::WaitUntil(self.retry_at)
    }
}
