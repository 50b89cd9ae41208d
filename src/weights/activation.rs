//! State machine that decides when the engine is ordered to load a version and when requests may
//! run on it.
//!
//! The machine follows the engine's reports. It opens the serving gate only for a version that the
//! engine reported as serving after the last order, issues one order at a time, and takes a host
//! that serves a version out of service only while it holds a rollout permit.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::digest::WeightsDigest;
use super::host_rollout_state::HostRolloutState;
use super::rollout_row::{PermitDecision, RolloutRow, RowSnapshot, RowWriteResult};
use super::target_version::TargetVersion;
use super::version_change::{ChangePhase, ServingReport, VersionChange};
use crate::derives::plain;
use crate::documents::TableAwayRule;
use crate::errors::SwitchResult;
use crate::membership::ServingVersion;
use crate::stores::RowRevision;
use crate::time::ClockTime;
use crate::weights::LeaseHolder;

/// How often the engine's state is read while nothing changes.
const ENGINE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
pub(super) const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// What the [`ActivationDriver`](super::activation_driver::ActivationDriver) has to do next.
#[apply(plain!)]
pub(crate) enum ActivationStep {
    /// Wait until this time, or until an input changes.
    WaitUntil(ClockTime),
    /// Read the engine's state.
    ReadEngine,
    /// Read the rollout row.
    ReadRow,
    /// Write the rollout row, provided that it has the expected revision.
    WriteRow {
        /// The revision that the row must still have.
        expected: RowRevision,
        /// The new row.
        row: RolloutRow,
    },
    /// Admit no further requests, and report whether all admitted ones have ended.
    CloseGate,
    /// Order the engine to load a version. The machine keeps running until the order is answered.
    Order {
        /// The order's fencing number.
        fence: u64,
        /// The version to load.
        serving: ServingVersion,
    },
    /// Wait until requests of previous versions have ended, then admit requests for this version.
    OpenGate(ServingVersion),
}

/// Inputs of one step of the machine.
pub(crate) struct ActivationInputs<'a> {
    /// The target version from the service document.
    pub(crate) target: Option<&'a TargetVersion>,
    /// Whether a version is complete and verified on this host.
    pub(crate) is_complete: &'a dyn Fn(WeightsDigest) -> bool,
    /// The version that the gate admits requests for; `None` while it is closed.
    pub(crate) gate: Option<&'a ServingVersion>,
    /// Whether a host is live according to membership.
    pub(crate) is_live: &'a dyn Fn(&str) -> bool,
    /// How many rollout batches of hosts that still serve another version go before this host.
    pub(crate) batches_ahead: u32,
    /// Random fraction of a back-off, between 0 and 1.
    pub(crate) jitter: f64,
}

/// Activation state of one host.
#[derive(Debug)]
pub(crate) struct ActivationMachine {
    pub(super) report: Option<ServingReport>,
    /// Engine reports that describe an earlier time are ignored.
    pub(super) valid_from: ClockTime,
    pub(super) read_after: ClockTime,
    pub(super) change: Option<VersionChange>,
    pub(super) rollout: HostRolloutState,
    /// The last version that the engine reported as serving, for a rollback.
    pub(super) last_served: Option<ServingVersion>,
    pub(super) failed: Option<(ServingVersion, ClockTime)>,
}

impl ActivationMachine {
    /// The state of a process that has just started and has no report from its engine yet.
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

    /// Whether a change of version is in progress, including orders with an unknown outcome.
    pub(crate) const fn is_changing(&self) -> bool {
        self.change.is_some()
    }

    /// Whether this host is out of service, or about to be, because it replaces the version it
    /// served.
    pub(crate) fn is_swapping(&self) -> bool {
        self.change.as_ref().is_some_and(|change| change.is_swap)
    }

    /// Whether an order has been sent and not yet answered.
    pub(crate) fn is_ordering(&self) -> bool {
        let change = self.change.as_ref();
        change.is_some_and(|change| change.phase == ChangePhase::Ordering)
    }

    /// Why the rollout was stopped, as text for operators.
    pub(crate) fn stopped(&self) -> Option<&str> {
        self.rollout.stopped()
    }

    /// The next step at `now`.
    pub(crate) fn next_step(
        &mut self,
        inputs: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        if self.change.is_some() {
            return self.change_step(inputs, now);
        }
        let fresh = self.report.clone().filter(|report| {
            report.as_of >= self.valid_from && now.since(report.read_at) < ENGINE_CHECK_INTERVAL
        });
        let Some(report) = fresh else {
            return self.read_engine(now);
        };
        if let Some(step) = gate_step(&report, inputs) {
            return step;
        }
        if let Some(serving) = &report.serving {
            self.last_served = Some(serving.clone());
        }
        let is_settled = self.is_settled(&report, inputs);
        let step = self
            .rollout
            .pending_write_step(inputs.target, is_settled, now);
        step.unwrap_or_else(|| self.version_step(&report, inputs, now))
    }

