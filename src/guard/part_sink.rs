//! Destinations for the parts of an answer.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use super::answer_buffer::AnswerBuffer;
use crate::delivery::{AttemptId, RunFrame, RunPart};
use crate::errors::{SwitchError, SwitchResult};
use crate::transport::FrameWriter;

/// Interval of keep-alive frames to a waiting entry host.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Writes the answer of one attempt to the entry host that sent the order.
#[derive(Clone, Debug)]
pub(super) struct AttemptWriter {
    pub(super) attempt: AttemptId,
    pub(super) writer: FrameWriter,
}

impl AttemptWriter {
    /// Sends one part. Fails when the entry host has disconnected.
    pub(super) async fn send(&self, part: RunPart) -> SwitchResult<()> {
        let attempt = self.attempt;
        self.writer.write(&RunFrame { attempt, part }).await
    }

    /// Sends a refusal with `error`.
    pub(super) async fn refuse(&self, error: &SwitchError) {
        // The send fails only if the entry host has disconnected.
        let _ = self.send(refused_part(error)).await;
    }

    /// Waits for `work` and sends keep-alive frames to the entry host in the meantime. Fails when
    /// the entry host has disconnected.
    pub(super) async fn wait_for<F: Future>(&self, work: F) -> SwitchResult<F::Output> {
        let mut work = pin!(work);
        let mut ticks = interval(KEEP_ALIVE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        ticks.reset();
        loop {
            tokio::select! {
                biased;
                output = &mut work => return Ok(output),
                () = self.writer.closed() => {
                    return Err(SwitchError::new(
                        crate::errors::ErrorKind::CallerGone,
                        "the entry host disconnected",
                    ));
                }
                _ = ticks.tick() => self.send(RunPart::Alive).await?,
            }
        }
    }
}

/// The destination of the parts of an answer.
#[derive(Clone, Debug)]
pub(super) enum PartSink {
    /// To the entry host. The run ends when the entry host disconnects.
    Live(AttemptWriter),
    /// Into a buffer. The run continues when the entry host disconnects.
    Buffered(Arc<AnswerBuffer>),
}

impl PartSink {
    /// Sends one part. Fails when the entry host has disconnected or the buffered answer is too
    /// long.
    pub(super) async fn send(&self, part: RunPart) -> SwitchResult<()> {
        match self {
            Self::Live(writer) => writer.send(part).await,
            Self::Buffered(buffer) => buffer.push(part),
        }
    }

    /// Waits for `work`. Fails when the entry host has disconnected, unless the answer is buffered.
    pub(super) async fn wait_for<F: Future>(&self, work: F) -> SwitchResult<F::Output> {
        match self {
            Self::Live(writer) => writer.wait_for(work).await,
            Self::Buffered(_) => Ok(work.await),
        }
    }
}

/// Returns the refusal that reports `error`.
pub(super) fn refused_part(error: &SwitchError) -> RunPart {
    let retry_after_ms = error
        .retry_wait()
        .and_then(|wait| u64::try_from(wait.as_millis()).ok());
    RunPart::Refused {
        kind: error.kind,
        detail: error.detail.clone().into(),
        outcome: error.run_outcome(),
        retry_after_ms,
    }
}

/// Returns the part that reports the failure of a started run.
pub(super) fn broken_part(error: &SwitchError) -> RunPart {
    RunPart::Broken {
        kind: error.kind,
        detail: error.detail.clone().into(),
    }
}
