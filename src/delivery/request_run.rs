//! Carries one request out: places it, runs its attempts as the plan decides, feeds its caller.

use tokio::time::sleep;

use super::answer_check::CheckedPart;
use super::attempt_plan::{AttemptPlan, NextStep, PlanTraits};
use super::events;
use super::host_call::{HostCaller, RunStream};
use super::messages::{AttemptId, RunCall, RunOrder, SettleOrder};
use super::placed_attempt::PlacedAttempt;
use super::request_job::{CallerPart, CallerSink, RequestJob};
use super::service_desk::{AdmissionPass, PlaceWish};
use crate::admission::RetryCause;
use crate::documents::RequestPriority;
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::membership::{LoadReport, ServingVersion};
use crate::metrics;
use crate::routing::{BackendKey, PickTarget, PickWish, PickedBackend};
use crate::time::{ClockTime, clock_now};

/// One request under way.
pub(crate) struct RequestRun {
    job: RequestJob,
    pass: AdmissionPass,
    hosts: HostCaller,
    sink: CallerSink,
    plan: AttemptPlan,
    avoid: Option<BackendKey>,
    /// Whether the newest attempt has been started by its host.
    has_started: bool,
    /// The version that it runs on.
    serving: Option<ServingVersion>,
    has_told_start: bool,
}

/// How an attempt ended.
enum AttemptEnd {
    /// The caller has the whole answer.
    Whole,
    /// The caller has left.
    CallerGone,
    /// It failed.
    Failed(SwitchError),
}

impl RequestRun {
    /// A run of `job` that feeds `sink`.
    pub(crate) fn new(
        job: RequestJob,
        pass: AdmissionPass,
        hosts: HostCaller,
        sink: CallerSink,
    ) -> Self {
        let traits = PlanTraits {
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
            plan: AttemptPlan::new(traits),
            avoid: None,
            has_started: false,
            serving: None,
            has_told_start: false,
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
            log_event!(events::OUTCOME_NOT_KNOWN, "{failure}");
        }
        // A caller that has left does not mind.
        let _ = self.sink.send(CallerPart::Failed(failure)).await;
    }

    /// Places and runs one attempt. `Err(None)`: another attempt is due.
    async fn run_attempt(&mut self) -> Result<(), Option<SwitchError>> {
        let wish = self.place_wish();
        let asked = clock_now();
        let placing = self.pass.place(&wish);
        let placed = tokio::select! {
            placed = placing => placed.map_err(|error| Some(refused(error)))?,
            () = self.sink.closed() => return Ok(()),
        };
        metrics::record_seconds("placing", clock_now().since(asked).as_secs_f64());
        let picked = placed.picked().clone();
        let order = self.order(&picked);
        self.plan.begin_attempt();
        self.has_started = false;
        self.serving = None;
        match self.carry_out(&order, placed).await {
            AttemptEnd::Whole | AttemptEnd::CallerGone => Ok(()),
            AttemptEnd::Failed(error) => Err(self.follow(error, &order, &picked).await),
        }
    }

    fn place_wish(&self) -> PlaceWish {
        let pick = self.pick_wish();
        let is_retry = self.plan.attempts() > 0;
        PlaceWish {
            pick,
            priority: self.job.priority,
            cost: self.job.cost(),
            skips_fair_queue: is_retry || pick.target != PickTarget::Any,
            limit: self.plan.limit(),
        }
    }

    fn pick_wish(&self) -> PickWish {
        let target = match self.plan.resume_version() {
            Some(version) => PickTarget::Version(version),
            None => PickTarget::Any,
        };
        PickWish {
            target,
            urgent: self.job.priority == RequestPriority::Urgent,
            prefix: self.job.prefix(),
            avoid: self.avoid,
        }
    }

    fn order(&self, picked: &PickedBackend) -> RunOrder {
        let job = &self.job;
        let left = self.plan.limit().since(clock_now());
        RunOrder {
            attempt: AttemptId::fresh(),
            request: job.request.clone(),
            incarnation: picked.incarnation,
            service: job.service.document.service.clone(),
            account: job.account.clone(),
            priority: job.priority,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            repeatable: job.repeatable,
            call: self.call_now(),
        }
    }

