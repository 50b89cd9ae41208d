//! State of forwarding one request: what is known of its sends, and whether it may be sent again.

use std::sync::Arc;
use std::time::Duration;

use super::gateway_state::GatewayState;
use super::reply::outcome_unknown;
use super::request_job::RequestJob;
use super::request_log::log_client_left;
use super::retry_budgets::{ResendReason, RetryCharge};
use super::retry_denial::RetryDenial;
use super::send_attempt::{HeadWait, SendFailure};
use crate::errors::{ErrorKind, RunOutcome, SwitchError};
use crate::fleet::{BackendKey, CallOutcome, PickRefusal, SEND_BEGIN_SPAN};
use crate::overload::{retry_delay, retry_delay_after};
use crate::time::{ClockTime, clock_now};

/// How often a send that never left this host may be repeated elsewhere. Such sends do not use the
/// retry budget.
const UNSENT_MAX: u32 = 3;
/// How long before its own timeout a client is notified that there will be no response. The way to
/// the client takes 1 to 3 ms, and this process may be busy.
const CLIENT_NOTICE_MARGIN: Duration = Duration::from_millis(100);

/// State of one request while it is forwarded.
pub(super) struct ForwardState {
    pub(super) gateway: Arc<GatewayState>,
    pub(super) job: Arc<RequestJob>,
    tried: Vec<BackendKey>,
    /// Sends that never left this host.
    unsent: u32,
    /// The retry that it has taken from the budget for its next send.
    next_charge: Option<RetryCharge>,
    /// Those that it has taken for sends that it has made.
    used_charges: Vec<RetryCharge>,
    /// Whether the request may have run in any of its sends.
    may_have_run: bool,
    last_failure: Option<SendFailure>,
    /// When the client is notified that there will be no response, unless something has arrived by
    /// then.
    response_due: ClockTime,
    /// Whether a backend server has started a stream.
    has_started: bool,
    /// Whether the end of the request has been logged.
    is_end_logged: bool,
    /// Random, from 0 to 1: whether the request may use slots reserved for more urgent ones.
    reserve_lot: f64,
}

impl Drop for ForwardState {
    /// Refunds a retry that was not used. Logs that the client closed its connection: the future of
    /// the request was dropped before its end. Without this line the log would not show what
    /// happened to the request.
    fn drop(&mut self) {
        self.refund_retry(clock_now());
        if !self.is_end_logged {
            log_client_left(&self.job, self.tried.len(), clock_now());
        }
    }
}

impl ForwardState {
    /// Records that the end of the request is logged elsewhere.
    pub(super) const fn mark_end_logged(&mut self) {
        self.is_end_logged = true;
    }

    pub(super) fn new(gateway: Arc<GatewayState>, job: RequestJob) -> Self {
        gateway.credit_retry(&job.routed.service, job.arrived);
        gateway.note_demand(&job);
        let response_due = client_notice_at(&job, job.arrived);
        Self {
            gateway,
            job: Arc::new(job),
            tried: Vec::new(),
            unsent: 0,
            next_charge: None,
            used_charges: Vec::new(),
            may_have_run: false,
            last_failure: None,
            response_due,
            has_started: false,
            is_end_logged: false,
            reserve_lot: rand::random(),
        }
    }

    /// Records that a backend server started a stream.
    pub(super) const fn note_stream_start(&mut self) {
        self.has_started = true;
    }

    /// Returns until when the request waits for a slot. A new request waits for `queue_time`; a
    /// stream that has started and is resumed elsewhere waits as long as its client does.
    pub(super) fn queue_until(&self, queue_time: Duration) -> ClockTime {
        if self.has_started {
            self.response_due.min(self.job.deadline)
        } else {
            self.job.arrived + queue_time
        }
    }

    /// Records that the client of a stream got its last event at `since`.
    pub(super) fn note_event(&mut self, since: ClockTime) {
        self.response_due = client_notice_at(&self.job, since);
    }

    /// Returns the part of each engine's slots that the request leaves to more urgent ones. A stream
    /// that has started leaves none: its client notices each pause.
    pub(super) fn reserved_part(&self) -> f64 {
        if self.has_started {
            0.0
        } else {
            self.gateway.reserved_part(&self.job, self.reserve_lot)
        }
    }

    /// Returns the backend servers that the request was sent to.
    pub(super) fn tried(&self) -> &[BackendKey] {
        &self.tried
    }

