//! One host's dealings with its service's rollout row: takes, renews and gives back its permit,
//! writes down its engine's failure, and knows when to ask again.

use std::time::Duration;

use bytestring::ByteString;

use super::activation::{ActivationInputs, ActivationStep};
use super::rollout_row::{
    HeldPermit, PermitAnswer, PermitWatch, RolloutPermit, RolloutRow, RowSnapshot, RowWriteResult,
};
use super::wanted_version::TargetVersion;
use crate::errors::SwitchResult;
use crate::membership::ServingVersion;
use crate::stores::RowRevision;
use crate::time::ClockTime;
use crate::weights::LeaseHolder;

/// How long a reading of the row counts.
const ROW_SPAN: Duration = Duration::from_secs(2);
/// How long a host waits for a place, for each host before it.
const PLACE_SPAN: Duration = Duration::from_millis(300);
const PLACE_SPAN_MOST: Duration = Duration::from_secs(10);
const CONFLICT_SPAN: Duration = Duration::from_millis(200);
const AWAY_SPAN: Duration = Duration::from_secs(2);
const STOPPED_SPAN: Duration = Duration::from_secs(5);

/// What a write that is under way was for.
#[derive(Clone, Copy, Debug)]
enum WritePurpose {
    Take(u64),
    Renew,
    Release,
    Failure,
}

/// What has to come before the row can be used.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RowWant {
    /// It has to be read.
    Read,
    /// The table is left alone until then.
    Rest(ClockTime),
}

impl RowWant {
    /// The step that goes with it.
    pub(crate) const fn into_step(self) -> ActivationStep {
        match self {
            Self::Read => ActivationStep::ReadRow,
            Self::Rest(until) => ActivationStep::WaitUntil(until),
        }
    }
}

/// One host's dealings with the row.
#[derive(Debug)]
pub(crate) struct RolloutBook {
    holder: LeaseHolder,
    seen: RowSnapshot,
    seen_at: Option<ClockTime>,
    is_table_away: bool,
    watch: PermitWatch,
    permit: Option<HeldPermit>,
    sent: Option<(WritePurpose, ClockTime)>,
    failure: Option<(ServingVersion, ByteString)>,
    /// An earlier process on this host may have left a permit behind.
    may_hold_old: bool,
    rest_until: ClockTime,
}

impl RolloutBook {
    /// The dealings of a process that has just started.
    pub(crate) fn new(holder: LeaseHolder, now: ClockTime) -> Self {
        Self {
            holder,
            seen: RowSnapshot::absent(),
            seen_at: None,
            is_table_away: false,
            watch: PermitWatch::default(),
            permit: None,
            sent: None,
            failure: None,
            may_hold_old: true,
            rest_until: now,
        }
    }

    /// Whether the table did not answer the last time.
    pub(crate) const fn is_table_away(&self) -> bool {
        self.is_table_away
    }

    /// Why the rollout was stopped, as last seen.
    pub(crate) fn stopped(&self) -> Option<&str> {
        self.seen.row.stopped.as_deref()
    }

    /// Whether this host may be out of service now.
    pub(crate) fn has_permit(&self, now: ClockTime) -> bool {
        self.permit
            .as_ref()
            .is_some_and(|permit| permit.is_good(now))
    }

    /// The fencing number for the next order to an engine that has seen `engine_fence`.
    pub(crate) fn next_fence(&self, engine_fence: u64) -> u64 {
        match &self.permit {
            Some(permit) if permit.fence > engine_fence => permit.fence,
            _ => engine_fence + 1,
        }
    }

    /// This host's engine did not load `new_version`.
    pub(crate) fn note_failure(&mut self, new_version: &ServingVersion, reason: &str) {
        self.failure = Some((new_version.clone(), reason.into()));
    }

