//! Decides when the engine is told to load a version, and when requests may run on it.
//!
//! The machine follows what the engine reports. It opens the gate only for a version that the
//! engine reported to serve after the last order, gives one order at a time, and takes a host that
//! serves something out of service only under a permit.

use std::time::Duration;

use macro_rules_attribute::apply;

use super::digest::WeightsDigest;
use super::rollout_book::RolloutBook;
use super::rollout_row::{PermitAnswer, RolloutRow, RowOutcome, SeenRow};
use super::wanted_version::WantedVersion;
use crate::derives::{key, plain};
use crate::documents::TableAwayRule;
use crate::engines::EngineState;
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::leases::LeaseHolder;
use crate::membership::ServingVersion;
use crate::platform::RowRevision;
use crate::time::ClockTime;

/// How often the engine is looked at while nothing changes.
const WATCH_SPAN: Duration = Duration::from_secs(1);
/// How often it is looked at while an order is under way.
const READ_BACK_SPAN: Duration = Duration::from_millis(200);
/// How long an order in doubt is waited for before it is given again.
const DOUBT_SPAN: Duration = Duration::from_secs(10);
const ORDER_TRIES: u32 = 3;
/// How long a host waits before it tries a version again that its engine did not load.
const FAILED_SPAN: Duration = Duration::from_secs(30);
const CHECK_SPAN: Duration = Duration::from_millis(200);

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
pub(crate) struct ActivationView<'a> {
    /// What the document wants.
    pub(crate) wanted: Option<&'a WantedVersion>,
    /// Whether the whole of a version is here.
    pub(crate) is_whole: &'a dyn Fn(WeightsDigest) -> bool,
    /// What the gate is open for.
    pub(crate) gate: Option<&'a ServingVersion>,
    /// Whether a host is there.
    pub(crate) is_live: &'a dyn Fn(&str) -> bool,
    /// How many hosts come before this one among those that still serve another version.
    pub(crate) place: u32,
    /// Left to chance; between 0 and 1.
    pub(crate) part: f64,
}

#[apply(key!)]
enum ChangePhase {
    /// Requests of the old version end.
    Closing,
    /// The order is about to be given.
    Ready,
    /// The order is under way.
    Ordering,
    /// The order was answered, or its answer was lost; the engine is read back.
    ReadingBack,
}

/// A change of version under way.
#[apply(plain!)]
struct VersionChange {
    target: ServingVersion,
    phase: ChangePhase,
    /// Whether the host served something before.
    is_swap: bool,
    tries: u32,
    ordered_at: ClockTime,
    answered_at: ClockTime,
    refusal: Option<SwitchError>,
}

#[apply(plain!)]
struct EngineReport {
    serving: Option<ServingVersion>,
    fence: u64,
    /// When it was read.
    read_at: ClockTime,
    /// The moment that it speaks of.
    as_of: ClockTime,
}

/// One host's activation.
#[derive(Debug)]
pub(crate) struct ActivationMachine {
    report: Option<EngineReport>,
    /// Reports about earlier moments say nothing about now.
    valid_from: ClockTime,
    read_after: ClockTime,
    change: Option<VersionChange>,
    book: RolloutBook,
    /// The last version that the engine served, for a way back.
    last_served: Option<ServingVersion>,
    failed: Option<(ServingVersion, ClockTime)>,
}