    /// Whether the engine serves a version that it will keep, so that a permit is no longer needed.
    fn is_settled(&self, report: &ServingReport, inputs: &ActivationInputs<'_>) -> bool {
        let (Some(serving), Some(target)) = (&report.serving, inputs.target) else {
            return false;
        };
        let failed = self.failed.as_ref();
        let has_failed = failed.is_some_and(|(failed, _)| *failed == target.serving());
        serving.digest == target.digest || has_failed || !(inputs.is_complete)(target.digest)
    }

    fn version_step(
        &mut self,
        report: &ServingReport,
        inputs: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        let wait = ActivationStep::WaitUntil(now + STEP_INTERVAL);
        let Some(target) = inputs.target else {
            return wait;
        };
        let serving = report.serving.as_ref();
        if serving.is_some_and(|serving| serving.digest == target.digest) {
            return wait;
        }
        let new_version = target.serving();
        let failed = self.failed.as_ref();
        if failed.is_some_and(|(failed, until)| *failed == new_version && now < *until) {
            return self.fall_back(report, inputs, now).unwrap_or(wait);
        }
        if !(inputs.is_complete)(target.digest) {
            return wait;
        }
        if report.serving.is_some() {
            self.swap_step(target, report, inputs, now)
        } else {
            self.idle_step(target, inputs, now)
        }
    }

    /// Replaces the serving version. This takes the host out of service and therefore needs a
    /// permit.
    fn swap_step(
        &mut self,
        target: &TargetVersion,
        report: &ServingReport,
        inputs: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        if self.rollout.has_permit(now) {
            return self.begin_change(target.serving(), true, now);
        }
        self.rollout.permit_step(target, report.fence, inputs, now)
    }

    /// Loads a version on a host that serves none. This takes no host out of service, so that no
    /// permit is needed; the version only must not have been stopped.
    fn idle_step(
        &mut self,
        target: &TargetVersion,
        inputs: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        let loads_without_table = target.rollout.table_away == TableAwayRule::IdleHostsOnly;
        if self.rollout.is_table_unavailable() && loads_without_table {
            return self.begin_change(target.serving(), false, now);
        }
        match self.rollout.refusal(target, inputs.jitter, now) {
            Ok(None) => self.begin_change(target.serving(), false, now),
            Ok(Some(PermitDecision::Stopped(_))) => {
                let wait = ActivationStep::WaitUntil(now + STEP_INTERVAL);
                let Some(report) = self.report.clone() else {
                    return wait;
                };
                self.fall_back(&report, inputs, now).unwrap_or(wait)
            }
            Ok(Some(_)) => ActivationStep::WaitUntil(now + STEP_INTERVAL),
            Err(requirement) => requirement.into_step(),
        }
    }

    /// Reloads the previous version after the engine lost it while failing to load a new one.
    fn fall_back(
        &mut self,
        report: &ServingReport,
        inputs: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> Option<ActivationStep> {
        let new_version = self.last_served.clone()?;
        let is_target = inputs
            .target
            .is_some_and(|target| target.digest == new_version.digest);
        if report.serving.is_some() || is_target || !(inputs.is_complete)(new_version.digest) {
            return None;
        }
        Some(self.begin_change(new_version, false, now))
    }

    /// The rollout row was read, or reading it failed.
    pub(crate) fn on_row(
        &mut self,
        answer: SwitchResult<RowSnapshot>,
        jitter: f64,
        now: ClockTime,
    ) {
        self.rollout.on_row(answer, jitter, now);
    }

    /// Result of [`ActivationStep::WriteRow`].
    pub(crate) fn on_written(
        &mut self,
        answer: SwitchResult<RowWriteResult>,
        jitter: f64,
        now: ClockTime,
    ) {
        self.rollout.on_written(answer, jitter, now);
    }
}

/// The step that brings the gate in line with the engine's report.
///
/// An engine that restarted, or that carried out an order late, serves another version than the
/// gate admits requests for. Responses would then come from another version than the one stated in
/// their signature. The gate therefore follows the engine's reports throughout the life of the
/// process.
fn gate_step(report: &ServingReport, inputs: &ActivationInputs<'_>) -> Option<ActivationStep> {
    match (inputs.gate, &report.serving) {
        (None, None) => None,
        (None, Some(serving)) => Some(ActivationStep::OpenGate(serving.clone())),
        (Some(open), Some(serving)) if open.digest == serving.digest => None,
        (Some(_), _) => Some(ActivationStep::CloseGate),
    }
}
