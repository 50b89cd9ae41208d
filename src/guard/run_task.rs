//! One order, from its arrival to the last frame of its answer.

use std::sync::Arc;
use std::time::Duration;

use super::answer_buffer::{AnswerBuffer, is_last};
use super::attempt_book::AttemptState;
use super::backend_run::{RunEnd, SecondTry, run_forward, run_generate};
use super::part_sink::{AttemptWriter, PartSink, broken_part, refused_part};
use super::serving_gate::ServingPass;
use super::shared::{BackendServer, GuardShared, GuardState, PlaceGuard, refusal};
use crate::daemon::RequestGuard;
use crate::delivery::{RunCall, RunOrder, RunPart};
use crate::engines::{EngineCall, PlainCall};
use crate::errors::{ErrorKind, SwitchError, SwitchResult};
use crate::metrics::count_refusal;
use crate::time::{ClockTime, clock_now};

/// The stage that refusals are counted under.
const STAGE: &str = "guard";
/// How long an unrepeatable call that was handed over may take. It is let to finish whoever leaves,
/// so its request's deadline does not bound it.
const KEPT_RUN_WITHIN: Duration = Duration::from_mins(10);

/// Carries out one order.
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
    let run = run_kept(Arc::clone(&shared), order, deadline, Arc::clone(&buffer));
    tokio::spawn(async move {
        run.await;
        drop(live);
    });
    if relay_buffer(&shared, &buffer, &writer).await.is_err() {
        shared.lock().attempts.withdraw(attempt);
    }
}

/// Runs a call whose answer goes straight to the entry host, and that ends when it leaves.
async fn run_live(
    shared: &Arc<GuardShared>,
    order: RunOrder,
    deadline: ClockTime,
    writer: AttemptWriter,
) {
    let attempt = order.attempt;
    let sink = PartSink::Live(writer.clone());
    shared.lock().second_tries.earn();
    let is_wanted = |state: &GuardState| state.attempts.is_waiting(attempt);
    let place = writer
        .wait_for(shared.take_place(order.priority, deadline, is_wanted))
        .await;
    let last = match place {
        Ok(Ok(place)) => start_and_run(shared, order, deadline, &sink, place).await,
        Ok(Err(error)) | Err(error) => not_run(shared, &order, &error),
    };
    // An entry host that has left asks for what became of its attempt.
    let _ = writer.send(with_load(shared, last)).await;
}

/// Runs an unrepeatable call: once for its attempt, whoever leaves.
async fn run_kept(
    shared: Arc<GuardShared>,
    order: RunOrder,
    deadline: ClockTime,
    buffer: Arc<AnswerBuffer>,
) {
    let attempt = order.attempt;
    let sink = PartSink::Kept(Arc::clone(&buffer));
    let is_wanted = |state: &GuardState| state.attempts.is_waiting(attempt);
    let place = shared.take_place(order.priority, deadline, is_wanted).await;
    let last = match place {
        Ok(place) => start_and_run(&shared, order, deadline, &sink, place).await,
        Err(error) => not_run(&shared, &order, &error),
    };
    // The last part always fits.
    let _ = buffer.push(last);
}

/// Starts the attempt, unless it was settled or withdrawn meanwhile, and runs it to its end.
async fn start_and_run(
    shared: &Arc<GuardShared>,
    order: RunOrder,
    deadline: ClockTime,
    sink: &PartSink,
    place: PlaceGuard,
) -> RunPart {
    let pass = match enter_gate(shared, &order.call) {
        Ok(pass) => pass,
        Err(error) => return not_run(shared, &order, &error),
    };
    if !shared.lock().attempts.start(order.attempt) {
        let error = refusal(ErrorKind::CallerGone, "it was given up in the queue");
        return not_run(shared, &order, &error);
    }
    let attempt = order.attempt;
    let end = call_backend(shared, order, pass.as_ref(), deadline, sink).await;
    drop(place);
    let (state, last) = match end {
        RunEnd::Ran(last) => (AttemptState::Ran, last),
        RunEnd::NotRun(error) => (AttemptState::NotRun, refused(&error)),
        RunEnd::NotKnown(error) => (AttemptState::NotKnown, broken_part(&error)),
    };
    shared.end_attempt(attempt, state);
    last
}

/// Hands the order's call to the backend server.
async fn call_backend(
    shared: &Arc<GuardShared>,
    order: RunOrder,
    pass: Option<&ServingPass>,
    deadline: ClockTime,
    sink: &PartSink,
) -> RunEnd {
    let first_within = match sink {
        PartSink::Live(_) => deadline.since(clock_now()),
        PartSink::Kept(_) => KEPT_RUN_WITHIN,
    };
    match (&shared.backend, order.call, pass) {
        (
            BackendServer::Model(engine),
            RunCall::Generate {
                prompt,
                max_tokens,
                resume_from,
                ..
            },
            Some(pass),
        ) => {
            let call = EngineCall {
                // Each attempt has its own name: an engine that still runs an earlier attempt of
                // the same request would mix the two answers under one.
                request: order.attempt.0.to_string().into(),
                prompt,
                max_tokens,
                resume_from,
                priority: order.priority,
            };
            run_generate(engine, pass, call, first_within, sink).await
        }
        (
            BackendServer::Plain(service),
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
                head_within: first_within,
            };
            let may_try = || shared.lock().second_tries.take();
            let second_try = match sink {
                PartSink::Live(_) => SecondTry::IfSilent(&may_try),
                PartSink::Kept(_) => SecondTry::Never,
            };
            run_forward(service, call, second_try, sink).await
        }
        _ => RunEnd::NotRun(refusal(
            ErrorKind::BadRequest,
            "the call does not fit the service's kind",
        )),
    }
}

/// The pass for a model's version; plain services need none.
fn enter_gate(shared: &GuardShared, call: &RunCall) -> SwitchResult<Option<ServingPass>> {
    match call {
        RunCall::Generate { resume_version, .. } => {
            shared.gate.enter(resume_version.as_ref()).map(Some)
        }
        RunCall::Forward { .. } => Ok(None),
    }
}

/// Passes a kept answer on, from its beginning to its end. Fails when the entry host has left.
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

/// Counts a refusal and gives its frame.
fn refused(error: &SwitchError) -> RunPart {
    count_refusal(error.kind, STAGE);
    refused_part(error)
}

/// Fills in how busy this host is now.
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