    /// Records that the request is about to be sent to `key`.
    pub(super) fn note_send(&mut self, key: BackendKey) {
        self.tried.push(key);
        self.used_charges.extend(self.next_charge.take());
    }

    /// Returns when the next send has to begin at the latest, if it uses the retry budget.
    fn begin_by(&self) -> Option<ClockTime> {
        let charge = self.next_charge?;
        Some(charge.claimed_at + SEND_BEGIN_SPAN)
    }

    /// Returns the number of sends that reached a backend server or are in transit.
    fn delivered_sends(&self) -> u32 {
        let sends = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        sends.saturating_sub(self.unsent)
    }

    /// Returns how long the client will still wait for the response or the next event.
    pub(super) fn client_wait_left(&self, now: ClockTime) -> Duration {
        self.response_due.since(now).min(self.job.time_left(now))
    }

    /// Returns whether the request may be sent again after a send that may have run.
    fn may_resend(&self, now: ClockTime) -> bool {
        self.retry_denial(now).is_none()
    }

    /// Returns why the request may not be sent again after a send that may have run. Ignores the
    /// retry budget.
    fn retry_denial(&self, now: ClockTime) -> Option<RetryDenial> {
        if !self.job.retry_policy().is_repeatable() {
            Some(RetryDenial::Route)
        } else if self.client_wait_left(now).is_zero() {
            Some(RetryDenial::Time)
        } else if self.has_attempts_left(now) {
            None
        } else {
            Some(RetryDenial::Attempts)
        }
    }

    /// Claims another send after one that may have run, and takes it from the retry budget.
    ///
    /// # Errors
    ///
    /// Why another send is not allowed.
    pub(super) fn claim_resend(
        &mut self,
        reason: ResendReason,
        now: ClockTime,
    ) -> Result<(), RetryDenial> {
        match self.retry_denial(now) {
            Some(denial) => Err(denial),
            None if self.try_charge(reason, now) => Ok(()),
            None => Err(RetryDenial::Budget),
        }
    }

    /// Takes a retry from the budget. Returns whether there was one.
    fn try_charge(&mut self, reason: ResendReason, now: ClockTime) -> bool {
        let service = &self.job.routed.service;
        if self.next_charge.is_none() {
            self.next_charge = self.gateway.try_charge_retry(service, reason, now);
        }
        self.next_charge.is_some()
    }

    /// Charges a send that is about to begin at `now`, not when it was claimed: the search for a
    /// backend server may have taken seconds. Returns whether the send is allowed.
    pub(super) fn renew_charge(&mut self, now: ClockTime) -> bool {
        let Some(charge) = self.next_charge else {
            return true;
        };
        let service = &self.job.routed.service;
        self.next_charge = self.gateway.try_renew_charge(service, charge, now);
        self.next_charge.is_some()
    }

    /// Refunds the retry for the next send, if there is one, because no send is made.
    pub(super) fn refund_retry(&mut self, now: ClockTime) {
        if let Some(charge) = self.next_charge.take() {
            let service = &self.job.routed.service;
            self.gateway.refund_retry(service, charge, now);
        }
    }

    /// Takes back a retry after a send that never left this host. The next send can use it.
    fn reclaim_charge(&mut self, now: ClockTime) {
        if let Some(charge) = self.used_charges.pop() {
            self.refund_retry(now);
            self.next_charge = Some(charge);
        }
    }

    fn has_attempts_left(&self, now: ClockTime) -> bool {
        let is_within = self.delivered_sends() < self.job.routed.rule.attempts_max;
        is_within && !self.client_wait_left(now).is_zero()
    }

    /// Returns whether the request may be sent again after `failure`, a send without a response.
    /// Takes the send from the retry budget if necessary.
    pub(super) fn may_resend_after(&mut self, failure: SendFailure, now: ClockTime) -> bool {
        let (has_arrived, may_have_run) = (failure.has_arrived, failure.may_have_run);
        self.record_failure(failure, now);
        self.allows_resend(has_arrived, may_have_run, now)
    }

    /// Records a send that ended without a response.
    pub(super) fn record_failure(&mut self, failure: SendFailure, now: ClockTime) {
        if !failure.has_arrived {
            self.unsent += 1;
            self.reclaim_charge(now);
        }
        self.may_have_run |= failure.may_have_run;
        self.last_failure = Some(failure);
    }

