//! What is known of one request's sends, and what may follow.

use std::sync::Arc;
use std::time::Duration;

use super::gateway_state::GatewayState;
use super::repeat_bar::RepeatBar;
use super::reply::unknown_end;
use super::request_job::RequestJob;
use super::request_log::log_client_gone;
use super::send_attempt::{HeadWait, SendFailure};
use crate::errors::{ErrorKind, RunOutcome, SwitchError};
use crate::fleet::{BackendKey, CallEnd, PickRefusal};
use crate::overload::come_back_after;
use crate::time::{ClockTime, clock_now};

/// Sends that never left this host are tried elsewhere this many times; they cost no budget.
const UNSENT_MAX: u32 = 3;
/// How long before a client would close its connection it is told that nothing comes: the way to it
/// takes 1 to 3 ms, and this process may be busy.
const TELL_MARGIN: Duration = Duration::from_millis(100);

/// One request on its way.
pub(super) struct Forwarder {
    pub(super) gateway: Arc<GatewayState>,
    pub(super) job: Arc<RequestJob>,
    tried: Vec<BackendKey>,
    /// Sends that never left this host.
    unsent: u32,
    /// The worst that is known of the sends so far.
    may_have_run: bool,
    last_failure: Option<SendFailure>,
    /// When the client is told that nothing comes, if nothing has come by then.
    answer_due: ClockTime,
    /// Whether a backend server has begun a stream.
    has_begun: bool,
    /// Whether its end has been told in the log.
    is_ended: bool,
}

impl Drop for Forwarder {
    /// The request's future was dropped before its end: the client closed its connection. Without a
    /// line, nobody could tell from the log what became of the request.
    fn drop(&mut self) {
        if !self.is_ended {
            log_client_gone(&self.job, self.tried.len(), clock_now());
        }
    }
}

impl Forwarder {
    /// The request's end is told elsewhere.
    pub(super) const fn note_end(&mut self) {
        self.is_ended = true;
    }

    pub(super) fn new(gateway: Arc<GatewayState>, job: RequestJob) -> Self {
        gateway.earn_retry(&job.routed.service, job.arrived);
        let answer_due = due_before(&job, job.arrived);
        Self {
            gateway,
            job: Arc::new(job),
            tried: Vec::new(),
            unsent: 0,
            may_have_run: false,
            last_failure: None,
            answer_due,
            has_begun: false,
            is_ended: false,
        }
    }

    /// A backend server began a stream.
    pub(super) const fn note_begun(&mut self) {
        self.has_begun = true;
    }

    /// Until when it waits for a place: a new request for `hold`, a stream that has begun and that may go on
    /// elsewhere for as long as its client waits.
    pub(super) fn held_until(&self, hold: Duration) -> ClockTime {
        if self.has_begun {
            self.answer_due.min(self.job.deadline)
        } else {
            self.job.arrived + hold
        }
    }

    /// The client of a stream got its last event at `since`.
    pub(super) fn note_event(&mut self, since: ClockTime) {
        self.answer_due = due_before(&self.job, since);
    }

    /// The backend servers that it was sent to.
    pub(super) fn tried(&self) -> &[BackendKey] {
        &self.tried
    }

    /// It is about to be sent to `key`.
    pub(super) fn note_send(&mut self, key: BackendKey) {
        self.tried.push(key);
    }

    /// Sends that reached a backend server, or are on their way to one.
    fn arrivals(&self) -> u32 {
        let sends = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        sends.saturating_sub(self.unsent)
    }

    /// How long the client waits yet for what comes next.
    pub(super) fn wait_left(&self, now: ClockTime) -> Duration {
        self.answer_due.since(now).min(self.job.time_left(now))
    }

    /// Whether another send is allowed after one that may have run.
    fn may_repeat(&self, now: ClockTime) -> bool {
        self.repeat_bar(now).is_none()
    }

    /// Why there can be no other send after one that may have run, the retry budget aside.
    fn repeat_bar(&self, now: ClockTime) -> Option<RepeatBar> {
        if !self.job.repeat().is_repeatable() {
            Some(RepeatBar::Route)
        } else if self.wait_left(now).is_zero() {
            Some(RepeatBar::Time)
        } else if self.has_attempts(now) {
            None
        } else {
            Some(RepeatBar::Attempts)
        }
    }

    /// Takes another send after one that may have run, and what it costs of the retry budget.
    ///
    /// # Errors
    ///
    /// Why there can be none.
    pub(super) fn pay_repeat(&self, now: ClockTime) -> Result<(), RepeatBar> {
        match self.repeat_bar(now) {
            Some(bar) => Err(bar),
            None if self.gateway.spend_retry(&self.job.routed.service, now) => Ok(()),
            None => Err(RepeatBar::Budget),
        }
    }