    /// The call, going on behind what the caller has.
    fn call_now(&self) -> RunCall {
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

    async fn carry_out(&mut self, order: &RunOrder, placed: PlacedAttempt) -> AttemptEnd {
        let peer = placed.picked().peer;
        let hosts = self.hosts.clone();
        let ended = tokio::select! {
            opened = hosts.run(peer, order) => match opened {
                Ok(stream) => self.pass_on(stream).await,
                Err(error) => Err(error),
            },
            () = self.sink.closed() => Err(caller_gone()),
        };
        let now = clock_now();
        match ended {
            Ok(load) => {
                placed.succeeded(load, now);
                AttemptEnd::Whole
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
        let first_limit = self.plan.attempt_limit(clock_now());
        loop {
            let has_part = self.plan.has_passed_on();
            let limit = if has_part {
                self.plan.limit()
            } else {
                first_limit
            };
            let left = limit.since(clock_now());
            let part = tokio::select! {
                part = stream.next() => part?,
                () = self.sink.closed() => return Err(caller_gone()),
                () = sleep(left) => return Err(self.too_late(limit)),
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
                self.tell_start().await?;
                self.plan.note_head();
                self.send(CallerPart::Head(head)).await?;
            }
            CheckedPart::Token(text) => {
                self.tell_start().await?;
                self.plan.note_token();
                self.send(CallerPart::Token(text)).await?;
            }
            CheckedPart::Body(bytes) => self.send(CallerPart::Body(bytes.into())).await?,
            CheckedPart::Whole { reason, load } => {
                self.tell_start().await?;
                self.send(CallerPart::Whole { reason }).await?;
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
    async fn tell_start(&mut self) -> SwitchResult<()> {
        if self.has_told_start {
            return Ok(());
        }
        self.has_told_start = true;
        let serving = self.serving.take();
        self.send(CallerPart::Started(serving)).await
    }

    async fn send(&self, part: CallerPart) -> SwitchResult<()> {
        self.sink.send(part).await.map_err(|_| caller_gone())
    }

    /// Follows a failed attempt; returns the error that the caller gets, if it was the last.
    async fn follow(
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
            NextStep::Settle => self.settle(error, order, picked).await,
            step => step,
        };
        let wait = match step {
            NextStep::Retry { wait } => wait,
            NextStep::GiveUp(error) => return Some(error),
            NextStep::Settle => return Some(self.plan.conclude(settled_twice())),
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

    async fn settle(
        &mut self,
        error: SwitchError,
        order: &RunOrder,
        picked: &PickedBackend,
    ) -> NextStep {
        let question = SettleOrder {
            attempt: order.attempt,
            incarnation: order.incarnation,
        };
        let reply = self.hosts.settle(picked.peer, &question).await;
        self.plan
            .after_settling(error, reply.as_ref(), clock_now(), rand::random())
    }

    fn too_late(&self, limit: ClockTime) -> SwitchError {
        if limit < self.plan.limit() {
            let detail = "the host is alive, but no answer came in the attempt's part of the time";
            // One that still waits at the host says nothing against it.
            let kind = if self.has_started {
                ErrorKind::PeerSilent
            } else {
                ErrorKind::DeadlinePassed
            };
            return SwitchError::new(kind, detail);
        }
        let detail = if self.plan.has_passed_on() {
            "the answer took longer than a stream may"
        } else {
            "no answer came by the deadline"
        };
        SwitchError::new(ErrorKind::DeadlinePassed, detail)
    }
}

fn caller_gone() -> SwitchError {
    SwitchError::new(ErrorKind::CallerGone, "the caller left")
}

fn settled_twice() -> SwitchError {
    SwitchError::new(ErrorKind::Internal, "an attempt was to be settled twice")
}

/// Counts a refusal for want of a backend server.
fn refused(error: SwitchError) -> SwitchError {
    metrics::count_refusal(error.kind, "routing");
    error
}
