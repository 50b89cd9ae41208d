//! Runs one order from its arrival to the last frame of its answer.

use std::sync::Arc;
use std::time::Duration;

use super::answer_buffer::{AnswerBuffer, is_last};
use super::attempt_ledger::AttemptState;
use super::backend_run::{HedgePolicy, RunEnd, run_forward, run_generate};
use super::part_sink::{AttemptWriter, PartSink, broken_part, refused_part};
use super::serving_gate::ServingPass;
use super::shared::{GuardShared, GuardState, LocalBackend, SlotGuard, refusal};
use crate::daemon::RequestGuard;
use crate::delivery::{RunCall, RunOrder, RunPart};
use crate::engines::{EngineCall, PlainCall};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics::count_refusal;
use crate::time::{ClockTime, clock_now};

/// The stage under which refusals are counted in the metrics.
const STAGE: &str = "guard";
/// Maximum duration of an unrepeatable call that was handed to the backend server. The call
/// continues when the caller disconnects, so the deadline of the request does not limit it.
const BUFFERED_RUN_MAX: Duration = Duration::from_mins(10);

/// Runs one order.
pub(super) async fn run_order(
    shared: Arc<GuardShared>,
    order: RunOrder,
    writer: AttemptWriter,
    live: RequestGuard,
) {
    let now = clock_now();
    let deadline = now + Duration::from_millis(order.deadline_ms);
    if let Err(error) = shared.admit(&order, now) {
        count_refusal(error.kind, STAGE);
        writer.refuse(&error).await;
        return;
    }
    if order.repeatable {
        run_live(&shared, order, deadline, writer).await;
        return;
    }
    let buffer = Arc::new(AnswerBuffer::default());
    let attempt = order.attempt;
    let run = run_buffered(Arc::clone(&shared), order, deadline, Arc::clone(&buffer));
    tokio::spawn(async move {
        run.await;
        drop(live);
    });
    if relay_buffer(&shared, &buffer, &writer).await.is_err() {
        shared.lock().attempts.withdraw(attempt);
    }
}

/// Runs a call whose answer goes directly to the entry host. The run ends when the entry host
/// disconnects.
async fn run_live(
    shared: &Arc<GuardShared>,
    order: RunOrder,
    deadline: ClockTime,
    writer: AttemptWriter,
) {
    let attempt = order.attempt;
    let sink = PartSink::Live(writer.clone());
    shared.lock().hedge_budget.record_call();
    let is_waiting = |state: &GuardState| state.attempts.is_waiting(attempt);
    let slot = writer
        .wait_for(shared.acquire_slot(order.priority, deadline, is_waiting))
        .await;
    let last = match slot {
        Ok(Ok(slot)) => start_and_run(shared, order, deadline, &sink, slot).await,
        Ok(Err(error)) | Err(error) => not_run(shared, &order, &error),
    };
    // If the send fails, the entry host has disconnected. It can query the outcome of its attempt.
    let _ = writer.send(with_load(shared, last)).await;
}

/// Runs an unrepeatable call at most once. The run continues when the entry host disconnects.
async fn run_buffered(
    shared: Arc<GuardShared>,
    order: RunOrder,
    deadline: ClockTime,
    buffer: Arc<AnswerBuffer>,
) {
    let attempt = order.attempt;
    let sink = PartSink::Buffered(Arc::clone(&buffer));
    let is_waiting = |state: &GuardState| state.attempts.is_waiting(attempt);
    let slot = shared
        .acquire_slot(order.priority, deadline, is_waiting)
        .await;
    let last = match slot {
        Ok(slot) => start_and_run(&shared, order, deadline, &sink, slot).await,
        Err(error) => not_run(&shared, &order, &error),
    };
    // The buffer stores the last part whatever its size.
    let _ = buffer.push(last);
}