    /// What has to be written before anything else: a failure, and the end of a permit that is no
    /// longer needed because the engine serves again.
    pub(crate) fn duty_step(
        &mut self,
        target: Option<&TargetVersion>,
        is_settled: bool,
        now: ClockTime,
    ) -> Option<ActivationStep> {
        let target = target?;
        if let Some((new_version, reason)) = self.failure.clone() {
            if new_version != target.serving() {
                self.failure = None;
                return None;
            }
            return self.with_row(now, |book, row, revision| {
                let next = row.with_failure(target, &book.holder.host, &reason);
                if next == *row {
                    book.failure = None;
                    return None;
                }
                Some(book.write(WritePurpose::Failure, revision, next, now))
            });
        }
        let may_hold = self.permit.is_some() || self.may_hold_old;
        if !is_settled || !may_hold {
            return None;
        }
        self.with_row(now, |book, row, revision| {
            let next = row.released(&book.holder.host);
            if next == *row {
                book.permit = None;
                book.may_hold_old = false;
                return None;
            }
            // Forgotten before it is given back: when the write's answer is lost, another host may
            // have the place already, and a change begun now would put one too many out of service.
            book.permit = None;
            book.may_hold_old = true;
            Some(book.write(WritePurpose::Release, revision, next, now))
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
    ) -> Result<Option<PermitAnswer>, RowWant> {
        self.fresh_row(now)?;
        let refusal = self.seen.row.refusal(target);
        if refusal.is_some() {
            self.rest(STOPPED_SPAN, jitter, now);
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
            Err(want) => return want.into_step(),
        };
        let lapsed = |permit: &RolloutPermit| {
            // A holder that is there may still be out of service, cut off from the table: its place
            // is taken only when it is gone too.
            self.watch.is_overdue(permit, now) && !(view.is_live)(&permit.holder.host)
        };
        let answer = self
            .seen
            .row
            .ask(target, &self.holder, engine_fence, lapsed);
        match answer {
            PermitAnswer::Write(row, fence) => {
                self.write(WritePurpose::Take(fence), revision, row, now)
            }
            PermitAnswer::Full => {
                let span = (PLACE_SPAN * (view.batches_ahead + 1)).min(PLACE_SPAN_MOST);
                self.rest(span, view.jitter, now)
            }
            PermitAnswer::Stopped(_) | PermitAnswer::Outdated => {
                self.rest(STOPPED_SPAN, view.jitter, now)
            }
        }
    }

    /// Renews the permit in time while a change is under way.
    pub(crate) fn renew_step(&mut self, now: ClockTime) -> Option<ActivationStep> {
        let is_due = self
            .permit
            .as_ref()
            .is_some_and(|permit| permit.is_due(now));
        if !is_due || now < self.rest_until {
            return None;
        }
        self.with_row(now, |book, row, revision| {
            let Some(next) = row.renewed(&book.holder) else {
                // Taken away: this host counted as gone.
                book.permit = None;
                return None;
            };
            Some(book.write(WritePurpose::Renew, revision, next, now))
        })
    }

    /// The row, or why it could not be read.
    pub(crate) fn on_row(
        &mut self,
        answer: SwitchResult<RowSnapshot>,
        jitter: f64,
        now: ClockTime,
    ) {
        let Ok(seen) = answer else {
            self.is_table_away = true;
            self.seen_at = None;
            self.rest(AWAY_SPAN, jitter, now);
            return;
        };
        self.is_table_away = false;
        self.watch.see(&seen.row, now);
        self.settle_doubt(&seen.row);
        self.seen = seen;
        self.seen_at = Some(now);
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
                if let Some((purpose, sent_at)) = self.sent.take() {
                    self.settle_write(purpose, sent_at);
                }
                // The row is read again before the next write.
                self.seen_at = None;
            }
            Ok(RowWriteResult::Conflict(standing)) => {
                self.sent = None;
                self.on_row(Ok(standing), jitter, now);
                self.rest(CONFLICT_SPAN, jitter, now);
            }
            Err(_) => {
                // It may have been written: reading the row back settles it.
                self.may_hold_old = true;
                self.is_table_away = true;
                self.seen_at = None;
                self.rest(CONFLICT_SPAN, jitter, now);
            }
        }
    }

    /// The answer to a write was lost: what stands tells whether it took effect. The permit counts
    /// from when the write was sent, not from when it was read back.
    fn settle_doubt(&mut self, row: &RolloutRow) {
        let Some((purpose, sent_at)) = self.sent.take() else {
            return;
        };
        let own = row
            .permits
            .iter()
            .find(|permit| permit.holder == self.holder);
        if let (WritePurpose::Take(fence), Some(permit)) = (purpose, own)
            && permit.fence == fence
        {
            self.settle_write(purpose, sent_at);
        }
    }

    fn settle_write(&mut self, purpose: WritePurpose, sent_at: ClockTime) {
        match purpose {
            WritePurpose::Take(fence) => {
                self.permit = Some(HeldPermit {
                    fence,
                    begun: sent_at,
                });
                self.may_hold_old = false;
            }
            WritePurpose::Renew => {
                if let Some(permit) = self.permit.as_mut() {
                    permit.begun = sent_at;
                }
            }
            WritePurpose::Release => {
                self.permit = None;
                self.may_hold_old = false;
            }
            WritePurpose::Failure => self.failure = None,
        }
    }

    fn fresh_row(&self, now: ClockTime) -> Result<RowRevision, RowWant> {
        if now < self.rest_until {
            return Err(RowWant::Rest(self.rest_until));
        }
        let is_fresh = self
            .seen_at
            .is_some_and(|seen_at| now.since(seen_at) < ROW_SPAN);
        if is_fresh {
            Ok(self.seen.revision)
        } else {
            Err(RowWant::Read)
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
                let row = self.seen.row.clone();
                act(self, &row, revision)
            }
            Err(RowWant::Read) => Some(ActivationStep::ReadRow),
            Err(RowWant::Rest(_)) => None,
        }
    }

    fn write(
        &mut self,
        purpose: WritePurpose,
        expected: RowRevision,
        row: RolloutRow,
        now: ClockTime,
    ) -> ActivationStep {
        self.sent = Some((purpose, now));
        ActivationStep::WriteRow { expected, row }
    }

    /// Rests for a random part of `span` (full jitter), so that hosts that were refused together do
    /// not come back together.
    fn rest(&mut self, span: Duration, jitter: f64, now: ClockTime) -> ActivationStep {
        self.rest_until = now + span.mul_f64(jitter.clamp(0.05, 1.0));
        self.seen_at = None;
        ActivationStep::WaitUntil(self.rest_until)
    }
}
