//! A change of version in progress: close the gate, order the engine to load the version, and read
//! the engine's state back.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::activation::{ActivationInputs, ActivationMachine, ActivationStep, STEP_INTERVAL};
use crate::derives::{key, plain};
use crate::engines::EngineState;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::membership::ServingVersion;
use crate::time::ClockTime;

/// How often the engine's state is read while an order is in progress.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(200);
/// How long the result of an order may be unknown before the order is repeated.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a host still admits requests after it announced that it goes out of service. This gives
/// the announcement time to arrive; each request sent to a closed gate would be refused and have to
/// be sent elsewhere.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(400);
const ORDER_ATTEMPTS_MAX: u32 = 3;
/// How long a host waits before it retries a version that its engine failed to load.
const FAILED_VERSION_RETRY_DELAY: Duration = Duration::from_secs(30);

#[apply(key!)]
pub(super) enum ChangePhase {
    /// Other hosts are informed that this host goes out of service; requests are still admitted.
    Announced,
    /// The gate is closed, and requests of the previous version are ending.
    Closing,
    /// The order is about to be sent.
    Ready,
    /// The order has been sent and not answered.
    Ordering,
    /// The order was answered, or its answer was lost; the engine's state is read back.
    ReadingBack,
}

/// A change of version in progress.
#[apply(plain!)]
pub(super) struct VersionChange {
    pub(super) new_version: ServingVersion,
    pub(super) phase: ChangePhase,
    /// Whether the host served a version before.
    pub(super) is_swap: bool,
    pub(super) attempts: u32,
    pub(super) ordered_at: ClockTime,
    pub(super) answered_at: ClockTime,
    pub(super) refusal: Option<SwitchError>,
}

#[apply(plain!)]
pub(super) struct ServingReport {
    pub(super) serving: Option<ServingVersion>,
    pub(super) fence: u64,
    /// When the report was received.
    pub(super) read_at: ClockTime,
    /// The time that the reported state belongs to.
    pub(super) as_of: ClockTime,
}

impl ActivationMachine {
    pub(super) fn begin_change(
        &mut self,
        new_version: ServingVersion,
        is_swap: bool,
        now: ClockTime,
    ) -> ActivationStep {
        assert!(
            !is_swap || self.rollout.has_permit(now),
            "a host went out of service without a permit"
        );
        self.change = Some(VersionChange {
            new_version,
            phase: if is_swap {
                ChangePhase::Announced
            } else {
                ChangePhase::Closing
            },
            is_swap,
            attempts: 0,
            ordered_at: now,
            answered_at: now,
            refusal: None,
        });
        if is_swap {
            return ActivationStep::WaitUntil(now + ANNOUNCEMENT_DELAY);
        }
        ActivationStep::CloseGate
    }

    pub(super) fn change_step(
        &mut self,
        inputs: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        if let Some(step) = self.rollout.renew_step(now) {
            return step;
        }
        let Some(change) = self.change.clone() else {
            return ActivationStep::WaitUntil(now);
        };
        match change.phase {
            ChangePhase::Announced if now.since(change.ordered_at) < ANNOUNCEMENT_DELAY => {
                ActivationStep::WaitUntil(change.ordered_at + ANNOUNCEMENT_DELAY)
            }
            ChangePhase::Announced | ChangePhase::Closing => self.close_step(&change, now),
            ChangePhase::Ready => self.order_step(&change, inputs, now),
            ChangePhase::Ordering => ActivationStep::WaitUntil(now + STEP_INTERVAL),
            ChangePhase::ReadingBack => self.read_engine(now),
        }
    }

    fn close_step(&mut self, change: &VersionChange, now: ClockTime) -> ActivationStep {
        if change.is_swap && !self.rollout.has_permit(now) {
            // The permit has expired and another host may be out of service now; the previous
            // version stays in service.
            self.change = None;
            return self.read_engine(now);
        }
        if let Some(change) = self.change.as_mut() {
            change.phase = ChangePhase::Closing;
        }
        ActivationStep::CloseGate
    }

