//! Runs one request: acquires a slot at a backend server, runs the attempts that the plan allows,
//! and passes the answer on to the caller.

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

/// Runs one request to its end.
pub(crate) struct RequestRunner {
    job: RequestJob,
    pass: AdmissionPass,
    hosts: HostClient,
    sink: CallerSink,
    plan: AttemptPlan,
    avoid: Option<BackendKey>,
    /// Whether the host has started the newest attempt.
    has_started: bool,
    /// The version that the newest attempt runs on.
    serving: Option<ServingVersion>,
    has_reported_start: bool,
}

/// How an attempt ended.
enum AttemptEnd {
    /// The caller has received the complete answer.
    Complete,
    /// The caller has disconnected.
    CallerGone,
    /// The attempt failed.
    Failed(SwitchError),
}

impl RequestRunner {
    /// Creates a runner that sends the answer of `job` to `sink`.
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

    /// Runs the request to its end. The last part sent to the sink reports how the request ended.
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
        // The send fails only if the caller has disconnected.
        let _ = self.sink.send(CallerPart::Failed(failure)).await;
    }

    /// Acquires a slot and runs one attempt. `Err(None)` means that another attempt has to follow.
    async fn run_attempt(&mut self) -> Result<(), Option<SwitchError>> {
        let request = self.slot_request();
        let wait_start = clock_now();
        let slot_wait = self.pass.acquire_slot(&request);
        let slot = tokio::select! {
            slot = slot_wait => slot.map_err(|error| Some(count_routing_refusal(error)))?,
            () = self.sink.closed() => return Ok(()),
        };
        metrics::record_seconds("placing", clock_now().since(wait_start).as_secs_f64());
        let picked = slot.picked().clone();
        let order = self.run_order(&picked);
        self.plan.begin_attempt();
        self.has_started = false;
        self.serving = None;
        match self.execute(&order, slot).await {
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

    fn run_order(&self, picked: &PickedBackend) -> RunOrder {
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

    /// Returns the call for the next attempt, resumed after the tokens that the caller has
    /// received.
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

    async fn execute(&mut self, order: &RunOrder, slot: BackendSlot) -> AttemptEnd {
        let peer = slot.picked().peer;
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
                slot.succeeded(load, now);
                AttemptEnd::Complete
            }
            Err(error) if error.kind == ErrorKind::CallerGone => AttemptEnd::CallerGone,
            Err(error) => {
                slot.failed(error.kind, now);
                AttemptEnd::Failed(error)
            }
        }
    }

    /// Passes the answer of an attempt on to the caller. The stream is dropped on return, which
    /// cancels the attempt at the host if the caller has disconnected or the time limit has passed.
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
            if let Some(load) = self.handle_part(part).await? {
                return Ok(load);
            }
        }
    }

    /// Passes one part on to the caller. Returns the load report that the last part carries.
    async fn handle_part(&mut self, part: CheckedPart) -> SwitchResult<Option<LoadReport>> {
        match part {
            CheckedPart::Alive | CheckedPart::Foreign => {}
            CheckedPart::Started(serving) => self.handle_start(serving)?,
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

    fn handle_start(&mut self, serving: Option<ServingVersion>) -> SwitchResult<()> {
        self.has_started = true;
        let digest = serving.as_ref().map(|serving| serving.digest);
        let required = self.plan.resume_version();
        if required.is_some() && required != digest {
            let detail = "the host resumed the answer with another version";
            return Err(SwitchError::new(ErrorKind::AnswerDamaged, detail));
        }
        self.plan.note_version(digest);
        self.serving = serving;
        Ok(())
    }

    /// Reports the version to the caller, together with the first part of the answer and not
    /// earlier: an attempt that fails without any part may be followed by an attempt on another
    /// version, or by a refusal.
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

    /// Takes the next step after a failed attempt. Returns the error for the caller if no attempt
    /// follows, and otherwise waits until the next attempt is due.
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
            let detail =
                format!("the retry budget is spent; the last attempt failed with {reason:?}");
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
        let query = OutcomeQuery {
            attempt: order.attempt,
            incarnation: order.incarnation,
        };
        let reply = self.hosts.query_outcome(picked.peer, &query).await;
        self.plan
            .after_outcome_reply(error, reply.as_ref(), clock_now(), rand::random())
    }

    fn timeout_error(&self, time_limit: ClockTime) -> SwitchError {
        if time_limit < self.plan.time_limit() {
            let detail = "the host is alive, but the attempt got no answer within its time limit";
            // An attempt that was still queued at the host does not count against the backend
            // server.
            let kind = if self.has_started {
                ErrorKind::PeerSilent
            } else {
                ErrorKind::DeadlinePassed
            };
            return SwitchError::new(kind, detail);
        }
        let detail = if self.plan.has_delivered_part() {
            "the answer exceeded the maximum duration of a stream"
        } else {
            "no answer arrived before the deadline"
        };
        SwitchError::new(ErrorKind::DeadlinePassed, detail)
    }
}

fn caller_left() -> SwitchError {
    SwitchError::new(ErrorKind::CallerGone, "the caller disconnected")
}

fn second_query_error() -> SwitchError {
    SwitchError::new(
        ErrorKind::Internal,
        "the outcome of an attempt was to be queried twice",
    )
}

/// Counts a refusal at the placement: the queue was full or no backend server was available in
/// time.
fn count_routing_refusal(error: SwitchError) -> SwitchError {
    metrics::count_refusal(error.kind, "routing");
    error
}
