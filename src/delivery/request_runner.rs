//! Carries one request out: places it, runs its attempts as the plan decides, feeds its caller.

use tokio::time::sleep;

use super::answer_check::CheckedPart;
use super::attempt_plan::{AttemptPlan, AttemptPolicy, NextStep};
use super::backend_slot::BackendSlot;
use super::events;
use super::host_client::{HostClient, RunStream};
use super::messages::{AttemptId, OutcomeQuery, RunCall, RunOrder};
use super::request_job::{CallerPart, CallerSink, RequestJob};
use super::service_dispatcher::{AdmissionPass, SlotRequest};
use crate::admission::RetryCause;
use crate::documents::RequestPriority;
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::membership::{LoadReport, ServingVersion};
use crate::metrics;
use crate::routing::{BackendKey, PickCriteria, PickTarget, PickedBackend};
use crate::time::{ClockTime, clock_now};

/// One request under way.
pub(crate) struct RequestRunner {
    job: RequestJob,
    pass: AdmissionPass,
    hosts: HostClient,
    sink: CallerSink,
    plan: AttemptPlan,
    avoid: Option<BackendKey>,
    /// Whether the newest attempt has been started by its host.
    has_started: bool,
    /// The version that it runs on.
    serving: Option<ServingVersion>,
    has_reported_start: bool,
}

/// How an attempt ended.
enum AttemptEnd {
    /// The caller has the whole answer.
    Complete,
    /// The caller has left.
    CallerGone,
    /// It failed.
    Failed(SwitchError),
}

impl RequestRunner {
    /// A run of `job` that feeds `sink`.
    pub(crate) fn new(
        job: RequestJob,
        pass: AdmissionPass,
        hosts: HostClient,
        sink: CallerSink,
    ) -> Self {
        let policy = AttemptPolicy {
            repeatable: job.repeatable,
            attempts_max: job.service.document.retry.attempts_max,
            deadline: job.deadline,
            stream_end: job.stream_end,
        };
        Self {
            job,
            pass,
            hosts,
            sink,
            plan: AttemptPlan::new(policy),
            avoid: None,
            has_started: false,
            serving: None,
            has_reported_start: false,
        }
    }

    /// Runs the request to its end. The last part that the sink gets says how it ended.
    pub(crate) async fn run(mut self) {
        let failure = loop {
            match self.run_attempt().await {
                Ok(()) => return,
                Err(Some(error)) => break error,
                Err(None) => {}
            }
        };
        let failure = self.plan.conclude(failure);
        if failure.run_outcome() == RunOutcome::NotKnown && !self.job.repeatable {
            log_event!(events::OUTCOME_UNKNOWN, "{failure}");
        }
        // A caller that has left does not mind.
        let _ = self.sink.send(CallerPart::Failed(failure)).await;
    }

    /// Places and runs one attempt. `Err(None)`: another attempt is due.
    async fn run_attempt(&mut self) -> Result<(), Option<SwitchError>> {
        let request = self.slot_request();
        let asked = clock_now();
        let placing = self.pass.place(&request);
        let placed = tokio::select! {
            placed = placing => placed.map_err(|error| Some(count_routing_refusal(error)))?,
            () = self.sink.closed() => return Ok(()),
        };
        metrics::record_seconds("placing", clock_now().since(asked).as_secs_f64());
        let picked = placed.picked().clone();
        let order = self.order(&picked);
        self.plan.begin_attempt();
        self.has_started = false;
        self.serving = None;
        match self.carry_out(&order, placed).await {
            AttemptEnd::Complete | AttemptEnd::CallerGone => Ok(()),
            AttemptEnd::Failed(error) => Err(self.follow_failure(error, &order, &picked).await),
        }
    }

