//! Hands one call to the backend server, checks its answer and passes it on.

use std::sync::Arc;
use std::time::Duration;

use bytestring::ByteString;
use futures::StreamExt;
use macro_rules_attribute::apply;
use tokio::time::timeout;

use super::events;
use super::part_sink::PartSink;
use super::serving_gate::ServingPass;
use crate::delivery::{AnswerDigest, RunPart};
use crate::derives::plain;
use crate::engines::{
    EngineAdapter, EngineCall, EnginePart, EngineStream, PlainAdapter, PlainAnswer, PlainCall,
};
use crate::errors::{ErrorKind, RunOutcome, SwitchError, SwitchResult};
use crate::events::log_event;
use crate::membership::LoadReport;
use crate::metrics::{count_event, count_retry};

/// Maximum time between two parts of a plain service's answer.
const BODY_PART_TIMEOUT: Duration = Duration::from_secs(30);
/// A call without a response after its time limit divided by this is sent again on a second
/// connection.
const HEDGE_DELAY_DIVISOR: u32 = 3;

/// The outcome of a call.
#[apply(plain!)]
pub(super) enum RunEnd {
    /// The call ran and its answer was passed on, except for this last part, which still has to be
    /// sent.
    Ran(RunPart),
    /// The call did not run and will never run.
    NotRun(SwitchError),
    /// The call may have run.
    NotKnown(SwitchError),
}

/// Runs `call` at `engine`. `first_within` limits the wait for the first token.
pub(super) async fn run_generate(
    engine: &Arc<dyn EngineAdapter>,
    pass: &ServingPass,
    call: EngineCall,
    first_within: Duration,
    sink: &PartSink,
) -> RunEnd {
    let request = call.request.clone();
    let next_index = call.resume_from;
    let opened = match sink.wait_for(engine.generate(call)).await {
        Ok(opened) => opened,
        Err(error) => Err(error),
    };
    let stream = match opened {
        Ok(stream) => stream,
        Err(error) => return start_failure(error),
    };
    let mut relay = TokenRelay {
        request,
        next_index,
        hasher: blake3::Hasher::new(),
        sink,
    };
    let serving = Some(pass.serving().clone());
    let outcome = match sink.send(RunPart::Started { serving }).await {
        Ok(()) => relay.pass_on(stream, first_within).await,
        Err(error) => Err(error),
    };
    match outcome {
        Ok(end) => RunEnd::Ran(end),
        Err(error) => {
            // The caller has disconnected or gets an error: stop the engine's work.
            if let Err(fault) = engine.cancel(&relay.request).await {
                log_event!(events::CANCEL_FAILED, "{fault}");
            }
            RunEnd::NotKnown(error)
        }
    }
}

fn start_failure(error: SwitchError) -> RunEnd {
    let did_not_run = matches!(
        error.kind,
        ErrorKind::EngineRefused | ErrorKind::ConnectFailed | ErrorKind::BadRequest
    );
    if did_not_run {
        RunEnd::NotRun(error.with_outcome(RunOutcome::NotRun))
    } else {
        RunEnd::NotKnown(error)
    }
}

/// Passes an engine's tokens on. Checks that each belongs to this request and follows the previous
/// one.
struct TokenRelay<'a> {
    request: ByteString,
    next_index: u32,
    hasher: blake3::Hasher,
    sink: &'a PartSink,
}

impl TokenRelay<'_> {
    async fn pass_on(
        &mut self,
        mut stream: EngineStream,
        first_within: Duration,
    ) -> SwitchResult<RunPart> {
        let mut is_first = true;
        loop {
            let next = if is_first {
                self.sink
                    .wait_for(timeout(first_within, stream.next()))
                    .await?
            } else {
                Ok(self.sink.wait_for(stream.next()).await?)
            };
            let Ok(next) = next else {
                let detail = "the engine sent no token before the deadline";
                return Err(SwitchError::new(ErrorKind::DeadlinePassed, detail));
            };
            let Some(part) = next else {
                let detail = "the engine's answer was truncated: its last part is missing";
                return Err(SwitchError::new(ErrorKind::EngineFailed, detail));
            };
            if let Some(end) = self.take(part?).await? {
                return Ok(end);
            }
            is_first = false;
        }
    }

    /// Checks one part and passes it on. Returns the last part of the answer when the engine has
    /// finished.
    async fn take(&mut self, part: EnginePart) -> SwitchResult<Option<RunPart>> {
        match part {
            EnginePart::Token { request, .. } | EnginePart::Finish { request, .. }
                if request != self.request =>
            {
                // An engine that mixes up its streams would show a caller the answer of another.
                // Only parts that carry the id of this request are passed on. A token lost by such
                // a mix-up is detected as a gap.
                count_event("engine_parts_crossed", 1);
                log_event!(events::ENGINE_CROSSED, "{request} in {}", self.request);
                Ok(None)
            }
            EnginePart::Token { index, .. } if index < self.next_index => {
                count_event("engine_tokens_doubled", 1);
                Ok(None)
            }
            EnginePart::Token { index, .. } if index > self.next_index => {
                let detail = format!("token {index} arrived, expected token {}", self.next_index);
                Err(SwitchError::new(ErrorKind::AnswerDamaged, detail))
            }
            EnginePart::Token { index, text, .. } => {
                self.hasher.update(text.as_bytes());
                self.next_index = index + 1;
                self.sink.send(RunPart::Token { index, text }).await?;
                Ok(None)
            }
            EnginePart::Finish { tokens, .. } if tokens != self.next_index => {
                let detail = format!(
                    "the engine reported {tokens} tokens, {} arrived",
                    self.next_index
                );
                Err(SwitchError::new(ErrorKind::AnswerDamaged, detail))
            }
            EnginePart::Finish { reason, .. } => Ok(Some(end_part(&self.hasher, reason))),
        }
    }
}