    /// The same, for callers that need not know why.
    fn may_repeat_paid(&self, now: ClockTime) -> bool {
        self.pay_repeat(now).is_ok()
    }

    /// The second send that was paid for last was not needed.
    pub(super) fn refund_retry(&self, now: ClockTime) {
        self.gateway.refund_retry(&self.job.routed.service, now);
    }

    fn has_attempts(&self, now: ClockTime) -> bool {
        let is_within = self.arrivals() < self.job.routed.rule.attempts_max;
        is_within && !self.wait_left(now).is_zero()
    }

    /// Whether `failure`, the end of a send without an answer, may be followed by another send. Spends
    /// the budget if it needs it.
    pub(super) fn may_follow(&mut self, failure: SendFailure, now: ClockTime) -> bool {
        let (has_arrived, may_have_run) = (failure.has_arrived, failure.may_have_run);
        self.note_failure(failure);
        self.allows_after(has_arrived, may_have_run, now)
    }

    /// A send ended without an answer.
    pub(super) fn note_failure(&mut self, failure: SendFailure) {
        if !failure.has_arrived {
            self.unsent += 1;
        }
        self.may_have_run |= failure.may_have_run;
        self.last_failure = Some(failure);
    }

    /// The same after an answer that broke off before any of it was passed on.
    pub(super) fn may_follow_cut(&mut self, failure: SendFailure, now: ClockTime) -> bool {
        self.may_have_run = true;
        self.last_failure = Some(failure);
        self.may_repeat_paid(now)
    }

    /// Whether a backend server's own failure may be followed by another send, which spends the budget.
    ///
    /// A backend server that fails some requests fails the next one elsewhere as seldom as any: where one
    /// stock check in seven failed, its client asked again a round trip later, and one in fifty was lost.
    pub(super) fn may_follow_failure(&mut self, now: ClockTime) -> bool {
        self.may_have_run = true;
        self.may_repeat_paid(now)
    }

    fn allows_after(&self, has_arrived: bool, may_have_run: bool, now: ClockTime) -> bool {
        if !has_arrived {
            let is_open = !self.may_have_run || self.may_repeat(now);
            return self.unsent < UNSENT_MAX && is_open && !self.wait_left(now).is_zero();
        }
        let is_allowed = if may_have_run {
            self.may_repeat(now)
        } else {
            self.has_attempts(now)
        };
        is_allowed && self.gateway.spend_retry(&self.job.routed.service, now)
    }

    /// The end of a request under which backend servers crash, if it is one.
    pub(super) fn refuse_quarantined(&self, now: ClockTime) -> Option<SwitchError> {
        let left = self.gateway.quarantine(&self.job, now)?;
        let detail = format!("request={}", self.job.digest());
        Some(if self.may_have_run {
            unknown_end(detail)
        } else {
            SwitchError::new(ErrorKind::RequestQuarantined, detail).with_retry_after(left)
        })
    }

    /// The end of a request that no backend server answered.
    pub(super) fn give_up(&self, refusal: Option<PickRefusal>) -> SwitchError {
        let now = clock_now();
        let detail = match &self.last_failure {
            Some(failure) => failure.detail.clone(),
            None => format!("{refusal:?}"),
        };
        if self.may_have_run {
            if self.job.time_left(now).is_zero() {
                return SwitchError::new(ErrorKind::DeadlinePassed, detail);
            }
            return unknown_end(detail);
        }
        let kind = match (refusal, &self.last_failure) {
            (Some(refusal), _) => refusal.kind(),
            (None, Some(failure)) => failure.kind,
            (None, None) => ErrorKind::NoBackend,
        };
        SwitchError::new(kind, detail)
            .with_outcome(RunOutcome::NotRun)
            .with_retry_after(come_back_after(rand::random()))
    }

    /// Until when the head of the next answer may take, if the request is taken back at `taken_back`.
    pub(super) fn head_wait(&self, taken_back: Option<ClockTime>, now: ClockTime) -> HeadWait {
        let wait = HeadWait {
            until: now + self.wait_left(now),
            silence: CallEnd::Failed,
        };
        wait.taken_back_by(taken_back)
    }
}

/// When a client that got something at `since` is told that nothing more comes; the deadline for
/// anything but a stream.
///
/// Clients close their connection when a stream brings nothing for too long. Whatever still works for one
/// then works for nobody, and the client learns nothing. One would notice clients that leave after the
/// same span each, while hosts stand still. They are told a little earlier, and can ask again.
fn due_before(job: &RequestJob, since: ClockTime) -> ClockTime {
    if job.repeat().is_stream() {
        job.given_up_at(since) - TELL_MARGIN
    } else {
        job.deadline
    }
}