    /// Like `may_resend_after`, for a response that was truncated before any of it was passed on.
    pub(super) fn may_resend_after_truncation(
        &mut self,
        failure: SendFailure,
        now: ClockTime,
    ) -> bool {
        self.may_have_run = true;
        self.last_failure = Some(failure);
        self.claim_resend(ResendReason::ResponseTruncated, now)
            .is_ok()
    }

    /// Returns whether the request may be sent again after an error response of a backend server,
    /// and takes the send from the retry budget.
    ///
    /// A request that failed at one backend server fails at the next one no more often than any
    /// other. Where one stock check in seven failed and the error was passed on, clients repeated
    /// the call one round trip later, and one call in fifty was lost.
    pub(super) fn may_resend_after_error(&mut self, now: ClockTime) -> bool {
        self.may_have_run = true;
        self.claim_resend(ResendReason::ErrorResponse, now).is_ok()
    }

    fn allows_resend(&mut self, has_arrived: bool, may_have_run: bool, now: ClockTime) -> bool {
        if !has_arrived {
            let is_open = !self.may_have_run || self.may_resend(now);
            let has_wait_left = !self.client_wait_left(now).is_zero();
            let is_allowed = self.unsent < UNSENT_MAX && is_open && has_wait_left;
            if is_allowed {
                let service = &self.job.routed.service;
                self.gateway.note_free_resend(service, now);
            }
            return is_allowed;
        }
        let (is_allowed, reason) = if may_have_run {
            (self.may_resend(now), ResendReason::NoResponse)
        } else {
            (self.has_attempts_left(now), ResendReason::NotRun)
        };
        is_allowed && self.try_charge(reason, now)
    }

    /// Returns the error for a quarantined request, or `None` if the request is not quarantined.
    pub(super) fn quarantine_error(&self, now: ClockTime) -> Option<SwitchError> {
        let (suspect, left) = self.gateway.quarantine(&self.job, now)?;
        let detail = format!("request={} depth={}", suspect.digest, suspect.depth);
        Some(if self.may_have_run {
            outcome_unknown(detail)
        } else {
            SwitchError::new(ErrorKind::RequestQuarantined, detail).with_retry_after(left)
        })
    }

    /// Returns the error for a request that no backend server answered.
    pub(super) fn final_error(&self, refusal: Option<PickRefusal>) -> SwitchError {
        let now = clock_now();
        let detail = match &self.last_failure {
            Some(failure) => failure.detail.clone(),
            None => format!("{refusal:?}"),
        };
        if self.may_have_run {
            if self.job.time_left(now).is_zero() {
                return SwitchError::new(ErrorKind::DeadlinePassed, detail);
            }
            return outcome_unknown(detail);
        }
        let kind = match (refusal, &self.last_failure) {
            (Some(refusal), _) => refusal.kind(),
            (None, Some(failure)) => failure.kind,
            (None, None) => ErrorKind::NoBackend,
        };
        let delay = match refusal {
            Some(PickRefusal::AllPaused { until }) => {
                retry_delay_after(until.since(now), rand::random())
            }
            _ => retry_delay(rand::random()),
        };
        SwitchError::new(kind, detail)
            .with_outcome(RunOutcome::NotRun)
            .with_retry_after(delay)
    }

    /// Returns how long to wait for the response head of the next send, if the request is cancelled
    /// at `cancel_at`.
    pub(super) fn head_wait(&self, cancel_at: Option<ClockTime>, now: ClockTime) -> HeadWait {
        let wait = HeadWait {
            until: now + self.client_wait_left(now),
            begin_by: self.begin_by(),
            timeout_end: CallOutcome::Failed,
        };
        wait.cancelled_by(cancel_at)
    }
}

/// Returns when to notify a client that there will be no further event, if it got the last one at
/// `since`. For a request without a stream this is its deadline.
///
/// Clients close their connection if a stream brings no event for too long. Backend servers would
/// then still work on the request for no client, and the client would get no explanation. A symptom
/// is clients that leave after the same time while hosts are paused. They are notified slightly
/// earlier, and can retry.
fn client_notice_at(job: &RequestJob, since: ClockTime) -> ClockTime {
    if job.retry_policy().is_stream() {
        job.client_timeout_at(since) - CLIENT_NOTICE_MARGIN
    } else {
        job.deadline
    }
}
