//! Decides when the engine is told to load a version, and when requests may run on it.
//!
//! The machine follows what the engine reports. It opens the gate only for a version that the
//! engine reported to serve after the last order, gives one order at a time, and takes a host that
//! serves something out of service only under a permit.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::digest::WeightsDigest;
use super::host_rollout_state::HostRolloutState;
use super::rollout_row::{PermitDecision, RolloutRow, RowSnapshot, RowWriteResult};
use super::target_version::TargetVersion;
use super::version_change::{ChangePhase, EngineReport, VersionChange};
use crate::derives::plain;
use crate::documents::TableAwayRule;
use crate::errors::SwitchResult;
use crate::membership::ServingVersion;
use crate::stores::RowRevision;
use crate::time::ClockTime;
use crate::weights::LeaseHolder;

/// How often the engine is looked at while nothing changes.
const ENGINE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
pub(super) const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// What the edge has to do next.
#[apply(plain!)]
pub(crate) enum ActivationStep {
    /// Nothing until then, or until something changes.
    WaitUntil(ClockTime),
    /// Read the engine's state.
    ReadEngine,
    /// Read the rollout's row.
    ReadRow,
    /// Write it.
    WriteRow {
        /// The revision that is expected.
        expected: RowRevision,
        /// The row.
        row: RolloutRow,
    },
    /// Let no request in any more, and say whether all have ended.
    CloseGate,
    /// Order the engine to load a version; the machine goes on meanwhile.
    Order {
        /// The order's fencing number.
        fence: u64,
        /// The version.
        serving: ServingVersion,
    },
    /// Wait for requests of earlier versions to end, then let requests in.
    OpenGate(ServingVersion),
}

/// What the machine sees of its surroundings.
pub(crate) struct ActivationInputs<'a> {
    /// What the document wants.
    pub(crate) target: Option<&'a TargetVersion>,
    /// Whether the whole of a version is here.
    pub(crate) is_complete: &'a dyn Fn(WeightsDigest) -> bool,
    /// What the gate is open for.
    pub(crate) gate: Option<&'a ServingVersion>,
    /// Whether a host is there.
    pub(crate) is_live: &'a dyn Fn(&str) -> bool,
    /// How many hosts come before this one among those that still serve another version.
    pub(crate) batches_ahead: u32,
    /// Left to chance; between 0 and 1.
    pub(crate) jitter: f64,
}

/// One host's activation.
#[derive(Debug)]
pub(crate) struct ActivationMachine {
    pub(super) report: Option<EngineReport>,
    /// Reports about earlier moments say nothing about now.
    pub(super) valid_from: ClockTime,
    pub(super) read_after: ClockTime,
    pub(super) change: Option<VersionChange>,
    pub(super) rollout: HostRolloutState,
    /// The last version that the engine served, for a way back.
    pub(super) last_served: Option<ServingVersion>,
    pub(super) failed: Option<(ServingVersion, ClockTime)>,
}

impl ActivationMachine {
    /// The machine of a process that has just started and knows nothing.
    pub(crate) fn new(holder: LeaseHolder, now: ClockTime) -> Self {
        Self {
            report: None,
            valid_from: now,
            read_after: now,
            change: None,
            rollout: HostRolloutState::new(holder, now),
            last_served: None,
            failed: None,
        }
    }

    /// Whether an order is under way or in doubt.
    pub(crate) const fn is_changing(&self) -> bool {
        self.change.is_some()
    }

    /// Whether this host is out of service because of a change of version.
    pub(crate) fn is_swapping(&self) -> bool {
        self.change.as_ref().is_some_and(|change| change.is_swap)
    }

    /// Whether an order's answer is outstanding.
    pub(crate) fn is_ordering(&self) -> bool {
        let change = self.change.as_ref();
        change.is_some_and(|change| change.phase == ChangePhase::Ordering)
    }

    /// Why the rollout does not go on, for people.
    pub(crate) fn stopped(&self) -> Option<&str> {
        self.rollout.stopped()
    }

    /// What to do now.
    pub(crate) fn next_step(
        &mut self,
        view: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        if self.change.is_some() {
            return self.change_step(view, now);
        }
        let fresh = self.report.clone().filter(|report| {
            report.as_of >= self.valid_from && now.since(report.read_at) < ENGINE_CHECK_INTERVAL
        });
        let Some(report) = fresh else {
            return self.read_engine(now);
        };
        if let Some(step) = gate_step(&report, view) {
            return step;
        }
        if let Some(serving) = &report.serving {
            self.last_served = Some(serving.clone());
        }
        let is_settled = self.is_settled(&report, view);
        let step = self
            .rollout
            .pending_write_step(view.target, is_settled, now);
        step.unwrap_or_else(|| self.version_step(&report, view, now))
    }