    fn slot_request(&self) -> SlotRequest {
        let pick = self.pick_criteria();
        let is_retry = self.plan.attempts() > 0;
        SlotRequest {
            pick,
            priority: self.job.priority,
            cost: self.job.cost(),
            skips_fair_queue: is_retry || pick.target != PickTarget::Any,
            time_limit: self.plan.time_limit(),
        }
    }

    fn pick_criteria(&self) -> PickCriteria {
        let target = match self.plan.resume_version() {
            Some(version) => PickTarget::Version(version),
            None => PickTarget::Any,
        };
        PickCriteria {
            target,
            urgent: self.job.priority == RequestPriority::Urgent,
            prefix: self.job.prefix(),
            avoid: self.avoid,
        }
    }

    fn order(&self, picked: &PickedBackend) -> RunOrder {
        let job = &self.job;
        let left = self.plan.time_limit().since(clock_now());
        RunOrder {
            attempt: AttemptId::fresh(),
            request: job.request.clone(),
            incarnation: picked.incarnation,
            service: job.service.document.service.clone(),
            account: job.account.clone(),
            priority: job.priority,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            repeatable: job.repeatable,
            call: self.current_call(),
        }
    }

    /// The call, going on behind what the caller has.
    fn current_call(&self) -> RunCall {
        match self.job.call.clone() {
            RunCall::Generate {
                prompt, max_tokens, ..
            } => RunCall::Generate {
                prompt,
                max_tokens,
                resume_from: self.plan.tokens(),
                resume_version: self.plan.resume_version(),
            },
            forward @ RunCall::Forward { .. } => forward,
        }
    }

    async fn carry_out(&mut self, order: &RunOrder, placed: BackendSlot) -> AttemptEnd {
        let peer = placed.picked().peer;
        let hosts = self.hosts.clone();
        let ended = tokio::select! {
            opened = hosts.run(peer, order) => match opened {
                Ok(stream) => self.pass_on(stream).await,
                Err(error) => Err(error),
            },
            () = self.sink.closed() => Err(caller_left()),
        };
        let now = clock_now();
        match ended {
            Ok(load) => {
                placed.succeeded(load, now);
                AttemptEnd::Complete
            }
            Err(error) if error.kind == ErrorKind::CallerGone => AttemptEnd::CallerGone,
            Err(error) => {
                placed.failed(error.kind, now);
                AttemptEnd::Failed(error)
            }
        }
    }

    /// Passes an attempt's answer on to the caller. Returning drops the stream: when the caller has
    /// left or the time is over, the host learns of it by that.
    async fn pass_on(&mut self, mut stream: RunStream) -> SwitchResult<LoadReport> {
        let first_limit = self.plan.attempt_time_limit(clock_now());
        loop {
            let has_part = self.plan.has_delivered_part();
            let time_limit = if has_part {
                self.plan.time_limit()
            } else {
                first_limit
            };
            let left = time_limit.since(clock_now());
            let part = tokio::select! {
                part = stream.next() => part?,
                () = self.sink.closed() => return Err(caller_left()),
                () = sleep(left) => return Err(self.timeout_error(time_limit)),
            };
            if let Some(load) = self.take_part(part).await? {
                return Ok(load);
            }
        }
    }

    /// Passes one part on; returns the load report that came with the last.
    async fn take_part(&mut self, part: CheckedPart) -> SwitchResult<Option<LoadReport>> {
        match part {
            CheckedPart::Alive | CheckedPart::Foreign => {}
            CheckedPart::Started(serving) => self.take_start(serving)?,
            CheckedPart::Head(head) => {
                self.report_start().await?;
                self.plan.note_head();
                self.send(CallerPart::Head(head)).await?;
            }
            CheckedPart::Token(text) => {
                self.report_start().await?;
                self.plan.note_token();
                self.send(CallerPart::Token(text)).await?;
            }
            CheckedPart::Body(bytes) => self.send(CallerPart::Body(bytes.into())).await?,
            CheckedPart::Complete { reason, load } => {
                self.report_start().await?;
                self.send(CallerPart::Complete { reason }).await?;
                return Ok(Some(load));
            }
        }
        Ok(None)
    }