/// Starts the attempt and runs it to its end, unless it was reported as not run or withdrawn in the
/// meantime.
async fn start_and_run(
    shared: &Arc<GuardShared>,
    order: RunOrder,
    deadline: ClockTime,
    sink: &PartSink,
    slot: SlotGuard,
) -> RunPart {
    let pass = match enter_gate(shared, &order.call) {
        Ok(pass) => pass,
        Err(error) => return not_run(shared, &order, &error),
    };
    if !shared.lock().attempts.start(order.attempt) {
        let error = refusal(
            ErrorKind::CallerGone,
            "the attempt was withdrawn while it was queued",
        );
        return not_run(shared, &order, &error);
    }
    let attempt = order.attempt;
    let end = call_backend(shared, order, pass.as_ref(), deadline, sink).await;
    drop(slot);
    let (state, last) = match end {
        RunEnd::Ran(last) => (AttemptState::Ran, last),
        RunEnd::NotRun(error) => (AttemptState::NotRun, refused(&error)),
        RunEnd::NotKnown(error) => (AttemptState::NotKnown, broken_part(&error)),
    };
    shared.end_attempt(attempt, state);
    last
}

/// Hands the call of the order to the backend server.
async fn call_backend(
    shared: &Arc<GuardShared>,
    order: RunOrder,
    pass: Option<&ServingPass>,
    deadline: ClockTime,
    sink: &PartSink,
) -> RunEnd {
    let first_within = match sink {
        PartSink::Live(_) => deadline.since(clock_now()),
        PartSink::Buffered(_) => BUFFERED_RUN_MAX,
    };
    match (&shared.backend, order.call, pass) {
        (
            LocalBackend::Model(engine),
            RunCall::Generate {
                prompt,
                max_tokens,
                resume_from,
                ..
            },
            Some(pass),
        ) => {
            let call = EngineCall {
                // The engine gets the id of the attempt: an engine that still runs an earlier
                // attempt at the same request would mix up the two answers under one id.
                request: order.attempt.0.to_string().into(),
                prompt,
                max_tokens,
                resume_from,
                priority: order.priority,
            };
            run_generate(engine, pass, call, first_within, sink).await
        }
        (
            LocalBackend::Plain(service),
            RunCall::Forward {
                method,
                path,
                headers,
                body,
            },
            _,
        ) => {
            let call = PlainCall {
                method,
                path,
                headers,
                body,
                head_timeout: first_within,
            };
            let may_hedge = || shared.lock().hedge_budget.try_spend();
            let hedge_policy = match sink {
                PartSink::Live(_) => HedgePolicy::IfSilent(&may_hedge),
                PartSink::Buffered(_) => HedgePolicy::Never,
            };
            run_forward(service, call, hedge_policy, sink).await
        }
        _ => RunEnd::NotRun(refusal(
            ErrorKind::BadRequest,
            "the call does not match the kind of the service",
        )),
    }
}

/// Returns the pass for the version that a model request runs on. Plain services need none.
fn enter_gate(shared: &GuardShared, call: &RunCall) -> SwitchResult<Option<ServingPass>> {
    match call {
        RunCall::Generate { resume_version, .. } => {
            shared.gate.enter(resume_version.as_ref()).map(Some)
        }
        RunCall::Forward { .. } => Ok(None),
    }
}

/// Passes a buffered answer on, from its beginning to its end. Fails when the entry host has
/// disconnected.
async fn relay_buffer(
    shared: &Arc<GuardShared>,
    buffer: &AnswerBuffer,
    writer: &AttemptWriter,
) -> SwitchResult<()> {
    let mut sent = 0;
    loop {
        let parts = writer.wait_for(buffer.read(sent)).await?;
        if parts.is_empty() {
            return Ok(());
        }
        sent += parts.len();
        for part in parts {
            let has_ended = is_last(&part);
            writer.send(with_load(shared, part)).await?;
            if has_ended {
                return Ok(());
            }
        }
    }
}

fn not_run(shared: &GuardShared, order: &RunOrder, error: &SwitchError) -> RunPart {
    shared.lock().attempts.withdraw(order.attempt);
    refused(error)
}

/// Counts a refusal and returns its part.
fn refused(error: &SwitchError) -> RunPart {
    count_refusal(error.kind, STAGE);
    refused_part(error)
}

/// Fills in the current load of this host if `part` ends the answer.
fn with_load(shared: &GuardShared, part: RunPart) -> RunPart {
    match part {
        RunPart::End { digest, reason, .. } => RunPart::End {
            digest,
            reason,
            load: shared.load(),
        },
        other => other,
    }
}