/// Runs `call` at a plain service.
pub(super) async fn run_forward(
    service: &Arc<dyn PlainAdapter>,
    call: PlainCall,
    hedge_policy: HedgePolicy<'_>,
    sink: &PartSink,
) -> RunEnd {
    let answer = sink
        .wait_for(forward_hedged(service, call, hedge_policy))
        .await;
    let answer = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) | Err(error) => return start_failure(error),
    };
    match pass_body(answer, sink).await {
        Ok(end) => RunEnd::Ran(end),
        Err(error) => RunEnd::NotKnown(error),
    }
}

/// Whether an unanswered call is sent again on a second connection while the first one continues.
pub(super) enum HedgePolicy<'a> {
    /// The call must not run twice.
    Never,
    /// The call is sent again after part of its time limit if the function, which takes from the
    /// budget, returns true.
    IfSilent(&'a (dyn Fn() -> bool + Sync)),
}

/// Sends the call to the service, and again on a new connection if there is no response within a
/// third of its time limit. The first response counts.
///
/// An open connection can die without being closed when a device on the path loses its state. A
/// call on it is never answered, while a call on a new connection would be: some calls would run
/// into their deadline while others take their usual time. The first call continues, so that a
/// service that is merely slow can still answer it.
async fn forward_hedged(
    service: &Arc<dyn PlainAdapter>,
    call: PlainCall,
    hedge_policy: HedgePolicy<'_>,
) -> SwitchResult<PlainAnswer> {
    let HedgePolicy::IfSilent(may_hedge) = hedge_policy else {
        return service.forward(call).await;
    };
    let hedge_delay = call.head_timeout / HEDGE_DELAY_DIVISOR;
    let mut first = service.forward(call.clone());
    if let Ok(answer) = timeout(hedge_delay, &mut first).await {
        return answer;
    }
    if !may_hedge() {
        return first.await;
    }
    count_retry(ErrorKind::PeerSilent);
    let head_timeout = call.head_timeout.saturating_sub(hedge_delay);
    let second = service.forward(PlainCall {
        head_timeout,
        ..call
    });
    match futures::future::select_ok([first, second]).await {
        Ok((answer, _other)) => Ok(answer),
        Err(error) => Err(error),
    }
}

async fn pass_body(mut answer: PlainAnswer, sink: &PartSink) -> SwitchResult<RunPart> {
    sink.send(RunPart::Started { serving: None }).await?;
    sink.send(RunPart::Head(answer.head)).await?;
    let mut hasher = blake3::Hasher::new();
    loop {
        let next = sink.wait_for(timeout(BODY_PART_TIMEOUT, answer.body.next()));
        let Ok(next) = next.await? else {
            let detail =
                format!("the service sent no part of its answer for {BODY_PART_TIMEOUT:?}");
            return Err(SwitchError::new(ErrorKind::AnswerCut, detail));
        };
        let Some(bytes) = next.transpose()? else {
            break;
        };
        hasher.update(&bytes);
        sink.send(RunPart::Body(bytes.to_vec())).await?;
    }
    Ok(end_part(&hasher, ByteString::new()))
}

/// Returns the last part of a complete answer. Its load report is filled in when it is sent.
fn end_part(hasher: &blake3::Hasher, reason: ByteString) -> RunPart {
    RunPart::End {
        digest: AnswerDigest::from_hasher(hasher),
        reason,
        load: LoadReport::default(),
    }
}