    fn order_step(
        &mut self,
        change: &VersionChange,
        inputs: &ActivationInputs<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        let is_first = change.attempts == 0;
        if is_first && change.is_swap && !self.rollout.has_permit(now) {
            self.change = None;
            return self.read_engine(now);
        }
        assert!(
            (inputs.is_complete)(change.new_version.digest),
            "an order was due for an incomplete version"
        );
        let seen = self.report.as_ref().map_or(0, |report| report.fence);
        let fence = self.rollout.next_fence(seen);
        if let Some(change) = self.change.as_mut() {
            change.phase = ChangePhase::Ordering;
            change.ordered_at = now;
            change.attempts += 1;
            change.refusal = None;
        }
        ActivationStep::Order {
            fence,
            serving: change.new_version.clone(),
        }
    }

    pub(super) fn read_engine(&self, now: ClockTime) -> ActivationStep {
        if now < self.read_after {
            return ActivationStep::WaitUntil(self.read_after);
        }
        ActivationStep::ReadEngine
    }

    /// Result of [`ActivationStep::CloseGate`]: whether all requests have ended.
    pub(crate) fn on_gate_closed(&mut self, all_ended: bool) {
        if let Some(change) = self.change.as_mut()
            && all_ended
            && change.phase == ChangePhase::Closing
        {
            change.phase = ChangePhase::Ready;
        }
    }

    /// The order was answered, or its answer was lost.
    pub(crate) fn on_ordered(&mut self, answer: SwitchResult<()>, now: ClockTime) {
        if let Some(change) = self.change.as_mut() {
            assert_eq!(change.phase, ChangePhase::Ordering, "two concurrent orders");
            change.phase = ChangePhase::ReadingBack;
            change.answered_at = now;
            change.refusal = answer.err();
        }
        self.read_after = now;
    }

    /// The engine's state, requested at `queried_at`, or the error of the request.
    pub(crate) fn on_engine(
        &mut self,
        answer: SwitchResult<EngineState>,
        queried_at: ClockTime,
        now: ClockTime,
    ) {
        self.read_after = now + READ_BACK_INTERVAL;
        let Ok(state) = answer else {
            return;
        };
        let report = ServingReport {
            serving: state.serving,
            fence: state.fence,
            read_at: now,
            as_of: queried_at - Duration::from_millis(state.age_ms),
        };
        self.report = Some(report.clone());
        if let Some(change) = self.change.clone()
            && change.phase == ChangePhase::ReadingBack
        {
            self.resolve_order(&change, &report, now);
        }
    }

    /// Determines the outcome of an order from the state that the engine reported afterwards.
    fn resolve_order(&mut self, change: &VersionChange, report: &ServingReport, now: ClockTime) {
        if report.as_of < change.ordered_at {
            return;
        }
        if report.serving.as_ref() == Some(&change.new_version) {
            self.valid_from = change.ordered_at;
            self.change = None;
            return;
        }
        let is_old = report.as_of < change.answered_at;
        match &change.refusal {
            Some(error) if error.kind == ErrorKind::ActivationFailed && is_old => {}
            Some(error) if error.kind == ErrorKind::ActivationFailed => {
                self.abandon_change(change, &error.detail, now);
            }
            Some(error) if error.kind == ErrorKind::OrderStale => self.order_again(change, now),
            _ if now.since(change.answered_at) >= ORDER_TIMEOUT => self.order_again(change, now),
            _ => {}
        }
    }

    fn order_again(&mut self, change: &VersionChange, now: ClockTime) {
        if change.attempts >= ORDER_ATTEMPTS_MAX {
            self.abandon_change(change, "the engine does not report the version", now);
            return;
        }
        if let Some(change) = self.change.as_mut() {
            change.phase = ChangePhase::Ready;
        }
    }

    fn abandon_change(&mut self, change: &VersionChange, reason: &str, now: ClockTime) {
        self.failed = Some((change.new_version.clone(), now + FAILED_VERSION_RETRY_DELAY));
        self.valid_from = change.answered_at;
        self.rollout.record_failure(&change.new_version, reason);
        self.change = None;
    }
}