impl ActivationMachine {
    /// The machine of a process that has just started and knows nothing.
    pub(crate) fn new(holder: LeaseHolder, now: ClockTime) -> Self {
        Self {
            report: None,
            valid_from: now,
            read_after: now,
            change: None,
            book: RolloutBook::new(holder, now),
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
        self.book.stopped()
    }

    /// What to do now.
    pub(crate) fn next_step(
        &mut self,
        view: &ActivationView<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        if self.change.is_some() {
            return self.change_step(view, now);
        }
        let fresh = self.report.clone().filter(|report| {
            report.as_of >= self.valid_from && now.since(report.read_at) < WATCH_SPAN
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
        let step = self.book.duty_step(view.wanted, is_settled, now);
        step.unwrap_or_else(|| self.version_step(&report, view, now))
    }

    /// Whether the engine serves and will go on serving what it does, so that a permit is of no more
    /// use.
    fn is_settled(&self, report: &EngineReport, view: &ActivationView<'_>) -> bool {
        let (Some(serving), Some(wanted)) = (&report.serving, view.wanted) else {
            return false;
        };
        let failed = self.failed.as_ref();
        let has_failed = failed.is_some_and(|(failed, _)| *failed == wanted.serving());
        serving.digest == wanted.digest || has_failed || !(view.is_whole)(wanted.digest)
    }

    fn version_step(
        &mut self,
        report: &EngineReport,
        view: &ActivationView<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        let wait = ActivationStep::WaitUntil(now + CHECK_SPAN);
        let Some(wanted) = view.wanted else {
            return wait;
        };
        let serving = report.serving.as_ref();
        if serving.is_some_and(|serving| serving.digest == wanted.digest) {
            return wait;
        }
        let target = wanted.serving();
        let failed = self.failed.as_ref();
        if failed.is_some_and(|(failed, until)| *failed == target && now < *until) {
            return self.fall_back(report, view, now).unwrap_or(wait);
        }
        if !(view.is_whole)(wanted.digest) {
            return wait;
        }
        if report.serving.is_some() {
            self.swap_step(wanted, report, view, now)
        } else {
            self.idle_step(wanted, view, now)
        }
    }

    /// A host that serves something goes out of service only under a permit.
    fn swap_step(
        &mut self,
        wanted: &WantedVersion,
        report: &EngineReport,
        view: &ActivationView<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        if self.book.has_permit(now) {
            return self.begin(wanted.serving(), true, now);
        }
        self.book.permit_step(wanted, report.fence, view, now)
    }

    /// A host that serves nothing takes nobody out of service: it needs no permit, only the word
    /// that the version was not stopped.
    fn idle_step(
        &mut self,
        wanted: &WantedVersion,
        view: &ActivationView<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        let goes_on = wanted.rollout.table_away == TableAwayRule::IdleHostsOnly;
        if self.book.is_table_away() && goes_on {
            return self.begin(wanted.serving(), false, now);
        }
        match self.book.refusal(wanted, view.part, now) {
            Ok(None) => self.begin(wanted.serving(), false, now),
            Ok(Some(PermitAnswer::Stopped(_))) => {
                let wait = ActivationStep::WaitUntil(now + CHECK_SPAN);
                let Some(report) = self.report.clone() else {
                    return wait;
                };
                self.fall_back(&report, view, now).unwrap_or(wait)
            }
            Ok(Some(_)) => ActivationStep::WaitUntil(now + CHECK_SPAN),
            Err(want) => want.into_step(),
        }
    }

    /// An engine that lost its version over one that it did not load gets the earlier one back.
    fn fall_back(
        &mut self,
        report: &EngineReport,
        view: &ActivationView<'_>,
        now: ClockTime,
    ) -> Option<ActivationStep> {
        let target = self.last_served.clone()?;
        let is_wanted = view
            .wanted
            .is_some_and(|wanted| wanted.digest == target.digest);
        if report.serving.is_some() || is_wanted || !(view.is_whole)(target.digest) {
            return None;
        }
        Some(self.begin(target, false, now))
    }

    fn begin(&mut self, target: ServingVersion, is_swap: bool, now: ClockTime) -> ActivationStep {
        assert!(
            !is_swap || self.book.has_permit(now),
            "a host went out of service without a permit"
        );
        self.change = Some(VersionChange {
            target,
            phase: ChangePhase::Closing,
            is_swap,
            tries: 0,
            ordered_at: now,
            answered_at: now,
            refusal: None,
        });
        ActivationStep::CloseGate
    }

    fn change_step(&mut self, view: &ActivationView<'_>, now: ClockTime) -> ActivationStep {
        if let Some(step) = self.book.renew_step(now) {
            return step;
        }
        let Some(change) = self.change.clone() else {
            return ActivationStep::WaitUntil(now);
        };
        match change.phase {
            ChangePhase::Closing => self.close_step(&change, now),
            ChangePhase::Ready => self.order_step(&change, view, now),
            ChangePhase::Ordering => ActivationStep::WaitUntil(now + CHECK_SPAN),
            ChangePhase::ReadingBack => self.read_engine(now),
        }
    }

    fn close_step(&mut self, change: &VersionChange, now: ClockTime) -> ActivationStep {
        if change.is_swap && !self.book.has_permit(now) {
            // Others may be out of service in its place by now; the old version goes on.
            self.change = None;
            return self.read_engine(now);
        }
        ActivationStep::CloseGate
    }

    fn order_step(
        &mut self,
        change: &VersionChange,
        view: &ActivationView<'_>,
        now: ClockTime,
    ) -> ActivationStep {
        let is_first = change.tries == 0;
        if is_first && change.is_swap && !self.book.has_permit(now) {
            self.change = None;
            return self.read_engine(now);
        }
        assert!(
            (view.is_whole)(change.target.digest),
            "an order was due for weights that are not whole"
        );
        let seen = self.report.as_ref().map_or(0, |report| report.fence);
        let fence = self.book.next_fence(seen);
        if let Some(change) = self.change.as_mut() {
            change.phase = ChangePhase::Ordering;
            change.ordered_at = now;
            change.tries += 1;
            change.refusal = None;
        }
        ActivationStep::Order {
            fence,
            serving: change.target.clone(),
        }
    }

    fn read_engine(&self, now: ClockTime) -> ActivationStep {
        if now < self.read_after {
            return ActivationStep::WaitUntil(self.read_after);
        }
        ActivationStep::ReadEngine
    }

    /// Whether all requests ended after [`ActivationStep::CloseGate`].
    pub(crate) fn on_gate_closed(&mut self, all_ended: bool) {
        if let Some(change) = self.change.as_mut()
            && all_ended
            && change.phase == ChangePhase::Closing
        {
            change.phase = ChangePhase::Ready;
        }
    }

    /// The order was answered, or its answer did not come.
    pub(crate) fn on_ordered(&mut self, answer: SwitchResult<()>, now: ClockTime) {
        if let Some(change) = self.change.as_mut() {
            assert_eq!(change.phase, ChangePhase::Ordering, "two orders at a time");
            change.phase = ChangePhase::ReadingBack;
            change.answered_at = now;
            change.refusal = answer.err();
        }
        self.read_after = now;
    }

    /// The engine's state, or why it could not be read, asked at `asked_at`.
    pub(crate) fn on_engine(
        &mut self,
        answer: SwitchResult<EngineState>,
        asked_at: ClockTime,
        now: ClockTime,
    ) {
        self.read_after = now + READ_BACK_SPAN;
        let Ok(state) = answer else {
            return;
        };
        let report = EngineReport {
            serving: state.serving,
            fence: state.fence,
            read_at: now,
            as_of: asked_at - Duration::from_millis(state.age_ms),
        };
        self.report = Some(report.clone());
        if let Some(change) = self.change.clone()
            && change.phase == ChangePhase::ReadingBack
        {
            self.settle(&change, &report, now);
        }
    }

    /// What an order came to, by what the engine reports after it.
    fn settle(&mut self, change: &VersionChange, report: &EngineReport, now: ClockTime) {
        if report.as_of < change.ordered_at {
            return;
        }
        if report.serving.as_ref() == Some(&change.target) {
            self.valid_from = change.ordered_at;
            self.change = None;
            return;
        }
        let is_old = report.as_of < change.answered_at;
        match &change.refusal {
            Some(error) if error.kind == ErrorKind::ActivationFailed && is_old => {}
            Some(error) if error.kind == ErrorKind::ActivationFailed => {
                self.give_up(change, &error.detail, now);
            }
            Some(error) if error.kind == ErrorKind::OrderStale => self.order_again(change, now),
            _ if now.since(change.answered_at) >= DOUBT_SPAN => self.order_again(change, now),
            _ => {}
        }
    }

    fn order_again(&mut self, change: &VersionChange, now: ClockTime) {
        if change.tries >= ORDER_TRIES {
            self.give_up(change, "the engine does not report the version", now);
            return;
        }
        if let Some(change) = self.change.as_mut() {
            change.phase = ChangePhase::Ready;
        }
    }

    fn give_up(&mut self, change: &VersionChange, reason: &str, now: ClockTime) {
        self.failed = Some((change.target.clone(), now + FAILED_SPAN));
        self.valid_from = change.answered_at;
        self.book.note_failure(&change.target, reason);
        self.change = None;
    }

    /// The row, or why it could not be read.
    pub(crate) fn on_row(&mut self, answer: SwitchResult<SeenRow>, part: f64, now: ClockTime) {
        self.book.on_row(answer, part, now);
    }

    /// What became of [`ActivationStep::WriteRow`].
    pub(crate) fn on_written(
        &mut self,
        answer: SwitchResult<RowOutcome>,
        part: f64,
        now: ClockTime,
    ) {
        self.book.on_written(answer, part, now);
    }
}

/// What the gate has to do when it does not go with what the engine reports.
///
/// An engine that restarted, or that carried out an order late, serves something else than the gate
/// lets requests in for. One would notice answers by another version than the one they are
/// signed with. The gate therefore follows the engine's reports for as long as the process lives.
fn gate_step(report: &EngineReport, view: &ActivationView<'_>) -> Option<ActivationStep> {
    match (view.gate, &report.serving) {
        (None, None) => None,
        (None, Some(serving)) => Some(ActivationStep::OpenGate(serving.clone())),
        (Some(open), Some(serving)) if open.digest == serving.digest => None,
        (Some(_), _) => Some(ActivationStep::CloseGate),
    }
}