    /// Whether the engine serves and will go on serving what it does, so that a permit is of no more
    /// use.
    fn is_settled(&self, report: &EngineReport, view: &ActivationInputs<'_>) -> bool {
        let (Some(serving), Some(target)) = (&report.serving, view.target) else {
            return false;
        };
        let failed = self.failed.as_ref();
        let has_failed = failed.is_some_and(|(failed, _)| *failed == target.serving());
        serving.digest == target.digest || has_failed || !(view.is_complete)(target.digest)
    }

    fn version_step(
        &mut self,
        report: &EngineReport,
        view: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        let wait = ActivationStep::WaitUntil(now + STEP_INTERVAL);
        let Some(target) = view.target else {
            return wait;
        };
        let serving = report.serving.as_ref();
        if serving.is_some_and(|serving| serving.digest == target.digest) {
            return wait;
        }
        let new_version = target.serving();
        let failed = self.failed.as_ref();
        if failed.is_some_and(|(failed, until)| *failed == new_version && now < *until) {
            return self.fall_back(report, view, now).unwrap_or(wait);
        }
        if !(view.is_complete)(target.digest) {
            return wait;
        }
        if report.serving.is_some() {
            self.swap_step(target, report, view, now)
        } else {
            self.idle_step(target, view, now)
        }
    }

    /// A host that serves something goes out of service only under a permit.
    fn swap_step(
        &mut self,
        target: &TargetVersion,
        report: &EngineReport,
        view: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        if self.rollout.has_permit(now) {
            return self.begin_change(target.serving(), true, now);
        }
        self.rollout.permit_step(target, report.fence, view, now)
    }

    /// A host that serves nothing takes nobody out of service: it needs no permit, only the word
    /// that the version was not stopped.
    fn idle_step(
        &mut self,
        target: &TargetVersion,
        view: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        let goes_on = target.rollout.table_away == TableAwayRule::IdleHostsOnly;
        if self.rollout.is_table_unavailable() && goes_on {
            return self.begin_change(target.serving(), false, now);
        }
        match self.rollout.refusal(target, view.jitter, now) {
            Ok(None) => self.begin_change(target.serving(), false, now),
            Ok(Some(PermitDecision::Stopped(_))) => {
                let wait = ActivationStep::WaitUntil(now + STEP_INTERVAL);
                let Some(report) = self.report.clone() else {
                    return wait;
                };
                self.fall_back(&report, view, now).unwrap_or(wait)
            }
            Ok(Some(_)) => ActivationStep::WaitUntil(now + STEP_INTERVAL),
            Err(want) => want.into_step(),
        }
    }

    /// An engine that lost its version over one that it did not load gets the earlier one back.
    fn fall_back(
        &mut self,
        report: &EngineReport,
        view: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> Option<ActivationStep> {
        let new_version = self.last_served.clone()?;
        let is_wanted = view
            .target
            .is_some_and(|target| target.digest == new_version.digest);
        if report.serving.is_some() || is_wanted || !(view.is_complete)(new_version.digest) {
            return None;
        }
        Some(self.begin_change(new_version, false, now))
    }

    /// The row, or why it could not be read.
    pub(crate) fn on_row(
        &mut self,
        answer: SwitchResult<RowSnapshot>,
        jitter: f64,
        now: ClockTime,
    ) {
        self.rollout.on_row(answer, jitter, now);
    }

    /// What became of [`ActivationStep::WriteRow`].
    pub(crate) fn on_written(
        &mut self,
        answer: SwitchResult<RowWriteResult>,
        jitter: f64,
        now: ClockTime,
    ) {
        self.rollout.on_written(answer, jitter, now);
    }
}

/// What the gate has to do when it does not go with what the engine reports.
///
/// An engine that restarted, or that carried out an order late, serves something else than the gate
/// lets requests in for. One would notice answers by another version than the one they are
/// signed with. The gate therefore follows the engine's reports for as long as the process lives.
fn gate_step(report: &EngineReport, view: &ActivationInputs<'_>) -> Option<ActivationStep> {
    match (view.gate, &report.serving) {
        (None, None) => None,
        (None, Some(serving)) => Some(ActivationStep::OpenGate(serving.clone())),
        (Some(open), Some(serving)) if open.digest == serving.digest => None,
        (Some(_), _) => Some(ActivationStep::CloseGate),
    }
}