    fn take_start(&mut self, serving: Option<ServingVersion>) -> SwitchResult<()> {
        self.has_started = true;
        let digest = serving.as_ref().map(|serving| serving.digest);
        let wanted = self.plan.resume_version();
        if wanted.is_some() && wanted != digest {
            let detail = "the host went on with another version";
            return Err(SwitchError::new(ErrorKind::AnswerDamaged, detail));
        }
        self.plan.note_version(digest);
        self.serving = serving;
        Ok(())
    }

    /// Tells the caller which version answers, before the first part of the answer and not before:
    /// an attempt that fails without one may be followed by another on another version, or by a
    /// plain refusal.
    async fn report_start(&mut self) -> SwitchResult<()> {
        if self.has_reported_start {
            return Ok(());
        }
        self.has_reported_start = true;
        let serving = self.serving.take();
        self.send(CallerPart::Started(serving)).await
    }

    async fn send(&self, part: CallerPart) -> SwitchResult<()> {
        self.sink.send(part).await.map_err(|_| caller_left())
    }

    /// Follows a failed attempt; returns the error that the caller gets, if it was the last.
    async fn follow_failure(
        &mut self,
        error: SwitchError,
        order: &RunOrder,
        picked: &PickedBackend,
    ) -> Option<SwitchError> {
        let reason = error.kind;
        let step = self
            .plan
            .after_failure(error.clone(), clock_now(), rand::random());
        let step = match step {
            NextStep::QueryOutcome => self.query_outcome(error, order, picked).await,
            step => step,
        };
        let wait = match step {
            NextStep::Retry { wait } => wait,
            NextStep::GiveUp(error) => return Some(error),
            NextStep::QueryOutcome => return Some(self.plan.conclude(second_query_error())),
        };
        let cause = if self.has_started {
            RetryCause::Interrupted
        } else {
            RetryCause::Refused
        };
        if !self.pass.spend_retry(cause) {
            let detail = format!("no retry is left after: {reason:?}");
            let error = SwitchError::new(ErrorKind::RetryBudgetSpent, detail);
            return Some(self.plan.conclude(error));
        }
        metrics::count_retry(reason);
        self.avoid = Some(picked.key);
        sleep(wait).await;
        None
    }

    async fn query_outcome(
        &mut self,
        error: SwitchError,
        order: &RunOrder,
        picked: &PickedBackend,
    ) -> NextStep {
        let question = OutcomeQuery {
            attempt: order.attempt,
            incarnation: order.incarnation,
        };
        let reply = self.hosts.query_outcome(picked.peer, &question).await;
        self.plan
            .after_outcome_reply(error, reply.as_ref(), clock_now(), rand::random())
    }

    fn timeout_error(&self, time_limit: ClockTime) -> SwitchError {
        if time_limit < self.plan.time_limit() {
            let detail = "the host is alive, but no answer came in the attempt's part of the time";
            // One that still waits at the host says nothing against it.
            let kind = if self.has_started {
                ErrorKind::PeerSilent
            } else {
                ErrorKind::DeadlinePassed
            };
            return SwitchError::new(kind, detail);
        }
        let detail = if self.plan.has_delivered_part() {
            "the answer took longer than a stream may"
        } else {
            "no answer came by the deadline"
        };
        SwitchError::new(ErrorKind::DeadlinePassed, detail)
    }
}

fn caller_left() -> SwitchError {
    SwitchError::new(ErrorKind::CallerGone, "the caller left")
}

fn second_query_error() -> SwitchError {
    SwitchError::new(ErrorKind::Internal, "an attempt was to be settled twice")
}

/// Counts a refusal for want of a backend server.
fn count_routing_refusal(error: SwitchError) -> SwitchError {
    metrics::count_refusal(error.kind, "routing");
    error
}
